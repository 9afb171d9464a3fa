#!/usr/bin/env bash
# Fails if a text is copied by a function that cuts it without saying so; see
# os/text_copy.h. Texts of a fixed form (numbers, hex digits) may be printed
# with snprintf, names may not.
set -u
cd "$(dirname "$0")/.."
if git grep -nE '\b(g_strlcpy|g_strlcat|strlcpy|strlcat|strncpy|strncat|g_stpcpy|stpcpy|strcpy|strcat)\b ?\(' \
	-- src platform bench examples ':!*.pb-c.*'; then
	echo "a copy of a text that may be cut: use os/text_copy.h" >&2
	exit 1
fi
if git grep -nE 'snprintf\([^;]*%s' -- src platform ':!*.pb-c.*' ||
	git grep -nE -A3 'snprintf\($|snprintf\([^;]*,$' -- src platform ':!*.pb-c.*' |
	grep '%s'; then
	echo "a text printed into a fixed buffer: use g_strdup_printf" >&2
	exit 1
fi
echo "1 passed, 0 failed"

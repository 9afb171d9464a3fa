#!/usr/bin/env bash
# Fails if a document is parsed without the limit of os/json_text.h.
set -u
cd "$(dirname "$0")/.."
if git grep -nE 'json_load(s|b|f)? ?\(|json_load_callback' -- src platform \
	':!src/os/json_text.c'; then
	echo "JSON that is read without a limit of its nesting" >&2
	exit 1
fi
echo "1 passed, 0 failed"

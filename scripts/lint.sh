#!/usr/bin/env bash
# Runs clang-format, clang-tidy and cppcheck over the hand-written sources.
# Usage: lint.sh BUILD
set -eu
cd "$(dirname "$0")/.."
build=$1
mapfile -t files < <(scripts/source_files.sh)
clang-format --dry-run -Werror "${files[@]}"
mapfile -t cfiles < <(printf '%s\n' "${files[@]}" | grep '\.c$')
printf '%s\n' "${cfiles[@]}" |
	xargs -P "$(nproc)" -n 4 clang-tidy -p "$build" --quiet
cppcheck --quiet --error-exitcode=1 --inline-suppr --std=c11 \
	--enable=warning,portability --library=gtk \
	--suppress=missingIncludeSystem --suppress=normalCheckLevelMaxBranches \
	-j "$(nproc)" -Isrc -Iinclude "${cfiles[@]}"
echo "lint: ok"

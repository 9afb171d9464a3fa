#!/usr/bin/env bash
# Lists the C and C++ files that are written by hand.
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard -- '*.c' '*.h' '*.cc' |
	grep -v 'pb-c'

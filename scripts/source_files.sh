#!/usr/bin/env bash
# Lists the hand-written C and C++ files.
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard -- '*.c' '*.h' '*.cc' |
	grep -v 'pb-c'

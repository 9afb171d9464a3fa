#!/usr/bin/env bash
# Counts the instructions of one decision with callgrind at increasing sizes.
# Fails if they grow faster than the logarithm of the size.
# Usage: instructions.sh BUILD
set -eu
cd "$(dirname "$0")/.."
bench=$1/savorybench
out=$(mktemp)
trap 'rm -f "$out"' EXIT

# count KIND SIZE ROUNDS: prints the instructions of the entire run
count() {
	valgrind --tool=callgrind --callgrind-out-file="$out" "$bench" one \
		"$1" "$2" "$3" 2>/dev/null >/dev/null
	sed -n 's/^totals: //p; s/^summary: //p' "$out" | head -1
}

failed=0
# check KIND SIZE...: instructions per decision are the difference between a long
# and a short run, which cancels the instructions of the setup.
check() {
	kind=$1
	shift
	first=0
	for n in "$@"; do
		long_run=$(count "$kind" "$n" 3000)
		short_run=$(count "$kind" "$n" 1000)
		per_decision=$(((long_run - short_run) / 2000))
		[ "$first" -ne 0 ] || { first=$per_decision; first_size=$n; }
		verdict=$(python3 -c "import math, sys
per_decision, first, n, first_size = map(int, sys.argv[1:])
print('ok' if per_decision <= first * math.log(n) / math.log(first_size) else 'RED')" \
			"$per_decision" "$first" "$n" "$first_size")
		echo "figure decision.$kind.$n $per_decision instructions $verdict"
		[ "$verdict" = ok ] || failed=1
	done
}

check choose 10 100 600
check grant 10 1000 3200
exit $failed

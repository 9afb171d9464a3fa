#!/usr/bin/env bash
# Instructions of one decision by callgrind, at growing sizes. Fails if they
# grow faster than the logarithm of the size.
# Usage: instructions.sh BUILD
set -eu
cd "$(dirname "$0")/.."
bench=$1/savorybench
out=$(mktemp)
trap 'rm -f "$out"' EXIT

# count KIND SIZE ROUNDS: instructions of the whole run
count() {
	valgrind --tool=callgrind --callgrind-out-file="$out" "$bench" one \
		"$1" "$2" "$3" 2>/dev/null >/dev/null
	sed -n 's/^totals: //p; s/^summary: //p' "$out" | head -1
}

failed=0
check() {
	kind=$1
	shift
	first=0
	for n in "$@"; do
		with=$(count "$kind" "$n" 3000)
		without=$(count "$kind" "$n" 1000)
		each=$(((with - without) / 2000))
		[ "$first" -ne 0 ] || { first=$each; least=$n; }
		verdict=$(python3 -c "import math, sys
each, first, n, least = map(int, sys.argv[1:])
print('ok' if each <= first * math.log(n) / math.log(least) else 'RED')" \
			"$each" "$first" "$n" "$least")
		echo "figure decision.$kind.$n $each instructions $verdict"
		[ "$verdict" = ok ] || failed=1
	done
}

check choose 10 100 600
check grant 10 1000 3200
exit $failed

#!/usr/bin/env bash
# Starts stand-ins and three daemons on loopback, sends real input, checks the
# answers, and stops everything gracefully. Exits 0 only if all was right.
set -eu
cd "$(dirname "$0")/.."
build=$(realpath "$1")
run=$(mktemp -d)
base=${SAVORYFLOW_EXAMPLE_PORT:-18000}
bin=$build/savoryflow
pids=()
failures=0

cleanup() {
	for pid in "${pids[@]}"; do
		kill -9 "$pid" 2>/dev/null || true
	done
	rm -rf "$run"
}
trap cleanup EXIT

check() {
	if [ "$2" = "$3" ]; then
		echo "  right: $1"
	else
		echo "  WRONG: $1: got '$2', expected '$3'"
		failures=$((failures + 1))
	fi
}

wait_for() {
	for _ in $(seq 200); do
		if curl -sf -o /dev/null "$1"; then
			return 0
		fi
		sleep 0.05
	done
	echo "no answer from $1"
	exit 1
}

port() { echo $((base + $1)); }
platform=http://127.0.0.1:$(port 0)
engine1=http://127.0.0.1:$(port 1)
engine2=http://127.0.0.1:$(port 2)
plain=http://127.0.0.1:$(port 3)

echo "== stand-ins and three daemons"
"$build/standin" platform --port="$(port 0)" > "$run/platform.log" & pids+=($!)
"$build/standin" engine --port="$(port 1)" --speed=10 > "$run/e1.log" & pids+=($!)
"$build/standin" engine --port="$(port 2)" --speed=10 > "$run/e2.log" & pids+=($!)
"$build/standin" plain --port="$(port 3)" --history="$run/plain.jsonl" > "$run/p.log" & pids+=($!)
wait_for "$platform/counts"
opkey=$(printf 'first-key' | sha256sum | cut -d' ' -f1)
daemons=()
for i in 1 2 3; do
	"$bin" serve --listen="127.0.0.1:$(port $((10 + i)))" \
		--peer-listen="127.0.0.1:$(port $((20 + i)))" \
		--peers="127.0.0.1:$(port 21)" --platform-url="$platform" \
		--region=north --data-center=dc1 --gossip-period-ms=200 \
		--operator-key-sha256="$opkey" --drain-notice-ms=200 \
		--batch-poll-ms=500 --chunk-items=32 2> "$run/d$i.log" &
	pids+=($!)
	daemons+=($!)
done
url() { echo "http://127.0.0.1:$(port $((10 + $1)))"; }
for i in 1 2 3; do wait_for "$(url $i)/healthz"; done

echo "== configuration, printed by an operator's program"
"$build/darkroom_conf" "$engine1" "$engine2" "$plain" > "$run/conf.json"
"$bin" config check "$run/conf.json"
"$bin" config submit "$run/conf.json" --from=0 --url="$(url 1)" --key=first-key
for i in 1 2 3; do wait_for "$(url $i)/readyz"; done

echo "== questions"
answer() {
	curl -s "$1/v1/chat/completions" -H "Authorization: Bearer students-key" \
		-H 'Content-Type: application/json' -d @"$2" |
		python3 -c 'import json,sys; print(json.load(sys.stdin)["choices"][0]["message"]["content"])'
}
streamed() {
	curl -sN "$1" -H "Authorization: Bearer students-key" -d @"$2" |
		python3 -c 'import json,sys
out=""
for line in sys.stdin:
    if line.startswith("data: {"): out+=json.loads(line[6:])["choices"][0]["delta"]["content"]
print(out)'
}
for q in shopper student; do
	file=examples/$q.json
	truth=$(streamed "$engine1/v1/chat/completions" "$file")
	got=$(answer "$(url 2)" "$file")
	echo "  $q: $got"
	check "$q's answer is the engine's" "$got" "$truth"
	sed 's/"model"/"stream":true,"model"/' "$file" > "$run/$q-stream.json"
	got=$(streamed "$(url 3)/v1/chat/completions" "$run/$q-stream.json")
	check "$q's answer as a stream" "$got" "$truth"
done

echo "== a booking that may run once, sent three times"
book() {
	curl -s "$1/v1/call/booking/confirm" -H "Authorization: Bearer students-key" \
		-H 'Idempotency-Key: bay-4-friday' -d @examples/booking.json
}
first=$(book "$(url 1)")
echo "  $first"
check "booking confirmed" "$first" '{"confirmed":true,"run":1}'
sleep 0.3
check "the same key at another daemon" "$(book "$(url 2)")" "$first"
check "the same key at the third daemon" "$(book "$(url 3)")" "$first"
check "bookings that ran" "$(grep -c run "$run/plain.jsonl")" 1

echo "== a weekly schedule lot"
"$bin" batch submit examples/schedule.jsonl --service=assistant --id=week-49 \
	--wait --url="$(url 3)" --key=studios-key
"$bin" batch results week-49 --url="$(url 1)" --key=studios-key > "$run/results.jsonl"
head -2 "$run/results.jsonl"
items=$(wc -l < examples/schedule.jsonl)
check "results" "$(wc -l < "$run/results.jsonl")" "$items"
check "results that are ok" "$(grep -c '"status":"ok"' "$run/results.jsonl")" "$items"
check "each item once" "$(python3 -c 'import json,sys
print(len({json.loads(l)["index"] for l in open(sys.argv[1])}))' "$run/results.jsonl")" "$items"

echo "== graceful stop"
for pid in "${daemons[@]}"; do kill "$pid"; done
for pid in "${daemons[@]}"; do
	code=0
	wait "$pid" || code=$?
	check "daemon $pid left gracefully" "$code" 0
done
[ "$failures" -eq 0 ] || { tail -3 "$run"/d*.log; exit 1; }
echo "all answers were right"

#!/usr/bin/env bash
# Fails if a name from the platform's wire protocol occurs outside platform/.
set -u
cd "$(dirname "$0")/.."
wire_names='X-Attempt-Id|X-Deadline-Ms|X-Prompt-Prefix|X-Response-Seal|X-Expect-Instance|X-Not-Executed|Server-Leaving|Server-Limit|X-Instance-Id|X-Wait-Ms|X-Token-Usage|X-Tenant|api_keys|burst_size|Kv-From|rows-(tx|get|feed|parts)|blob-(put|get|drop|list)|/api/(lots|items|report|ready)|traffic_split|target_latency_ms|target_done_ms|"slot_count"|"max_count"|expected_rev|table_name|dead_letter|output_text'
if git grep -nE "$wire_names" -- src include bench examples; then
	echo "names from the platform's wire protocol outside platform/" >&2
	exit 1
fi
echo "1 passed, 0 failed"

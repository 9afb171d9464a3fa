#ifndef SAVORYFLOW_ARBITER_DEFS_H
#define SAVORYFLOW_ARBITER_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum work_class {
	kWorkOnline,
	kWorkBatch,
};

/** Time that one step of a continuously batching engine takes. */
struct engine_cost {
	int64_t step_base_us;
	int64_t step_per_stream_us;
	/** Nanoseconds for each prompt token prefilled in the step. */
	int64_t step_per_prompt_token_ns;
	int32_t prompt_tokens_per_step;
	int32_t streams_max;
};

struct arbiter_options {
	struct engine_cost cost;
	/** Online first-token tail that may be spent on batch. */
	int64_t tail_budget_us;
	/** Most time between two tokens of a stream. */
	int64_t token_interval_us;
	/** Time until a revoked stream has left the engine. */
	int64_t cancel_latency_us;
	int32_t online_queue_max;
	int32_t batch_queue_max;
	/** A grant without news for so long is taken back. */
	int64_t grant_lease_us;
	/** Plain services: no prefill, no steps; only the slots count. */
	bool is_plain;
};

/** One request for a slot on the target. */
struct admission_request {
	/** Unique over all daemons. */
	uint64_t id;
	/** Index of the daemon that asks, chosen by the caller. */
	uint32_t holder;
	enum work_class work_class;
	/** Prompt tokens that the engine is expected to prefill. */
	int32_t prompt_tokens;
	int64_t deadline_us;
	/** Hash of the team's name. */
	uint64_t team;
	/** Team's share of batch capacity, 1 to 1000. */
	int32_t weight;
	/** Time at which the batch job is due; INT64_MAX for none. */
	int64_t due_us;
	/** In flight when a target crashed: starts alone. */
	bool is_suspect;
};

enum arbiter_verdict {
	kArbiterGranted,
	kArbiterRefused,
	kArbiterRevoked,
	/** The target is leaving: another one is to be asked. */
	kArbiterLeaving,
};

/** An answer of the arbiter to one holder. */
struct arbiter_action {
	enum arbiter_verdict verdict;
	uint32_t holder;
	uint64_t id;
	/** Refused: when to come back. */
	int64_t retry_after_us;
};

/** What a crash of the target says of one request that was in flight. */
enum arbiter_crash_verdict {
	kCrashUnrelated,
	kCrashSuspect,
	kCrashQuarantined,
};

/** Figures of one target, for peers and for the choice of a target. */
struct arbiter_load {
	int32_t online;
	int32_t batch;
	int32_t online_queued;
	int32_t batch_queued;
	/** Expected time to the first token of an online request. */
	int64_t first_token_us;
	/** 99th percentile of the same without batch. */
	int64_t tail_us;
	bool is_leaving;
};

#endif

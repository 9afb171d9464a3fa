#ifndef SAVORYFLOW_ARBITER_DEFS_H
#define SAVORYFLOW_ARBITER_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "savoryflow/limits/stated_rate.h"

enum work_class {
	kWorkOnline,
	kWorkBatch,
};

/** Step time model of an engine with continuous batching. */
struct engine_cost {
	int64_t step_base_us;
	int64_t step_per_stream_us;
	/** Per prompt token prefilled in the step. */
	int64_t step_per_prompt_token_ns;
	int32_t prompt_tokens_per_step;
	int32_t streams_max;
};

struct arbiter_options {
	struct engine_cost cost;
	/** Increase of online's first-token tail that batch may cause. */
	int64_t tail_budget_us;
	/** Maximum time between two tokens of a stream. */
	int64_t token_interval_us;
	/** Time until the engine has cancelled a revoked stream. */
	int64_t cancel_latency_us;
	int32_t online_queue_max;
	int32_t batch_queue_max;
	/** A grant older than this expires. */
	int64_t grant_lease_us;
	/** Plain services have no prefill and no steps; only slots count. */
	bool is_plain;
};

/** Request for a slot on the target. */
struct admission_request {
	/** Unique over all daemons. */
	uint64_t id;
	/** Index of the requesting daemon, chosen by the caller. */
	uint32_t holder;
	enum work_class work_class;
	/** Prompt tokens that the engine is expected to prefill. */
	int32_t prompt_tokens;
	int64_t deadline_us;
	/** Hash of the team's name. */
	uint64_t team;
	/** Weight of the team's share of batch capacity, 1 to 1000. */
	int32_t weight;
	/** Due time of the batch job; INT64_MAX for none. */
	int64_t due_us;
	/** In flight when a target crashed: is prefilled alone. */
	bool is_suspect;
	/** No other target is to be tried before this one. */
	bool is_last_resort;
};

enum arbiter_verdict {
	kArbiterGranted,
	kArbiterRefused,
	kArbiterRevoked,
	/** The target is leaving; another one must be chosen. */
	kArbiterLeaving,
	/** The target's rate allows no start soon; another one may. */
	kArbiterBusy,
};

/** Decision of the arbiter on one request, for its holder. */
struct arbiter_action {
	enum arbiter_verdict verdict;
	uint32_t holder;
	uint64_t id;
	/** Refused or busy: time to wait before the next request. */
	int64_t retry_after_us;
};

/** What an answer of the target says of its rate. */
struct arbiter_rate {
	/** Grant of the answer's run; 0: told by another daemon. */
	uint64_t id;
	struct stated_rate said;
	/** The target asks for no requests for so long; 0: it does not. */
	int64_t pause_us;
};

/** Attribution of a crash to one request that was in flight. */
enum arbiter_crash_verdict {
	kCrashUnrelated,
	kCrashSuspect,
	kCrashQuarantined,
};

/** Load of one target, for peers and for target selection. */
struct arbiter_load {
	int32_t online;
	int32_t batch;
	int32_t online_queued;
	int32_t batch_queued;
	/** Expected time to first token of an online request. */
	int64_t first_token_us;
	/** 99th percentile of the time to first token without batch. */
	int64_t tail_us;
	bool is_leaving;
};

#endif

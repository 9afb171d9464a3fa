#ifndef SAVORYFLOW_ARBITER_INTERNAL_H
#define SAVORYFLOW_ARBITER_INTERNAL_H

#include "savoryflow/arbiter/arbiter.h"

/* State of an arbiter, for its own files only. */

enum {
	kUsPerSecond = 1000000,
	/** One, in the fixed point of rates and of the cost correction. */
	kScaleOne = 1024,
	/** Part of a new observation in a moving mean, as a shift. */
	kMeanShift = 6,
};

struct grant {
	struct admission_request ask;
	int64_t granted_us;
	bool has_first_token;
	bool is_revoked;
	/** Place among the batch grants, oldest first. */
	GList *batch_link;
};

struct queued_online {
	struct admission_request ask;
	GSequenceIter *place;
};

struct crash {
	int64_t at_us;
	/** Ids of the requests that the crash made suspects. */
	GHashTable *suspects;
	/** The one request that is condemned, or 0. */
	uint64_t condemned;
};

struct arbiter {
	struct arbiter_options opt;
	int32_t capacity;
	/** struct grant by id. */
	GHashTable *grants;
	/** Batch grants that are not revoked, oldest first. */
	GQueue batch_grants;
	int32_t online;
	int32_t batch;
	/** Batch grants revoked but still in the engine. */
	int32_t revoked;
	int64_t online_prefill_tokens;
	int64_t batch_prefill_tokens;
	/** Of these, what the engine has not prefilled yet, at a time. */
	int64_t prefill_tokens;
	int64_t prefill_counted_us;
	struct tail_tracker *tail;
	/** Online streams as they would be without batch, at a time. */
	double online_alone;
	int64_t alone_counted_us;
	/** Grants without a first token. */
	int32_t unproven;
	/** A suspect that starts alone, or 0. */
	uint64_t lone_suspect;
	GSequence *online_queue;
	/** struct queued_online by id. */
	GHashTable *online_by_id;
	struct fair_queue *batch_queue;
	/** Arrivals of online prompt tokens a second, over a short time. */
	double prompt_rate;
	int64_t prompt_rate_us;
	/** Highest of these in the last minutes. */
	double peak_rate;
	/** Mean arrivals of online requests, per second, times 1024. */
	int64_t rate_scaled;
	int64_t rate_at_us;
	int64_t mean_prompt_tokens;
	/** Mean time for which a stream holds its slot. */
	int64_t mean_hold_us;
	/** Measured step over modelled step, times 1024. */
	int64_t cost_scale;
	struct crash crash;
	int64_t next_expiry_us;
	bool is_leaving;
};

#endif

#ifndef SAVORYFLOW_ARBITER_INTERNAL_H
#define SAVORYFLOW_ARBITER_INTERNAL_H

#include "savoryflow/arbiter/arbiter.h"
#include "savoryflow/limits/start_rate.h"

/* Private state of an arbiter. */

enum {
	kUsPerSecond = 1000000,
	/** 1.0 in the fixed-point rates and cost correction. */
	kScaleOne = 1024,
	/** Weight of a new sample in a moving mean is 2^-kMeanShift. */
	kMeanShift = 6,
};

struct grant {
	struct admission_request req;
	int64_t granted_us;
	bool has_first_token;
	bool is_revoked;
	/** Started by another arbiter, or without one. */
	bool is_adopted;
	/** Link in batch_grants; NULL for online or revoked grants. */
	GList *batch_link;
};

struct queued_online {
	struct admission_request req;
	GSequenceIter *place;
};

struct crash {
	int64_t at_us;
	/** Ids of the suspects of this crash. */
	GHashTable *suspects;
	/** Id of the request quarantined by this crash, or 0. */
	uint64_t quarantined_id;
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
	/** Batch grants revoked but not yet released. */
	int32_t revoked;
	/** Prompt tokens of the grants that are still in prefill. */
	int64_t online_prefill_tokens;
	int64_t batch_prefill_tokens;
	/** Estimate of those still to be prefilled, at prefill_updated_us. */
	int64_t prefill_tokens;
	int64_t prefill_updated_us;
	struct tail_tracker *tail;
	/** Online streams if there were no batch, at virtual_updated_us. */
	double virtual_online;
	int64_t virtual_updated_us;
	/** Grants without a first token. */
	int32_t prefilling_grants;
	/** Id of the suspect that is in prefill alone, or 0. */
	uint64_t isolated_suspect;
	GSequence *online_queue;
	/** struct queued_online by id. */
	GHashTable *online_by_id;
	struct fair_queue *batch_queue;
	/** Online prompt tokens per second, decaying over kBurstWindowUs. */
	double prompt_rate;
	int64_t prompt_rate_updated_us;
	/** Decaying maximum of prompt_rate (kPeakWindowUs). */
	double peak_rate;
	/** Mean online requests per second, times kScaleOne. */
	int64_t rate_scaled;
	int64_t rate_updated_us;
	int64_t mean_prompt_tokens;
	/** Mean time for which an online stream holds its slot. */
	int64_t mean_hold_us;
	/** Ratio of measured to modelled step time, times kScaleOne. */
	int64_t cost_scale;
	struct crash crash;
	int64_t next_expiry_us;
	bool is_leaving;
	struct start_rate rate;
	/** An answer to an own grant has named or ended the rate. */
	bool is_rate_known;
};

/** Expected wait of one more online request for a start at the target's rate.
 */
int64_t arbiter_start_wait_us(const struct arbiter *arb, int64_t now_us);

/** Expected wait of one more online request for a slot and a start. */
int64_t arbiter_queue_wait_us(const struct arbiter *arb, int64_t now_us);

#endif

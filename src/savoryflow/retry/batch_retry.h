#ifndef SAVORYFLOW_BATCH_RETRY_H
#define SAVORYFLOW_BATCH_RETRY_H

#include "savoryflow/job/item_retry.h"
#include "savoryflow/retry/retry.h"

/** An attempt of a batch item that has ended. */
struct batch_attempt {
	enum attempt_outcome outcome;
	/** HTTP status of the answer; 0 without one. */
	int32_t status;
	/** It returned tokens that were not known before. */
	bool has_progress;
};

/**
 * Decides about a batch item as item_retry does: targets that crash, stall or
 * answer with another status than 500 never end it. Answers of 500 count while
 * the item makes no progress.
 * @param deadline_us time after which the item fails
 */
struct retry_decision batch_retry_decide(struct item_retry *retry,
    const struct batch_attempt *attempt, int64_t deadline_us, int64_t now_us);

#endif

#ifndef SAVORYFLOW_ITEM_RETRY_H
#define SAVORYFLOW_ITEM_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Decides after each run of a batch item when the item runs again or whether it
 * is given up. An item is owed until its route's limits say otherwise: runs
 * that are interrupted, and answers other than 422 and 500, never end it. No
 * I/O, no clock.
 */

enum {
	/** Maximum wait before an item asks for a slot again. */
	kItemRetryWaitMaxUs = 1000000,
};

/** How a run ended that returned no result. */
enum item_run_outcome {
	/** A complete answer that is no result. */
	kItemRunAnswered,
	/** No answer, or only a part of one. */
	kItemRunInterrupted,
	/** No slot was granted; the item did not run. */
	kItemRunNotStarted,
	/** The slot was revoked. */
	kItemRunRevoked,
};

struct item_run_end {
	enum item_run_outcome outcome;
	/** HTTP status of the answer; 0 without one. */
	int32_t status;
	/** The run returned events that were not known before. */
	bool has_progress;
};

/** What is known about an item's earlier runs. */
struct item_retry {
	/** Answers of 500. */
	int32_t failures;
	/** Failed runs in a row that made no progress. */
	int32_t setbacks;
	/** Spreads the waits of different items; any constant of the item. */
	uint32_t seed;
};

struct item_retry_limits {
	/** Answers of 500 after which an item is given up; 0: unknown, they
	 * never end it. */
	int32_t attempts_max;
	/** Time after which an item may be abandoned. */
	int64_t expires_us;
};

struct item_retry_decision {
	/** Reason for giving the item up, or NULL: it runs again. */
	const char *give_up;
	/** Wait before the next run; at most kItemRetryWaitMaxUs. */
	int64_t wait_us;
};

/** Records a run that returned no result, and decides what follows. */
struct item_retry_decision item_retry_decide(struct item_retry *retry,
    const struct item_run_end *end, const struct item_retry_limits *limits,
    int64_t now_us);

/**
 * Time after which an item may be abandoned.
 * @param accepted_us when its job was sent
 * @param started_us when this daemon started the job
 * @param ttl_us time to live of the route; 0 if the route is unknown so far:
 *        a default counts from started_us, since the route's own time may be
 *        longer
 */
int64_t item_retry_expires_us(
    int64_t accepted_us, int64_t started_us, int64_t ttl_us);

/** Whether an item that waits for its next run may be abandoned. */
bool item_retry_is_expired(
    const struct item_retry_limits *limits, int64_t now_us);

#endif

#ifndef SAVORYFLOW_START_RATE_H
#define SAVORYFLOW_START_RATE_H

#include <stdbool.h>

#include "savoryflow/limits/stated_rate.h"
#include "savoryflow/limits/token_bucket.h"

/*
 * How fast one start of a target may be sent requests, by what it says: what
 * its answers name and what was started goes in, how many may start now comes
 * out. One arbiter counts the starts of all daemons; those that no arbiter
 * grants do not go to a target that names a rate. No I/O, no clock.
 *
 * Error. For a rate of L a second the bucket fills with max(L, 1/4) and holds
 * 1 + L/2 requests, so an arbiter starts at most
 *   4 max(L, 1/4) + 1 + L/2
 * in 4 s. The users allow 6 L + 5, which leaves 2 L + 5 beyond 4 L; half of
 * that allows 5 L + 5/2. The rest, L/2 + 3/2 for L of 1/4 and more, is for
 * starts that are sent closer together than they were granted, and for the time
 * in which an arbiter and its successor both act: both together may come to 0.5
 * s. Each arbiter begins with an empty bucket, so the number of arbiters that
 * follow one another adds nothing. What it does not know is what was granted
 * before the rate was first named, for which the users allow 4 s.
 *
 * The lowest rate of the bucket lets one request through each 4 s, so that the
 * end of any rate is learnt.
 */
struct start_rate {
	bool is_limited;
	int64_t milli_per_s;
	/** When an answer last named the rate. */
	int64_t named_us;
	/** No starts until then, as an answer asked for a pause. */
	int64_t paused_until_us;
	struct token_bucket bucket;
};

/** An answer names a rate; a repeated one changes nothing but its age. */
void start_rate_name(
    struct start_rate *sr, int64_t milli_per_s, int64_t now_us);

/**
 * An answer names no rate.
 * @param started_us when its run was started: it ends the rate only if it is
 *        certainly newer than the answer that named it
 * @return true if the rate ended
 */
bool start_rate_end(struct start_rate *sr, int64_t started_us);

/** An answer asks for a pause; bounded, and the latest one counts. */
void start_rate_pause(struct start_rate *sr, int64_t pause_us, int64_t now_us);

/** Forgets starts that were saved up: another arbiter may have granted them. */
void start_rate_empty(struct start_rate *sr, int64_t now_us);

/** Online requests that may start now; INT32_MAX if there is no limit. */
int32_t start_rate_available(const struct start_rate *sr, int64_t now_us);

/** Whether one more request may start. An item needs a full bucket, so that
 * starts are left for online requests. */
bool start_rate_allows(
    const struct start_rate *sr, bool is_batch, int64_t now_us);

/** Counts a start. */
void start_rate_record(struct start_rate *sr, int64_t now_us);

/** Takes back a start: nothing was sent. */
void start_rate_refund(struct start_rate *sr, int64_t now_us);

/** Time until an online request may start. */
int64_t start_rate_wait_us(const struct start_rate *sr, int64_t now_us);

/** Mean time between starts at the rate; 0: there is no limit. */
int64_t start_rate_interval_us(const struct start_rate *sr);

/** Whether the rate was named so lately that it is probably still in force. */
bool start_rate_is_fresh(const struct start_rate *sr, int64_t now_us);

#endif

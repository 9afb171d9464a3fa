#ifndef SAVORYFLOW_TOKEN_QUOTA_H
#define SAVORYFLOW_TOKEN_QUOTA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * Tokens of a route's batch items that wait for a run, counted by one daemon
 * for all. A job counts from its reservation until its tokens are reported as
 * done; a reservation that no report confirms expires. No I/O, no clock.
 */
struct token_quota;

struct token_quota *token_quota_new(void);
void token_quota_free(struct token_quota *tq);

/** Tokens that wait. */
int64_t token_quota_waiting(const struct token_quota *tq);

/**
 * Reserves the tokens of a job, unless more than the limit would wait. A job
 * that is counted already keeps its count.
 * @return false if the job does not fit
 */
bool token_quota_reserve(struct token_quota *tq, const char *job,
    int64_t tokens, int64_t limit, int64_t now_us);

/** Records how many tokens of an accepted job wait; 0 removes it. */
void token_quota_record(
    struct token_quota *tq, const char *job, int64_t tokens, int64_t now_us);

/** Time until a job of this size is likely to fit, in microseconds. */
int64_t token_quota_retry_after_us(
    const struct token_quota *tq, int64_t tokens, int64_t limit);

/** An open job as read from the store. */
struct token_quota_job {
	const char *job;
	int64_t tokens;
};

/**
 * Applies the open jobs in the store: adds unknown ones, and removes those that
 * are not listed and have not been reported since the read.
 * @param jobs array of struct token_quota_job
 */
void token_quota_sync(struct token_quota *tq, const GArray *jobs,
    int64_t read_at_us, int64_t now_us);

/** Drops reservations that were not confirmed in time. */
void token_quota_tick(struct token_quota *tq, int64_t now_us);

#endif

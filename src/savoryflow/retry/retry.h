#ifndef SAVORYFLOW_RETRY_H
#define SAVORYFLOW_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "error/error.h"

/** How an attempt at a target ended. */
enum attempt_outcome {
	kAttemptComplete,
	/** No connection: no byte of the request was sent. */
	kAttemptNotSent,
	/** The target said that it did not run the request. */
	kAttemptNotExecuted,
	/** The answer ended early or its connection broke. */
	kAttemptInterrupted,
	/** No progress within the stall timeout. */
	kAttemptStalled,
	/** The answer carried another attempt's id. */
	kAttemptIdMismatch,
	/** The target answered with an error of its own (5xx). */
	kAttemptFailed,
	/** The target refused the request as wrong (4xx). */
	kAttemptRejected,
	/** The arbiter took the slot back. */
	kAttemptRevoked,
	/** The caller went away. */
	kAttemptCancelled,
};

/** What is known of a request when an attempt has ended. */
struct retry_state {
	/** May run more than once. */
	bool is_idempotent;
	/** Goes on at a token index. */
	bool is_resumable;
	/** A byte of an earlier attempt may have reached a target. */
	bool may_have_run;
	/** Attempts that failed, revocations not counted. */
	int32_t failures;
	int32_t failures_max;
	int64_t deadline_us;
};

enum retry_action {
	kRetryAgain,
	kRetryFail,
	kRetryDone,
};

struct retry_decision {
	enum retry_action action;
	/** Give up: an sf_error_code. */
	int code;
	/** Again: wait before it. */
	int64_t delay_us;
};

/* Retries are at most a tenth of requests, over a short time. */
struct retry_budget {
	/** Retries that may be made now, times 1024. */
	int64_t tokens_scaled;
};

/** Starts with the full reserve. */
void retry_budget_init(struct retry_budget *budget);

/** Counts a request: it adds a tenth of a retry. */
void retry_budget_record_request(struct retry_budget *budget);

/** Takes one retry. @return false if none is left */
bool retry_budget_consume(struct retry_budget *budget);

/** Decides what follows an attempt. The budget may be NULL (batch). */
struct retry_decision retry_decide(const struct retry_state *state,
    enum attempt_outcome end, struct retry_budget *budget, int64_t now_us);

#endif

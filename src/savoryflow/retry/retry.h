#ifndef SAVORYFLOW_RETRY_H
#define SAVORYFLOW_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "error/error.h"

/** Outcome of an attempt at a target. */
enum attempt_outcome {
	kAttemptComplete,
	/** No connection: no byte of the request was sent. */
	kAttemptNotSent,
	/** The target reported that it did not run the request. */
	kAttemptNotExecuted,
	/** The answer was truncated or its connection was lost. */
	kAttemptInterrupted,
	/** No progress within the stall timeout. */
	kAttemptStalled,
	/** The answer carried another attempt's id. */
	kAttemptIdMismatch,
	/** The target answered with an error of its own (5xx). */
	kAttemptFailed,
	/** The target rejected the request as invalid (4xx). */
	kAttemptRejected,
	/** The arbiter revoked the grant. */
	kAttemptRevoked,
	/** The caller disconnected. */
	kAttemptCancelled,
};

/** State of a request when an attempt has ended. */
struct retry_state {
	/** May run more than once. */
	bool is_idempotent;
	/** Can continue at a token index. */
	bool is_resumable;
	/** A target may have received part of an earlier attempt. */
	bool may_have_run;
	/** Failed attempts, not counting revocations. */
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
	/** kRetryFail: an sf_error_code. */
	int code;
	/** kRetryAgain: delay before the next attempt. */
	int64_t delay_us;
};

/** Limits retries to a tenth of the requests, plus a small reserve. */
struct retry_budget {
	/** Retries available, times 1024. */
	int64_t tokens_scaled;
};

/** Initializes the budget to the full reserve. */
void retry_budget_init(struct retry_budget *budget);

/** Counts a request, which adds a tenth of a retry. */
void retry_budget_record_request(struct retry_budget *budget);

/** Consumes one retry. @return false if none is available */
bool retry_budget_consume(struct retry_budget *budget);

/** Decides how to continue after an attempt; budget is NULL for batch. */
struct retry_decision retry_decide(const struct retry_state *state,
    enum attempt_outcome outcome, struct retry_budget *budget, int64_t now_us);

#endif

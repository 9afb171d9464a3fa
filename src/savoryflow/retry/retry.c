/* Decision to retry a request after an attempt has ended. */
#include "savoryflow/retry/retry.h"

#include <glib.h>

enum {
	kBudgetScale = 1024,
	/* Budget added per request: a tenth of a retry. */
	kBudgetPerRequest = 102,
	/* Maximum reserve of retries. */
	kBudgetMax = 20 * kBudgetScale,
	/* Bounds of the exponential backoff between attempts. */
	kBackoffMinUs = 10000,
	kBackoffMaxUs = 1000000,
};

void
retry_budget_init(struct retry_budget *budget)
{
	budget->tokens_scaled = kBudgetMax;
}

void
retry_budget_record_request(struct retry_budget *budget)
{
	budget->tokens_scaled =
	    MIN(budget->tokens_scaled + kBudgetPerRequest, kBudgetMax);
}

bool
retry_budget_consume(struct retry_budget *budget)
{
	if (budget->tokens_scaled < kBudgetScale)
		return false;
	budget->tokens_scaled -= kBudgetScale;
	return true;
}

static bool
may_repeat(const struct retry_state *state, enum attempt_outcome outcome)
{
	if (outcome == kAttemptNotSent || outcome == kAttemptNotExecuted)
		return state->is_idempotent || !state->may_have_run;
	return state->is_idempotent;
}

static int
failure_code(const struct retry_state *state, enum attempt_outcome outcome)
{
	switch (outcome) {
	case kAttemptRejected:
		return kErrTargetRefused;
	case kAttemptCancelled:
		return kErrCancelled;
	case kAttemptNotSent:
	case kAttemptNotExecuted:
		return state->may_have_run ? kErrTargetFailed : kErrNoTarget;
	default:
		return kErrTargetFailed;
	}
}

static int64_t
backoff_us(int32_t failures)
{
	int64_t delay = kBackoffMinUs << MIN(MAX(failures - 1, 0), 10);

	return MIN(delay, kBackoffMaxUs);
}

struct retry_decision
retry_decide(const struct retry_state *state, enum attempt_outcome outcome,
    struct retry_budget *budget, int64_t now_us)
{
	struct retry_decision fail = {
	    kRetryFail, failure_code(state, outcome), 0};
	struct retry_decision again = {kRetryAgain, 0, 0};

	if (outcome == kAttemptComplete)
		return (struct retry_decision){kRetryDone, 0, 0};
	if (outcome == kAttemptRejected || outcome == kAttemptCancelled)
		return fail;
	if (now_us >= state->deadline_us) {
		fail.code = kErrDeadline;
		return fail;
	}
	/* A revocation is not a failure: it costs no budget and no attempt. */
	if (outcome == kAttemptRevoked)
		return again;
	if (!may_repeat(state, outcome) ||
	    state->failures >= state->failures_max)
		return fail;
	if (budget != NULL && !retry_budget_consume(budget))
		return fail;
	again.delay_us = backoff_us(state->failures);
	return again;
}

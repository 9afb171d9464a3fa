/* Whether a request is tried again after an attempt has ended. */
#include "savoryflow/retry/retry.h"

#include <glib.h>

enum {
	kBudgetOne = 1024,
	/* A request adds this part of a retry: a tenth. */
	kBudgetPerRequest = 102,
	/* Retries kept in reserve at most. */
	kBudgetMost = 20 * kBudgetOne,
	/* Backoff before the second and later attempts. */
	kBackoffFirstUs = 10000,
	kBackoffMostUs = 1000000,
};

void
retry_budget_init(struct retry_budget *budget)
{
	budget->tokens_scaled = kBudgetMost;
}

void
retry_budget_record_request(struct retry_budget *budget)
{
	budget->tokens_scaled =
	    MIN(budget->tokens_scaled + kBudgetPerRequest, kBudgetMost);
}

bool
retry_budget_consume(struct retry_budget *budget)
{
	if (budget->tokens_scaled < kBudgetOne)
		return false;
	budget->tokens_scaled -= kBudgetOne;
	return true;
}

static bool
may_repeat(const struct retry_state *state, enum attempt_outcome end)
{
	if (end == kAttemptNotSent || end == kAttemptNotExecuted)
		return state->is_idempotent || !state->may_have_run;
	return state->is_idempotent;
}

static int
give_up_code(const struct retry_state *state, enum attempt_outcome end)
{
	switch (end) {
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
	int64_t delay = kBackoffFirstUs << MIN(MAX(failures - 1, 0), 10);

	return MIN(delay, kBackoffMostUs);
}

struct retry_decision
retry_decide(const struct retry_state *state, enum attempt_outcome end,
    struct retry_budget *budget, int64_t now_us)
{
	struct retry_decision give_up = {
	    kRetryFail, give_up_code(state, end), 0};
	struct retry_decision again = {kRetryAgain, 0, 0};

	if (end == kAttemptComplete)
		return (struct retry_decision){kRetryDone, 0, 0};
	if (end == kAttemptRejected || end == kAttemptCancelled)
		return give_up;
	if (now_us >= state->deadline_us) {
		give_up.code = kErrDeadline;
		return give_up;
	}
	/* A revocation is no failure: it costs no budget and no attempt. */
	if (end == kAttemptRevoked)
		return again;
	if (!may_repeat(state, end) || state->failures >= state->failures_max)
		return give_up;
	if (budget != NULL && !retry_budget_consume(budget))
		return give_up;
	again.delay_us = backoff_us(state->failures);
	return again;
}

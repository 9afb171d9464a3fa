/* Decision to retry a batch item of the own interface. */
#include "savoryflow/retry/batch_retry.h"

#include "os/clock.h"

enum {
	kFailuresMax = 5,
	/* Targets are probed about once a second. */
	kNoTargetWaitUs = 500 * kUsPerMs,
};

static struct retry_decision
fail(int code)
{
	return (struct retry_decision){kRetryFail, code, 0};
}

static enum item_run_outcome
run_outcome(enum attempt_outcome outcome)
{
	switch (outcome) {
	case kAttemptFailed:
		return kItemRunAnswered;
	case kAttemptNotSent:
	case kAttemptNotExecuted:
		return kItemRunNotStarted;
	case kAttemptRevoked:
		return kItemRunRevoked;
	default:
		return kItemRunInterrupted;
	}
}

struct retry_decision
batch_retry_decide(struct item_retry *retry,
    const struct batch_attempt *attempt, int64_t deadline_us, int64_t now_us)
{
	struct item_run_end end = {
	    .outcome = run_outcome(attempt->outcome),
	    .status = attempt->status,
	    .has_progress = attempt->has_progress,
	};
	struct item_retry_limits limits = {kFailuresMax, deadline_us};
	struct item_retry_decision decision;

	if (attempt->outcome == kAttemptComplete)
		return (struct retry_decision){kRetryDone, 0, 0};
	if (attempt->outcome == kAttemptRejected)
		return fail(kErrTargetRefused);
	if (attempt->outcome == kAttemptCancelled)
		return fail(kErrCancelled);
	if (now_us >= deadline_us)
		return fail(kErrDeadline);
	if (attempt->has_progress && end.outcome != kItemRunNotStarted)
		retry->failures = 0;
	decision = item_retry_decide(retry, &end, &limits, now_us);
	if (decision.give_up != NULL)
		return fail(kErrTargetFailed);
	return (struct retry_decision){kRetryAgain, 0,
	    end.outcome == kItemRunNotStarted ? kNoTargetWaitUs
					      : decision.wait_us};
}

/* Decision to run a batch item again or to give it up. */
#include "savoryflow/job/item_retry.h"

#include <glib.h>

#include "os/clock.h"

enum {
	kHttpUnprocessable = 422,
	kHttpServerError = 500,
	kTtlDefaultUs = 60 * kUsPerS,
	/* First waits; doubled for each further run without progress. A target
	 * that interrupts a run often serves the next one. */
	kWaitAfterAnswerUs = 100 * kUsPerMs,
	kWaitAfterInterruptionUs = 30 * kUsPerMs,
	kWaitWithoutSlotUs = 200 * kUsPerMs,
	kDoublingsMax = 10,
	/* A wait is shortened by up to a quarter, so that items interrupted by
	 * one crash do not return at once. */
	kSpreadDivisor = 4,
};

/* Of Knuth's multiplicative hash. */
static const uint32_t kHashMultiplier = 2654435761U;

static int64_t
backoff_us(const struct item_retry *retry, int64_t first_us)
{
	int32_t doublings = CLAMP(retry->setbacks - 1, 0, kDoublingsMax);
	int64_t wait_us = MIN(first_us << doublings, kItemRetryWaitMaxUs);
	uint32_t hash =
	    (retry->seed + (uint32_t)retry->setbacks) * kHashMultiplier;

	return wait_us - (int64_t)hash % (wait_us / kSpreadDivisor);
}

static struct item_retry_decision
give_up(const char *reason)
{
	return (struct item_retry_decision){reason, 0};
}

static struct item_retry_decision
wait_for(int64_t wait_us)
{
	return (struct item_retry_decision){NULL, wait_us};
}

static struct item_retry_decision
decide_answered(struct item_retry *retry, int32_t status, int32_t attempts_max)
{
	if (status == kHttpUnprocessable)
		return give_up("unprocessable");
	if (status == kHttpServerError)
		retry->failures++;
	if (status == kHttpServerError && attempts_max > 0 &&
	    retry->failures >= attempts_max)
		return give_up("failed");
	retry->setbacks++;
	return wait_for(backoff_us(retry, kWaitAfterAnswerUs));
}

static struct item_retry_decision
decide_interrupted(struct item_retry *retry, bool has_progress)
{
	if (has_progress) {
		retry->setbacks = 0;
		return wait_for(0);
	}
	retry->setbacks++;
	return wait_for(backoff_us(retry, kWaitAfterInterruptionUs));
}

struct item_retry_decision
item_retry_decide(struct item_retry *retry, const struct item_run_end *end,
    const struct item_retry_limits *limits, int64_t now_us)
{
	struct item_retry_decision decision = wait_for(0);

	switch (end->outcome) {
	case kItemRunAnswered:
		decision =
		    decide_answered(retry, end->status, limits->attempts_max);
		break;
	case kItemRunInterrupted:
		decision = decide_interrupted(retry, end->has_progress);
		break;
	case kItemRunNotStarted:
		decision = wait_for(kWaitWithoutSlotUs);
		break;
	case kItemRunRevoked:
		break;
	}
	if (decision.give_up == NULL && item_retry_is_expired(limits, now_us))
		return give_up("expired");
	return decision;
}

int64_t
item_retry_expires_us(int64_t accepted_us, int64_t started_us, int64_t ttl_us)
{
	return ttl_us > 0 ? accepted_us + ttl_us : started_us + kTtlDefaultUs;
}

bool
item_retry_is_expired(const struct item_retry_limits *limits, int64_t now_us)
{
	return now_us > limits->expires_us;
}

/*
 * The attempts of a call: target selection, grant, then retry, resume or the
 * final answer. Events of an attempt other than the current one are ignored.
 */
#include <string.h>
#include <xxhash.h>

#include "error/error.h"
#include "metric/metric.h"
#include "os/text_copy.h"
#include "serve/call_internal.h"
#include "serve/grants.h"
#include "serve/limiter.h"
#include "serve/timers.h"

enum {
	/* Time until a held call, or a blocked item, is looked at again. */
	kHeldCheckUs = 20 * kUsPerMs,
	kBlockedItemUs = kUsPerS,
};

/* The lock is held. */
static struct retry_decision
decide_batch(struct call *c, enum attempt_outcome outcome, int64_t now_us)
{
	struct batch_attempt attempt = {
	    .outcome = outcome,
	    .status = (int32_t)c->attempt_status,
	    .has_progress = c->stream.next_index > c->attempt_first_index,
	};

	return batch_retry_decide(
	    &c->item_retry, &attempt, c->retry.deadline_us, now_us);
}

/* Failures accumulate only while the stream makes no progress. The lock is
 * held. */
static struct retry_decision
decide_online(struct call *c, enum attempt_outcome outcome, int64_t now_us)
{
	struct retry_budget *budget =
	    limiter_retry_budget_lock(c->d->limiter, c->service);
	struct retry_decision decision;

	if (outcome != kAttemptRevoked && outcome != kAttemptComplete) {
		if (c->stream.next_index > c->attempt_first_index)
			c->retry.failures = 0;
		c->retry.failures++;
	}
	decision = retry_decide(&c->retry, outcome, budget, now_us);
	limiter_retry_budget_unlock(c->d->limiter);
	return decision;
}

struct retry_decision
call_decide_locked(struct call *c, enum attempt_outcome outcome)
{
	int64_t now_us = clock_mono_us(c->d->clk);

	return c->work_class == kWorkBatch ? decide_batch(c, outcome, now_us)
					   : decide_online(c, outcome, now_us);
}

void
call_attempt_end(struct call *c, enum attempt_outcome outcome)
{
	struct retry_decision decision;
	int64_t now_us = clock_mono_us(c->d->clk);

	pthread_mutex_lock(&c->lock);
	if (c->phase == kPhaseDone) {
		pthread_mutex_unlock(&c->lock);
		return;
	}
	text_copy_or_none(c->last_target, sizeof(c->last_target),
	    outcome == kAttemptRevoked ? "" : c->route.target);
	c->phase = kPhaseBackoff;
	decision = call_decide_locked(c, outcome);
	pthread_mutex_unlock(&c->lock);
	switch (decision.action) {
	case kRetryDone:
		call_finish(c, -1, 0);
		break;
	case kRetryFail:
		call_finish(c, decision.code, kNoTargetRetryUs);
		break;
	case kRetryAgain:
		metric_add(kMetRetries, 1);
		if (c->is_engine && c->stream.next_index > 0)
			metric_add(kMetResumes, 1);
		call_ref(c);
		timers_add(c->d->timers, now_us + decision.delay_us,
		    call_attempt_begin, c);
		break;
	}
}

static void
on_granted(void *ctx, uint64_t id)
{
	struct call *c = ctx;
	GBytes *body = NULL;

	pthread_mutex_lock(&c->lock);
	if (call_is_current(c, id, kPhaseAcquiring)) {
		c->is_last_resort = false;
		body = call_transfer_prepare(c);
	}
	pthread_mutex_unlock(&c->lock);
	if (body == NULL) {
		grants_release(c->d->grants, id);
		return;
	}
	call_transfer_start(c, id, body);
	g_bytes_unref(body);
}

static void
on_refused(void *ctx, uint64_t id, int64_t retry_after_us)
{
	struct call *c = ctx;
	bool current;

	pthread_mutex_lock(&c->lock);
	current = call_is_current(c, id, kPhaseAcquiring);
	if (current && c->work_class == kWorkBatch)
		c->phase = kPhaseBackoff;
	pthread_mutex_unlock(&c->lock);
	if (!current)
		return;
	if (c->work_class == kWorkOnline) {
		call_finish(c, kErrOverloaded, retry_after_us);
		return;
	}
	call_ref(c);
	timers_add(c->d->timers, clock_mono_us(c->d->clk) + retry_after_us,
	    call_attempt_begin, c);
}

void
call_record_leaving(struct call *c, const char *target)
{
	struct route route;
	int64_t budget_us;

	if (routes_target(c->d->routes, target, &route, &budget_us))
		routes_set_leaving(c->d->routes, target, true, false);
}

static void
on_leaving(void *ctx, uint64_t id)
{
	struct call *c = ctx;
	bool current;

	pthread_mutex_lock(&c->lock);
	current = call_is_current(c, id, kPhaseAcquiring);
	pthread_mutex_unlock(&c->lock);
	if (!current)
		return;
	call_record_leaving(c, c->route.target);
	call_attempt_end(c, kAttemptNotExecuted);
}

/* Another target is chosen, if there is one. */
static void
on_busy(void *ctx, uint64_t id, int64_t retry_after_us)
{
	struct call *c = ctx;
	bool is_current;

	pthread_mutex_lock(&c->lock);
	is_current = call_is_current(c, id, kPhaseAcquiring);
	if (is_current) {
		c->phase = kPhaseBackoff;
		c->is_last_resort = true;
		TEXT_ASSIGN(c->last_target, c->route.target);
	}
	pthread_mutex_unlock(&c->lock);
	if (!is_current)
		return;
	call_ref(c);
	call_attempt_begin(c);
}

void
call_on_revoked(void *ctx, uint64_t id)
{
	struct call *c = ctx;
	bool current;

	pthread_mutex_lock(&c->lock);
	current = call_is_current(c, id, kPhaseRunning);
	if (current)
		c->is_revoked = true;
	pthread_mutex_unlock(&c->lock);
	if (current)
		target_client_cancel(c->d->targets, id);
}

void
call_on_crash_verdict(
    void *ctx, uint64_t id, enum arbiter_crash_verdict verdict)
{
	struct call *c = ctx;
	bool current;

	pthread_mutex_lock(&c->lock);
	current = call_is_current(c, id, kPhaseAwaitingVerdict);
	if (current && verdict == kCrashSuspect)
		c->is_suspect = true;
	pthread_mutex_unlock(&c->lock);
	if (!current)
		return;
	if (verdict == kCrashQuarantined) {
		limiter_quarantine(c->d->limiter, c->fingerprint, true);
		call_finish(c, kErrRequestCondemned, 0);
		return;
	}
	call_attempt_end(c, kAttemptInterrupted);
}

static const struct grant_ops grant_ops = {on_granted, on_refused, on_leaving,
    on_busy, call_on_revoked, call_on_crash_verdict, call_ref_ctx,
    call_unref_ctx};

void
call_fill_admission_request(
    const struct call *c, uint64_t attempt, struct admission_request *req)
{
	*req = (struct admission_request){
	    .id = attempt,
	    .work_class = c->work_class,
	    .prompt_tokens = c->prompt_tokens + (int32_t)c->stream.next_index,
	    .deadline_us = c->retry.deadline_us,
	    .team = XXH3_64bits(c->team, strlen(c->team)),
	    .weight = c->weight,
	    .due_us = c->due_us,
	    .is_suspect = c->is_suspect,
	    .is_last_resort = c->is_last_resort,
	};
}

/* Tries again later, with the reference of the caller. */
static void
postpone(struct call *c, int64_t delay_us)
{
	timers_add(c->d->timers, clock_mono_us(c->d->clk) + delay_us,
	    call_attempt_begin, c);
}

/**
 * Keeps a call from engines that it would crash.
 * @return false if it was ended or postponed
 */
static bool
admit(struct call *c)
{
	bool is_batch = c->work_class == kWorkBatch;
	int64_t now_us = clock_mono_us(c->d->clk);
	enum blame_verdict verdict;
	bool is_done;

	pthread_mutex_lock(&c->lock);
	is_done = c->phase == kPhaseDone;
	pthread_mutex_unlock(&c->lock);
	if (is_done || !c->is_engine)
		return true;
	verdict = crash_watch_check(c->d->crashes, &c->keys);

	if (verdict == kBlameHeld && c->held_us == 0)
		c->held_us = now_us;
	if (verdict == kBlameHeld &&
	    (is_batch || now_us - c->held_us < kBlameHoldUs)) {
		postpone(c, kHeldCheckUs);
		return false;
	}
	if (verdict != kBlameBlocked)
		return true;
	if (is_batch) {
		postpone(c, kBlockedItemUs);
		return false;
	}
	call_finish(c, kErrRequestCondemned, 0);
	call_unref(c);
	return false;
}

void
call_attempt_begin(void *ctx)
{
	struct call *c = ctx;
	struct admission_request req;
	struct route route;
	struct routing_query query = {
	    .service = c->service,
	    .prefix_hash = c->prefix_hash,
	    .prompt_tokens = c->prompt_tokens,
	    .excluded_target =
		c->last_target[0] != '\0' ? c->last_target : NULL,
	};
	bool found;

	if (c->work_class == kWorkOnline &&
	    limiter_is_quarantined(c->d->limiter, c->fingerprint)) {
		call_finish(c, kErrRequestCondemned, 0);
		call_unref(c);
		return;
	}
	if (!admit(c))
		return;
	found = routes_choose(c->d->routes, &query, &route);
	pthread_mutex_lock(&c->lock);
	if (found && c->phase != kPhaseDone) {
		c->phase = kPhaseAcquiring;
		c->attempt = daemon_unique_id(c->d);
		c->route = route;
		call_fill_admission_request(c, c->attempt, &req);
	}
	found = found && c->phase != kPhaseDone;
	pthread_mutex_unlock(&c->lock);
	if (found)
		grants_acquire(c->d->grants, &req, &route, &grant_ops, c);
	else
		call_attempt_end(c, kAttemptNotSent);
	call_unref(c);
}

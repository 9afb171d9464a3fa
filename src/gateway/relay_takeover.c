/*
 * Silent targets. A target that falls silent keeps its request until another
 * one is granted: it may go on at any moment, and no slot elsewhere may come.
 */
#include "gateway/relay_internal.h"
#include "log/log.h"
#include "metric/metric.h"

enum {
	/* A target that sent data within this time is responsive: events arrive
	 * every 20 ms. */
	kActiveWithinUs = 75 * kUsPerMs,
	/* Stall timeout of a busy target, as a multiple of the usual one. */
	kBusyStallFactor = 4,
	/* Time between two requests for another slot. */
	kTakeoverRetryUs = 300 * kUsPerMs,
	/* A timer this late follows a stop of the process: what arrived
	 * meanwhile is read before it counts. */
	kLoopLateUs = 40 * kUsPerMs,
	/* A batch item has no deadline of its own. Past this time its target is
	 * taken to have lost it. */
	kItemSilentMaxUs = 5 * kUsPerS,
	/* Silences of one request that are logged. */
	kSilencesLoggedMax = 4,
};

static void on_stall(void *ctx);

static void
start_stall_timer(struct relay *rl, int64_t wait_us)
{
	rl->stall_due_us = loop_now_us(rl->deps.lp) + wait_us;
	rl->stall_timer =
	    loop_timer(rl->deps.lp, rl->stall_due_us, on_stall, rl);
}

static int64_t
stall_timeout_us(const struct relay *rl)
{
	return rl->is_answering
	    ? MAX(rl->opt.stall_timeout_us, rl->opt.pause_timeout_us)
	    : rl->opt.stall_timeout_us;
}

/* The target serves other requests of this daemon: it is busy, not failed. */
static bool
is_target_busy(const struct relay *rl)
{
	int64_t at_us = target_activity_last_us(rl->deps.activity, rl->target);
	int64_t now_us = loop_now_us(rl->deps.lp);

	return at_us >= 0 && now_us - at_us < kActiveWithinUs &&
	    now_us - rl->last_activity_us <
	    kBusyStallFactor * stall_timeout_us(rl);
}

static void
log_silence(const struct relay *rl, enum log_event_id event)
{
	int64_t now_us = loop_now_us(rl->deps.lp);

	if (rl->silences > kSilencesLoggedMax)
		return;
	log_event(event, "request", rl->attempt_id, "target", rl->target,
	    "silent_us", log_number(now_us - rl->silent_since_us), "last_event",
	    log_number(rl->events.last_id), NULL);
}

static void
on_stall(void *ctx)
{
	struct relay *rl = ctx;
	int64_t now_us = loop_now_us(rl->deps.lp);

	rl->stall_timer = 0;
	if (now_us - rl->stall_due_us > kLoopLateUs || is_target_busy(rl)) {
		start_stall_timer(rl, kActiveWithinUs);
		return;
	}
	if (rl->silent_since_us == 0) {
		rl->silent_since_us = rl->last_activity_us;
		rl->silences++;
		log_silence(rl, kEvtAttemptSilent);
	}
	if (rl->opt.is_batch &&
	    now_us - rl->silent_since_us >= kItemSilentMaxUs) {
		relay_fail_attempt(rl, kSlotUnresponsive, "silent");
		return;
	}
	rl->takeover_requested_us = now_us;
	rl->takeover_slot = relay_acquire_slot(rl, true);
	/* The slot of an item may take any time to come. */
	if (rl->opt.is_batch)
		start_stall_timer(
		    rl, rl->silent_since_us + kItemSilentMaxUs - now_us);
}

void
relay_withdraw_takeover(struct relay *rl)
{
	loop_timer_cancel(rl->deps.lp, rl->stall_timer);
	rl->stall_timer = 0;
	if (rl->takeover_slot != 0)
		slots_release(rl->deps.slots, rl->takeover_slot, kSlotNeutral);
	rl->takeover_slot = 0;
}

void
relay_watch_silence(struct relay *rl)
{
	relay_withdraw_takeover(rl);
	if (rl->silent_since_us != 0)
		log_silence(rl, kEvtAttemptResumed);
	rl->silent_since_us = 0;
	if (rl->opt.stall_timeout_us > 0 &&
	    (rl->opt.is_batch || relay_may_retry(rl)))
		start_stall_timer(rl, stall_timeout_us(rl));
}

bool
relay_adopt_takeover(struct relay *rl)
{
	if (rl->takeover_slot == 0)
		return false;
	rl->slot = rl->takeover_slot;
	slots_relax_exclusion(rl->deps.slots, rl->slot);
	rl->slot_requested_us = rl->takeover_requested_us;
	rl->takeover_slot = 0;
	rl->has_adopted_slot = true;
	return true;
}

void
relay_on_takeover_refused(struct relay *rl)
{
	rl->takeover_slot = 0;
	loop_timer_cancel(rl->deps.lp, rl->stall_timer);
	start_stall_timer(rl, kTakeoverRetryUs);
}

void
relay_on_takeover_granted(struct relay *rl, const struct fleet_target *target)
{
	uint64_t slot = rl->takeover_slot;

	/* The silent target may go on, and was sent the request in time. */
	if (target == NULL || !relay_may_send(rl)) {
		slots_release(rl->deps.slots, slot, kSlotNeutral);
		relay_on_takeover_refused(rl);
		return;
	}
	rl->takeover_slot = 0;
	relay_log_attempt(rl, "silent");
	rl->cause = "silent";
	relay_release_target(rl, kSlotUnresponsive);
	metric_add(kMetRetries, 1);
	if (rl->is_answering)
		metric_add(kMetResumes, 1);
	/* An item has no caller who got the head: the next answer may be
	 * another one. */
	if (rl->opt.is_batch)
		rl->is_answering = false;
	rl->slot = slot;
	rl->slot_requested_us = rl->takeover_requested_us;
	relay_send(rl, target);
}

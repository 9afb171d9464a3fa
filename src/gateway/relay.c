/*
 * Forwards one request to targets: acquires a slot, runs the transfer, then
 * starts the next attempt or ends with the final answer. No part of an answer
 * is passed on before its first event or, if it is not a stream, its complete
 * body has arrived.
 */
#include "gateway/relay.h"

#include <string.h>

#include "gateway/relay_internal.h"
#include "log/log.h"
#include "metric/metric.h"
#include "os/text_copy.h"
#include "savoryflow/drain/drain_plan.h"

enum {
	/* Covers connections within a region and to another one. */
	kConnectTimeoutUs = 250 * kUsPerMs,
	/* Limit of attempts that were not executed; these do not count towards
	 * attempts_max. */
	kNotExecutedMax = 3,
	/* Targets that cannot be connected to: each costs little time and is
	 * ejected at once. */
	kUnreachableMax = 8,
	kRetryAfterDefaultUs = 300 * kUsPerMs,
	/* A refusal leaves this long before its caller does. */
	kRefusalMarginUs = 60 * kUsPerMs,
	/* Wait for another slot, after the first attempt. */
	kRetrySlotWaitUs = 600 * kUsPerMs,
	/* A request that may be sent later waits for as long as the answer of a
	 * read that is under way takes. */
	kPermitWaitUs = 250 * kUsPerMs,
	kPermitCheckUs = 20 * kUsPerMs,
};

static void await_attempt(struct relay *rl);

static void
relay_free(struct relay *rl)
{
	g_free(rl->method);
	g_free(rl->uri);
	g_free(rl->attempt_id);
	g_free(rl->service);
	header_list_free(rl->headers);
	header_list_free(rl->answer_headers);
	g_free(rl->team);
	if (rl->body != NULL)
		g_bytes_unref(rl->body);
	event_splitter_clear(&rl->events);
	g_string_free(rl->answer_body, TRUE);
	g_free(rl);
}

/* Tells the arbiter how fast the target is. */
static void
record_run(const struct relay *rl)
{
	struct slot_run_times run = {
	    .first_event_us = rl->first_event_us - rl->sent_us,
	    .events = rl->run_events,
	};

	if (!rl->is_stream || rl->run_events == 0)
		return;
	if (rl->run_events > 1)
		run.pace_us = (rl->last_activity_us - rl->first_event_us) /
		    (rl->run_events - 1);
	slots_record_run(rl->deps.slots, rl->slot, &run);
}

/* Cancels the transfer and releases the slot. */
void
relay_release_target(struct relay *rl, enum slot_outcome outcome)
{
	loop_timer_cancel(rl->deps.lp, rl->stall_timer);
	rl->stall_timer = 0;
	loop_timer_cancel(rl->deps.lp, rl->drop_timer);
	rl->drop_timer = 0;
	rl->silent_since_us = 0;
	if (rl->request != NULL)
		outbound_cancel(rl->request);
	rl->request = NULL;
	if (rl->slot != 0) {
		record_run(rl);
		slots_release(rl->deps.slots, rl->slot, outcome);
	}
	rl->slot = 0;
	rl->run_events = 0;
}

/* Stops the timers and gives everything back. */
static void
end_work(struct relay *rl, bool is_revoked)
{
	/* A target that is silent to the end may be gone. */
	bool is_silent = rl->silent_since_us != 0 && !is_revoked;

	rl->phase = kPhaseDone;
	loop_timer_cancel(rl->deps.lp, rl->deadline_timer);
	rl->deadline_timer = 0;
	loop_timer_cancel(rl->deps.lp, rl->start_timer);
	rl->start_timer = 0;
	loop_timer_cancel(rl->deps.lp, rl->permit_timer);
	rl->permit_timer = 0;
	relay_withdraw_takeover(rl);
	relay_release_target(rl, is_silent ? kSlotUnresponsive : kSlotNeutral);
}

void
relay_finish(
    struct relay *rl, enum relay_outcome outcome, int64_t retry_after_us)
{
	struct relay_result result = {
	    .outcome = outcome,
	    .retry_after_us = retry_after_us,
	    .attempts = rl->attempts,
	    .slot_wait_us = rl->slot_wait_us,
	    .cause = rl->cause,
	    .status = rl->status,
	    .is_draining = rl->is_draining,
	    .is_withheld = rl->is_withheld,
	};

	TEXT_ASSIGN(result.target, rl->target);
	end_work(rl, outcome == kRelayRevoked);
	/* The owner charges an answer as unread from here on; both charges
	 * would count it twice. */
	if (rl->opt.ops->hold_answer != NULL && rl->held_bytes > 0)
		rl->opt.ops->hold_answer(rl->opt.ctx, 0);
	rl->opt.ops->on_end(rl->opt.ctx, &result);
	relay_free(rl);
}

void
relay_cancel(struct relay *rl)
{
	end_work(rl, false);
	relay_release_answer(rl);
	relay_free(rl);
}

/* Batch items are repeated anyway, and nobody is told that they did not run. */
static bool
did_not_run(const struct relay *rl)
{
	return rl->attempts == 0 &&
	    (rl->opt.is_batch || !rl->has_unproven_refusal);
}

/* Ends the request: no target may be tried any more. */
static void
fail_request(struct relay *rl, int64_t retry_after_us)
{
	if (rl->is_answering)
		relay_finish(rl, kRelayInterrupted, 0);
	else if (did_not_run(rl))
		relay_finish(rl, kRelayRefused, retry_after_us);
	else
		relay_finish(rl, kRelayFailed, 0);
}

bool
relay_may_retry(const struct relay *rl)
{
	bool repeats = rl->attempts == 0 || rl->opt.may_repeat;

	/* Without ids, a new run would begin with the first event again. */
	if (rl->is_answering &&
	    !(rl->is_stream && rl->opt.is_resumable && rl->events.last_id >= 0))
		return false;
	return repeats && !rl->is_start_over &&
	    rl->attempts < rl->opt.attempts_max &&
	    rl->not_executed_count <= kNotExecutedMax &&
	    rl->unreachable_count <= kUnreachableMax;
}

void
relay_log_attempt(const struct relay *rl, const char *cause)
{
	log_event(kEvtAttemptEnded, "request", rl->attempt_id, "target",
	    rl->target, "end", cause, "status", log_number(rl->status),
	    "attempts", log_number(rl->attempts), "age_us",
	    log_number(loop_now_us(rl->deps.lp) - rl->started_us), "last_event",
	    log_number(rl->events.last_id), NULL);
}

/* The attempt did not return a usable answer: retries, or ends the request. */
void
relay_fail_attempt(
    struct relay *rl, enum slot_outcome outcome, const char *cause)
{
	relay_log_attempt(rl, cause);
	rl->cause = cause;
	relay_release_target(rl, outcome);
	relay_release_answer(rl);
	if (relay_may_retry(rl)) {
		metric_add(kMetRetries, 1);
		if (rl->is_answering)
			metric_add(kMetResumes, 1);
		await_attempt(rl);
	} else {
		fail_request(rl, kRetryAfterDefaultUs);
	}
}

/* The slot that was granted is given back. */
static void
block_request(struct relay *rl)
{
	rl->cause = "blocked";
	relay_release_target(rl, kSlotNeutral);
	relay_finish(
	    rl, rl->is_answering ? kRelayInterrupted : kRelayBlocked, 0);
}

static bool
may_run(const struct relay *rl)
{
	return rl->opt.ops->may_run == NULL ||
	    rl->opt.ops->may_run(rl->opt.ctx, rl->has_lost_run);
}

bool
relay_may_send(struct relay *rl)
{
	rl->permit = rl->opt.ops->may_send != NULL
	    ? rl->opt.ops->may_send(rl->opt.ctx, &rl->withheld_cause)
	    : kRelayMaySend;
	return rl->permit == kRelayMaySend;
}

static bool
may_send(void *ctx)
{
	return relay_may_send(ctx);
}

static void
on_permit_due(void *ctx)
{
	struct relay *rl = ctx;

	rl->permit_timer = 0;
	if (relay_may_send(rl))
		await_attempt(rl);
	else
		relay_withhold(rl);
}

void
relay_withhold(struct relay *rl)
{
	int64_t now_us = loop_now_us(rl->deps.lp);

	/* Its grant would send the request beside the timer. */
	relay_withdraw_takeover(rl);
	relay_release_target(rl, kSlotNeutral);
	if (rl->permit_until_us == 0)
		rl->permit_until_us = now_us + kPermitWaitUs;
	if (rl->permit == kRelayMaySendLater && now_us < rl->permit_until_us &&
	    !rl->is_start_over) {
		rl->phase = kPhaseAcquiring;
		rl->permit_timer = loop_timer(
		    rl->deps.lp, now_us + kPermitCheckUs, on_permit_due, rl);
		return;
	}
	rl->cause = rl->withheld_cause;
	rl->is_withheld = true;
	fail_request(rl, kRetryAfterDefaultUs);
}

static void
start_run(struct relay *rl, const struct fleet_target *target)
{
	int64_t now_us = loop_now_us(rl->deps.lp);
	struct dialect_forward fwd = {
	    .attempt_id = rl->attempt_id,
	    .target_id = target->id,
	    .remaining_us = rl->opt.caller_deadline_us > 0
		? MAX(rl->opt.caller_deadline_us - now_us, kUsPerMs)
		: 0,
	    .last_event_id = rl->events.last_id,
	    .team = rl->team,
	};
	struct outbound_options opt = {
	    .method = rl->method,
	    .address = target->address,
	    .uri = rl->uri,
	    .headers = rl->headers,
	    .body = rl->body,
	    .connect_timeout_us = kConnectTimeoutUs,
	    .is_sent_once = !rl->opt.may_repeat,
	    .id = rl->attempt_id,
	    .may_send = may_send,
	    .ops = &relay_transfer_ops,
	    .ctx = rl,
	};

	rl->link_us = slots_link_us(rl->deps.slots, target->data_center);
	rl->deps.dialect->encode_forward(rl->headers, &fwd);
	rl->slot_wait_us = now_us - rl->slot_requested_us;
	TEXT_ASSIGN(rl->target, target->id);
	TEXT_ASSIGN(rl->target_address, target->address);
	rl->sent_us = now_us;
	rl->permit_until_us = 0;
	rl->run_events = 0;
	rl->status = 0;
	relay_release_answer(rl);
	rl->lacks_memory = false;
	rl->is_head_too_long = false;
	rl->target_started_ms = target->started_ms;
	rl->attempts++;
	metric_add(kMetAttempts, 1);
	rl->phase = kPhaseRunning;
	rl->verdict = kAnswerForeign;
	rl->is_unsigned = false;
	rl->was_turned_away = false;
	rl->last_activity_us = now_us;
	rl->request = outbound_start(rl->deps.outbound, &opt);
	relay_watch_silence(rl);
}

void
relay_send(struct relay *rl, const struct fleet_target *target)
{
	if (!may_run(rl))
		block_request(rl);
	else if (!relay_may_send(rl))
		relay_withhold(rl);
	else
		start_run(rl, target);
}

/* @return NULL if the target takes no requests: the arbiter's list may be older
 * than this daemon's */
static const struct fleet_target *
find_usable(const struct relay *rl, const char *id)
{
	const struct fleet_target *target = fleet_find(rl->deps.fleet, id);
	bool is_usable = target != NULL && !target->is_draining &&
	    target->expires_at_us == 0;

	return is_usable ? target : NULL;
}

static void
on_granted(void *ctx, uint64_t id, const char *target_id)
{
	struct relay *rl = ctx;
	const struct fleet_target *target = find_usable(rl, target_id);

	if (id == rl->takeover_slot) {
		relay_on_takeover_granted(rl, target);
		return;
	}
	rl->has_adopted_slot = false;
	if (target != NULL) {
		relay_send(rl, target);
		return;
	}
	text_copy_or_none(rl->target, sizeof(rl->target), target_id);
	rl->not_executed_count++;
	relay_fail_attempt(rl, kSlotNeutral, "left_the_list");
}

static void
on_refused(void *ctx, uint64_t id, int64_t retry_after_us)
{
	struct relay *rl = ctx;

	if (id == rl->takeover_slot) {
		relay_on_takeover_refused(rl);
		return;
	}
	rl->slot = 0;
	/* It had been requested for a silent attempt, which ended since. */
	if (rl->has_adopted_slot) {
		rl->has_adopted_slot = false;
		await_attempt(rl);
		return;
	}
	rl->cause = "no_slot";
	fail_request(rl, retry_after_us);
}

static void
on_revoked(void *ctx, uint64_t id)
{
	struct relay *rl = ctx;

	if (rl->phase != kPhaseRunning || id != rl->slot)
		return;
	if (rl->opt.is_batch)
		relay_finish(rl, kRelayRevoked, 0);
	else
		fail_request(rl, 0);
}

static const struct slots_ops slot_ops = {on_granted, on_refused, on_revoked};

uint64_t
relay_acquire_slot(struct relay *rl, bool is_strict)
{
	struct slots_acquire_options slot_opt = {
	    .service = rl->service,
	    .is_batch = rl->opt.is_batch,
	    .deadline_us = rl->opt.deadline_us,
	    .expected_run_us = rl->opt.expected_run_us,
	    .prefix = rl->opt.prefix,
	    .parts = rl->opt.parts,
	    .team = rl->team,
	    .has_teams = rl->opt.strips_credentials,
	    .weight = rl->opt.weight,
	    .priority = rl->opt.priority,
	    .excluded_target = rl->target[0] != '\0' ? rl->target : NULL,
	    .is_exclusion_strict = is_strict,
	};
	int64_t now_us = loop_now_us(rl->deps.lp);

	/* A late answer is better than none: after its first attempt, a request
	 * may get a slot past its slot deadline, as long as the caller waits.
	 */
	if (rl->attempts > 0 && !rl->opt.is_batch)
		slot_opt.deadline_us =
		    MAX(slot_opt.deadline_us, now_us + kRetrySlotWaitUs);
	return slots_acquire(rl->deps.slots, &slot_opt, &slot_ops, rl);
}

/* The next attempt begins with the grant of a slot. */
static void
await_attempt(struct relay *rl)
{
	rl->phase = kPhaseAcquiring;
	if (relay_adopt_takeover(rl))
		return;
	rl->slot_requested_us = loop_now_us(rl->deps.lp);
	/* A call that its only target turns away is refused at once. */
	rl->slot =
	    relay_acquire_slot(rl, rl->was_turned_away && !rl->opt.is_batch);
}

static void
on_deadline(void *ctx)
{
	struct relay *rl = ctx;

	rl->deadline_timer = 0;
	rl->cause = "deadline";
	if (rl->is_answering)
		relay_finish(rl, kRelayInterrupted, 0);
	else if (did_not_run(rl))
		relay_finish(rl, kRelayRefused, kRetryAfterDefaultUs);
	else
		relay_finish(rl, kRelayTimeout, 0);
}

/* A request that still waits for its first slot is refused while its caller is
 * there to read it. */
static void
on_refusal_due(void *ctx)
{
	struct relay *rl = ctx;

	if (rl->phase == kPhaseAcquiring && !rl->is_answering &&
	    did_not_run(rl)) {
		on_deadline(rl);
		return;
	}
	rl->deadline_timer = loop_timer(
	    rl->deps.lp, rl->opt.answer_deadline_us, on_deadline, rl);
}

static void
start_deadline_timer(struct relay *rl)
{
	int64_t left_us = rl->opt.answer_deadline_us - rl->started_us;

	if (rl->opt.answer_deadline_us > 0)
		rl->deadline_timer = loop_timer(rl->deps.lp,
		    rl->opt.answer_deadline_us -
			MIN(kRefusalMarginUs, left_us / 2),
		    on_refusal_due, rl);
}

static void
stop_for_drain(struct relay *rl, const char *cause)
{
	rl->is_draining = true;
	rl->cause = cause;
	fail_request(rl, kDrainRetryUs);
}

static void
on_start_over(void *ctx)
{
	struct relay *rl = ctx;

	rl->start_timer = 0;
	rl->is_start_over = true;
	if (rl->phase == kPhaseAcquiring)
		stop_for_drain(rl, "draining");
	else
		relay_withdraw_takeover(rl);
}

void
relay_limit_start(struct relay *rl, int64_t until_us)
{
	int64_t now_us = loop_now_us(rl->deps.lp);

	if (until_us == INT64_MAX)
		return;
	loop_timer_cancel(rl->deps.lp, rl->start_timer);
	rl->start_timer =
	    loop_timer(rl->deps.lp, MAX(until_us, now_us), on_start_over, rl);
}

void
relay_give_up(struct relay *rl)
{
	stop_for_drain(rl, "drain_timeout");
}

bool
relay_waits_for_slot(const struct relay *rl)
{
	return rl->phase == kPhaseAcquiring;
}

struct relay *
relay_start(const struct relay_deps *deps, const struct relay_options *opt)
{
	struct relay *rl = g_new0(struct relay, 1);

	rl->deps = *deps;
	rl->opt = *opt;
	rl->method = g_strdup(opt->method);
	rl->uri = g_strdup(opt->uri);
	rl->attempt_id = g_strdup(opt->attempt_id);
	rl->service = g_strdup(opt->service);
	rl->team = g_strdup(opt->team);
	rl->body = opt->body != NULL ? g_bytes_ref(opt->body) : NULL;
	rl->headers = header_list_new();
	for (guint i = 0; i < header_list_len(opt->headers); i++) {
		const struct header *h = header_list_at(opt->headers, i);

		if (!header_is_hop_by_hop(h->name))
			header_list_add(rl->headers, h->name, h->value);
	}
	if (opt->strips_credentials)
		deps->dialect->strip_credentials(rl->headers);
	event_splitter_init(&rl->events, opt->last_event_id);
	rl->answer_body = g_string_new(NULL);
	rl->started_us = loop_now_us(deps->lp);
	start_deadline_timer(rl);
	await_attempt(rl);
	return rl;
}

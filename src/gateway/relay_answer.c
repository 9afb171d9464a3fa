/* What a target's answer means for an attempt, and what of it is passed on. */
#include "gateway/relay_internal.h"
#include "http/intake.h"
#include "log/log.h"
#include "metric/metric.h"

enum {
	kHttpOk = 200,
	kHttpServerErrorFirst = 500,
	/* A target that crashes as it begins to answer may send one event. */
	kEventsBegun = 2,
};

/* Judges a response; one that is not this attempt's ends its connection. */
static bool
is_own_answer(struct relay *rl, int32_t status)
{
	bool is_first = outbound_is_first_answer(rl->request);

	rl->verdict = answer_judge(&rl->response, is_first);
	if (rl->verdict != kAnswerOwn)
		log_event(kEvtAnswerCrossed, "request", rl->attempt_id,
		    "received",
		    rl->response.attempt_id != NULL ? rl->response.attempt_id
						    : "",
		    "status", log_number(status), "target", rl->target,
		    "is_first", is_first ? "yes" : "no", NULL);
	return rl->verdict == kAnswerOwn;
}

/* The heads of refusals are not passed on. */
static bool
may_pass_head(const struct relay *rl, const struct header_list *headers)
{
	return rl->response.was_not_executed ||
	    rl->response.is_unconfirmed_refusal ||
	    rl->opt.ops->has_head_room == NULL ||
	    rl->opt.ops->has_head_room(rl->opt.ctx, headers);
}

static bool
on_head(void *ctx, int32_t status, const struct header_list *headers)
{
	struct relay *rl = ctx;
	struct dialect_forward sent = {
	    .attempt_id = rl->attempt_id,
	    .target_id = rl->target,
	};
	bool is_own;

	rl->deps.dialect->decode_response(
	    status, headers, &sent, &rl->response);
	if (rl->response.is_target_leaving)
		rl->deps.on_target_leaving(
		    rl->deps.ctx, rl->target, rl->target_started_ms);
	is_own = is_own_answer(rl, status);
	/* It belongs to the headers. */
	rl->response.attempt_id = NULL;
	if (!is_own)
		return false;
	if (rl->response.was_not_executed && outbound_is_resent(rl->request))
		rl->has_unproven_refusal = true;
	slots_record_rate(rl->deps.slots, rl->slot, rl->target_started_ms,
	    &rl->response.rate, rl->attempt_id);
	/* The head of a stream is passed on before its end. */
	rl->is_unsigned = status == kHttpOk && rl->response.is_event_stream &&
	    !rl->response.is_signed && !rl->response.was_not_executed;
	if (rl->is_unsigned)
		return false;
	rl->status = status;
	rl->is_stream = status == kHttpOk && rl->response.is_event_stream;
	if (rl->is_stream)
		outbound_allow_body(rl->request, kIntakeEventBytesMax);
	/* A resumed stream keeps the head of its first target. */
	if (rl->is_answering)
		return rl->is_stream;
	rl->is_head_too_long = !may_pass_head(rl, headers);
	if (rl->is_head_too_long)
		return false;
	header_list_free(rl->answer_headers);
	rl->answer_headers = header_list_new();
	for (guint i = 0; i < header_list_len(headers); i++) {
		const struct header *h = header_list_at(headers, i);

		if (!header_is_hop_by_hop(h->name))
			header_list_add(rl->answer_headers, h->name, h->value);
	}
	return true;
}

static void
deliver_head(struct relay *rl)
{
	if (rl->is_answering)
		return;
	rl->is_answering = true;
	rl->opt.ops->on_head(rl->opt.ctx, rl->status, rl->answer_headers);
}

static void
record_begun(struct relay *rl)
{
	rl->has_begun = true;
	if (rl->opt.ops->on_begun != NULL)
		rl->opt.ops->on_begun(rl->opt.ctx, rl->sent_us);
}

static bool
on_event(void *ctx, const struct stream_event *ev)
{
	struct relay *rl = ctx;

	/* A comment is no progress; no answer begins with it. */
	if (!ev->has_content) {
		if (rl->is_answering && !rl->opt.is_batch)
			rl->opt.ops->on_data(rl->opt.ctx, ev);
		return true;
	}
	if (rl->opt.stream_bytes_max > 0 &&
	    (rl->stream_bytes += (int64_t)ev->len) > rl->opt.stream_bytes_max)
		return false;
	deliver_head(rl);
	rl->last_activity_us = loop_now_us(rl->deps.lp);
	rl->has_new_event = true;
	metric_add(kMetTokens, 1);
	rl->opt.ops->on_data(rl->opt.ctx, ev);
	if (rl->run_events == 0)
		rl->first_event_us = rl->last_activity_us;
	if (++rl->run_events == kEventsBegun)
		record_begun(rl);
	return true;
}

static bool
on_data(void *ctx, const char *data, size_t len)
{
	struct relay *rl = ctx;

	if (!rl->is_stream) {
		if (!relay_hold_body(rl, len))
			return false;
		g_string_append_len(rl->answer_body, data, (gssize)len);
		return true;
	}
	target_activity_record(
	    rl->deps.activity, rl->target, loop_now_us(rl->deps.lp));
	rl->has_new_event = false;
	if (!event_splitter_feed(&rl->events, data, len, on_event, rl) ||
	    !relay_hold_events(rl))
		return false;
	/* Bytes that complete no event are no progress. */
	if (rl->has_new_event) {
		relay_watch_silence(rl);
		outbound_allow_body(rl->request, kIntakeEventBytesMax);
	}
	return true;
}

static void
deliver_body(struct relay *rl)
{
	struct stream_event body = {
	    rl->answer_body->str, rl->answer_body->len, -1, true};

	deliver_head(rl);
	if (body.len > 0)
		rl->opt.ops->on_data(rl->opt.ctx, &body);
}

static void
handle_refusal(struct relay *rl, const char *cause)
{
	rl->attempts--;
	rl->not_executed_count++;
	rl->was_turned_away = !rl->response.is_misdirected;
	relay_fail_attempt(rl,
	    rl->response.is_misdirected ? kSlotUnreachable : kSlotFull, cause);
}

static void
handle_crossed(struct relay *rl)
{
	metric_add(kMetCrossed, 1);
	if (rl->verdict == kAnswerUnproven && rl->opt.may_repeat) {
		rl->has_unproven_refusal = true;
		handle_refusal(rl, "turned_away_unproven");
		return;
	}
	relay_fail_attempt(rl, kSlotFailed, "crossed");
}

static void
handle_complete(struct relay *rl)
{
	bool is_error = rl->status >= kHttpServerErrorFirst ||
	    rl->response.is_unconfirmed_refusal;

	if (rl->response.was_not_executed) {
		handle_refusal(rl, "turned_away");
		return;
	}
	if (rl->is_stream && event_splitter_has_partial(&rl->events)) {
		relay_fail_attempt(rl, kSlotFailed, "torn");
		return;
	}
	/* A success is accepted only if the target has signed it. */
	if (!is_error && !rl->is_answering && !rl->response.is_signed) {
		relay_fail_attempt(rl, kSlotFailed, "unsigned");
		return;
	}
	/* Items have no caller who would be told that they did not run. */
	if (rl->response.is_unconfirmed_refusal && !rl->opt.is_batch) {
		relay_fail_attempt(rl, kSlotFailed, "unconfirmed_refusal");
		return;
	}
	if (is_error && rl->opt.may_repeat && relay_may_retry(rl)) {
		relay_fail_attempt(rl, kSlotFailed, "failed");
		return;
	}
	if (rl->status == kHttpOk && rl->run_events < kEventsBegun)
		record_begun(rl);
	if (!rl->is_stream)
		deliver_body(rl);
	else
		deliver_head(rl);
	rl->cause = is_error ? "failed" : "whole";
	relay_release_target(rl, is_error ? kSlotFailed : kSlotServed);
	relay_finish(rl, kRelayComplete, 0);
}

/* The answer broke off, or was cut: the request may have run. */
static void
handle_interrupted(struct relay *rl, const char *cause)
{
	struct relay_lost_run run = {
	    rl->target, rl->target_address, rl->target_started_ms, rl->sent_us};

	if (!rl->has_begun) {
		rl->has_lost_run = true;
		if (rl->opt.ops->on_lost_run != NULL &&
		    !rl->opt.ops->on_lost_run(rl->opt.ctx, &run))
			rl->opt.attempts_max = 0;
	}
	relay_fail_attempt(rl, kSlotFailed, cause);
}

/* A callback has refused the answer: it is too long, there is no memory for it,
 * it is another request's, or an event has a fault. */
static void
handle_refused(struct relay *rl)
{
	bool is_full = rl->opt.stream_bytes_max > 0 &&
	    rl->stream_bytes > rl->opt.stream_bytes_max;

	if (rl->lacks_memory)
		relay_fail_attempt(rl, kSlotNeutral, "no_memory");
	else if (rl->is_head_too_long)
		relay_fail_attempt(rl, kSlotNeutral, "head_too_long");
	else if (is_full)
		handle_interrupted(rl, "endless");
	else if (rl->is_unsigned)
		relay_fail_attempt(rl, kSlotFailed, "unsigned");
	else if (rl->events.fault != kEventSound)
		/* The target did not end: no evidence that the request crashes
		 * targets. */
		relay_fail_attempt(
		    rl, kSlotFailed, event_fault_text(rl->events.fault));
	else
		handle_crossed(rl);
}

static void
on_done(void *ctx, enum outbound_outcome outcome)
{
	struct relay *rl = ctx;

	rl->request = NULL;
	switch (outcome) {
	case kOutboundComplete:
		handle_complete(rl);
		break;
	case kOutboundNotSent:
		rl->attempts--;
		rl->unreachable_count++;
		relay_fail_attempt(rl, kSlotUnreachable, "unreachable");
		break;
	case kOutboundWithheld:
		rl->attempts--;
		relay_log_attempt(rl, rl->withheld_cause);
		relay_withhold(rl);
		break;
	case kOutboundInterrupted:
		handle_interrupted(rl, "cut");
		break;
	case kOutboundCut:
		handle_interrupted(rl, "endless");
		break;
	case kOutboundMalformed:
		/* The target did not end: no evidence that the request crashes
		 * targets. */
		relay_fail_attempt(rl, kSlotFailed, "malformed");
		break;
	case kOutboundRefused:
		handle_refused(rl);
		break;
	}
}

const struct outbound_ops relay_transfer_ops = {on_head, on_data, on_done};

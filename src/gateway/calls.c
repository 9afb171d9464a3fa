/* Online requests: relays them to targets and answers the callers. */
#include "gateway/calls.h"

#include <inttypes.h>
#include <string.h>

#include "error/error.h"
#include "gateway/prompt_keys.h"
#include "gateway/reply.h"
#include "log/log.h"
#include "metric/histogram.h"
#include "metric/metric.h"

enum {
	/* Time from the start at a target to the first event at the caller:
	 * prompt processing, first tokens and network. */
	kFirstEventUs = 60 * kUsPerMs,
	/* The stall timeout is half of the latency objective, or of the longest
	 * pause between events, so that another target can still meet it. */
	kStallTimeoutDivisor = 2,
	kStallTimeoutMinUs = 120 * kUsPerMs,
	/* A held request is looked at again so often. */
	kHeldCheckUs = 20 * kUsPerMs,
	/* Latest useful start of a request that was held, from then on. */
	kHeldStartUs = 300 * kUsPerMs,
	kHttpOk = 200,
};

struct calls {
	struct calls_options opt;
	GRand *rand;
	/** Set of struct online_call. */
	GHashTable *open;
	bool is_draining;
	struct drain_plan drain;
};

struct online_call {
	struct calls *cs;
	struct front_request *req;
	struct relay *relay;
	struct loop *lp;
	struct relay_options opt;
	char *service;
	struct calls_caller caller;
	/** Why it was not sent last. */
	enum access_verdict denial;
	struct blame_keys keys;
	struct allowance_ticket ticket;
	/** It runs to find out whether it still crashes targets. */
	bool is_trial;
	/** Until when it may be held, and the timer; 0: it is not held. */
	int64_t hold_until_us;
	uint64_t hold_timer;
	bool was_held;
	char *attempt_id;
	char *route;
	int64_t objective_us;
	int64_t first_us;
	int32_t status;
	struct header_list *headers;
	/** Body of an answer that is not a stream; the relay's. */
	const char *answer;
	size_t answer_len;
	bool is_streaming;
};

struct calls *
calls_new(const struct calls_options *opt)
{
	struct calls *cs = g_new0(struct calls, 1);

	cs->opt = *opt;
	cs->rand = g_rand_new();
	cs->open = g_hash_table_new(NULL, NULL);
	return cs;
}

void
calls_free(struct calls *cs)
{
	g_rand_free(cs->rand);
	g_hash_table_unref(cs->open);
	g_free(cs);
}

static void
call_free(struct online_call *oc)
{
	g_hash_table_remove(oc->cs->open, oc);
	header_list_free(oc->headers);
	g_free(oc->attempt_id);
	g_free(oc->route);
	g_free(oc->service);
	g_free(oc);
}

static int64_t
age_us(const struct online_call *oc)
{
	return loop_now_us(oc->lp) - front_received_us(oc->req);
}

static void
on_head(void *ctx, int32_t status, const struct header_list *headers)
{
	struct online_call *oc = ctx;
	const char *type = header_list_get(headers, "Content-Type");

	oc->status = status;
	oc->first_us = age_us(oc);
	histogram_record(kHistFirstEvent, oc->first_us);
	oc->is_streaming = status == kHttpOk && type != NULL &&
	    g_str_has_prefix(type, "text/event-stream");
	if (oc->is_streaming) {
		front_stream(oc->req, status, headers);
		return;
	}
	for (guint i = 0; i < header_list_len(headers); i++) {
		const struct header *h = header_list_at(headers, i);

		header_list_add(oc->headers, h->name, h->value);
	}
}

static void
on_data(void *ctx, const struct stream_event *ev)
{
	struct online_call *oc = ctx;

	if (oc->is_streaming) {
		front_stream_data(oc->req, ev->text, ev->len);
		return;
	}
	oc->answer = ev->text;
	oc->answer_len = ev->len;
}

static void
log_end(const struct online_call *oc, const struct relay_result *result)
{
	static const char *const outcome_names[] = {"complete", "refused",
	    "failed", "broken", "timeout", "revoked", "blocked"};

	log_event(kEvtCallEnded, "request", oc->attempt_id, "route", oc->route,
	    "end", outcome_names[result->outcome], "cause",
	    result->cause != NULL ? result->cause : "", "status",
	    log_number(result->status), "target", result->target, "attempts",
	    log_number(result->attempts), "age_us", log_number(age_us(oc)),
	    "first_us", log_number(oc->first_us), "slot_wait_us",
	    log_number(result->slot_wait_us), "retry_after_us",
	    log_number(result->retry_after_us), "left_us",
	    log_number(oc->cs->is_draining
		    ? drain_plan_left_us(&oc->cs->drain, loop_now_us(oc->lp))
		    : -1),
	    NULL);
}

static void
reply_draining(struct front_request *req)
{
	reply_error(req, kErrDraining,
	    "this daemon is draining; the request did not run; retry with "
	    "another one",
	    kDrainRetryUs);
}

static void
reply_blocked(struct front_request *req)
{
	reply_error(req, kErrTargetFailed,
	    "the request, or a part of its prompt, crashes targets and is not "
	    "run",
	    0);
}

static void
send_answer(struct online_call *oc, const struct relay_result *result)
{
	switch (result->outcome) {
	case kRelayComplete:
		if (oc->is_streaming)
			front_stream_end(oc->req, true);
		else
			front_reply(oc->req, oc->status, oc->headers,
			    oc->answer, oc->answer_len);
		break;
	case kRelayInterrupted:
		front_stream_end(oc->req, false);
		break;
	case kRelayRefused:
		if (result->is_draining) {
			reply_draining(oc->req);
			break;
		}
		if (result->is_withheld) {
			access_refuse(oc->cs->opt.access, oc->req,
			    oc->attempt_id, oc->denial);
			break;
		}
		reply_error(oc->req, kErrOverloaded,
		    "no target slot became free in time; the request did "
		    "not run",
		    result->retry_after_us);
		break;
	case kRelayBlocked:
		reply_blocked(oc->req);
		break;
	case kRelayFailed:
	case kRelayRevoked:
		reply_error(oc->req, kErrTargetFailed,
		    result->is_draining
			? "this daemon stops before there is an answer; the "
			  "request may have run"
			: "the target failed; the request may have run",
		    0);
		break;
	case kRelayTimeout:
		reply_error(oc->req, kErrDeadline,
		    "no complete answer before the deadline", 0);
		break;
	}
}

static void
on_end(void *ctx, const struct relay_result *result)
{
	struct online_call *oc = ctx;

	oc->relay = NULL;
	log_end(oc, result);
	if (result->outcome == kRelayComplete)
		histogram_record(kHistWholeAnswer, age_us(oc));
	else if (result->outcome == kRelayRefused)
		allowance_give_back(oc->cs->opt.allowance, &oc->ticket);
	front_on_disconnect(oc->req, NULL, NULL);
	send_answer(oc, result);
	call_free(oc);
}

static bool
may_run(void *ctx, bool is_repeat)
{
	struct online_call *oc = ctx;
	uint64_t key;
	enum blame_verdict verdict =
	    crash_guard_check(oc->cs->opt.guard, &oc->keys, false, &key);

	if (verdict == kBlameBlocked && !oc->is_trial)
		return false;
	return verdict == kBlameNone || !is_repeat;
}

static void
on_begun(void *ctx, int64_t sent_us)
{
	struct online_call *oc = ctx;

	crash_guard_on_begun(oc->cs->opt.guard, &oc->keys, sent_us);
}

static bool
on_lost_run(void *ctx, const struct relay_lost_run *run)
{
	struct online_call *oc = ctx;
	struct crash_guard *guard = oc->cs->opt.guard;
	uint64_t key;

	crash_guard_on_lost_run(guard, oc->attempt_id, &oc->keys, run);
	return crash_guard_check(guard, &oc->keys, false, &key) == kBlameNone;
}

static enum relay_permit
may_send(void *ctx, const char **cause)
{
	struct online_call *oc = ctx;

	oc->denial = access_check(oc->cs->opt.access, &oc->caller.access);
	switch (oc->denial) {
	case kAccessAllowed:
		return kRelayMaySend;
	case kAccessUncertain:
		*cause = "stale_proof";
		return kRelayMaySendLater;
	case kAccessStale:
		*cause = "stale_proof";
		break;
	case kAccessRevoked:
		*cause = "key_revoked";
		break;
	}
	return kRelayMustNotSend;
}

static bool
hold_answer(void *ctx, size_t bytes)
{
	struct online_call *oc = ctx;

	return front_hold_answer(oc->req, bytes);
}

static bool
has_head_room(void *ctx, const struct header_list *headers)
{
	struct online_call *oc = ctx;

	return front_has_head_room(oc->req, headers);
}

/* Called only while something is held, so there is a relay. */
static void
on_memory_short(void *data)
{
	struct online_call *oc = data;

	relay_drop_answer(oc->relay);
}

static const struct relay_ops relay_ops = {on_head, on_data, may_run, on_begun,
    on_lost_run, on_end, may_send, hold_answer, has_head_room};

int64_t
calls_answer_deadline_us(const struct front_request *req,
    const struct dialect_call *call, const struct routebook_route *route)
{
	int64_t wait_us = route->timeout_us;

	if (call->wait_us > 0)
		wait_us = MIN(wait_us, call->wait_us);
	return front_received_us(req) + wait_us;
}

static void
on_disconnect(void *data)
{
	struct online_call *oc = data;

	log_event(kEvtCallerLeft, "request", oc->attempt_id, "route", oc->route,
	    "age_us", log_number(age_us(oc)), "first_us",
	    log_number(oc->first_us), NULL);
	loop_timer_cancel(oc->lp, oc->hold_timer);
	if (oc->relay != NULL)
		relay_cancel(oc->relay);
	else
		allowance_give_back(oc->cs->opt.allowance, &oc->ticket);
	call_free(oc);
}

/* Refuses a request that crashes targets. */
static void
refuse_blocked(struct online_call *oc, uint64_t key)
{
	char text[20];

	g_snprintf(text, sizeof(text), "%" PRIx64, key);
	log_event(kEvtCallRefused, "request", oc->attempt_id, "why",
	    "crashes_targets", "key", text, NULL);
	allowance_give_back(oc->cs->opt.allowance, &oc->ticket);
	front_on_disconnect(oc->req, NULL, NULL);
	reply_blocked(oc->req);
	call_free(oc);
}

static int64_t
latest_start_us(const struct online_call *oc)
{
	struct drain_work work = {
	    .deadline_us = oc->opt.answer_deadline_us,
	    .expected_us = oc->objective_us,
	    .may_repeat = oc->opt.may_repeat,
	};

	return oc->cs->is_draining
	    ? drain_plan_latest_start_us(&oc->cs->drain, &work)
	    : INT64_MAX;
}

/* Refuses a request that was held. */
static void
refuse_held(struct online_call *oc)
{
	log_event(kEvtCallRefused, "request", oc->attempt_id, "why", "draining",
	    "left_us",
	    log_number(drain_plan_left_us(&oc->cs->drain, loop_now_us(oc->lp))),
	    NULL);
	loop_timer_cancel(oc->lp, oc->hold_timer);
	allowance_give_back(oc->cs->opt.allowance, &oc->ticket);
	front_on_disconnect(oc->req, NULL, NULL);
	reply_draining(oc->req);
	call_free(oc);
}

/* Starts the request, unless it is to wait or must not run. */
static void
admit(void *ctx)
{
	struct online_call *oc = ctx;
	int64_t now_us = loop_now_us(oc->lp);
	uint64_t key;
	enum blame_verdict verdict =
	    crash_guard_check(oc->cs->opt.guard, &oc->keys, true, &key);

	oc->hold_timer = 0;
	if (verdict == kBlameBlocked) {
		refuse_blocked(oc, key);
		return;
	}
	if (now_us > latest_start_us(oc)) {
		refuse_held(oc);
		return;
	}
	if (verdict == kBlameHeld && now_us < oc->hold_until_us) {
		oc->was_held = true;
		oc->hold_timer =
		    loop_timer(oc->lp, now_us + kHeldCheckUs, admit, oc);
		return;
	}
	oc->is_trial = verdict == kBlameTrial;
	if (oc->was_held)
		oc->opt.deadline_us =
		    MAX(oc->opt.deadline_us, now_us + kHeldStartUs);
	oc->relay = relay_start(&oc->cs->opt.deps, &oc->opt);
	relay_limit_start(oc->relay, latest_start_us(oc));
}

static void
refuse_over_allowance(struct online_call *oc, const struct limit_result *result)
{
	log_event(kEvtCallRefused, "request", oc->attempt_id, "why",
	    "allowance", "team", oc->caller.access.team, "retry_after_us",
	    log_number(result->retry_us), NULL);
	front_on_disconnect(oc->req, NULL, NULL);
	reply_error(oc->req, kErrRateLimited,
	    "the team's allowance is used up; the request did not run",
	    result->retry_us);
	call_free(oc);
}

static void
refuse_starting(struct online_call *oc, int64_t retry_us)
{
	log_event(kEvtCallRefused, "request", oc->attempt_id, "why", "starting",
	    "team", oc->caller.access.team, "retry_after_us",
	    log_number(retry_us), NULL);
	front_on_disconnect(oc->req, NULL, NULL);
	reply_error(oc->req, kErrNotReady,
	    "this daemon has just started; the request did not run", retry_us);
	call_free(oc);
}

static void
on_allowance(void *ctx, const struct limit_result *result)
{
	struct online_call *oc = ctx;

	if (result->outcome == kLimitAdmitted)
		admit(oc);
	else
		refuse_over_allowance(oc, result);
}

/* Requests that a key lets in count towards the allowance of its team. */
static void
request_allowance(struct online_call *oc)
{
	struct allowance_result result = {.limit.outcome = kLimitAdmitted};

	if (oc->caller.access.has_key)
		result = allowance_request(oc->cs->opt.allowance,
		    oc->caller.access.team, &oc->ticket, on_allowance, oc);
	if (result.is_starting)
		refuse_starting(oc, result.limit.retry_us);
	else if (result.limit.outcome != kLimitPending)
		on_allowance(oc, &result.limit);
}

void
calls_begin_drain(struct calls *cs, const struct drain_plan *plan)
{
	GHashTableIter it;
	void *key;

	cs->is_draining = true;
	cs->drain = *plan;
	g_hash_table_iter_init(&it, cs->open);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		struct online_call *oc = key;

		if (oc->relay != NULL)
			relay_limit_start(oc->relay, latest_start_us(oc));
	}
}

void
calls_give_up(struct calls *cs)
{
	GList *all = g_hash_table_get_keys(cs->open);

	for (GList *it = all; it != NULL; it = it->next) {
		struct online_call *oc = it->data;

		if (oc->relay != NULL)
			relay_give_up(oc->relay);
		else
			refuse_held(oc);
	}
	g_list_free(all);
}

static struct online_call *
call_new(struct calls *cs, struct front_request *req,
    const struct dialect_call *call, const struct routebook_route *route)
{
	struct online_call *oc = g_new0(struct online_call, 1);

	oc->cs = cs;
	oc->req = req;
	oc->lp = cs->opt.deps.lp;
	oc->headers = header_list_new();
	oc->answer = "";
	oc->objective_us = route->objective_us;
	oc->hold_until_us = loop_now_us(oc->lp) + kBlameHoldUs;
	oc->attempt_id = g_strdup(call->attempt_id);
	oc->route = g_strdup(route->name != NULL ? route->name : "");
	oc->service =
	    g_strdup(routebook_pick_service(route, g_rand_int(cs->rand)));
	crash_guard_keys(
	    front_uri(req), front_body(req), &call->parts, false, &oc->keys);
	return oc;
}

void
calls_serve(struct calls *cs, struct front_request *req,
    const struct dialect_call *call, const struct routebook_route *route,
    const struct calls_caller *caller)
{
	struct online_call *oc = call_new(cs, req, call, route);
	int64_t received_us = front_received_us(req);

	oc->caller = *caller;
	oc->opt = (struct relay_options){
	    .method = front_method(req),
	    .uri = front_uri(req),
	    .headers = front_headers(req),
	    .body = front_body(req),
	    .attempt_id = oc->attempt_id,
	    .service = oc->service,
	    .deadline_us = received_us +
		MAX(route->objective_us - kFirstEventUs, kFirstEventUs),
	    .answer_deadline_us = calls_answer_deadline_us(req, call, route),
	    .caller_deadline_us =
		call->wait_us > 0 ? received_us + call->wait_us : 0,
	    .attempts_max = route->attempts_max,
	    .may_repeat = routebook_is_repeatable(route),
	    .is_resumable = route->is_resumable,
	    .last_event_id = call->last_event_id,
	    .prefix = call->prefix,
	    .parts = prompt_keys(&call->parts),
	    .team = oc->caller.access.team,
	    .weight = caller->claim.weight,
	    .priority = caller->claim.priority,
	    .strips_credentials = caller->has_teams,
	    .stall_timeout_us = MAX(
		route->objective_us / kStallTimeoutDivisor, kStallTimeoutMinUs),
	    .pause_timeout_us = route->event_gap_max_us / kStallTimeoutDivisor,
	    .ops = &relay_ops,
	    .ctx = oc,
	};
	g_hash_table_add(cs->open, oc);
	front_on_disconnect(req, on_disconnect, oc);
	front_on_memory_short(req, on_memory_short, oc);
	request_allowance(oc);
}

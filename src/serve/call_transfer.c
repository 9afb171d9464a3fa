/*
 * The transfer of one attempt: request, answer, how it ended, and the probe of
 * a target that lost the connection.
 */
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "log/log.h"
#include "metric/metric.h"
#include "os/json_text.h"
#include "os/text_copy.h"
#include "serve/answer_room.h"
#include "serve/call_internal.h"
#include "serve/grants.h"

enum {
	kTokensBegun = 2,
	kHttpErrorFirst = 400,
	kHttpServerErrorFirst = 500,
	kHttpUnavailable = 503,
	kBufferMinBytes = 1024,
};

/*
 * @return request body with the tokens received so far, for the engine to
 * resume from
 */
static GBytes *
engine_body(const struct call *c)
{
	gsize len;
	const char *data = g_bytes_get_data(c->body, &len);
	json_t *doc;
	char *text;

	if (c->stream.next_index == 0)
		return g_bytes_ref(c->body);
	doc = json_text_load_bytes(data, len);
	json_object_set_new(doc, "resume",
	    json_pack("{s:I,s:s}", "index", (json_int_t)c->stream.next_index,
		"text", c->stream.text->str));
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	return g_bytes_new_with_free_func(text, strlen(text), free, text);
}

GBytes *
call_transfer_prepare(struct call *c)
{
	char text[32];

	c->phase = kPhaseRunning;
	c->is_revoked = false;
	c->is_first_token_reported = false;
	c->sent_us = clock_mono_us(c->d->clk);
	c->has_begun = false;
	c->attempt_first_index = c->stream.next_index;
	snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x", c->attempt);
	answer_stream_start_attempt(&c->stream, text);
	return c->is_engine ? engine_body(c) : g_bytes_ref(c->body);
}

static void
on_token(void *ctx, const char *content)
{
	struct call *c = ctx;

	metric_add(kMetTokens, 1);
	if (!c->is_streamed)
		return;
	g_byte_array_append(
	    c->out, (const guint8 *)content, (guint)strlen(content) + 1);
}

/* Bytes that complete no token are no progress. */
static enum target_data
feed_engine_data(struct call *c, const char *data, size_t len)
{
	int64_t before = c->stream.next_index;

	switch (answer_stream_feed(&c->stream, data, len, on_token, c)) {
	case kStreamOpen:
		return c->stream.next_index > before ? kTargetDataEvent
						     : kTargetDataIdle;
	case kStreamComplete:
		return kTargetDataEvent;
	default:
		return kTargetDataRefused;
	}
}

/* Size of one of GLib's buffers, which grow in powers of two, that holds so
 * many bytes. */
static int64_t
buffer_size(size_t len)
{
	int64_t size = kBufferMinBytes;

	while (size < (int64_t)len)
		size *= 2;
	return size;
}

bool
call_hold_answer(struct call *c, size_t more)
{
	size_t text = c->stream.text->len + c->stream.line->len;
	int64_t bytes = c->is_engine
	    ? buffer_size(c->out->len) + buffer_size(text + more)
	    : buffer_size(c->out->len + more);

	if (answer_room_set(c->d->answers, &c->held_bytes, bytes))
		return true;
	log_event(kEvtAnswerCut, "limit", "memory", "target", c->route.target,
	    "body_bytes", log_number(c->held_bytes), (char *)NULL);
	return false;
}

/* An engine's body with an error status is not part of the answer. */
static enum target_data
append_data(struct call *c, long status, const char *data, size_t len)
{
	if (!c->is_engine)
		g_byte_array_append(c->out, (const guint8 *)data, (guint)len);
	else if (status < kHttpErrorFirst)
		return feed_engine_data(c, data, len);
	return kTargetDataPart;
}

/* An engine that crashes as it begins to answer may send one token. */
static bool
begins_answer(struct call *c)
{
	if (!c->is_engine || c->has_begun ||
	    (c->stream.status != kStreamComplete &&
		c->stream.next_index < c->attempt_first_index + kTokensBegun))
		return false;
	c->has_begun = true;
	return true;
}

static enum target_data
on_data(void *ctx, uint64_t attempt, long status, const char *data, size_t len)
{
	struct call *c = ctx;
	enum target_data res = kTargetDataRefused;
	bool is_first_data = false;
	bool begins = false;
	uint64_t withdrawn = 0;

	pthread_mutex_lock(&c->lock);
	if (call_is_current(c, attempt, kPhaseRunning)) {
		if (call_hold_answer(c, len))
			res = append_data(c, status, data, len);
		is_first_data = !c->is_first_token_reported;
		c->is_first_token_reported = true;
		begins = begins_answer(c);
		if (res == kTargetDataPart || res == kTargetDataEvent)
			withdrawn = call_takeover_withdraw(c);
	}
	pthread_mutex_unlock(&c->lock);
	if (withdrawn != 0)
		grants_release(c->d->grants, withdrawn);
	if (is_first_data)
		grants_first_token(c->d->grants, attempt);
	if (begins)
		crash_watch_record_begun(c->d->crashes, &c->keys, c->sent_us);
	if (res != kTargetDataRefused && c->is_engine)
		c->notify(c->ctx);
	return res;
}

/* Maps the end of a transfer to the attempt's outcome. The lock is held. */
static enum attempt_outcome
classify_transfer(const struct call *c, const struct transfer_result *res)
{
	if (c->is_revoked)
		return kAttemptRevoked;
	if (res->is_foreign ||
	    (c->is_engine && c->stream.status == kStreamIdMismatch))
		return kAttemptIdMismatch;
	if (c->is_engine && c->stream.status == kStreamComplete)
		return kAttemptComplete;
	switch (res->end) {
	case kTransferNotSent:
		return kAttemptNotSent;
	case kTransferStalled:
		return kAttemptStalled;
	case kTransferInterrupted:
	case kTransferCancelled:
		return kAttemptInterrupted;
	case kTransferComplete:
		break;
	}
	if (res->is_not_executed &&
	    (c->is_engine || res->status == kHttpUnavailable))
		return kAttemptNotExecuted;
	if (res->status >= kHttpServerErrorFirst)
		return kAttemptFailed;
	/* A plain service's 4xx is its answer; an engine's is a rejection. */
	if (res->status >= kHttpErrorFirst)
		return c->is_engine ? kAttemptRejected : kAttemptComplete;
	return c->is_engine ? kAttemptInterrupted : kAttemptComplete;
}

void
call_log_failed_attempt(const char *target, enum attempt_outcome outcome)
{
	static const char *const names[] = {"whole", "not_sent", "turned_away",
	    "cut", "stalled", "crossed", "failed", "rejected", "revoked",
	    "abandoned"};

	if (outcome == kAttemptComplete || outcome == kAttemptRevoked)
		return;
	log_event(outcome == kAttemptIdMismatch ? kEvtAnswerCrossed
						: kEvtAttemptFailed,
	    "target", target, "end", names[outcome], NULL);
	if (outcome == kAttemptIdMismatch)
		metric_add(kMetCrossed, 1);
}

void
call_discard_partial_answer(struct call *c)
{
	if (c->is_engine)
		return;
	g_byte_array_unref(c->out);
	c->out = g_byte_array_new();
	call_hold_answer(c, 0);
}

static enum route_outcome
route_outcome(enum attempt_outcome outcome)
{
	if (outcome == kAttemptNotSent)
		return kRouteUnreachable;
	return outcome == kAttemptComplete ? kRouteComplete : kRouteFailed;
}

static void start_probe(struct call *c);

/* A plain service's 429 is its answer: it may concern the caller alone. */
static int64_t
pause_us(const struct call *c, const struct transfer_result *res)
{
	return c->is_engine ? res->pause_us : 0;
}

static void
on_done(void *ctx, uint64_t attempt, const struct transfer_result *res)
{
	struct call *c = ctx;
	enum attempt_outcome outcome;
	uint64_t withdrawn;
	bool is_leaving;

	pthread_mutex_lock(&c->lock);
	if (!call_is_current(c, attempt, kPhaseRunning)) {
		pthread_mutex_unlock(&c->lock);
		grants_release(c->d->grants, attempt);
		return;
	}
	withdrawn = call_takeover_withdraw(c);
	outcome = classify_transfer(c, res);
	c->attempt_status = res->status;
	if (res->is_resent ||
	    (outcome != kAttemptNotSent && outcome != kAttemptNotExecuted))
		c->retry.may_have_run = true;
	if (outcome == kAttemptComplete) {
		c->status = res->status;
		TEXT_ASSIGN(c->content_type, res->content_type);
	} else {
		call_discard_partial_answer(c);
	}
	if (outcome == kAttemptInterrupted)
		c->phase = kPhaseProbing;
	/* One that asks for a pause goes on afterwards. */
	is_leaving = outcome == kAttemptNotExecuted && pause_us(c, res) == 0;
	pthread_mutex_unlock(&c->lock);
	if (withdrawn != 0)
		grants_release(c->d->grants, withdrawn);
	call_log_failed_attempt(c->route.target, outcome);
	if (outcome == kAttemptInterrupted) {
		start_probe(c);
		return;
	}
	if (outcome != kAttemptRevoked && outcome != kAttemptRejected)
		routes_record_outcome(
		    c->d->routes, c->route.target, route_outcome(outcome));
	if (is_leaving)
		routes_set_leaving(c->d->routes, c->route.target, true, true);
	grants_release(c->d->grants, attempt);
	call_attempt_end(c, outcome);
}

static void
on_head(void *ctx, uint64_t attempt, const struct transfer_result *res)
{
	const struct call *c = ctx;

	grants_record_rate(c->d->grants, attempt, &res->rate, pause_us(c, res));
}

static const struct target_ops transfer_ops = {on_data, on_done, call_ref_ctx,
    call_unref_ctx, call_takeover_on_silent, on_head};

static enum target_data
probe_on_data(
    void *ctx, uint64_t attempt, long status, const char *data, size_t len)
{
	return kTargetDataIdle;
}

/* A target that refuses connections after an interrupted stream has crashed. */
static void
probe_on_done(void *ctx, uint64_t attempt, const struct transfer_result *res)
{
	struct call *c = ctx;
	/* A terminating process may still accept a connection and close it. */
	bool has_crashed = res->end == kTransferNotSent ||
	    (res->end == kTransferInterrupted && !res->has_answered);
	uint64_t interrupted_attempt;
	bool is_lost;

	pthread_mutex_lock(&c->lock);
	if (c->phase != kPhaseProbing) {
		pthread_mutex_unlock(&c->lock);
		return;
	}
	interrupted_attempt = c->attempt;
	is_lost = has_crashed && c->is_engine && !c->has_begun;
	if (has_crashed)
		c->phase = kPhaseAwaitingVerdict;
	pthread_mutex_unlock(&c->lock);
	routes_record_outcome(c->d->routes, c->route.target,
	    has_crashed ? kRouteUnreachable : kRouteFailed);
	if (is_lost)
		crash_watch_record_run(c->d->crashes, &c->keys, c->route.target,
		    c->sent_us, clock_mono_us(c->d->clk));
	if (has_crashed) {
		grants_report_crash(c->d->grants, interrupted_attempt);
		return;
	}
	grants_release(c->d->grants, interrupted_attempt);
	call_attempt_end(c, kAttemptInterrupted);
}

static const struct target_ops probe_ops = {
    probe_on_data, probe_on_done, call_ref_ctx, call_unref_ctx};

static void
start_probe(struct call *c)
{
	char *url = g_strconcat(c->route.url, "/load", NULL);
	struct transfer_options opt = {
	    .attempt = daemon_unique_id(c->d),
	    .method = "GET",
	    .url = url,
	    .stall_timeout_us = c->d->set->stall_timeout_ms * kUsPerMs,
	    /* An open connection says nothing about new ones. */
	    .is_sent_once = true,
	    .ops = &probe_ops,
	    .ctx = c,
	};

	target_client_start(c->d->targets, &opt);
	g_free(url);
}

void
call_transfer_start(struct call *c, uint64_t attempt, GBytes *body)
{
	char *url = g_strconcat(c->route.url,
	    c->is_engine ? "/v1/chat/completions" : c->path, NULL);
	const char *const headers[] = {c->work_class == kWorkBatch
		? "Savoryflow-Class: batch"
		: "Savoryflow-Class: online",
	    NULL};
	struct transfer_options opt = {
	    .attempt = attempt,
	    .method = c->method,
	    .url = url,
	    .body = body,
	    .stall_timeout_us = c->d->set->stall_timeout_ms * kUsPerMs,
	    .is_sent_once = !c->retry.is_idempotent,
	    .headers = headers,
	    .ops = &transfer_ops,
	    .ctx = c,
	};

	metric_add(kMetAttempts, 1);
	target_client_start(c->d->targets, &opt);
	g_free(url);
}

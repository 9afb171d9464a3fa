/*
 * Runs one request through its attempts: target selection, grant, transfer,
 * then retry, resume or the final answer. Events of an attempt other than the
 * current one are ignored.
 */
#include "serve/call_run.h"

#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "error/error.h"
#include "log/log.h"
#include "metric/metric.h"
#include "savoryflow/call/stream.h"
#include "savoryflow/retry/batch_retry.h"
#include "savoryflow/retry/quarantine.h"
#include "savoryflow/retry/retry.h"
#include "serve/grants.h"
#include "serve/limiter.h"
#include "serve/routes.h"
#include "serve/timers.h"

enum {
	kFailuresMaxOnline = 3,
	/* Approximate body bytes per token. */
	kBytesPerToken = 4,
	/* Leading bytes of a body that a prefix cache is likely to hold. */
	kPrefixBytes = 256,
	kNoTargetRetryUs = kUsPerS,
	kHttpErrorFirst = 400,
	kHttpServerErrorFirst = 500,
};

enum call_phase {
	kPhaseIdle,
	kPhaseAcquiring,
	kPhaseRunning,
	/** The connection was lost; probes whether the target still accepts
	 * connections. */
	kPhaseProbing,
	/** The target crashed; waits for the arbiter's verdict. */
	kPhaseAwaitingVerdict,
	kPhaseBackoff,
	kPhaseDone,
};

struct call {
	gint refs;
	struct daemon *d;
	pthread_mutex_t lock;
	enum work_class work_class;
	bool is_engine;
	/** Tokens are kept for call_next_token. */
	bool is_streamed;
	char *service;
	char *team;
	int32_t weight;
	int64_t due_us;
	char *method;
	char *path;
	GBytes *body;
	uint64_t prefix_hash;
	uint64_t fingerprint;
	int32_t prompt_tokens;
	void (*notify)(void *ctx);
	void (*release)(void *ctx);
	void *ctx;

	enum call_phase phase;
	uint64_t attempt;
	struct route route;
	char last_target[kMemberAddressMax];
	bool is_suspect;
	bool is_revoked;
	bool is_first_token_reported;
	/** Index of the first token that the current attempt may return. */
	int64_t attempt_first_index;
	struct retry_state retry;
	/** Batch: what its attempts returned so far. */
	struct item_retry item_retry;
	/** HTTP status of the current attempt's answer; 0 without one. */
	long attempt_status;
	struct answer_stream stream;
	GByteArray *out;
	long status;
	char content_type[64];
	int error;
	int64_t retry_after_us;
	/** Timer of the deadline, 0 if there is none. */
	uint64_t deadline_timer;
};

static void attempt_begin(void *ctx);

int32_t
call_prompt_tokens(size_t body_len)
{
	return (int32_t)(body_len / kBytesPerToken) + 1;
}

struct call *
call_new(struct daemon *d, const struct call_options *opt)
{
	struct call *c = g_new0(struct call, 1);
	gsize len;
	const char *data = g_bytes_get_data(opt->body, &len);

	c->refs = 1;
	c->d = d;
	pthread_mutex_init(&c->lock, NULL);
	c->work_class = opt->work_class;
	c->is_engine = opt->is_engine;
	c->is_streamed = opt->is_streamed;
	c->service = g_strdup(opt->service);
	c->team = g_strdup(opt->team);
	c->weight = opt->weight;
	c->due_us = opt->due_us;
	c->method = g_strdup(opt->method != NULL ? opt->method : "POST");
	c->path = g_strdup(opt->path != NULL ? opt->path : "");
	c->body = g_bytes_ref(opt->body);
	c->prefix_hash = XXH3_64bits(data, MIN(len, kPrefixBytes));
	c->fingerprint = quarantine_fingerprint(opt->service, data, len);
	c->prompt_tokens = call_prompt_tokens(len);
	c->notify = opt->notify;
	c->release = opt->release;
	c->ctx = opt->ctx;
	c->retry.is_idempotent = opt->is_idempotent;
	c->retry.is_resumable = opt->is_engine;
	c->retry.deadline_us = opt->deadline_us;
	c->retry.failures_max = kFailuresMaxOnline;
	c->item_retry.seed = (uint32_t)c->fingerprint;
	c->error = -1;
	c->out = g_byte_array_new();
	answer_stream_init(&c->stream);
	metric_add(kMetActiveCalls, 1);
	return c;
}

struct call *
call_ref(struct call *c)
{
	g_atomic_int_inc(&c->refs);
	return c;
}

void
call_unref(struct call *c)
{
	if (!g_atomic_int_dec_and_test(&c->refs))
		return;
	metric_add(kMetActiveCalls, -1);
	c->release(c->ctx);
	answer_stream_clear(&c->stream);
	g_byte_array_unref(c->out);
	g_bytes_unref(c->body);
	g_free(c->service);
	g_free(c->team);
	g_free(c->method);
	g_free(c->path);
	pthread_mutex_destroy(&c->lock);
	g_free(c);
}

static void
ref_ctx(void *ctx)
{
	call_ref(ctx);
}

static void
unref_ctx(void *ctx)
{
	call_unref(ctx);
}

static bool
is_current(const struct call *c, uint64_t attempt, enum call_phase phase)
{
	return c->attempt == attempt && c->phase == phase;
}

/* Ends the call. The lock is held. */
static void
finish_locked(struct call *c, int error, int64_t retry_after_us)
{
	if (c->phase == kPhaseRunning)
		c->retry.may_have_run = true;
	c->phase = kPhaseDone;
	c->error = error;
	c->retry_after_us = retry_after_us;
}

static void
finish(struct call *c, int error, int64_t retry_after_us)
{
	bool was_done;

	pthread_mutex_lock(&c->lock);
	was_done = c->phase == kPhaseDone;
	if (!was_done)
		finish_locked(c, error, retry_after_us);
	pthread_mutex_unlock(&c->lock);
	if (!was_done)
		c->notify(c->ctx);
}

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

static void
end_attempt(struct call *c, enum attempt_outcome outcome)
{
	struct retry_decision decision;
	int64_t now_us = clock_mono_us(c->d->clk);

	pthread_mutex_lock(&c->lock);
	if (c->phase == kPhaseDone) {
		pthread_mutex_unlock(&c->lock);
		return;
	}
	g_strlcpy(c->last_target,
	    outcome == kAttemptRevoked ? "" : c->route.target,
	    sizeof(c->last_target));
	c->phase = kPhaseBackoff;
	decision = c->work_class == kWorkBatch
	    ? decide_batch(c, outcome, now_us)
	    : decide_online(c, outcome, now_us);
	pthread_mutex_unlock(&c->lock);
	switch (decision.action) {
	case kRetryDone:
		finish(c, -1, 0);
		break;
	case kRetryFail:
		finish(c, decision.code, kNoTargetRetryUs);
		break;
	case kRetryAgain:
		metric_add(kMetRetries, 1);
		if (c->is_engine && c->stream.next_index > 0)
			metric_add(kMetResumes, 1);
		call_ref(c);
		timers_add(
		    c->d->timers, now_us + decision.delay_us, attempt_begin, c);
		break;
	}
}

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
	doc = json_loadb(data, len, 0, NULL);
	json_object_set_new(doc, "resume",
	    json_pack("{s:I,s:s}", "index", (json_int_t)c->stream.next_index,
		"text", c->stream.text->str));
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	return g_bytes_new_with_free_func(text, strlen(text), free, text);
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

static enum target_data
on_data(void *ctx, uint64_t attempt, long status, const char *data, size_t len)
{
	struct call *c = ctx;
	enum target_data res = kTargetDataRefused;
	bool is_first_data = false;

	pthread_mutex_lock(&c->lock);
	if (is_current(c, attempt, kPhaseRunning)) {
		res = append_data(c, status, data, len);
		is_first_data = !c->is_first_token_reported;
		c->is_first_token_reported = true;
	}
	pthread_mutex_unlock(&c->lock);
	if (is_first_data)
		grants_first_token(c->d->grants, attempt);
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
	if (res->is_not_executed)
		return kAttemptNotExecuted;
	if (res->status >= kHttpServerErrorFirst)
		return kAttemptFailed;
	/* A plain service's 4xx is its answer; an engine's is a rejection. */
	if (res->status >= kHttpErrorFirst)
		return c->is_engine ? kAttemptRejected : kAttemptComplete;
	return c->is_engine ? kAttemptInterrupted : kAttemptComplete;
}

static void
log_failed_attempt(const struct call *c, enum attempt_outcome outcome)
{
	static const char *const names[] = {"whole", "not_sent", "turned_away",
	    "cut", "stalled", "crossed", "failed", "rejected", "revoked",
	    "abandoned"};

	if (outcome == kAttemptComplete || outcome == kAttemptRevoked)
		return;
	log_event(outcome == kAttemptIdMismatch ? kEvtAnswerCrossed
						: kEvtAttemptFailed,
	    "target", c->route.target, "end", names[outcome], NULL);
	if (outcome == kAttemptIdMismatch)
		metric_add(kMetCrossed, 1);
}

/* A partial answer of a plain service must not be returned. */
static void
discard_partial_answer(struct call *c)
{
	if (!c->is_engine)
		g_byte_array_set_size(c->out, 0);
}

static enum route_outcome
route_outcome(enum attempt_outcome outcome)
{
	if (outcome == kAttemptNotSent)
		return kRouteUnreachable;
	return outcome == kAttemptComplete ? kRouteComplete : kRouteFailed;
}

static void start_probe(struct call *c);

static void
on_done(void *ctx, uint64_t attempt, const struct transfer_result *res)
{
	struct call *c = ctx;
	enum attempt_outcome outcome;
	bool is_leaving;

	pthread_mutex_lock(&c->lock);
	if (!is_current(c, attempt, kPhaseRunning)) {
		pthread_mutex_unlock(&c->lock);
		grants_release(c->d->grants, attempt);
		return;
	}
	outcome = classify_transfer(c, res);
	c->attempt_status = res->status;
	if (outcome != kAttemptNotSent && outcome != kAttemptNotExecuted)
		c->retry.may_have_run = true;
	if (outcome == kAttemptComplete) {
		c->status = res->status;
		g_strlcpy(c->content_type, res->content_type,
		    sizeof(c->content_type));
	} else {
		discard_partial_answer(c);
	}
	if (outcome == kAttemptInterrupted)
		c->phase = kPhaseProbing;
	is_leaving = outcome == kAttemptNotExecuted;
	pthread_mutex_unlock(&c->lock);
	log_failed_attempt(c, outcome);
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
	end_attempt(c, outcome);
}

static const struct target_ops transfer_ops = {
    on_data, on_done, ref_ctx, unref_ctx};

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
	bool has_crashed =
	    res->end == kTransferNotSent || res->end == kTransferInterrupted;
	uint64_t interrupted_attempt;

	pthread_mutex_lock(&c->lock);
	if (c->phase != kPhaseProbing) {
		pthread_mutex_unlock(&c->lock);
		return;
	}
	interrupted_attempt = c->attempt;
	if (has_crashed)
		c->phase = kPhaseAwaitingVerdict;
	pthread_mutex_unlock(&c->lock);
	routes_record_outcome(c->d->routes, c->route.target,
	    has_crashed ? kRouteUnreachable : kRouteFailed);
	if (has_crashed) {
		grants_report_crash(c->d->grants, interrupted_attempt);
		return;
	}
	grants_release(c->d->grants, interrupted_attempt);
	end_attempt(c, kAttemptInterrupted);
}

static const struct target_ops probe_ops = {
    probe_on_data, probe_on_done, ref_ctx, unref_ctx};

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

static void
start_transfer(struct call *c, uint64_t attempt, GBytes *body)
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

static void
on_granted(void *ctx, uint64_t id)
{
	struct call *c = ctx;
	char text[32];
	GBytes *body = NULL;

	pthread_mutex_lock(&c->lock);
	if (is_current(c, id, kPhaseAcquiring)) {
		c->phase = kPhaseRunning;
		c->is_revoked = false;
		c->is_first_token_reported = false;
		c->attempt_first_index = c->stream.next_index;
		snprintf(text, sizeof(text), "%016" G_GINT64_MODIFIER "x", id);
		answer_stream_start_attempt(&c->stream, text);
		body = c->is_engine ? engine_body(c) : g_bytes_ref(c->body);
	}
	pthread_mutex_unlock(&c->lock);
	if (body == NULL) {
		grants_release(c->d->grants, id);
		return;
	}
	start_transfer(c, id, body);
	g_bytes_unref(body);
}

static void
on_refused(void *ctx, uint64_t id, int64_t retry_after_us)
{
	struct call *c = ctx;
	bool current;

	pthread_mutex_lock(&c->lock);
	current = is_current(c, id, kPhaseAcquiring);
	if (current && c->work_class == kWorkBatch)
		c->phase = kPhaseBackoff;
	pthread_mutex_unlock(&c->lock);
	if (!current)
		return;
	if (c->work_class == kWorkOnline) {
		finish(c, kErrOverloaded, retry_after_us);
		return;
	}
	call_ref(c);
	timers_add(c->d->timers, clock_mono_us(c->d->clk) + retry_after_us,
	    attempt_begin, c);
}

static void
on_leaving(void *ctx, uint64_t id)
{
	struct call *c = ctx;
	bool current;

	pthread_mutex_lock(&c->lock);
	current = is_current(c, id, kPhaseAcquiring);
	pthread_mutex_unlock(&c->lock);
	if (!current)
		return;
	routes_set_leaving(c->d->routes, c->route.target, true, false);
	end_attempt(c, kAttemptNotExecuted);
}

static void
on_revoked(void *ctx, uint64_t id)
{
	struct call *c = ctx;
	bool current;

	pthread_mutex_lock(&c->lock);
	current = is_current(c, id, kPhaseRunning);
	if (current)
		c->is_revoked = true;
	pthread_mutex_unlock(&c->lock);
	if (current)
		target_client_cancel(c->d->targets, id);
}

static void
on_crash_verdict(void *ctx, uint64_t id, enum arbiter_crash_verdict verdict)
{
	struct call *c = ctx;
	bool current;

	pthread_mutex_lock(&c->lock);
	current = is_current(c, id, kPhaseAwaitingVerdict);
	if (current && verdict == kCrashSuspect)
		c->is_suspect = true;
	pthread_mutex_unlock(&c->lock);
	if (!current)
		return;
	if (verdict == kCrashQuarantined) {
		limiter_quarantine(c->d->limiter, c->fingerprint, true);
		finish(c, kErrRequestCondemned, 0);
		return;
	}
	end_attempt(c, kAttemptInterrupted);
}

static const struct grant_ops grant_ops = {on_granted, on_refused, on_leaving,
    on_revoked, on_crash_verdict, ref_ctx, unref_ctx};

static void
fill_admission_request(const struct call *c, struct admission_request *req)
{
	*req = (struct admission_request){
	    .id = c->attempt,
	    .work_class = c->work_class,
	    .prompt_tokens = c->prompt_tokens + (int32_t)c->stream.next_index,
	    .deadline_us = c->retry.deadline_us,
	    .team = XXH3_64bits(c->team, strlen(c->team)),
	    .weight = c->weight,
	    .due_us = c->due_us,
	    .is_suspect = c->is_suspect,
	};
}

/* Starts the next attempt; consumes one reference. */
static void
attempt_begin(void *ctx)
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
		finish(c, kErrRequestCondemned, 0);
		call_unref(c);
		return;
	}
	found = routes_choose(c->d->routes, &query, &route);
	pthread_mutex_lock(&c->lock);
	if (found && c->phase != kPhaseDone) {
		c->phase = kPhaseAcquiring;
		c->attempt = daemon_unique_id(c->d);
		c->route = route;
		fill_admission_request(c, &req);
	}
	found = found && c->phase != kPhaseDone;
	pthread_mutex_unlock(&c->lock);
	if (found)
		grants_acquire(c->d->grants, &req, &route, &grant_ops, c);
	else
		end_attempt(c, kAttemptNotSent);
	call_unref(c);
}

static void
on_deadline(void *ctx)
{
	struct call *c = ctx;
	uint64_t attempt;
	enum call_phase phase;

	pthread_mutex_lock(&c->lock);
	phase = c->phase;
	attempt = c->attempt;
	if (phase != kPhaseDone)
		finish_locked(c,
		    c->retry.may_have_run || phase == kPhaseRunning
			? kErrDeadline
			: kErrOverloaded,
		    kNoTargetRetryUs);
	pthread_mutex_unlock(&c->lock);
	if (phase == kPhaseRunning)
		target_client_cancel(c->d->targets, attempt);
	else if (phase == kPhaseAcquiring)
		grants_release(c->d->grants, attempt);
	if (phase != kPhaseDone)
		c->notify(c->ctx);
	call_unref(c);
}

void
call_start(struct call *c)
{
	if (c->work_class == kWorkOnline) {
		call_ref(c);
		c->deadline_timer = timers_add(
		    c->d->timers, c->retry.deadline_us, on_deadline, c);
	}
	call_ref(c);
	attempt_begin(c);
}

void
call_cancel(struct call *c)
{
	enum call_phase phase;
	uint64_t attempt;

	pthread_mutex_lock(&c->lock);
	phase = c->phase;
	attempt = c->attempt;
	if (phase != kPhaseDone)
		finish_locked(c, kErrCancelled, 0);
	pthread_mutex_unlock(&c->lock);
	if (phase == kPhaseRunning)
		target_client_cancel(c->d->targets, attempt);
	else if (phase == kPhaseAcquiring || phase == kPhaseProbing)
		grants_release(c->d->grants, attempt);
	if (phase != kPhaseDone)
		c->notify(c->ctx);
}

void
call_close(struct call *c)
{
	call_cancel(c);
	if (c->deadline_timer != 0 &&
	    timers_cancel(c->d->timers, c->deadline_timer))
		call_unref(c);
	/* The analyzer does not track the reference count. */
	call_unref(c); // NOLINT(clang-analyzer-unix.Malloc)
}

struct call_view
call_view_get(struct call *c)
{
	struct call_view view;

	pthread_mutex_lock(&c->lock);
	view = (struct call_view){
	    .is_done = c->phase == kPhaseDone,
	    .error = c->error,
	    .retry_after_us = c->retry_after_us,
	    .may_have_run = c->retry.may_have_run ||
		c->phase == kPhaseRunning || c->stream.next_index > 0,
	    .tokens = c->stream.next_index,
	    .status = c->status,
	};
	g_strlcpy(
	    view.content_type, c->content_type, sizeof(view.content_type));
	pthread_mutex_unlock(&c->lock);
	return view;
}

char *
call_next_token(struct call *c)
{
	char *token = NULL;

	pthread_mutex_lock(&c->lock);
	if (c->out->len > 0) {
		token = g_strdup((const char *)c->out->data);
		g_byte_array_remove_range(c->out, 0, (guint)strlen(token) + 1);
	}
	pthread_mutex_unlock(&c->lock);
	return token;
}

GBytes *
call_body(struct call *c)
{
	GBytes *body;

	pthread_mutex_lock(&c->lock);
	body = g_bytes_new(c->out->data, c->out->len);
	pthread_mutex_unlock(&c->lock);
	return body;
}

char *
call_text(struct call *c)
{
	char *text;

	pthread_mutex_lock(&c->lock);
	text = g_strdup(c->stream.text->str);
	pthread_mutex_unlock(&c->lock);
	return text;
}

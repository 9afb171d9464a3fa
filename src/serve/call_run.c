/*
 * One request and its reader: created, started, cancelled, read. Its attempts
 * are run by call_attempt and call_transfer.
 */
#include "serve/call_run.h"

#include <string.h>
#include <xxhash.h>

#include "error/error.h"
#include "metric/metric.h"
#include "os/text_copy.h"
#include "savoryflow/retry/quarantine.h"
#include "serve/answer_room.h"
#include "serve/call_internal.h"
#include "serve/grants.h"
#include "serve/timers.h"

enum {
	kFailuresMaxOnline = 3,
	/* Approximate body bytes per token. */
	kBytesPerToken = 4,
	/* Leading bytes of a body that a prefix cache is likely to hold. */
	kPrefixBytes = 256,
};

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
	crash_watch_keys(c->fingerprint, data, opt->is_engine ? len : 0,
	    opt->work_class == kWorkBatch, &c->keys);
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
	answer_room_set(c->d->answers, &c->held_bytes, 0);
	g_bytes_unref(c->body);
	g_free(c->service);
	g_free(c->team);
	g_free(c->method);
	g_free(c->path);
	pthread_mutex_destroy(&c->lock);
	g_free(c);
}

void
call_ref_ctx(void *ctx)
{
	call_ref(ctx);
}

void
call_unref_ctx(void *ctx)
{
	call_unref(ctx);
}

bool
call_is_current(const struct call *c, uint64_t attempt, enum call_phase phase)
{
	return c->attempt == attempt && c->phase == phase;
}

void
call_finish_locked(struct call *c, int error, int64_t retry_after_us)
{
	if (c->phase == kPhaseRunning)
		c->retry.may_have_run = true;
	c->phase = kPhaseDone;
	c->error = error;
	c->retry_after_us = retry_after_us;
}

void
call_finish(struct call *c, int error, int64_t retry_after_us)
{
	bool was_done;

	pthread_mutex_lock(&c->lock);
	was_done = c->phase == kPhaseDone;
	if (!was_done)
		call_finish_locked(c, error, retry_after_us);
	pthread_mutex_unlock(&c->lock);
	if (!was_done)
		c->notify(c->ctx);
}

static void
on_deadline(void *ctx)
{
	struct call *c = ctx;
	uint64_t attempt;
	uint64_t withdrawn;
	enum call_phase phase;

	pthread_mutex_lock(&c->lock);
	withdrawn = call_takeover_withdraw(c);
	phase = c->phase;
	attempt = c->attempt;
	if (phase != kPhaseDone)
		call_finish_locked(c,
		    c->retry.may_have_run || phase == kPhaseRunning
			? kErrDeadline
			: kErrOverloaded,
		    kNoTargetRetryUs);
	pthread_mutex_unlock(&c->lock);
	if (withdrawn != 0)
		grants_release(c->d->grants, withdrawn);
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
	call_attempt_begin(c);
}

static bool
may_have_run(const struct call *c)
{
	return c->retry.may_have_run || c->phase == kPhaseRunning ||
	    c->stream.next_index > 0;
}

static void
cancel(struct call *c, bool is_unsent_only)
{
	enum call_phase phase;
	uint64_t attempt;
	uint64_t withdrawn;

	pthread_mutex_lock(&c->lock);
	if (is_unsent_only && may_have_run(c)) {
		pthread_mutex_unlock(&c->lock);
		return;
	}
	withdrawn = call_takeover_withdraw(c);
	phase = c->phase;
	attempt = c->attempt;
	if (phase != kPhaseDone)
		call_finish_locked(c, kErrCancelled, 0);
	pthread_mutex_unlock(&c->lock);
	if (withdrawn != 0)
		grants_release(c->d->grants, withdrawn);
	if (phase == kPhaseRunning)
		target_client_cancel(c->d->targets, attempt);
	else if (phase == kPhaseAcquiring || phase == kPhaseProbing)
		grants_release(c->d->grants, attempt);
	if (phase != kPhaseDone)
		c->notify(c->ctx);
}

void
call_cancel(struct call *c)
{
	cancel(c, false);
}

void
call_cancel_unsent(struct call *c)
{
	cancel(c, true);
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
	    .may_have_run = may_have_run(c),
	    .tokens = c->stream.next_index,
	    .status = c->status,
	};
	TEXT_ASSIGN(view.content_type, c->content_type);
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

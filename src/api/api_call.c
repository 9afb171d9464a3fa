/* Endpoints for online requests: chat completions, calls to plain services. */
#include <string.h>

#include "api/request.h"
#include "error/error.h"
#include "metric/metric.h"
#include "serve/intents.h"
#include "serve/limiter.h"
#include "serve/routes.h"

enum {
	kRateRetryUs = kUsPerS,
	kInProgressRetryUs = 2 * kUsPerS,
	kStoreRetryUs = 2 * kUsPerS,
	/* Block size of a streamed response. */
	kStreamBlockBytes = 16384,
	/* Largest response stored for repeats of an idempotency key. */
	kStoredAnswerMaxBytes = 65536,
	/* Usual time of a call; the configuration has none. */
	kUsualCallUs = 5 * kUsPerS,
};

static void
notify(void *ctx)
{
	request_wake(ctx);
}

static void
release(void *ctx)
{
	request_unref(ctx);
}

static int64_t
call_deadline_us(struct request *req)
{
	const char *text = request_header(req, "Savoryflow-Timeout-Ms");
	int64_t ms = text != NULL ? g_ascii_strtoll(text, NULL, 10) : 0;

	if (ms <= 0 || ms > req->d->set->online_deadline_ms)
		ms = req->d->set->online_deadline_ms;
	return req->received_us + ms * kUsPerMs;
}

/* @return false if the request was refused */
static bool
admit(struct request *req, const char *service, bool may_repeat)
{
	struct drain_work work = {
	    .deadline_us = call_deadline_us(req),
	    .expected_us = kUsualCallUs,
	    .may_repeat = may_repeat,
	};
	struct config *cfg = config_holder_get(req->d->configs);
	const struct config_team *team =
	    cfg != NULL ? g_hash_table_lookup(cfg->teams, req->team) : NULL;
	bool is_accepted = daemon_accepts(req->d, &work);
	bool is_admitted = is_accepted &&
	    (team == NULL || limiter_admit(req->d->limiter, team));

	config_unref(cfg);
	if (!is_accepted) {
		request_refuse_draining(req);
		return false;
	}
	if (!is_admitted) {
		request_reply_error(req, kErrRateLimited,
		    "the team's limit is reached", kRateRetryUs);
		return false;
	}
	req->is_limited = team != NULL;
	limiter_record_request(req->d->limiter, service);
	return true;
}

/* Shows the call to request_abort_unsent. */
static void
set_call(struct request *req, struct call *call)
{
	pthread_mutex_lock(&req->lock);
	req->call = call;
	pthread_mutex_unlock(&req->lock);
}

static void
start_call(struct request *req, const struct call_options *opt)
{
	struct call *call = call_new(req->d, opt);

	/* The call's reference to the request; see release. */
	request_ref(req);
	set_call(req, call);
	call_start(call);
}

static bool
has_valid_messages(const json_t *doc)
{
	const json_t *messages = json_object_get(doc, "messages");
	const json_t *msg;
	size_t i;

	if (!json_is_array(messages) || json_array_size(messages) == 0)
		return false;
	json_array_foreach((json_t *)messages, i, msg)
	{
		if (!json_is_string(json_object_get(msg, "content")) ||
		    !json_is_string(json_object_get(msg, "role")))
			return false;
	}
	return true;
}

static const struct config_service *
find_service(const struct config *cfg, const char *name)
{
	if (cfg == NULL || name == NULL)
		return NULL;
	return g_hash_table_lookup(cfg->services, name);
}

static GBytes *
body_for_streaming(json_t *doc)
{
	char *text;

	json_object_set_new(doc, "stream", json_true());
	text = json_dumps(doc, JSON_COMPACT);
	return g_bytes_new_with_free_func(text, strlen(text), free, text);
}

static void
start_chat(struct request *req, json_t *doc)
{
	const char *model = json_string_value(json_object_get(doc, "model"));
	struct config *cfg = config_holder_get(req->d->configs);
	const struct config_service *svc = find_service(cfg, model);
	struct call_options opt = {
	    .work_class = kWorkOnline,
	    .service = model,
	    .is_engine = true,
	    .is_streamed = json_is_true(json_object_get(doc, "stream")),
	    .is_idempotent = true,
	    .team = req->team,
	    .weight = 1,
	    .deadline_us = call_deadline_us(req),
	    .due_us = INT64_MAX / 2,
	    .notify = notify,
	    .release = release,
	    .ctx = req,
	};

	if (svc == NULL || !svc->is_engine) {
		request_reply_error(req, kErrUnknownService,
		    "the model is not an engine service of the configuration",
		    0);
	} else if (admit(req, model, true)) {
		req->wants_stream = opt.is_streamed;
		opt.body = body_for_streaming(doc);
		start_call(req, &opt);
		g_bytes_unref(opt.body);
	}
	config_unref(cfg);
}

void
chat_start(struct request *req)
{
	json_t *doc = json_loadb(req->body->str, req->body->len, 0, NULL);

	if (doc == NULL || !json_is_object(doc))
		request_reply_error(req, kErrBadJson,
		    "the request body is not a JSON object", 0);
	else if (!has_valid_messages(doc))
		request_reply_error(req, kErrBadRequest,
		    "messages must be an array of {\"role\",\"content\"}", 0);
	else
		start_chat(req, doc);
	json_decref(doc);
}

static const char *
error_message(int code)
{
	switch (code) {
	case kErrOverloaded:
		return "no target slot became free in time; the request did "
		       "not run";
	case kErrNoTarget:
		return "no target accepts requests; the request did not run";
	case kErrDeadline:
		return "no complete answer before the deadline";
	case kErrRequestCondemned:
		return "the request crashes targets and is not run again";
	case kErrTargetRefused:
		return "the target refused the request";
	default:
		return "the target failed";
	}
}

static void
reply_call_error(struct request *req, const struct call_view *view)
{
	request_reply_error_ran(req, view->error, error_message(view->error),
	    view->retry_after_us, view->may_have_run);
}

/* Ends the call first if the daemon shuts down, so that it cannot start after
 * its answer. */
static struct call_view
view_or_abort(struct request *req)
{
	if (req->is_aborted)
		call_cancel(req->call);
	return call_view_get(req->call);
}

/* @return true if the call was ended because the daemon shuts down */
static bool
reply_aborted(struct request *req, const struct call_view *view)
{
	if (!req->is_aborted || view->error != kErrCancelled)
		return false;
	request_reply_error_ran(req, kErrDraining,
	    "the daemon shut down before the response", kRateRetryUs,
	    view->may_have_run);
	return true;
}

static void
append_event(struct request *req, json_t *doc)
{
	char *text = json_dumps(doc, JSON_COMPACT);

	g_string_append_printf(req->pending_events, "data: %s\n\n", text);
	free(text);
	json_decref(doc);
}

static void
append_token(struct request *req, const char *token)
{
	append_event(req,
	    json_pack("{s:s,s:s,s:[{s:i,s:{s:s},s:n}]}", "id", "savoryflow",
		"object", "chat.completion.chunk", "choices", "index", 0,
		"delta", "content", token, "finish_reason"));
}

static void
append_tokens(struct request *req)
{
	char *token;

	while (req->pending_events->len < kStreamBlockBytes / 2 &&
	    (token = call_next_token(req->call)) != NULL) {
		append_token(req, token);
		g_free(token);
	}
}

/* The last event: the end marker, or the error that interrupted the answer. */
static void
append_end(struct request *req, const struct call_view *view)
{
	if (view->error >= 0)
		append_event(req,
		    request_error_json(
			view->error, error_message(view->error)));
	else
		g_string_append(req->pending_events, "data: [DONE]\n\n");
	req->is_stream_ended = true;
}

static ssize_t
copy_events(struct request *req, char *buf, size_t max)
{
	size_t n = MIN(max, req->pending_events->len);

	memcpy(buf, req->pending_events->str, n);
	g_string_erase(req->pending_events, 0, (gssize)n);
	return (ssize_t)n;
}

static ssize_t
read_stream(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct request *req = cls;

	for (;;) {
		/* Read before the tokens, so that none are missed. */
		struct call_view view = call_view_get(req->call);

		append_tokens(req);
		if (req->pending_events->len == 0 && view.is_done &&
		    !req->is_stream_ended)
			append_end(req, &view);
		if (req->pending_events->len > 0)
			return copy_events(req, buf, max);
		if (req->is_stream_ended)
			return MHD_CONTENT_READER_END_OF_STREAM;
		if (req->is_aborted)
			return MHD_CONTENT_READER_END_WITH_ERROR;
		if (request_wait(req))
			return 0;
	}
}

static void
reply_stream(struct request *req)
{
	req->pending_events = g_string_new(NULL);
	req->status = MHD_HTTP_OK;
	req->response = MHD_create_response_from_callback(
	    MHD_SIZE_UNKNOWN, kStreamBlockBytes, read_stream, req, NULL);
	request_reply_header(req, "Content-Type", "text/event-stream");
	request_reply_header(req, "Cache-Control", "no-store");
}

static void
reply_complete(struct request *req, const struct call_view *view)
{
	char *text = call_text(req->call);
	json_t *doc = json_pack("{s:s,s:s,s:[{s:i,s:{s:s,s:s},s:s}],s:{s:I}}",
	    "id", "savoryflow", "object", "chat.completion", "choices", "index",
	    0, "message", "role", "assistant", "content", text, "finish_reason",
	    "stop", "usage", "completion_tokens", (json_int_t)view->tokens);

	request_reply_json(req, MHD_HTTP_OK, doc);
	g_free(text);
}

void
chat_step(struct request *req)
{
	while (req->call != NULL && req->response == NULL) {
		struct call_view view = view_or_abort(req);

		if (reply_aborted(req, &view))
			return;
		if (view.is_done && view.error >= 0 &&
		    (!req->wants_stream || view.tokens == 0))
			reply_call_error(req, &view);
		else if (req->wants_stream && (view.tokens > 0 || view.is_done))
			reply_stream(req);
		else if (view.is_done)
			reply_complete(req, &view);
		else if (request_wait(req))
			return;
	}
}

/* Records the outcome of the call: its answer, not run, or unknown. */
static void
settle_intent(struct request *req, const struct call_view *view)
{
	struct intent in = req->intent;

	memset(&req->intent, 0, sizeof(req->intent));
	if (view->error < 0) {
		GBytes *body = call_body(req->call);
		gsize len;
		const char *data = g_bytes_get_data(body, &len);

		in.status = (int32_t)view->status;
		in.content_type = g_strdup(view->content_type);
		in.body = g_strndup(data, MIN(len, kStoredAnswerMaxBytes));
		g_bytes_unref(body);
		intents_finish(req->d->intents, &in);
	} else if (!view->may_have_run) {
		intents_withdraw(req->d->intents, &in);
	} else {
		in.is_outcome_unknown = true;
		intents_finish(req->d->intents, &in);
	}
	intent_clear(&in);
}

static void
notify_keyed(void *ctx)
{
	struct request *req = ctx;
	struct call_view view = call_view_get(req->call);
	bool is_first_end = false;

	if (view.is_done) {
		pthread_mutex_lock(&req->lock);
		is_first_end = !req->is_intent_settled;
		req->is_intent_settled = true;
		pthread_mutex_unlock(&req->lock);
	}
	if (is_first_end) {
		settle_intent(req, &view);
		call_unref(req->call);
	}
	request_wake(req);
}

static bool
is_idempotent(const struct request *req, const struct config_service *svc)
{
	return svc->idempotent || strcmp(req->method, "GET") == 0;
}

static void
init_plain_options(struct request *req, struct call_options *opt,
    const struct config_service *svc, const char *path)
{
	*opt = (struct call_options){
	    .work_class = kWorkOnline,
	    .service = svc->name,
	    .is_idempotent = is_idempotent(req, svc),
	    .team = req->team,
	    .weight = 1,
	    .deadline_us = call_deadline_us(req),
	    .due_us = INT64_MAX / 2,
	    .method = req->method,
	    .path = path,
	    .notify = notify,
	    .release = release,
	    .ctx = req,
	};
	opt->body = g_bytes_new(req->body->str, req->body->len);
}

static char *
request_digest(struct request *req)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	char *text;

	g_checksum_update(sum, (const guchar *)req->method, -1);
	g_checksum_update(sum, (const guchar *)req->url, -1);
	g_checksum_update(
	    sum, (const guchar *)req->body->str, (gssize)req->body->len);
	text = g_strdup(g_checksum_get_string(sum));
	g_checksum_free(sum);
	return text;
}

static void
reply_intent_state(struct request *req)
{
	const struct intent *in = &req->intent;

	switch (in->state) {
	case kIntentDone:
		request_reply_bytes(req, (unsigned int)in->status,
		    in->content_type, in->body, strlen(in->body));
		request_reply_header(req, "Savoryflow-Replayed", "yes");
		break;
	case kIntentInProgress:
		request_reply_error(req, kErrInProgress,
		    "a call with this idempotency key is in progress",
		    kInProgressRetryUs);
		break;
	case kIntentUnknown:
		request_reply_error(req, kErrOutcomeUnknown,
		    "a call with this idempotency key started and its outcome "
		    "is unknown; it is not run again",
		    0);
		break;
	case kIntentMismatch:
		request_reply_error(req, kErrConflict,
		    "the idempotency key was used with another request", 0);
		break;
	default:
		request_reply_error(req, kErrStoreUnavailable,
		    "the idempotency key cannot be stored; the call did not "
		    "run",
		    kStoreRetryUs);
	}
}

/* Records the key, then starts the call; runs on a worker. */
static void
begin_keyed(struct request *req)
{
	struct config *cfg = config_holder_get(req->d->configs);
	char **parts = g_strsplit(req->subpath, "/", 2);
	const struct config_service *svc = find_service(cfg, parts[0]);
	struct call_options opt;
	struct call *call;
	char *path;

	if (svc != NULL)
		intents_begin(req->d->intents, &req->intent);
	if (svc == NULL) {
		request_reply_error(
		    req, kErrUnknownService, "no such plain service", 0);
	} else if (req->intent.state != kIntentAcquired) {
		reply_intent_state(req);
		/* A write that got no response may still take effect. */
		if (req->intent.state == kIntentStoreDown)
			intents_withdraw(req->d->intents, &req->intent);
	} else {
		path = g_strconcat("/", parts[1], NULL);
		init_plain_options(req, &opt, svc, path);
		opt.notify = notify_keyed;
		/* One reference for the connection, one until the intent is
		 * settled; both may be gone before the call has started. */
		request_ref(req);
		call = call_ref(call_new(req->d, &opt));
		call_ref(call);
		set_call(req, call);
		call_start(call);
		call_unref(call);
		g_bytes_unref(opt.body);
		g_free(path);
	}
	g_strfreev(parts);
	config_unref(cfg);
}

static void
start_keyed(struct request *req, const char *key)
{
	req->has_intent = true;
	req->intent.team = g_strdup(req->team);
	req->intent.key = g_strdup(key);
	req->intent.digest = request_digest(req);
	request_offload(req, begin_keyed);
}

static void
start_plain(
    struct request *req, const struct config_service *svc, const char *path)
{
	const char *key = request_header(req, "Idempotency-Key");
	struct call_options opt;

	if (key != NULL && !svc->idempotent) {
		start_keyed(req, key);
		return;
	}
	init_plain_options(req, &opt, svc, path);
	start_call(req, &opt);
	g_bytes_unref(opt.body);
}

void
plain_start(struct request *req)
{
	struct config *cfg = config_holder_get(req->d->configs);
	char **parts = g_strsplit(req->subpath, "/", 2);
	const struct config_service *svc = find_service(cfg, parts[0]);

	if (svc == NULL || svc->is_engine) {
		request_reply_error(
		    req, kErrUnknownService, "no such plain service", 0);
	} else if (admit(req, svc->name, is_idempotent(req, svc))) {
		char *path = g_strconcat("/", parts[1], NULL);

		start_plain(req, svc, path);
		g_free(path);
	}
	g_strfreev(parts);
	config_unref(cfg);
}

static void
reply_plain(struct request *req, const struct call_view *view)
{
	GBytes *body = call_body(req->call);
	gsize len;
	const char *data = g_bytes_get_data(body, &len);

	request_reply_bytes(req, (unsigned int)view->status,
	    view->content_type[0] != '\0' ? view->content_type : "text/plain",
	    data, len);
	g_bytes_unref(body);
}

void
plain_step(struct request *req)
{
	while (req->call != NULL && req->response == NULL) {
		struct call_view view = view_or_abort(req);

		if (reply_aborted(req, &view))
			return;
		if (view.is_done && view.error >= 0)
			reply_call_error(req, &view);
		else if (view.is_done)
			reply_plain(req, &view);
		else if (request_wait(req))
			return;
	}
}

void
request_release_call(struct request *req)
{
	struct call *call = req->call;

	if (req->is_limited)
		limiter_done(req->d->limiter, req->team);
	if (call == NULL)
		return;
	/* A call with a key continues, so that its answer can be stored. */
	if (req->has_intent)
		call_unref(call);
	else
		call_close(call);
}

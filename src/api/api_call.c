/* Online requests: what all calls share, and calls to plain services. */
#include "api/api_call.h"

#include "error/error.h"
#include "metric/metric.h"
#include "serve/intents.h"
#include "serve/limiter.h"
#include "serve/routes.h"
#include <string.h>

enum {
	kRateRetryUs = kUsPerS,
	kInProgressRetryUs = 2 * kUsPerS,
	kStoreRetryUs = 2 * kUsPerS,
	/* Largest response stored for repeats of an idempotency key. */
	kStoredAnswerMaxBytes = 65536,
	/* Usual time of a call; the configuration has none. */
	kUsualCallUs = 5 * kUsPerS,
};

void
api_call_notify(void *ctx)
{
	request_wake(ctx);
}

void
api_call_release(void *ctx)
{
	request_unref(ctx);
}

int64_t
api_call_deadline_us(struct request *req)
{
	const char *text = request_header(req, "Savoryflow-Timeout-Ms");
	int64_t ms = text != NULL ? g_ascii_strtoll(text, NULL, 10) : 0;

	if (ms <= 0 || ms > req->d->set->online_deadline_ms)
		ms = req->d->set->online_deadline_ms;
	return req->received_us + ms * kUsPerMs;
}

bool
api_call_admit(struct request *req, const char *service, bool may_repeat)
{
	struct drain_work work = {
	    .deadline_us = api_call_deadline_us(req),
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

void
api_call_start(struct request *req, const struct call_options *opt)
{
	struct call *call = call_new(req->d, opt);

	/* The call's reference to the request; see release. */
	request_ref(req);
	set_call(req, call);
	call_start(call);
}

const struct config_service *
api_call_find_service(const struct config *cfg, const char *name)
{
	if (cfg == NULL || name == NULL)
		return NULL;
	return g_hash_table_lookup(cfg->services, name);
}

const char *
api_call_error_text(int code)
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

void
api_call_reply_error(struct request *req, const struct call_view *view)
{
	request_reply_error_ran(req, view->error,
	    api_call_error_text(view->error), view->retry_after_us,
	    view->may_have_run);
}

struct call_view
api_call_view(struct request *req)
{
	if (req->is_aborted)
		call_cancel(req->call);
	return call_view_get(req->call);
}

bool
api_call_reply_aborted(struct request *req, const struct call_view *view)
{
	if (!req->is_aborted || view->error != kErrCancelled)
		return false;
	request_reply_error_ran(req, kErrDraining,
	    "the daemon shut down before the response", kRateRetryUs,
	    view->may_have_run);
	return true;
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
	    .deadline_us = api_call_deadline_us(req),
	    .due_us = INT64_MAX / 2,
	    .method = req->method,
	    .path = path,
	    .notify = api_call_notify,
	    .release = api_call_release,
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
	const struct config_service *svc = api_call_find_service(cfg, parts[0]);
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
	api_call_start(req, &opt);
	g_bytes_unref(opt.body);
}

void
plain_start(struct request *req)
{
	struct config *cfg = config_holder_get(req->d->configs);
	char **parts = g_strsplit(req->subpath, "/", 2);
	const struct config_service *svc = api_call_find_service(cfg, parts[0]);

	if (svc == NULL || svc->is_engine) {
		request_reply_error(
		    req, kErrUnknownService, "no such plain service", 0);
	} else if (api_call_admit(req, svc->name, is_idempotent(req, svc))) {
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
		struct call_view view = api_call_view(req);

		if (api_call_reply_aborted(req, &view))
			return;
		if (view.is_done && view.error >= 0)
			api_call_reply_error(req, &view);
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

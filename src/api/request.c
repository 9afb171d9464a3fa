/* Suspends, resumes and answers one HTTP request. */
#include "api/request.h"

#include <stdio.h>
#include <string.h>

#include "error/error.h"
#include "log/log.h"
#include "metric/metric.h"

enum { kStoreRetryUs = 2 * kUsPerS };

struct request *
request_ref(struct request *req)
{
	g_atomic_int_inc(&req->refs);
	return req;
}

void
request_unref(struct request *req)
{
	if (!g_atomic_int_dec_and_test(&req->refs))
		return;
	if (req->response != NULL)
		MHD_destroy_response(req->response);
	if (req->pending_events != NULL)
		g_string_free(req->pending_events, TRUE);
	if (req->upload != NULL)
		batch_upload_free(req->upload);
	intent_clear(&req->intent);
	g_string_free(req->body, TRUE);
	g_free(req->url);
	g_free(req->method);
	g_free(req->team);
	pthread_mutex_destroy(&req->lock);
	g_free(req);
}

bool
request_wait(struct request *req)
{
	bool must_wait;

	pthread_mutex_lock(&req->lock);
	must_wait = !req->is_wake_pending && !req->is_aborted;
	req->is_wake_pending = false;
	if (must_wait) {
		req->is_suspended = true;
		MHD_suspend_connection(req->con);
	}
	pthread_mutex_unlock(&req->lock);
	return must_wait;
}

void
request_wake(struct request *req)
{
	pthread_mutex_lock(&req->lock);
	if (req->con == NULL) {
		pthread_mutex_unlock(&req->lock);
		return;
	}
	if (req->is_suspended) {
		req->is_suspended = false;
		MHD_resume_connection(req->con);
	} else {
		req->is_wake_pending = true;
	}
	pthread_mutex_unlock(&req->lock);
}

void
request_abort_unsent(struct request *req)
{
	struct call *call;

	pthread_mutex_lock(&req->lock);
	req->is_aborted = true;
	call = req->call;
	pthread_mutex_unlock(&req->lock);
	if (call != NULL)
		call_cancel_unsent(call);
}

bool
request_abort(struct request *req)
{
	bool was_suspended;

	pthread_mutex_lock(&req->lock);
	req->is_aborted = true;
	was_suspended = req->is_suspended;
	pthread_mutex_unlock(&req->lock);
	if (was_suspended && req->call != NULL)
		request_wake(req);
	return was_suspended;
}

struct task {
	struct request *req;
	void (*fn)(struct request *req);
};

static void
run_task(void *ctx)
{
	struct task *task = ctx;

	task->fn(task->req);
	request_wake(task->req);
	request_unref(task->req);
	g_free(task);
}

void
request_offload(struct request *req, void (*fn)(struct request *req))
{
	struct task *task = g_new(struct task, 1);

	task->req = request_ref(req);
	task->fn = fn;
	req->is_offloaded = true;
	/* Suspended before a worker can wake it, which it always does. */
	pthread_mutex_lock(&req->lock);
	req->is_wake_pending = false;
	req->is_suspended = true;
	MHD_suspend_connection(req->con);
	pthread_mutex_unlock(&req->lock);
	if (thread_pool_submit(req->d->workers, run_task, task))
		return;
	request_reply_error(
	    req, kErrOverloaded, "too many requests are queued", kUsPerS);
	request_wake(req);
	request_unref(req);
	g_free(task);
}

const char *
request_header(struct request *req, const char *name)
{
	return MHD_lookup_connection_value(req->con, MHD_HEADER_KIND, name);
}

const char *
request_query_param(struct request *req, const char *name)
{
	return MHD_lookup_connection_value(
	    req->con, MHD_GET_ARGUMENT_KIND, name);
}

void
request_reply_bytes(struct request *req, unsigned int status,
    const char *content_type, const char *data, size_t len)
{
	req->status = status;
	req->response = MHD_create_response_from_buffer(
	    len, (void *)data, MHD_RESPMEM_MUST_COPY);
	request_reply_header(req, "Content-Type", content_type);
}

void
request_reply_json(struct request *req, unsigned int status, json_t *doc)
{
	char *text = json_dumps(doc, JSON_COMPACT);

	request_reply_bytes(
	    req, status, "application/json", text, strlen(text));
	free(text);
	json_decref(doc);
}

void
request_reply_header(struct request *req, const char *name, const char *value)
{
	MHD_add_response_header(req->response, name, value);
}

json_t *
request_error_json(int code, const char *message)
{
	return json_pack("{s:{s:s,s:i,s:s}}", "error", "type",
	    sf_error_type(code), "code", sf_error_status(code), "message",
	    message);
}

void
request_reply_error_ran(struct request *req, int code, const char *message,
    int64_t retry_after_us, bool may_have_run)
{
	int64_t seconds = (retry_after_us + kUsPerS - 1) / kUsPerS;
	char text[32];

	if (req->response != NULL)
		return;
	request_reply_json(req, (unsigned int)sf_error_status(code),
	    request_error_json(code, message));
	request_reply_header(
	    req, "Savoryflow-Ran", may_have_run ? "unknown" : "no");
	if (retry_after_us > 0) {
		snprintf(text, sizeof(text), "%d", (int)seconds);
		request_reply_header(req, "Retry-After", text);
	}
	if (!may_have_run)
		metric_add(kMetRefused, 1);
	log_event(kEvtRequestRefused, "type", sf_error_type(code), "path",
	    req->url, "team", req->team, "left_us",
	    log_number(daemon_drain_left_us(req->d)), NULL);
}

void
request_reply_error(
    struct request *req, int code, const char *message, int64_t retry_after_us)
{
	request_reply_error_ran(
	    req, code, message, retry_after_us, sf_error_may_have_run(code));
}

void
request_refuse_draining(struct request *req)
{
	request_reply_error(req, kErrDraining,
	    "this daemon is draining; retry with another one", kUsPerS);
}

void
request_reply_gerror(struct request *req, GError *err)
{
	bool is_store_error = err->code == kErrStoreUnavailable ||
	    err->code == kErrStoreAmbiguous;

	request_reply_error(
	    req, err->code, err->message, is_store_error ? kStoreRetryUs : 0);
	g_error_free(err);
}

void
request_reply_store_error(
    struct request *req, enum store_result res, const char *refusal)
{
	switch (res) {
	case kStoreNotFound:
		request_reply_error(req, kErrNotFound, "no such job", 0);
		break;
	case kStoreAmbiguous:
		request_reply_error(req, kErrStoreAmbiguous,
		    "no response from the store; the outcome is unknown, send "
		    "the request again",
		    kStoreRetryUs);
		break;
	default:
		request_reply_error(
		    req, kErrStoreUnavailable, refusal, kStoreRetryUs);
	}
}

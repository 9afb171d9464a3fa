/* Requests about jobs on their way to the store, or to a peer. */
#include "gateway/jobs_task.h"

#include <string.h>

#include "error/error.h"
#include "gateway/reply.h"
#include "log/log.h"

enum {
	kStoreRetryUs = 400 * kUsPerMs,
	/* The store answers within some ms. A peer that is asked after this
	 * can still answer in the usual objective of 500 ms. */
	kPatienceUs = 150 * kUsPerMs,
	kForwardConnectUs = 200 * kUsPerMs,
	kHttpServerErrorFirst = 500,
	kHttpTooMany = 429,
};

/* Marks a request that a peer passed on: it goes no further. */
static const char kForwardedHeader[] = "Savoryflow-Forwarded";

/** A request that a peer answers. */
struct job_forward {
	struct jobs *js;
	struct front_request *req;
	char *id;
	/** The task that waits for the store meanwhile, or NULL. */
	struct job_task *task;
	struct outbound_request *request;
	int32_t status;
	struct header_list *headers;
	GString *body;
};

static void
forward_free(struct job_forward *fwd)
{
	header_list_free(fwd->headers);
	g_string_free(fwd->body, TRUE);
	g_free(fwd->id);
	g_free(fwd);
}

static void
forward_cancel(struct job_forward *fwd)
{
	outbound_cancel(fwd->request);
	forward_free(fwd);
}

static void
task_free(struct job_task *task)
{
	loop_timer_cancel(task->js->opt.parts.lp, task->patience_timer);
	g_free(task->id);
	g_free(task->token);
	g_free(task->item_id);
	itemjob_free(task->job);
	itemjob_open_free(task->open);
	if (task->items != NULL)
		g_ptr_array_unref(task->items);
	if (task->results != NULL)
		g_ptr_array_unref(task->results);
	if (task->body != NULL)
		g_bytes_unref(task->body);
	if (task->done_items != NULL)
		g_array_unref(task->done_items);
	if (task->progress != NULL)
		g_array_unref(task->progress);
	g_free(task);
}

struct job_task *
job_task_new(struct jobs *js, struct front_request *req, const char *id)
{
	struct job_task *task = g_new0(struct job_task, 1);

	task->js = js;
	task->req = req;
	task->id = g_strdup(id);
	task->received_us = req != NULL ? front_received_us(req)
					: loop_now_us(js->opt.parts.lp);
	return task;
}

void
job_reply_store_error(struct front_request *req, enum store_result res)
{
	switch (res) {
	case kStoreNotFound:
		reply_error(req, kErrNotFound, "there is no such batch job", 0);
		break;
	case kStoreAmbiguous:
		reply_error(req, kErrOutcomeLost,
		    "the store did not answer; the outcome is not known", 0);
		break;
	default:
		reply_error(req, kErrStoreUnavailable,
		    "the store does not answer", kStoreRetryUs);
	}
}

static bool
on_head(void *ctx, int32_t status, const struct header_list *headers)
{
	struct job_forward *fwd = ctx;
	const char *type = header_list_get(headers, "Content-Type");

	fwd->status = status;
	if (type != NULL)
		header_list_set(fwd->headers, "Content-Type", type);
	return true;
}

static bool
on_data(void *ctx, const char *data, size_t len)
{
	struct job_forward *fwd = ctx;

	g_string_append_len(fwd->body, data, (gssize)len);
	return true;
}

static void
on_done(void *ctx, enum outbound_end end)
{
	struct job_forward *fwd = ctx;
	bool is_good = end == kOutboundComplete &&
	    fwd->status < kHttpServerErrorFirst && fwd->status != kHttpTooMany;

	log_event(kEvtJobForwarded, "job", fwd->id, "status",
	    log_number(fwd->status), "answered", is_good ? "yes" : "no", NULL);
	if (fwd->task != NULL)
		fwd->task->forward = NULL;
	if (is_good) {
		if (fwd->task != NULL)
			fwd->task->req = NULL;
		front_on_left(fwd->req, NULL, NULL);
		front_reply(fwd->req, fwd->status, fwd->headers, fwd->body->str,
		    fwd->body->len);
	} else if (fwd->task == NULL) {
		front_on_left(fwd->req, NULL, NULL);
		job_reply_store_error(fwd->req, kStoreUnavailable);
	}
	forward_free(fwd);
}

static const struct outbound_ops forward_ops = {on_head, on_data, on_done};

static bool
may_forward(const struct front_request *req)
{
	return header_list_get(front_headers(req), kForwardedHeader) == NULL;
}

/* @return NULL if no peer is known that reaches the store */
static struct job_forward *
forward_start(struct jobs *js, struct front_request *req, const char *id)
{
	const char *peer = js->opt.sighted_front(js->opt.ctx);
	const struct header_list *from = front_headers(req);
	struct header_list *headers;
	struct job_forward *fwd;
	struct outbound_options opt = {
	    .method = front_method(req),
	    .address = peer,
	    .uri = front_uri(req),
	    .body = front_body(req),
	    .connect_timeout_us = kForwardConnectUs,
	    .ops = &forward_ops,
	};

	if (peer == NULL || !may_forward(req))
		return NULL;
	fwd = g_new0(struct job_forward, 1);
	fwd->js = js;
	fwd->req = req;
	fwd->id = g_strdup(id);
	fwd->headers = header_list_new();
	fwd->body = g_string_new(NULL);
	headers = header_list_new();
	for (guint i = 0; i < header_list_len(from); i++) {
		const struct header *h = header_list_at(from, i);

		if (!header_is_hop_by_hop(h->name))
			header_list_add(headers, h->name, h->value);
	}
	header_list_add(headers, kForwardedHeader, "1");
	opt.headers = headers;
	opt.ctx = fwd;
	fwd->request = outbound_start(js->opt.parts.outbound, &opt);
	header_list_free(headers);
	return fwd;
}

static void
on_caller_left_forward(void *data)
{
	forward_cancel(data);
}

static void
on_caller_left(void *data)
{
	struct job_task *task = data;

	task->req = NULL;
	if (task->forward != NULL)
		forward_cancel(task->forward);
	task->forward = NULL;
}

/* The peer alone is left to answer. */
static bool
leave_to_forward(struct job_task *task)
{
	struct job_forward *fwd = task->forward;

	if (fwd == NULL)
		fwd = forward_start(task->js, task->req, task->id);
	if (fwd == NULL)
		return false;
	fwd->task = NULL;
	task->forward = NULL;
	front_on_left(task->req, on_caller_left_forward, fwd);
	task->req = NULL;
	return true;
}

static void
on_patience_end(void *ctx)
{
	struct job_task *task = ctx;

	task->patience_timer = 0;
	if (task->req == NULL)
		return;
	task->forward = forward_start(task->js, task->req, task->id);
	if (task->forward != NULL)
		task->forward->task = task;
}

static void
run_work(void *ctx)
{
	struct job_task *task = ctx;

	task->work(task);
}

static bool
store_failed(const struct job_task *task)
{
	return task->outcome == kStoreUnavailable ||
	    task->outcome == kStoreAmbiguous;
}

static void
finish(void *ctx)
{
	struct job_task *task = ctx;

	task->js->opt.note_store(task->js->opt.ctx, !store_failed(task));
	if (task->req != NULL && store_failed(task))
		leave_to_forward(task);
	if (task->forward != NULL)
		forward_cancel(task->forward);
	if (task->req != NULL)
		front_on_left(task->req, NULL, NULL);
	task->done(task);
	task_free(task);
}

/* The store is known not to answer: a peer does, or the caller is told so. */
static void
start_without_store(struct job_task *task)
{
	task->outcome = kStoreUnavailable;
	if (!leave_to_forward(task))
		front_on_left(task->req, NULL, NULL);
	task->done(task);
	task_free(task);
}

void
job_task_start(struct job_task *task)
{
	struct jobs *js = task->js;

	if (task->req != NULL) {
		front_on_left(task->req, on_caller_left, task);
		if (!js->opt.store_is_up(js->opt.ctx)) {
			start_without_store(task);
			return;
		}
		if (may_forward(task->req))
			task->patience_timer = loop_timer(js->opt.parts.lp,
			    loop_now_us(js->opt.parts.lp) + kPatienceUs,
			    on_patience_end, task);
	}
	if (offload_run(js->opt.offload, run_work, finish, task))
		return;
	task->outcome = kStoreUnavailable;
	finish(task);
}

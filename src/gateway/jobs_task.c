/* Requests about jobs: executed at the store, or forwarded to a peer. */
#include "gateway/jobs_task.h"

#include <string.h>

#include "error/error.h"
#include "gateway/jobs_forward.h"
#include "gateway/reply.h"
#include "log/log.h"
#include "os/json_text.h"

enum {
	kStoreRetryUs = 400 * kUsPerMs,
	/* The store answers within milliseconds. A peer tried after this can
	 * still meet the usual objective of 500 ms. */
	kHedgeDelayUs = 150 * kUsPerMs,
	/* Readers stay for 1.5 s, some submitters for 1 s. By then peers were
	 * asked in vain. */
	kReadAnswerMaxUs = 1250 * kUsPerMs,
	kChangeAnswerMaxUs = 850 * kUsPerMs,
};

void
job_task_free(struct job_task *task)
{
	loop_timer_cancel(task->js->opt.deps.lp, task->hedge_timer);
	loop_timer_cancel(task->js->opt.deps.lp, task->answer_timer);
	g_free(task->id);
	g_free(task->team);
	g_free(task->token);
	g_free(task->item_id);
	g_free(task->owner);
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

bool
job_id_is_valid(const char *id)
{
	size_t len = strlen(id);

	if (len == 0 || !json_text_is_valid(id, len))
		return false;
	for (size_t i = 0; i < len; i++)
		if (g_ascii_iscntrl(id[i]) || id[i] == '/')
			return false;
	return true;
}

void
job_log_call(const struct job_task *task, const char *operation)
{
	int64_t now_us = loop_now_us(task->js->opt.deps.lp);

	log_event(kEvtJobCall, "job", task->id, "call", operation, "store",
	    store_result_text(task->outcome), "from", log_number(task->from),
	    "results",
	    log_number(task->results != NULL ? task->results->len : 0),
	    "age_us", log_number(now_us - task->received_us), NULL);
}

struct job_task *
job_task_new(struct jobs *js, struct front_request *req, const char *name)
{
	struct job_task *task = g_new0(struct job_task, 1);

	task->js = js;
	task->req = req;
	task->id = g_strdup(name);
	task->received_us =
	    req != NULL ? front_received_us(req) : loop_now_us(js->opt.deps.lp);
	return task;
}

struct job_task *
job_task_new_for(struct jobs *js, struct front_request *req, const char *name,
    const char *team)
{
	struct job_task *task = job_task_new(js, req, name);

	task->team = g_strdup(team);
	return task;
}

void
job_reply_store_error(struct front_request *req, enum store_result res)
{
	switch (res) {
	case kStoreNotFound:
		reply_error(req, kErrNotFound, "no such job or item", 0);
		break;
	case kStoreAmbiguous:
		reply_error(req, kErrOutcomeLost,
		    "no response from the store; the outcome is unknown", 0);
		break;
	case kStoreUnreadable:
		reply_error(
		    req, kErrInternal, "a stored row of the job is invalid", 0);
		break;
	default:
		reply_error(req, kErrStoreUnavailable,
		    "the store does not respond", kStoreRetryUs);
	}
}

int32_t
job_store_error_status(enum store_result res)
{
	switch (res) {
	case kStoreNotFound:
		return sf_error_status(kErrNotFound);
	case kStoreAmbiguous:
		return sf_error_status(kErrOutcomeLost);
	case kStoreUnreadable:
		return sf_error_status(kErrInternal);
	default:
		return sf_error_status(kErrStoreUnavailable);
	}
}

void
job_log_answer(const struct jobs *js, const struct front_request *req,
    const char *id, const char *step, int32_t status,
    const struct store_change *change)
{
	if (strcmp(front_method(req), "GET") == 0)
		return;
	log_event(kEvtJobAnswered, "job", id, "status", log_number(status),
	    "may_be_applied", change->may_be_applied ? "yes" : "no", "method",
	    front_method(req), "step", step, "by",
	    job_forward_is_allowed(req) ? "client" : "peer", "age_us",
	    log_number(loop_now_us(js->opt.deps.lp) - front_received_us(req)),
	    NULL);
}

bool
job_reply_impossible_id(struct front_request *req, const char *id)
{
	if (job_id_is_valid(id))
		return false;
	job_reply_store_error(req, kStoreNotFound);
	return true;
}

static void
on_forward_answered(void *ctx)
{
	struct job_task *task = ctx;

	task->forward = NULL;
	task->req = NULL;
}

static void
on_forward_failed(void *ctx, const struct store_change *change)
{
	struct job_task *task = ctx;

	task->forward = NULL;
	store_change_join(&task->change, change);
}

static void
cancel_forward(struct job_task *task)
{
	if (task->forward != NULL)
		job_forward_cancel(task->forward, &task->change);
	task->forward = NULL;
}

void
job_task_refuse(struct job_task *task, int code, const char *message,
    int64_t retry_after_us)
{
	bool is_open = store_change_result(&task->change, kStoreUnavailable) ==
	    kStoreAmbiguous;

	job_log_answer(task->js, task->req, task->id, "quota",
	    is_open ? job_store_error_status(kStoreAmbiguous)
		    : sf_error_status(code),
	    &task->change);
	if (is_open)
		job_reply_store_error(task->req, kStoreAmbiguous);
	else
		reply_error(task->req, code, message, retry_after_us);
}

void
job_log_caller_left(const struct jobs *js, const struct front_request *req,
    const char *id, const char *step)
{
	log_event(kEvtJobCallerLeft, "job", id, "method", front_method(req),
	    "step", step, "by", job_forward_is_allowed(req) ? "client" : "peer",
	    "age_us",
	    log_number(loop_now_us(js->opt.deps.lp) - front_received_us(req)),
	    NULL);
}

/* @return NULL if no peer is known to reach the store */
static struct job_forward *
forward_start(struct job_task *task)
{
	struct job_forward_options opt = {
	    .js = task->js,
	    .req = task->req,
	    .id = task->id,
	    .team = task->team,
	    .change = task->change,
	    .on_answered = on_forward_answered,
	    .on_failed = on_forward_failed,
	    .ctx = task,
	};

	task->was_forwarded = true;
	return job_forward_start(&opt);
}

static void
on_caller_disconnected(void *data)
{
	struct job_task *task = data;

	job_log_caller_left(task->js, task->req, task->id,
	    task->forward != NULL ? "store_and_peer" : "store");
	cancel_forward(task);
	task->req = NULL;
}

/*
 * Leaves the answer to a peer.
 * @return false if there is no peer to ask
 */
static bool
delegate_to_forward(struct job_task *task)
{
	struct job_forward *fwd = task->forward;

	if (fwd == NULL && !task->was_forwarded)
		fwd = forward_start(task);
	if (fwd == NULL)
		return false;
	job_forward_detach(fwd, &task->change);
	task->forward = NULL;
	task->req = NULL;
	return true;
}

static void
on_hedge_delay(void *ctx)
{
	struct job_task *task = ctx;

	task->hedge_timer = 0;
	if (task->req == NULL)
		return;
	task->forward = forward_start(task);
}

static bool
is_read(const struct job_task *task)
{
	return strcmp(front_method(task->req), "GET") == 0;
}

/*
 * The caller is not to wait any longer: for a thread, which a silent store may
 * keep from all, or for a read. A change in progress may succeed, so its
 * outcome is awaited: the store's timeouts bound that.
 */
static void
on_answer_due(void *ctx)
{
	struct job_task *task = ctx;
	bool is_skipped = g_atomic_int_compare_and_exchange(
	    &task->state, kTaskWaiting, kTaskSkipped);
	enum store_result res;

	task->answer_timer = 0;
	if (task->req == NULL || (!is_skipped && !is_read(task)))
		return;
	log_event(kEvtCallRefused, "request", task->id, "why",
	    is_skipped ? "store_threads_taken" : "store_silent", "age_us",
	    log_number(loop_now_us(task->js->opt.deps.lp) - task->received_us),
	    NULL);
	cancel_forward(task);
	front_on_disconnect(task->req, NULL, NULL);
	res = store_change_result(&task->change, kStoreUnavailable);
	job_log_answer(task->js, task->req, task->id, "thread",
	    job_store_error_status(res), &task->change);
	job_reply_store_error(task->req, res);
	task->req = NULL;
}

static void
run_work(void *ctx)
{
	struct job_task *task = ctx;

	if (g_atomic_int_compare_and_exchange(
		&task->state, kTaskWaiting, kTaskRunning))
		task->work(task);
	else
		task->outcome = kStoreUnavailable;
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

	/* A skipped task tells nothing of the store. */
	if (g_atomic_int_get(&task->state) != kTaskSkipped)
		task->js->opt.report_store(
		    task->js->opt.ctx, !store_failed(task));
	store_change_add(&task->change, task->outcome);
	if (task->req != NULL && store_failed(task))
		delegate_to_forward(task);
	cancel_forward(task);
	if (task->req != NULL)
		front_on_disconnect(task->req, NULL, NULL);
	if (task->outcome == kStoreConflict && jobs_quota_retry(task)) {
		jobs_end_loading(task->js, task->id);
		return;
	}
	task->outcome = store_change_result(&task->change, task->outcome);
	task->done(task);
	job_task_free(task);
}

/*
 * Handles a request while the store is known to be unreachable: forwards it to
 * a peer, or replies with an error.
 */
static void
start_without_store(struct job_task *task)
{
	task->outcome = store_change_result(&task->change, kStoreUnavailable);
	if (!delegate_to_forward(task))
		front_on_disconnect(task->req, NULL, NULL);
	task->done(task);
	job_task_free(task);
}

void
job_task_start(struct job_task *task)
{
	struct jobs *js = task->js;

	/* A submission starts again if another daemon counts its tokens. */
	loop_timer_cancel(js->opt.deps.lp, task->answer_timer);
	task->answer_timer = 0;
	g_atomic_int_set(&task->state, kTaskWaiting);
	if (task->req != NULL) {
		front_on_disconnect(task->req, on_caller_disconnected, task);
		if (!js->opt.store_is_up(js->opt.ctx)) {
			start_without_store(task);
			return;
		}
		if (job_forward_is_allowed(task->req))
			task->hedge_timer = loop_timer(js->opt.deps.lp,
			    loop_now_us(js->opt.deps.lp) + kHedgeDelayUs,
			    on_hedge_delay, task);
		task->answer_timer = loop_timer(js->opt.deps.lp,
		    loop_now_us(js->opt.deps.lp) +
			(is_read(task) ? kReadAnswerMaxUs : kChangeAnswerMaxUs),
		    on_answer_due, task);
	}
	if (offload_run(js->opt.offload, run_work, finish, task))
		return;
	task->outcome = kStoreUnavailable;
	finish(task);
}

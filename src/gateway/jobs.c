/* Batch job endpoints, and the set of jobs that this daemon runs. */
#include "gateway/jobs.h"

#include <stdlib.h>
#include <string.h>

#include "error/error.h"
#include "gateway/jobs_task.h"
#include "gateway/reply.h"
#include "log/log.h"
#include "metric/histogram.h"
#include "metric/metric.h"

enum {
	kStartDuePeriodUs = 50 * kUsPerMs,
	/* Period without a job; a new job starts its items at once. */
	kIdlePeriodUs = 250 * kUsPerMs,
	/* Waits after a takeover that is likely to fail again. */
	kTakeoverFirstUs = kUsPerS,
	kTakeoverMaxUs = 16 * kUsPerS,
	/* Jobs whose row is cached for reads of their results. */
	kCachedJobsMax = 1000,
	/* Its JSON tree and its decoded items, beside the body. */
	kJobCopies = 2,
	kNoMemoryRetryUs = kUsPerS,
	kHttpOk = 200,
	kHttpAccepted = 202,
};

static void start_due_items(void *ctx);

GPtrArray *
jobs_running_ids(const struct jobs *js)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter it;
	void *id;

	g_hash_table_iter_init(&it, js->runs);
	while (g_hash_table_iter_next(&it, &id, NULL))
		g_ptr_array_add(list, id);
	return list;
}

bool
jobs_has_running(const struct jobs *js)
{
	return g_hash_table_size(js->runs) > 0;
}

bool
jobs_has_teams(const struct jobs *js)
{
	const struct routebook *book = js->opt.routes(js->opt.ctx);

	return book != NULL && book->teams != NULL;
}

struct jobs *
jobs_new(const struct jobs_options *opt)
{
	struct jobs *js = g_new0(struct jobs, 1);

	js->opt = *opt;
	js->runs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, jobs_run_free);
	js->loading =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	js->takeovers = retry_table_new(kTakeoverFirstUs, kTakeoverMaxUs);
	js->cached = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, (GDestroyNotify)itemjob_free);
	js->team_quotas =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	js->timer = loop_timer(opt->deps.lp,
	    loop_now_us(opt->deps.lp) + kStartDuePeriodUs, start_due_items, js);
	return js;
}

void
jobs_free(struct jobs *js)
{
	loop_timer_cancel(js->opt.deps.lp, js->timer);
	g_hash_table_unref(js->runs);
	g_hash_table_unref(js->loading);
	retry_table_free(js->takeovers);
	g_hash_table_unref(js->cached);
	g_hash_table_unref(js->team_quotas);
	g_free(js);
}

static void
start_due_items(void *ctx)
{
	struct jobs *js = ctx;
	GPtrArray *list = g_ptr_array_new();
	bool list_is_empty;
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, js->runs);
	while (g_hash_table_iter_next(&it, NULL, &val))
		g_ptr_array_add(list, val);
	for (guint i = 0; i < list->len; i++) {
		jobs_quota_report(list->pdata[i]);
		jobs_route_check(list->pdata[i]);
		jobs_run_start_due(list->pdata[i]);
	}
	list_is_empty = list->len == 0;
	g_ptr_array_unref(list);
	js->timer = loop_timer(js->opt.deps.lp,
	    loop_now_us(js->opt.deps.lp) +
		(list_is_empty ? kIdlePeriodUs : kStartDuePeriodUs),
	    start_due_items, js);
}

void
jobs_begin_loading(struct jobs *js, const char *id)
{
	int n = GPOINTER_TO_INT(g_hash_table_lookup(js->loading, id));

	g_hash_table_replace(js->loading, g_strdup(id), GINT_TO_POINTER(n + 1));
}

void
jobs_end_loading(struct jobs *js, const char *id)
{
	int n = GPOINTER_TO_INT(g_hash_table_lookup(js->loading, id));

	if (n > 1)
		g_hash_table_replace(
		    js->loading, g_strdup(id), GINT_TO_POINTER(n - 1));
	else
		g_hash_table_remove(js->loading, id);
}

static struct itemjob *
job_copy(const struct itemjob *job)
{
	struct itemjob *copy = itemjob_new(job->id);

	copy->host = g_strdup(job->host);
	copy->path = g_strdup(job->path);
	copy->team = g_strdup(job->team);
	copy->input = g_strdup(job->input);
	copy->total = job->total;
	copy->accepted_ms = job->accepted_ms;
	return copy;
}

void
jobs_cache_job(struct jobs *js, const struct itemjob *job)
{
	struct itemjob *copy;

	if (g_hash_table_contains(js->cached, job->id))
		return;
	if (g_hash_table_size(js->cached) >= kCachedJobsMax)
		g_hash_table_remove_all(js->cached);
	copy = job_copy(job);
	g_hash_table_insert(js->cached, copy->id, copy);
}

const struct itemjob *
jobs_cached_job(struct jobs *js, const char *id)
{
	return g_hash_table_lookup(js->cached, id);
}

static void
submit_work(struct job_task *task)
{
	task->outcome = itemjob_submit(task->js->opt.store, task->job,
	    task->items, task->token, task->js->opt.session, &task->is_new);
}

static void
log_answer(const struct job_task *task, int32_t ok_status)
{
	job_log_answer(task->js, task->req, task->id, "store",
	    task->outcome == kStoreOk ? ok_status
				      : job_store_error_status(task->outcome),
	    &task->change);
}

/* Tells the caller nothing of the job that has the id. */
void
jobs_refuse_taken_id(struct job_task *task)
{
	log_event(
	    kEvtCallRefused, "request", task->id, "why", "id_taken", NULL);
	job_log_answer(task->js, task->req, task->id, "store",
	    sf_error_status(kErrConflict), &task->change);
	reply_error(
	    task->req, kErrConflict, "the id of the job cannot be used", 0);
}

static void
submit_done(struct job_task *task)
{
	struct jobs *js = task->js;

	job_log_call(task, "submit");
	jobs_end_loading(js, task->id);
	if (task->outcome == kStoreUnavailable ||
	    task->outcome == kStoreConflict)
		jobs_quota_release(task);
	if (task->outcome == kStoreOk && task->is_new) {
		log_event(kEvtJobAccepted, "job", task->id, "items",
		    log_number(task->items->len), NULL);
		jobs_cache_job(js, task->job);
		jobs_run_start(js, g_steal_pointer(&task->job),
		    g_steal_pointer(&task->items), NULL, NULL,
		    task->received_us);
	}
	if (task->req == NULL)
		return;
	if (task->job != NULL && task->job->is_id_taken) {
		jobs_refuse_taken_id(task);
	} else if (task->outcome == kStoreOk) {
		log_answer(task, kHttpAccepted);
		histogram_record(kHistJobAccept,
		    loop_now_us(js->opt.deps.lp) - task->received_us);
		reply_json(task->req, kHttpAccepted, "{\"accepted\":true}");
	} else {
		log_answer(task, kHttpAccepted);
		job_reply_store_error(task->req, task->outcome);
	}
}

void
jobs_set_token(struct job_task *task)
{
	struct jobs *js = task->js;

	g_free(task->token);
	task->token = g_strdup_printf(
	    "%s-%" G_GUINT64_FORMAT, js->opt.session, ++js->tokens);
}

/* Items run with the team of their job, and no row holds a key. */
static void
strip_items(const struct jobs *js, GPtrArray *items)
{
	const struct dialect_ops *dialect = js->opt.deps.dialect;

	if (!jobs_has_teams(js))
		return;
	for (guint i = 0; i < items->len; i++) {
		const struct itemjob_item *item = items->pdata[i];

		for (guint k = item->headers->len; k > 0; k--)
			if (dialect->is_credential(g_array_index(
				item->headers, struct itemjob_header, k - 1)
						       .name))
				g_array_remove_index(item->headers, k - 1);
	}
}

void
jobs_submit(struct jobs *js, struct front_request *req,
    const struct dialect_call *call, const struct routebook_route *route,
    const struct access_caller *caller)
{
	GError *err = NULL;
	gsize len;
	const char *data = g_bytes_get_data(front_body(req), &len);
	GPtrArray *items;
	struct job_task *task;
	char *name;

	if (!front_hold(req, kJobCopies * len)) {
		log_event(kEvtCallRefused, "request", call->attempt_id, "why",
		    "no_memory", "body_bytes", log_number((int64_t)len), NULL);
		reply_error(req, kErrOverloaded,
		    "no memory is free for the job; it was not accepted",
		    kNoMemoryRetryUs);
		return;
	}
	items = js->opt.deps.dialect->decode_job(data, len, &err);
	if (items != NULL &&
	    !jobs_check_submission(js, call->attempt_id, items, &err)) {
		g_ptr_array_unref(items);
		items = NULL;
	}
	if (items == NULL) {
		reply_error(req, err->code, err->message, 0);
		g_error_free(err);
		return;
	}
	strip_items(js, items);
	name = jobs_name_of(call->attempt_id);
	task = job_task_new_for(js, req, name, caller->team);
	task->items = items;
	task->job = itemjob_new(name);
	g_free(name);
	task->job->host = g_strdup(route->host);
	if (caller->team[0] != '\0')
		task->job->team = g_strdup(caller->team);
	task->job->path =
	    g_strndup(front_uri(req), strcspn(front_uri(req), "?"));
	jobs_set_token(task);
	task->work = submit_work;
	task->done = submit_done;
	if (route->waiting_tokens_max > 0)
		jobs_quota_submit(task, route);
	else
		jobs_submit_start(task);
}

void
jobs_submit_start(struct job_task *task)
{
	jobs_begin_loading(task->js, task->id);
	job_task_start(task);
}

/* @return kStoreNotFound if another team submitted the job */
static enum store_result
check_team(struct job_task *task)
{
	enum store_result res = kStoreOk;

	if (task->job == NULL)
		res = itemjob_get(task->js->opt.store, task->id, &task->job);
	if (res == kStoreOk && !itemjob_is_of_team(task->job, task->team))
		res = kStoreNotFound;
	return res;
}

static void
end_work(struct job_task *task)
{
	if (task->team[0] != '\0') {
		task->outcome = check_team(task);
		/* Nothing was sent that could change the job. */
		if (task->outcome == kStoreAmbiguous)
			task->outcome = kStoreUnavailable;
		if (task->outcome != kStoreOk)
			return;
	}
	task->outcome =
	    itemjob_end(task->js->opt.store, task->id, &task->owner);
}

static void
end_done(struct job_task *task)
{
	job_log_call(task, "end");
	if (task->outcome == kStoreOk) {
		jobs_on_ended(task->js, task->id);
		if (task->owner != NULL)
			task->js->opt.notify_ended(
			    task->js->opt.ctx, task->id, task->owner);
	}
	if (task->req == NULL)
		return;
	log_answer(task, kHttpOk);
	if (task->outcome == kStoreOk)
		reply_json(task->req, kHttpOk, "{\"ended\":true}");
	else
		job_reply_store_error(task->req, task->outcome);
}

void
jobs_end(struct jobs *js, struct front_request *req,
    const struct dialect_call *call, const struct access_caller *caller)
{
	struct job_task *task;
	char *name;

	if (job_reply_impossible_id(req, call->job_id))
		return;
	name = jobs_name_of(call->job_id);
	task = job_task_new_for(js, req, name, caller->team);
	task->work = end_work;
	task->done = end_done;
	job_task_start(task);
	g_free(name);
}

static void
close_work(struct job_task *task)
{
	task->outcome = itemjob_close(task->js->opt.store, task->id);
}

static void
close_done(struct job_task *task)
{
	job_log_call(task, "close");
}

void
jobs_close(struct jobs *js, const char *id)
{
	struct job_task *task = job_task_new(js, NULL, id);

	task->work = close_work;
	task->done = close_done;
	job_task_start(task);
}

void
jobs_on_ended(struct jobs *js, const char *id)
{
	struct job_run *run = g_hash_table_lookup(js->runs, id);
	char *copy;

	if (run == NULL)
		return;
	log_event(kEvtJobCancelled, "job", id, "listed",
	    log_number(run->listed), NULL);
	copy = g_strdup(id);
	jobs_run_drop(run, "ended");
	jobs_close(js, copy);
	g_free(copy);
}

static const struct itemjob_open *
find_open(const GPtrArray *list, const char *id)
{
	for (guint i = 0; i < list->len; i++) {
		const struct itemjob_open *open = list->pdata[i];

		if (strcmp(open->id, id) == 0)
			return open;
	}
	return NULL;
}

static void
drop_unowned_runs(struct jobs *js, const GPtrArray *list, int64_t read_at_us)
{
	GPtrArray *unowned = g_ptr_array_new();
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, js->runs);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct job_run *run = val;
		const struct itemjob_open *open = find_open(list, run->job->id);

		/* The list may have been read before the job was started. */
		if (run->started_us >= read_at_us)
			continue;
		if (open == NULL || strcmp(open->owner, js->opt.session) != 0)
			g_ptr_array_add(unowned, run);
	}
	for (guint i = 0; i < unowned->len; i++)
		jobs_run_drop(unowned->pdata[i], "not_owned");
	g_ptr_array_unref(unowned);
}

void
jobs_on_open_list(struct jobs *js, const GPtrArray *list, int64_t read_at_us)
{
	drop_unowned_runs(js, list, read_at_us);
	jobs_takeover_forget(js, list);
	for (guint i = 0; i < list->len; i++) {
		const struct itemjob_open *open = list->pdata[i];

		if (strcmp(open->owner, js->opt.session) != 0)
			continue;
		if (!open->is_ended)
			jobs_take_over(js, open);
		else if (g_hash_table_contains(js->runs, open->id))
			jobs_on_ended(js, open->id);
		else
			jobs_close(js, open->id);
	}
}

static void
save_work(struct job_task *task)
{
	task->outcome = itemjob_save_progress(
	    task->js->opt.store, task->id, task->progress);
}

static void
save_done(struct job_task *task)
{
	task->js->saves_in_flight--;
	job_log_call(task, task->js->is_leaving ? "hand_over" : "save");
}

void
jobs_save_progress(struct jobs *js, const char *id, GArray *progress)
{
	struct job_task *task = job_task_new(js, NULL, id);

	task->progress = progress;
	task->work = save_work;
	task->done = save_done;
	js->saves_in_flight++;
	job_task_start(task);
}

void
jobs_hand_over(struct jobs *js)
{
	GHashTableIter it;
	void *val;

	js->is_leaving = true;
	g_hash_table_iter_init(&it, js->runs);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct job_run *run = val;

		jobs_save_progress(js, run->job->id, jobs_progress_halt(run));
	}
}

int32_t
jobs_active_items(const struct jobs *js)
{
	int32_t n = 0;
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, js->runs);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		const struct job_run *run = val;

		for (guint i = 0; i < run->items->len; i++)
			if (run->runs[i].relay != NULL ||
			    run->runs[i].phase == kItemReady)
				n++;
	}
	return n + js->saves_in_flight;
}

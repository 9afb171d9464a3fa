/* Takeover of jobs: their rows and items are read again. */
#include <string.h>

#include "gateway/jobs_task.h"
#include "log/log.h"

/* True if the store answered, and will answer so again. */
static bool
is_lasting(enum store_result res)
{
	return res == kStoreNotFound || res == kStoreUnreadable;
}

static enum store_result
claim(struct job_task *task)
{
	const struct jobs_options *opt = &task->js->opt;

	return strcmp(task->open->owner, opt->session) == 0
	    ? kStoreOk
	    : itemjob_claim(opt->store, task->open, opt->session);
}

static enum store_result
read_job(struct job_task *task)
{
	return itemjob_get(task->js->opt.store, task->id, &task->job);
}

/* Without their contents, the items can still be given up by their ids. */
static enum store_result
read_items(struct job_task *task)
{
	const struct store *st = task->js->opt.store;
	enum store_result res = itemjob_load_items(st, task->job, &task->items);

	if (!is_lasting(res) ||
	    itemjob_load_ids(st, task->job, &task->items) != kStoreOk)
		return res;
	task->lost_items = res;
	return kStoreOk;
}

static enum store_result
read_done(struct job_task *task)
{
	return itemjob_read_done(
	    task->js->opt.store, task->id, &task->done_items);
}

static enum store_result
read_progress(struct job_task *task)
{
	return itemjob_read_progress(
	    task->js->opt.store, task->id, &task->progress);
}

static const struct {
	const char *name;
	enum store_result (*run)(struct job_task *task);
} steps[] = {
    {"claim", claim},
    {"job", read_job},
    {"items", read_items},
    {"done", read_done},
    {"progress", read_progress},
};

static void
load_work(struct job_task *task)
{
	task->outcome = kStoreOk;
	for (size_t i = 0; i < G_N_ELEMENTS(steps) && task->outcome == kStoreOk;
	     i++) {
		task->step = steps[i].name;
		task->outcome = steps[i].run(task);
	}
}

/* Of an outage, the next list of open jobs tells the end. */
static void
record_failure(struct job_task *task, int64_t now_us)
{
	int32_t count;
	int64_t wait_us = retry_table_fail(task->js->takeovers, task->id,
	    is_lasting(task->outcome), now_us, &count);

	log_event(kEvtJobTakeoverFailed, "job", task->id, "step", task->step,
	    "store", store_result_text(task->outcome), "failures",
	    log_number(count), "wait_us", log_number(wait_us), NULL);
}

/* True if the items of a job may be given up. */
static bool
is_expired(const struct job_task *task, int64_t accepted_us, int64_t now_us)
{
	const struct jobs_options *opt = &task->js->opt;
	const struct routebook *book = opt->routes(opt->ctx);
	const struct routebook_route *route = book != NULL
	    ? routebook_find(book, task->job->host, task->job->path)
	    : NULL;
	struct item_retry_limits limits = {
	    .expires_us = item_retry_expires_us(accepted_us, accepted_us,
		route != NULL ? route->item_ttl_us : 0),
	};

	return book != NULL && item_retry_is_expired(&limits, now_us);
}

static void
load_done(struct job_task *task)
{
	struct jobs *js = task->js;
	int64_t now_us = loop_now_us(js->opt.deps.lp);
	int64_t accepted_us;

	job_log_call(task, "take_over");
	jobs_end_loading(js, task->id);
	if (js->is_leaving || g_hash_table_contains(js->runs, task->id))
		return;
	if (task->outcome != kStoreOk) {
		record_failure(task, now_us);
		return;
	}
	accepted_us = now_us - itemjob_age_us(js->opt.store, task->job);
	if (task->lost_items != kStoreOk &&
	    !is_expired(task, accepted_us, now_us)) {
		task->outcome = task->lost_items;
		task->step = "items";
		record_failure(task, now_us);
		return;
	}
	retry_table_remove(js->takeovers, task->id);
	jobs_cache_job(js, task->job);
	jobs_run_start(js, g_steal_pointer(&task->job),
	    g_steal_pointer(&task->items), task->done_items, task->progress,
	    accepted_us);
}

void
jobs_take_over(struct jobs *js, const struct itemjob_open *open)
{
	struct job_task *task;

	if (js->is_leaving || g_hash_table_contains(js->runs, open->id) ||
	    g_hash_table_contains(js->loading, open->id) ||
	    !retry_table_is_due(
		js->takeovers, open->id, loop_now_us(js->opt.deps.lp)))
		return;
	task = job_task_new(js, NULL, open->id);
	task->open = g_new0(struct itemjob_open, 1);
	task->open->id = g_strdup(open->id);
	task->open->owner = g_strdup(open->owner);
	task->open->is_ended = open->is_ended;
	task->open->version = open->version;
	task->work = load_work;
	task->done = load_done;
	jobs_begin_loading(js, task->id);
	job_task_start(task);
}

void
jobs_takeover_forget(struct jobs *js, const GPtrArray *list)
{
	GHashTable *open = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < list->len; i++)
		g_hash_table_add(
		    open, ((const struct itemjob_open *)list->pdata[i])->id);
	retry_table_keep(js->takeovers, open);
	g_hash_table_unref(open);
}

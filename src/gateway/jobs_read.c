/* Reads of jobs: results, and the bodies of items. */
#include <stdlib.h>
#include <string.h>

#include "error/error.h"
#include "gateway/jobs_task.h"
#include "gateway/reply.h"
#include "log/log.h"

enum {
	/* Memory is free again once idle readers are closed. */
	kNoMemoryRetryUs = kUsPerS,
};

/* @return true if the answer finds no memory, and the read was refused */
static bool
refuse_large(struct front_request *req, const char *job, size_t len)
{
	if (front_has_room(req, len))
		return false;
	log_event(kEvtCallRefused, "job", job, "why", "no_memory", "body_bytes",
	    log_number((int64_t)len), NULL);
	reply_error(req, kErrOverloaded,
	    "no memory is free for the answer; read it again",
	    kNoMemoryRetryUs);
	return true;
}

static void
results_work(struct job_task *task)
{
	const struct store *st = task->js->opt.store;

	task->outcome = kStoreOk;
	if (task->total < 0) {
		task->outcome = itemjob_get(st, task->id, &task->job);
		if (task->outcome == kStoreOk &&
		    !itemjob_is_of_team(task->job, task->team))
			task->outcome = kStoreNotFound;
		if (task->outcome != kStoreOk)
			return;
		task->total = task->job->total;
	}
	task->outcome =
	    itemjob_read_results(st, task->id, task->from, &task->results);
}

static void
log_lost_texts(const struct job_task *task)
{
	for (guint i = 0; i < task->results->len; i++) {
		const struct itemjob_result *result = task->results->pdata[i];

		if (result->has_lost_text)
			log_event(kEvtRowUnreadable, "job", task->id, "item",
			    result->item_id, "position",
			    log_number(result->position), "why",
			    "the result has no text", NULL);
	}
}

static void
results_done(struct job_task *task)
{
	char *text;

	if (task->outcome != kStoreOk)
		job_log_call(task, "results");
	if (task->job != NULL)
		jobs_cache_job(task->js, task->job);
	if (task->req == NULL)
		return;
	if (task->outcome != kStoreOk) {
		job_reply_store_error(task->req, task->outcome);
		return;
	}
	log_lost_texts(task);
	text = task->js->opt.deps.dialect->encode_results(
	    task->total, task->from, task->results);
	if (!refuse_large(task->req, task->id, strlen(text)))
		reply_json(task->req, 200, text);
	free(text);
}

void
jobs_results(struct jobs *js, struct front_request *req,
    const struct dialect_call *call, const struct access_caller *caller)
{
	/* The row may have been removed since, and its id used by another
	 * team: with teams, it is read each time. */
	const struct itemjob *cached = NULL;
	struct job_task *task;
	char *name;

	if (job_reply_impossible_id(req, call->job_id))
		return;
	name = jobs_name_of(call->job_id);
	if (!jobs_has_teams(js))
		cached = jobs_cached_job(js, name);
	task = job_task_new_for(js, req, name, caller->team);
	task->from = call->from_position;
	task->total = cached != NULL ? cached->total : -1;
	task->work = results_work;
	task->done = results_done;
	job_task_start(task);
	g_free(name);
}

static const struct itemjob_item *
find_item(const GPtrArray *items, const char *id)
{
	for (guint i = 0; i < items->len; i++) {
		const struct itemjob_item *item = items->pdata[i];

		if (strcmp(item->id, id) == 0)
			return item;
	}
	return NULL;
}

static void
item_work(struct job_task *task)
{
	const struct store *st = task->js->opt.store;
	const struct itemjob_item *item;

	task->outcome = itemjob_get(st, task->id, &task->job);
	if (task->outcome == kStoreOk &&
	    !itemjob_is_of_team(task->job, task->team))
		task->outcome = kStoreNotFound;
	if (task->outcome == kStoreOk)
		task->outcome = itemjob_load_items(st, task->job, &task->items);
	else
		return;
	/* The job exists, so its items cannot be missing. */
	if (task->outcome == kStoreNotFound)
		task->outcome = kStoreUnreadable;
	if (task->outcome != kStoreOk)
		return;
	item = find_item(task->items, task->item_id);
	if (item == NULL)
		task->outcome = kStoreNotFound;
	else
		task->body = g_bytes_ref(item->body);
}

static void
reply_bytes(struct front_request *req, const char *job, GBytes *body)
{
	struct header_list *headers;
	gsize len;
	const char *data = g_bytes_get_data(body, &len);

	if (refuse_large(req, job, len))
		return;
	headers = header_list_new();
	header_list_add(headers, "Content-Type", "application/octet-stream");
	front_reply(req, 200, headers, data, len);
	header_list_free(headers);
}

static void
item_done(struct job_task *task)
{
	if (task->outcome != kStoreOk)
		job_log_call(task, "item");
	if (task->req == NULL)
		return;
	if (task->outcome == kStoreOk)
		reply_bytes(task->req, task->id, task->body);
	else
		job_reply_store_error(task->req, task->outcome);
}

static void
serve_item(struct jobs *js, struct front_request *req, const char *name,
    const char *item_id, const char *team)
{
	struct job_run *run = g_hash_table_lookup(js->runs, name);
	const struct itemjob_item *item =
	    run != NULL ? find_item(run->items, item_id) : NULL;
	struct job_task *task;

	if (item != NULL && item->body != NULL &&
	    itemjob_is_of_team(run->job, team)) {
		reply_bytes(req, name, item->body);
		return;
	}
	task = job_task_new_for(js, req, name, team);
	task->item_id = g_strdup(item_id);
	task->work = item_work;
	task->done = item_done;
	job_task_start(task);
}

void
jobs_item(struct jobs *js, struct front_request *req,
    const struct dialect_call *call, const struct access_caller *caller)
{
	char *name;

	if (job_reply_impossible_id(req, call->job_id))
		return;
	name = jobs_name_of(call->job_id);
	serve_item(js, req, name, call->item_id, caller->team);
	g_free(name);
}

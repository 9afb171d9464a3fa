/* Limit of the tokens that wait on a route: submissions and reports. */
#include "error/error.h"
#include "gateway/jobs_task.h"
#include "gateway/quota.h"
#include "gateway/reply.h"
#include "log/log.h"

enum {
	kUnavailableRetryUs = 500 * kUsPerMs,
	/* Submissions whose fence was taken by another daemon meanwhile. */
	kConflictsMax = 2,
	/* Shorter than the time after which idle connections are closed. */
	kConnectPeriodUs = 3 * kUsPerS,
	/* Jobs are reported again, as a report may be lost. */
	kReportPeriodUs = kUsPerS,
	/* As long as the counting daemon keeps an unused count. */
	kTeamQuotaIdleUs = 60 * kUsPerS,
	/* Teams and routes with submissions at one daemon: each costs an
	 * election every kConnectPeriodUs. */
	kTeamQuotasMax = 128,
	kHttpAccepted = 202,
};

void
jobs_quota_release(struct job_task *task)
{
	if (task->job != NULL && task->job->quota_route != NULL)
		quota_report(
		    task->js->opt.quota, task->job->quota_route, task->id, 0);
}

static void
lookup_work(struct job_task *task)
{
	struct itemjob *found = NULL;

	task->outcome = itemjob_get(task->js->opt.store, task->id, &found);
	if (task->outcome == kStoreOk)
		task->job->is_id_taken = !itemjob_is_of_team(found, task->team);
	itemjob_free(found);
}

static void
lookup_done(struct job_task *task)
{
	if (task->job->is_id_taken) {
		if (task->req != NULL)
			jobs_refuse_taken_id(task);
		return;
	}
	log_event(kEvtCallRefused, "request", task->id, "why",
	    task->outcome == kStoreOk ? "known_job" : "tokens_waiting", NULL);
	if (task->req == NULL)
		return;
	if (task->outcome == kStoreNotFound) {
		job_task_refuse(task, kErrRateLimited,
		    "the route's limit of waiting tokens is reached",
		    task->quota_retry_us);
		return;
	}
	job_log_answer(task->js, task->req, task->id, "store",
	    task->outcome == kStoreOk ? kHttpAccepted
				      : job_store_error_status(task->outcome),
	    &task->change);
	if (task->outcome == kStoreOk)
		reply_json(task->req, kHttpAccepted, "{\"accepted\":true}");
	else
		job_reply_store_error(task->req, task->outcome);
}

/* A job that was accepted before is acknowledged again, whether it would fit
 * or not. */
static void
refuse_unless_known(struct job_task *task, int64_t retry_after_us)
{
	task->quota_retry_us = retry_after_us;
	task->work = lookup_work;
	task->done = lookup_done;
	job_task_start(task);
}

static void
on_answer(void *ctx, const struct quota_answer *answer)
{
	struct job_task *task = ctx;

	task->quota_wait = 0;
	front_on_disconnect(task->req, NULL, NULL);
	switch (answer->verdict) {
	case kQuotaGranted:
		task->job->quota_fence = answer->fence;
		jobs_submit_start(task);
		break;
	case kQuotaRefused:
		refuse_unless_known(task, answer->retry_after_us);
		break;
	case kQuotaUnavailable:
		log_event(kEvtCallRefused, "request", task->id, "why",
		    "quota_unavailable", NULL);
		job_task_refuse(task, kErrOverloaded,
		    "the tokens that wait on the route cannot be counted",
		    kUnavailableRetryUs);
		job_task_free(task);
		break;
	}
}

static void
on_disconnect(void *data)
{
	struct job_task *task = data;

	job_log_caller_left(task->js, task->req, task->id, "quota");
	quota_cancel(task->js->opt.quota, task->quota_wait);
	job_task_free(task);
}

static void
ask(struct job_task *task, int64_t stale_fence)
{
	struct quota_request request = {
	    .route = task->job->quota_route,
	    .job = task->id,
	    .tokens = task->job->quota_tokens,
	    .limit = task->quota_limit,
	    .stale_fence = stale_fence,
	};

	front_on_disconnect(task->req, on_disconnect, task);
	task->quota_wait =
	    quota_reserve(task->js->opt.quota, &request, on_answer, task);
}

/* Drops the quota that was used least recently. */
static void
forget_oldest_quota(struct jobs *js)
{
	GHashTableIter it;
	void *name;
	void *used_us;
	const char *oldest = NULL;
	int64_t oldest_us = INT64_MAX;

	g_hash_table_iter_init(&it, js->team_quotas);
	while (g_hash_table_iter_next(&it, &name, &used_us)) {
		if (*(int64_t *)used_us >= oldest_us)
			continue;
		oldest = name;
		oldest_us = *(int64_t *)used_us;
	}
	g_hash_table_remove(js->team_quotas, oldest);
}

void
jobs_note_team_quota(struct jobs *js, const char *name)
{
	int64_t *used_us = g_new(int64_t, 1);

	*used_us = loop_now_us(js->opt.deps.lp);
	if (!g_hash_table_contains(js->team_quotas, name) &&
	    g_hash_table_size(js->team_quotas) >= kTeamQuotasMax)
		forget_oldest_quota(js);
	g_hash_table_replace(js->team_quotas, g_strdup(name), used_us);
}

void
jobs_quota_submit(struct job_task *task, const struct routebook_route *route)
{
	task->quota_limit = route->waiting_tokens_max;
	task->job->quota_route =
	    quota_route_name(route->host, route->prefix, task->team);
	if (jobs_has_teams(task->js))
		jobs_note_team_quota(task->js, task->job->quota_route);
	for (guint i = 0; i < task->items->len; i++)
		task->job->quota_tokens +=
		    ((struct itemjob_item *)task->items->pdata[i])->tokens;
	ask(task, 0);
}

bool
jobs_quota_retry(struct job_task *task)
{
	if (task->job == NULL || task->job->quota_route == NULL ||
	    task->job->is_id_taken || task->req == NULL ||
	    task->quota_conflicts >= kConflictsMax)
		return false;
	loop_timer_cancel(task->js->opt.deps.lp, task->hedge_timer);
	task->hedge_timer = 0;
	task->quota_conflicts++;
	/* The object of the first try may still be deleted. */
	jobs_set_token(task);
	ask(task, task->job->quota_fence);
	return true;
}

/* There may be thousands of teams: only quotas that were asked for here lately
 * are prepared, and no more often than connections have to be kept open. */
static void
prepare_team_quotas(struct jobs *js, int64_t now_us)
{
	GHashTableIter it;
	void *name;
	void *used_us;

	g_hash_table_iter_init(&it, js->team_quotas);
	while (g_hash_table_iter_next(&it, &name, &used_us)) {
		if (now_us - *(int64_t *)used_us > kTeamQuotaIdleUs)
			g_hash_table_iter_remove(&it);
		else
			quota_prepare(js->opt.quota, name, true);
	}
}

static void
prepare_route_quotas(
    struct jobs *js, const struct routebook *book, bool must_connect)
{
	for (guint i = 0; i < book->routes->len; i++) {
		const struct routebook_route *route = book->routes->pdata[i];
		char *name;

		if (route->waiting_tokens_max == 0)
			continue;
		name = quota_route_name(route->host, route->prefix, "");
		quota_prepare(js->opt.quota, name, must_connect);
		g_free(name);
	}
}

void
jobs_prepare_quotas(struct jobs *js)
{
	const struct routebook *book = js->opt.routes(js->opt.ctx);
	int64_t now_us = loop_now_us(js->opt.deps.lp);
	bool must_connect = now_us - js->quotas_connected_us > kConnectPeriodUs;

	if (must_connect)
		js->quotas_connected_us = now_us;
	if (book == NULL)
		return;
	if (book->teams == NULL)
		prepare_route_quotas(js, book, must_connect);
	else if (must_connect)
		prepare_team_quotas(js, now_us);
}

static int64_t
waiting_tokens(const struct job_run *run)
{
	int64_t n = 0;

	for (guint i = 0; i < run->items->len; i++)
		if (run->runs[i].phase == kItemWaiting ||
		    run->runs[i].phase == kItemRunning)
			n += run->runs[i].item->tokens;
	return n;
}

void
jobs_quota_report(struct job_run *run)
{
	int64_t now_us = loop_now_us(run->js->opt.deps.lp);
	int64_t waiting;

	if (run->job->quota_route == NULL)
		return;
	waiting = run->is_dropped ? 0 : waiting_tokens(run);
	if (waiting == run->reported_tokens &&
	    now_us - run->reported_us < kReportPeriodUs)
		return;
	run->reported_tokens = waiting;
	run->reported_us = now_us;
	quota_report(
	    run->js->opt.quota, run->job->quota_route, run->job->id, waiting);
}

/* Items of the jobs that this daemon runs: attempts and listing of results. */
#include <string.h>

#include "error/error.h"
#include "gateway/jobs_internal.h"
#include "gateway/prompt_keys.h"
#include "log/log.h"
#include "metric/histogram.h"
#include "metric/metric.h"

enum {
	kHttpOk = 200,
	kDueDefaultUs = 60 * kUsPerS,
	/* Maximum time without an event before another target is looked for: an
	 * event takes about 20 ms, a large prompt about 200 ms. */
	kStallTimeoutUs = 700 * kUsPerMs,
	kRetryWithoutRouteUs = 500 * kUsPerMs,
	kCommitRetryUs = 300 * kUsPerMs,
	kTimerUs = 50 * kUsPerMs,
};

static void commit_next(struct job_run *run);

static int64_t
now_us(const struct job_run *run)
{
	return loop_now_us(run->js->opt.deps.lp);
}

void
jobs_run_free(void *p)
{
	struct job_run *run = p;

	for (guint i = 0; i < run->items->len; i++) {
		if (run->runs[i].relay != NULL)
			relay_cancel(run->runs[i].relay);
		g_string_free(run->runs[i].text, TRUE);
	}
	g_queue_clear(&run->ready);
	g_free(run->runs);
	g_ptr_array_unref(run->items);
	itemjob_free(run->job);
	g_free(run);
}

void
jobs_run_drop(struct job_run *run, const char *reason)
{
	log_event(kEvtJobDropped, "job", run->job->id, "why", reason, "listed",
	    log_number(run->listed), "items", log_number(run->items->len),
	    NULL);
	g_hash_table_steal(run->js->runs, run->job->id);
	run->is_dropped = true;
	/* The daemon that runs the job from now on reports its tokens. */
	if (strcmp(reason, "not_owned") != 0)
		jobs_quota_report(run);
	for (guint i = 0; i < run->items->len; i++) {
		if (run->runs[i].relay != NULL)
			relay_cancel(run->runs[i].relay);
		run->runs[i].relay = NULL;
	}
	/* A commit in progress still refers to the run. */
	if (!run->is_committing)
		jobs_run_free(run);
}

static void
item_ready(struct item_run *ir, bool is_completed)
{
	ir->phase = kItemReady;
	ir->is_completed = is_completed;
	g_queue_push_tail(&ir->run->ready, ir);
	commit_next(ir->run);
}

static void
fail_item(struct item_run *ir, const char *reason)
{
	log_event(kEvtItemGivenUp, "job", ir->run->job->id, "item",
	    ir->item->id, "why", reason, "failures",
	    log_number(ir->retry.failures), "cuts",
	    log_number(ir->retry.setbacks), "age_us",
	    log_number(now_us(ir->run) - ir->run->accepted_us), NULL);
	g_string_truncate(ir->text, 0);
	item_ready(ir, false);
}

static void
expire_item(struct item_run *ir)
{
	if (ir->relay != NULL)
		relay_cancel(ir->relay);
	ir->relay = NULL;
	fail_item(ir, "expired");
}

static void
schedule_retry(struct item_run *ir, int64_t wait_us)
{
	ir->phase = kItemWaiting;
	ir->next_attempt_us = now_us(ir->run) + wait_us;
	if (wait_us == 0)
		jobs_run_start_due(ir->run);
}

static void
on_head(void *ctx, int32_t status, const struct header_list *headers)
{
	struct item_run *ir = ctx;
	const char *type = header_list_get(headers, "Content-Type");

	/* A run that does not go on after an event begins anew. */
	if (ir->last_event_id < 0) {
		g_string_truncate(ir->text, 0);
		ir->has_text = false;
	}
	ir->status = status;
	ir->is_stream = status == kHttpOk && type != NULL &&
	    g_str_has_prefix(type, "text/event-stream");
}

static void
on_data(void *ctx, const struct stream_event *ev)
{
	struct item_run *ir = ctx;

	if (!ir->is_stream)
		return;
	if (ir->has_text)
		g_string_append_c(ir->text, '\n');
	ir->has_text = true;
	stream_event_data(ev, ir->text);
	if (ev->id >= 0)
		ir->last_event_id = ev->id;
}

static const struct routebook_route *
find_route(const struct job_run *run)
{
	const struct routebook *book = run->js->opt.routes(run->js->opt.ctx);

	return book != NULL
	    ? routebook_find(book, run->job->host, run->job->path)
	    : NULL;
}

/* Keeps the route's time to live for when the route is unknown. */
static struct item_retry_limits
retry_limits(struct job_run *run, const struct routebook_route *route)
{
	if (route != NULL)
		run->ttl_us = route->item_ttl_us;
	return (struct item_retry_limits){
	    .attempts_max = route != NULL ? route->attempts_max : 0,
	    .expires_us = item_retry_expires_us(
		run->accepted_us, run->started_us, run->ttl_us),
	};
}

static void
log_run_ended(const struct item_run *ir, const struct relay_result *result,
    const struct item_retry_decision *decision)
{
	log_event(kEvtItemRunEnded, "job", ir->run->job->id, "item",
	    ir->item->id, "cause",
	    result->cause != NULL ? result->cause : "revoked", "target",
	    result->target, "status", log_number(ir->status), "last_event",
	    log_number(ir->last_event_id), "failures",
	    log_number(ir->retry.failures), "cuts",
	    log_number(ir->retry.setbacks), "wait_us",
	    log_number(decision->wait_us), NULL);
}

/* A run returned no result. */
static void
on_no_result(struct item_run *ir, const struct relay_result *result)
{
	static const enum item_run_outcome outcomes[] = {
	    [kRelayComplete] = kItemRunAnswered,
	    [kRelayRefused] = kItemRunNotStarted,
	    [kRelayFailed] = kItemRunInterrupted,
	    [kRelayInterrupted] = kItemRunInterrupted,
	    [kRelayTimeout] = kItemRunNotStarted,
	    [kRelayRevoked] = kItemRunRevoked,
	    [kRelayBlocked] = kItemRunNotStarted,
	};
	struct item_run_end end = {
	    .outcome = outcomes[result->outcome],
	    .status = ir->status,
	    .has_progress = ir->last_event_id > ir->run_first_event_id,
	};
	struct item_retry_limits limits =
	    retry_limits(ir->run, find_route(ir->run));
	int32_t failures = ir->retry.failures;
	struct item_retry_decision decision =
	    item_retry_decide(&ir->retry, &end, &limits, now_us(ir->run));

	log_run_ended(ir, result, &decision);
	if (decision.give_up != NULL) {
		fail_item(ir, decision.give_up);
		return;
	}
	if (ir->retry.failures > failures)
		jobs_progress_save_failures(ir);
	schedule_retry(ir, decision.wait_us);
}

static void
record_pace(struct item_run *ir, const struct relay_result *result)
{
	struct item_pace_run done = {
	    .tokens = ir->item->tokens,
	    .events = ir->last_event_id + 1,
	    .run_events = ir->last_event_id - ir->run_first_event_id,
	    .run_us =
		now_us(ir->run) - ir->run_requested_us - result->slot_wait_us,
	};

	/* The silence of another target says nothing of the pace. */
	if (result->attempts > 1)
		return;
	item_pace_record(&ir->run->js->pace, &done);
}

static void
on_end(void *ctx, const struct relay_result *result)
{
	struct item_run *ir = ctx;

	ir->relay = NULL;
	if (result->outcome != kRelayComplete || !ir->is_stream) {
		on_no_result(ir, result);
		return;
	}
	record_pace(ir, result);
	item_ready(ir, true);
}

static const struct relay_ops relay_ops = {on_head, on_data, jobs_guard_may_run,
    jobs_guard_on_begun, jobs_guard_on_lost_run, on_end};

static void
item_start(struct item_run *ir, const struct routebook_route *route)
{
	struct job_run *run = ir->run;
	struct header_list *headers = jobs_item_headers(ir->item);
	struct prompt_parts parts;
	struct relay_options opt = {
	    .method = "POST",
	    .uri = ir->item->path,
	    .headers = headers,
	    .body = ir->item->body,
	    .attempt_id = ir->item->id,
	    .service = routebook_pick_service(route, g_str_hash(ir->item->id)),
	    .is_batch = true,
	    .deadline_us = run->due_us,
	    .expected_run_us = item_pace_expected_run_us(
		&run->js->pace, ir->item->tokens, ir->last_event_id + 1),
	    .attempts_max = 1,
	    .may_repeat = true,
	    .is_resumable = true,
	    .last_event_id = ir->last_event_id,
	    .team = run->job->team,
	    .strips_credentials = jobs_has_teams(run->js),
	    .stall_timeout_us = kStallTimeoutUs,
	    .stream_bytes_max =
		MAX(kItemjobTextBytesMax - (int64_t)ir->text->len, 1),
	    .ops = &relay_ops,
	    .ctx = ir,
	};

	run->js->opt.deps.dialect->decode_parts(headers, &parts);
	opt.parts = prompt_keys(&parts);
	header_list_set(headers, "Host", run->job->host);
	ir->phase = kItemRunning;
	ir->run_requested_us = now_us(run);
	ir->run_first_event_id = ir->last_event_id;
	ir->status = 0;
	ir->is_stream = false;
	ir->relay = relay_start(&run->js->opt.deps, &opt);
	header_list_free(headers);
}

void
jobs_run_start_due(struct job_run *run)
{
	const struct routebook_route *route = find_route(run);
	struct item_retry_limits limits = retry_limits(run, route);
	int64_t now = now_us(run);

	if (run->js->opt.routes(run->js->opt.ctx) == NULL ||
	    run->js->is_leaving || run->is_dropped)
		return;
	for (guint i = 0; i < run->items->len; i++) {
		struct item_run *ir = &run->runs[i];
		bool is_waiting = ir->phase == kItemWaiting;

		/* A run in progress may end also past the item's time. */
		if (!is_waiting &&
		    (ir->relay == NULL || !relay_waits_for_slot(ir->relay)))
			continue;
		if (item_retry_is_expired(&limits, now))
			expire_item(ir);
		else if (!is_waiting || ir->next_attempt_us > now ||
		    ir->item->body == NULL)
			continue;
		else if (route == NULL)
			ir->next_attempt_us = now + kRetryWithoutRouteUs;
		else if (!jobs_guard_is_blocked(ir, now))
			item_start(ir, route);
		if (run->is_dropped)
			return;
	}
}

/* A result that is being committed to the store. */
struct commit {
	struct job_run *run;
	struct jobs *js;
	struct item_run *ir;
	char *job_id;
	int32_t index;
	struct itemjob_result result;
	enum store_result outcome;
	/** After a conflict: the listed items, struct itemjob_done. */
	GArray *done;
};

static void
commit_work(void *ctx)
{
	struct commit *c = ctx;
	const struct store *st = c->js->opt.store;

	c->outcome = itemjob_commit(st, c->job_id, c->index, &c->result);
	if (c->outcome == kStoreConflict &&
	    itemjob_read_done(st, c->job_id, &c->done) != kStoreOk)
		c->outcome = kStoreUnavailable;
}

static void
commit_free(struct commit *c)
{
	if (c->done != NULL)
		g_array_unref(c->done);
	g_free(c->result.item_id);
	g_free(c->result.text);
	g_free(c->job_id);
	g_free(c);
}

struct close_task {
	struct jobs *js;
	char *id;
	enum store_result outcome;
};

static void
close_work(void *ctx)
{
	struct close_task *task = ctx;

	task->outcome = itemjob_close(task->js->opt.store, task->id);
}

static void
close_done(void *ctx)
{
	struct close_task *task = ctx;

	/* If this failed, the job is still listed as open and gets closed
	 * later. */
	log_event(kEvtJobDone, "job", task->id, "closed",
	    task->outcome == kStoreOk ? "yes" : "no", NULL);
	g_free(task->id);
	g_free(task);
}

static void
finish_run(struct job_run *run)
{
	struct close_task *task = g_new0(struct close_task, 1);

	task->js = run->js;
	task->id = g_strdup(run->job->id);
	jobs_run_drop(run, "finished");
	if (!offload_run(task->js->opt.offload, close_work, close_done, task)) {
		g_free(task->id);
		g_free(task);
	}
}

static void
mark_listed(struct item_run *ir)
{
	struct job_run *run = ir->run;

	if (ir->phase == kItemListed)
		return;
	if (ir->relay != NULL)
		relay_cancel(ir->relay);
	ir->relay = NULL;
	g_queue_remove(&run->ready, ir);
	ir->phase = kItemListed;
	run->listed++;
	metric_add(kMetItems, 1);
	histogram_record(kHistItemDone, now_us(run) - run->accepted_us);
	g_string_truncate(ir->text, 0);
	if (ir->item->body != NULL)
		g_bytes_unref(ir->item->body);
	ir->item->body = NULL;
}

/* Applies the listed items of the store: another daemon ran the job as well. */
static void
apply_done(struct job_run *run, const GArray *done)
{
	for (guint i = 0; i < done->len; i++) {
		const struct itemjob_done *d =
		    &g_array_index(done, struct itemjob_done, i);

		run->next_position = MAX(run->next_position, d->position + 1);
		if (d->index >= 0 && d->index < (int32_t)run->items->len)
			mark_listed(&run->runs[d->index]);
	}
}

static void
retry_commit(void *ctx)
{
	struct job_run *run = ctx;

	run->is_committing = false;
	if (run->is_dropped)
		jobs_run_free(run);
	else
		commit_next(run);
}

static void
commit_done(void *ctx)
{
	struct commit *c = ctx;
	struct job_run *run = c->run;

	run->is_committing = false;
	if (run->is_dropped) {
		jobs_run_free(run);
		commit_free(c);
		return;
	}
	log_event(kEvtItemListed, "job", c->job_id, "item", c->result.item_id,
	    "position", log_number(c->result.position), "completed",
	    c->result.is_completed ? "yes" : "no", "store",
	    store_result_text(c->outcome), "age_us",
	    log_number(now_us(run) - run->accepted_us), NULL);
	switch (c->outcome) {
	case kStoreOk:
		run->next_position =
		    MAX(run->next_position, c->result.position + 1);
		mark_listed(c->ir);
		break;
	case kStoreConflict:
		apply_done(run, c->done);
		break;
	default:
		/* Keeps the result and retries until the store accepts it. */
		run->is_committing = true;
		loop_timer(run->js->opt.deps.lp, now_us(run) + kCommitRetryUs,
		    retry_commit, run);
		commit_free(c);
		return;
	}
	commit_free(c);
	commit_next(run);
}

/* Lists the next result; one at a time, so that positions have no gaps. */
static void
commit_next(struct job_run *run)
{
	struct item_run *ir = g_queue_peek_head(&run->ready);
	struct commit *c;

	if (run->is_committing || run->is_dropped)
		return;
	if (run->listed == (int32_t)run->items->len) {
		finish_run(run);
		return;
	}
	if (ir == NULL)
		return;
	c = g_new0(struct commit, 1);
	c->run = run;
	c->js = run->js;
	c->ir = ir;
	c->job_id = g_strdup(run->job->id);
	c->index = ir->index;
	c->result.position = run->next_position;
	c->result.item_id = g_strdup(ir->item->id);
	c->result.is_completed = ir->is_completed;
	c->result.text = g_strdup(ir->text->str);
	run->is_committing = true;
	if (offload_run(run->js->opt.offload, commit_work, commit_done, c))
		return;
	commit_free(c);
	loop_timer(run->js->opt.deps.lp, now_us(run) + kCommitRetryUs,
	    retry_commit, run);
}

static void
init_items(struct job_run *run)
{
	run->runs = g_new0(struct item_run, run->items->len);
	for (guint i = 0; i < run->items->len; i++) {
		struct item_run *ir = &run->runs[i];

		ir->run = run;
		ir->index = (int32_t)i;
		ir->item = run->items->pdata[i];
		ir->text = g_string_new(NULL);
		ir->last_event_id = -1;
		ir->retry.seed = g_str_hash(ir->item->id);
		jobs_guard_init(ir);
	}
}

void
jobs_run_start(struct jobs *js, struct itemjob *job, GPtrArray *items,
    const GArray *done, const GArray *progress, int64_t accepted_us)
{
	const struct routebook_route *route;
	struct job_run *run;
	int64_t store_ms = -1;

	/* A late submission may meet the run of its own takeover. */
	if (g_hash_table_contains(js->runs, job->id)) {
		g_ptr_array_unref(items);
		itemjob_free(job);
		return;
	}
	run = g_new0(struct job_run, 1);
	js->opt.store->ops->now_ms(js->opt.store->ctx, &store_ms);
	run->js = js;
	run->job = job;
	run->items = items;
	run->started_us = loop_now_us(js->opt.deps.lp);
	run->accepted_us = accepted_us;
	route = find_route(run);
	run->due_us =
	    accepted_us + (route != NULL ? route->job_due_us : kDueDefaultUs);
	g_queue_init(&run->ready);
	init_items(run);
	g_hash_table_insert(js->runs, run->job->id, run);
	log_event(kEvtJobStarted, "job", job->id, "items",
	    log_number(items->len), "listed",
	    log_number(done != NULL ? done->len : 0), "age_us",
	    log_number(run->started_us - accepted_us), "accepted_store_ms",
	    log_number(job->accepted_ms), "store_ms", log_number(store_ms),
	    NULL);
	if (progress != NULL)
		jobs_progress_restore(run, progress);
	if (done != NULL)
		apply_done(run, done);
	if (run->listed == (int32_t)run->items->len)
		finish_run(run);
	else
		jobs_run_start_due(run);
}

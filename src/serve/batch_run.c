/*
 * Batch execution of one daemon: leases chunks, runs their items as calls and
 * commits the results. The runner's lock is acquired before a call's lock, and
 * is not held while a call is started or cancelled.
 */
#include "serve/batch_run.h"

#include <inttypes.h>
#include <jansson.h>
#include <pthread.h>
#include <string.h>

#include "error/error.h"
#include "log/log.h"
#include "metric/metric.h"
#include "os/json_text.h"
#include "savoryflow/batch/batch_session.h"
#include "savoryflow/batch/batch_store.h"
#include "savoryflow/batch/batch_window.h"
#include "savoryflow/retry/retry_table.h"
#include "serve/call_run.h"
#include "serve/poller.h"
#include "serve/session_watch.h"

enum {
	/* Open jobs whose chunks are read in one poll. */
	kOpenJobsMax = 200,
	/* Waits after the items of a chunk were missing. */
	kUnreadFirstUs = kUsPerS,
	kUnreadMaxUs = 60 * kUsPerS,
	/* Chunks held at once: one finishing and one starting. */
	kChunksMax = 2,
	/* An item without a result after this time fails. */
	kItemDeadlineS = 7 * 24 * 3600,
	/* After a store outage, the commits of all daemons are spread over this
	 * number of polls to avoid a burst. */
	kCommitSpreadPolls = 2,
	/* Period at which a held chunk's job is checked for cancellation. */
	kCancelCheckPeriodUs = 5 * kUsPerS,
};

struct chunk_run;

struct item_run {
	struct chunk_run *cr;
	int32_t index;
	struct call *call;
};

struct chunk_run {
	gint refs;
	struct batch_runner *br;
	struct batch_job *job;
	int32_t number;
	char *claim;
	/** Session under which the chunk is leased. */
	char *session;
	/** Items as JSON, and the result line of each. */
	GPtrArray *items;
	char **results;
	struct item_run *runs;
	int32_t next_item;
	int32_t running;
	int32_t finished;
	int32_t ok;
	int32_t failed;
	bool is_aborted;
	int64_t next_cancel_check_us;
	/** Earliest time of the next commit attempt. */
	int64_t next_commit_us;
};

struct batch_runner {
	struct daemon *d;
	pthread_mutex_t lock;
	struct batch_session session;
	bool has_session;
	uint64_t sessions;
	/** struct chunk_run held by this daemon. */
	GPtrArray *chunks;
	int32_t inflight;
	struct batch_window window;
	/** Chunks whose items could not be read. */
	struct retry_table *unread;
	bool is_stopping;
	struct session_watch *watch;
};

static void start_items(struct chunk_run *cr);

static void
chunk_run_unref(struct chunk_run *cr)
{
	if (!g_atomic_int_dec_and_test(&cr->refs))
		return;
	for (guint i = 0; i < cr->items->len; i++)
		g_free(cr->results[i]);
	g_free(cr->results);
	g_free(cr->runs);
	g_ptr_array_unref(cr->items);
	batch_job_free(cr->job);
	g_free(cr->claim);
	g_free(cr->session);
	g_free(cr);
}

struct batch_runner *
batch_runner_new(struct daemon *d)
{
	struct batch_runner *br = g_new0(struct batch_runner, 1);

	br->d = d;
	pthread_mutex_init(&br->lock, NULL);
	br->chunks = g_ptr_array_new();
	br->unread = retry_table_new(kUnreadFirstUs, kUnreadMaxUs);
	br->watch = session_watch_new(d);
	return br;
}

void
batch_runner_free(struct batch_runner *br)
{
	for (guint i = 0; i < br->chunks->len; i++)
		chunk_run_unref(br->chunks->pdata[i]);
	g_ptr_array_unref(br->chunks);
	retry_table_free(br->unread);
	session_watch_free(br->watch);
	batch_session_clear(&br->session);
	pthread_mutex_destroy(&br->lock);
	g_free(br);
}

static char *
result_line(const struct chunk_run *cr, int32_t index, struct call *call)
{
	struct call_view view = call_view_get(call);
	json_t *item = cr->items->pdata[index];
	json_t *id = json_object_get(item, "id");
	int64_t number = (int64_t)cr->number * cr->job->chunk_items + index;
	json_t *doc =
	    json_pack("{s:I,s:O?}", "index", (json_int_t)number, "id", id);
	char *text;

	if (view.error < 0) {
		char *answer = call_text(call);

		json_object_set_new(doc, "status", json_string("ok"));
		json_object_set_new(doc, "answer", json_text(answer));
		g_free(answer);
	} else {
		json_object_set_new(doc, "status", json_string("failed"));
		json_object_set_new(
		    doc, "error", json_string(sf_error_type(view.error)));
	}
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	return text;
}

/* Stores the result of a call that has ended and starts the next item. */
static void
on_item_notify(void *ctx)
{
	struct item_run *run = ctx;
	struct chunk_run *cr = run->cr;
	struct batch_runner *br = cr->br;
	struct call *call;
	bool needs_poll;

	if (!call_view_get(run->call).is_done)
		return;
	pthread_mutex_lock(&br->lock);
	call = run->call;
	if (cr->results[run->index] != NULL) {
		pthread_mutex_unlock(&br->lock);
		return;
	}
	cr->results[run->index] = result_line(cr, run->index, call);
	if (call_view_get(call).error < 0)
		cr->ok++;
	else
		cr->failed++;
	cr->running--;
	cr->finished++;
	br->inflight--;
	needs_poll = cr->is_aborted || cr->finished == (int32_t)cr->items->len;
	pthread_mutex_unlock(&br->lock);
	if (needs_poll)
		poller_trigger_batch(br->d->poller);
	else
		start_items(cr);
	call_unref(call);
}

/* The call is freed; releases its reference to the chunk. */
static void
on_item_release(void *ctx)
{
	struct item_run *run = ctx;

	chunk_run_unref(run->cr);
}

static struct call *
item_call(struct chunk_run *cr, struct item_run *run)
{
	struct daemon *d = cr->br->d;
	json_t *item = cr->items->pdata[run->index];
	json_t *body = json_deep_copy(json_object_get(item, "body"));
	int64_t now_us = clock_mono_us(d->clk);
	int64_t wall_us = clock_wall_us(d->clk);
	struct call_options opt = {
	    .work_class = kWorkBatch,
	    .service = cr->job->service,
	    .is_engine = true,
	    .is_idempotent = true,
	    .team = cr->job->team,
	    .weight = cr->job->weight,
	    .deadline_us = now_us + kItemDeadlineS * (int64_t)kUsPerS,
	    .due_us = cr->job->due_us > 0 ? now_us + cr->job->due_us - wall_us
					  : INT64_MAX / 2,
	    .notify = on_item_notify,
	    .release = on_item_release,
	    .ctx = run,
	};
	struct call *call;
	char *text;

	json_object_set_new(body, "stream", json_true());
	text = json_dumps(body, JSON_COMPACT);
	opt.body = g_bytes_new_with_free_func(text, strlen(text), free, text);
	call = call_new(d, &opt);
	g_bytes_unref(opt.body);
	json_decref(body);
	return call;
}

/*
 * Creates the call of the next item if the daemon may run one more.
 * @return the call with a reference, or NULL
 */
static struct call *
create_next_call(struct chunk_run *cr)
{
	struct batch_runner *br = cr->br;
	struct item_run *run;
	struct call *call = NULL;

	pthread_mutex_lock(&br->lock);
	if (!cr->is_aborted && !br->is_stopping &&
	    cr->next_item < (int32_t)cr->items->len &&
	    br->inflight < br->d->set->batch_inflight_items) {
		run = &cr->runs[cr->next_item];
		run->cr = cr;
		run->index = cr->next_item++;
		run->call = item_call(cr, run);
		/* Reference for the caller, since the call may be cancelled
		 * before it starts. */
		call_ref(run->call);
		cr->running++;
		br->inflight++;
		g_atomic_int_inc(&cr->refs);
		call = run->call;
	}
	pthread_mutex_unlock(&br->lock);
	return call;
}

static void
start_items(struct chunk_run *cr)
{
	struct call *call;

	while ((call = create_next_call(cr)) != NULL) {
		call_start(call);
		call_unref(call);
	}
}

static GPtrArray *
parse_items(GBytes *data)
{
	GPtrArray *items =
	    g_ptr_array_new_with_free_func((GDestroyNotify)json_decref);
	gsize len;
	const char *text = g_bytes_get_data(data, &len);
	const char *end = text + len;

	while (text < end) {
		const char *eol = memchr(text, '\n', (size_t)(end - text));
		size_t n = (size_t)((eol != NULL ? eol : end) - text);
		json_t *item = n > 0 ? json_text_load_bytes(text, n) : NULL;

		if (item != NULL)
			g_ptr_array_add(items, item);
		text += n + 1;
	}
	return items;
}

static struct chunk_run *
chunk_run_new(struct batch_runner *br, struct batch_job *job, int32_t number,
    const char *claim, GBytes *data)
{
	struct chunk_run *cr = g_new0(struct chunk_run, 1);

	cr->refs = 1;
	cr->br = br;
	cr->job = job;
	cr->number = number;
	cr->claim = g_strdup(claim);
	cr->session = g_strdup(br->session.id);
	cr->items = parse_items(data);
	cr->results = g_new0(char *, cr->items->len);
	cr->runs = g_new0(struct item_run, cr->items->len);
	cr->next_cancel_check_us =
	    clock_mono_us(br->d->clk) + kCancelCheckPeriodUs;
	return cr;
}

/* Cancels a chunk's running items; its results are discarded. */
static void
abort_chunk(struct chunk_run *cr)
{
	GPtrArray *calls = g_ptr_array_new();

	pthread_mutex_lock(&cr->br->lock);
	cr->is_aborted = true;
	for (int32_t i = 0; i < cr->next_item; i++)
		if (cr->results[i] == NULL)
			g_ptr_array_add(calls, call_ref(cr->runs[i].call));
	pthread_mutex_unlock(&cr->br->lock);
	for (guint i = 0; i < calls->len; i++) {
		call_cancel(calls->pdata[i]);
		call_unref(calls->pdata[i]);
	}
	g_ptr_array_unref(calls);
}

/* @return new array of the held chunks that owns a reference to each */
static GPtrArray *
held_chunks(struct batch_runner *br)
{
	GPtrArray *list =
	    g_ptr_array_new_with_free_func((GDestroyNotify)chunk_run_unref);

	pthread_mutex_lock(&br->lock);
	for (guint i = 0; i < br->chunks->len; i++) {
		struct chunk_run *cr = br->chunks->pdata[i];

		g_atomic_int_inc(&cr->refs);
		g_ptr_array_add(list, cr);
	}
	pthread_mutex_unlock(&br->lock);
	return list;
}

static void
remove_chunk(struct chunk_run *cr)
{
	bool was_held;

	pthread_mutex_lock(&cr->br->lock);
	was_held = g_ptr_array_remove(cr->br->chunks, cr);
	pthread_mutex_unlock(&cr->br->lock);
	if (was_held)
		chunk_run_unref(cr);
}

static void
log_chunk(enum log_event_id id, const struct chunk_run *cr)
{
	char number[16];

	g_snprintf(number, sizeof(number), "%d", cr->number);
	log_event(id, "team", cr->job->team, "job", cr->job->id, "chunk",
	    number, NULL);
}

static void
finish_job(struct batch_runner *br, const struct batch_job *job)
{
	bool done = false;

	batch_finish(br->d->store, job, &done);
	if (done)
		log_event(kEvtJobDone, "team", job->team, "job", job->id, NULL);
}

static enum store_result
commit_chunk(struct batch_runner *br, struct chunk_run *cr)
{
	struct batch_session session = {cr->session, 0};
	GString *data = g_string_new(NULL);
	struct batch_results results = {
	    cr->number, cr->claim, NULL, 0, cr->ok, cr->failed};
	enum store_result res;

	for (guint i = 0; i < cr->items->len; i++)
		g_string_append_printf(data, "%s\n", cr->results[i]);
	results.data = data->str;
	results.len = data->len;
	res = batch_commit(br->d->store, &session, cr->job, &results);
	g_string_free(data, TRUE);
	return res;
}

/* After a store outage, delays this daemon's commit by a random time. */
static void
delay_commit(struct batch_runner *br, struct chunk_run *cr)
{
	int64_t spread_us =
	    kCommitSpreadPolls * br->d->set->batch_poll_ms * kUsPerMs;

	cr->next_commit_us = clock_mono_us(br->d->clk) +
	    (int64_t)(daemon_unique_id(br->d) % (uint64_t)spread_us);
}

/* Commits a chunk whose items are all finished. */
static void
try_commit_chunk(struct batch_runner *br, struct chunk_run *cr)
{
	enum store_result res;

	if (clock_mono_us(br->d->clk) < cr->next_commit_us)
		return;
	res = commit_chunk(br, cr);
	daemon_record_store_state(
	    br->d, res == kStoreOk || res == kStoreConflict);
	if (res == kStoreOk) {
		metric_add(kMetItems, cr->items->len);
		log_chunk(kEvtChunkCommitted, cr);
		remove_chunk(cr);
		poller_trigger_batch(br->d->poller);
	} else if (res == kStoreConflict) {
		log_chunk(kEvtChunkLost, cr);
		remove_chunk(cr);
	} else {
		delay_commit(br, cr);
	}
}

static bool
has_job_ended(struct batch_runner *br, struct chunk_run *cr)
{
	int64_t now_us = clock_mono_us(br->d->clk);
	struct batch_job *job = NULL;
	bool ended;

	if (now_us < cr->next_cancel_check_us)
		return false;
	cr->next_cancel_check_us = now_us + kCancelCheckPeriodUs;
	if (batch_get_job(br->d->store, cr->job->team, cr->job->id, &job) !=
	    kStoreOk)
		return false;
	ended = job->state != kJobRunning;
	batch_job_free(job);
	return ended;
}

struct chunk_state {
	bool is_complete;
	bool is_idle;
	bool is_aborted;
};

static struct chunk_state
chunk_state_get(struct chunk_run *cr)
{
	struct chunk_state state;

	pthread_mutex_lock(&cr->br->lock);
	state.is_complete = cr->finished == (int32_t)cr->items->len;
	state.is_idle = cr->running == 0;
	state.is_aborted = cr->is_aborted;
	pthread_mutex_unlock(&cr->br->lock);
	return state;
}

static void
advance_chunk(struct batch_runner *br, struct chunk_run *cr)
{
	struct chunk_state state = chunk_state_get(cr);

	if (!state.is_aborted && has_job_ended(br, cr)) {
		abort_chunk(cr);
		state = chunk_state_get(cr);
	}
	if (state.is_aborted && state.is_idle)
		remove_chunk(cr);
	else if (state.is_complete && !state.is_aborted)
		try_commit_chunk(br, cr);
	else
		start_items(cr);
}

static void
advance_chunks(struct batch_runner *br)
{
	GPtrArray *list = held_chunks(br);

	for (guint i = 0; i < list->len; i++)
		advance_chunk(br, list->pdata[i]);
	g_ptr_array_unref(list);
}

/*
 * A claim of this session that is not held here was left over when the store
 * failed between the claim and reading the input.
 */
static bool
holds_claim(struct batch_runner *br, const char *claim)
{
	bool is_held = false;

	pthread_mutex_lock(&br->lock);
	for (guint i = 0; i < br->chunks->len; i++) {
		const struct chunk_run *cr = br->chunks->pdata[i];

		is_held = is_held || strcmp(cr->claim, claim) == 0;
	}
	pthread_mutex_unlock(&br->lock);
	return is_held;
}

static char *
chunk_name(const struct batch_job *job, int32_t chunk)
{
	return g_strdup_printf("%s/%s/%d", job->team, job->id, chunk);
}

static bool
is_unread(struct batch_runner *br, const struct batch_job *job, int32_t chunk)
{
	char *name = chunk_name(job, chunk);
	bool is_due =
	    retry_table_is_due(br->unread, name, clock_mono_us(br->d->clk));

	g_free(name);
	return !is_due;
}

static bool
is_claimable(struct batch_runner *br, const struct batch_chunk *chunk)
{
	if (chunk->state == kChunkOpen)
		return true;
	if (chunk->state == kChunkDone || chunk->session == NULL)
		return false;
	if (strcmp(chunk->session, br->session.id) == 0)
		return !holds_claim(br, chunk->claim);
	return session_watch_is_lease_stale(br->watch, chunk) &&
	    session_watch_end_if_stale(br->watch, chunk->session);
}

static struct batch_job *
job_copy(const struct batch_job *job)
{
	struct batch_job *copy = g_new(struct batch_job, 1);

	*copy = *job;
	copy->team = g_strdup(job->team);
	copy->id = g_strdup(job->id);
	copy->service = g_strdup(job->service);
	copy->upload = g_strdup(job->upload);
	copy->digest = g_strdup(job->digest);
	return copy;
}

/* A chunk whose items are missing is tried again seldom, in case they can be
 * read later. */
static void
record_unread(struct batch_runner *br, const struct batch_job *job,
    int32_t chunk, enum store_result res)
{
	char *name = chunk_name(job, chunk);
	int32_t count;
	int64_t wait_us = retry_table_fail(br->unread, name,
	    res == kStoreNotFound, clock_mono_us(br->d->clk), &count);

	log_event(kEvtChunkUnread, "team", job->team, "job", job->id, "chunk",
	    log_number(chunk), "store", store_result_text(res), "failures",
	    log_number(count), "wait_us", log_number(wait_us), NULL);
	g_free(name);
}

static void
forget_unread(
    struct batch_runner *br, const struct batch_job *job, int32_t chunk)
{
	char *name = chunk_name(job, chunk);

	retry_table_remove(br->unread, name);
	g_free(name);
}

static bool
run_chunk(struct batch_runner *br, const struct batch_job *job,
    const struct batch_chunk *chunk)
{
	char claim[32];
	GBytes *data = NULL;
	struct chunk_run *cr;
	enum store_result res;

	g_snprintf(
	    claim, sizeof(claim), "%016" PRIx64, daemon_unique_id(br->d));
	if (batch_claim(br->d->store, &br->session, job, chunk, claim) !=
	    kStoreOk)
		return false;
	res = batch_get_input(br->d->store, job, chunk->number, &data);
	if (res != kStoreOk) {
		record_unread(br, job, chunk->number, res);
		batch_release_claim(br->d->store, job, chunk->number, claim);
		return false;
	}
	forget_unread(br, job, chunk->number);
	cr = chunk_run_new(br, job_copy(job), chunk->number, claim, data);
	g_bytes_unref(data);
	pthread_mutex_lock(&br->lock);
	g_ptr_array_add(br->chunks, cr);
	pthread_mutex_unlock(&br->lock);
	start_items(cr);
	return true;
}

static bool
has_capacity_for_chunk(struct batch_runner *br)
{
	int32_t unstarted = 0;
	bool has_capacity;

	pthread_mutex_lock(&br->lock);
	for (guint i = 0; i < br->chunks->len; i++) {
		const struct chunk_run *cr = br->chunks->pdata[i];

		unstarted += (int32_t)cr->items->len - cr->next_item;
	}
	has_capacity = br->has_session && !br->is_stopping &&
	    br->chunks->len < kChunksMax && unstarted == 0 &&
	    br->inflight < br->d->set->batch_inflight_items;
	pthread_mutex_unlock(&br->lock);
	return has_capacity;
}

/* Each daemon starts at a different chunk to reduce contention. */
static bool
claim_from_job(struct batch_runner *br, const struct batch_job *job)
{
	GPtrArray *chunks = NULL;
	bool claimed = false;
	bool all_done = true;
	guint n;
	guint start;

	if (batch_chunks(br->d->store, job, &chunks) != kStoreOk)
		return false;
	n = chunks->len;
	start = (guint)(daemon_unique_id(br->d) * 2654435761U % MAX(n, 1));
	for (guint i = 0; i < n && !claimed; i++) {
		const struct batch_chunk *chunk =
		    chunks->pdata[(start + i) % n];

		all_done = all_done && chunk->state == kChunkDone;
		if (!is_unread(br, job, chunk->number) &&
		    is_claimable(br, chunk))
			claimed = run_chunk(br, job, chunk);
	}
	g_ptr_array_unref(chunks);
	if (all_done && !claimed)
		finish_job(br, job);
	return claimed;
}

static int
compare_due_times(const void *a, const void *b)
{
	const struct batch_job *x = *(struct batch_job *const *)a;
	const struct batch_job *y = *(struct batch_job *const *)b;
	int64_t due_x = x->due_us > 0 ? x->due_us : INT64_MAX;
	int64_t due_y = y->due_us > 0 ? y->due_us : INT64_MAX;

	if (due_x != due_y)
		return due_x < due_y ? -1 : 1;
	return (x->created_us > y->created_us) -
	    (x->created_us < y->created_us);
}

static void
claim_from_jobs(struct batch_runner *br, const GPtrArray *jobs)
{
	uint32_t count;
	uint32_t first =
	    batch_window_next(&br->window, jobs->len, kOpenJobsMax, &count);

	for (uint32_t i = 0; i < count && has_capacity_for_chunk(br); i++)
		while (has_capacity_for_chunk(br) &&
		    claim_from_job(br, jobs->pdata[(first + i) % jobs->len]))
			batch_window_reset(&br->window);
}

static void
claim_work(struct batch_runner *br)
{
	GPtrArray *jobs = NULL;
	int64_t began_us = clock_mono_us(br->d->clk);
	enum store_result res;

	if (!has_capacity_for_chunk(br))
		return;
	res = batch_open_jobs(br->d->store, &jobs);
	session_watch_record_call(br->watch, began_us, res);
	daemon_record_store_state(br->d, res == kStoreOk);
	if (res != kStoreOk)
		return;
	g_ptr_array_sort(jobs, compare_due_times);
	claim_from_jobs(br, jobs);
	g_ptr_array_unref(jobs);
}

void
batch_runner_poll(struct batch_runner *br)
{
	advance_chunks(br);
	claim_work(br);
}

static void
start_session(struct batch_runner *br)
{
	char *id = g_strdup_printf("%s/%" PRIu64 ".%" PRIu64,
	    br->d->set->peer_listen, br->d->incarnation, ++br->sessions);

	batch_session_clear(&br->session);
	if (batch_session_start(br->d->store, id, &br->session) == kStoreOk)
		br->has_session = true;
	g_free(id);
}

static void
handle_session_lost(struct batch_runner *br)
{
	GPtrArray *list = held_chunks(br);

	log_event(kEvtSessionLost, "session", br->session.id, NULL);
	br->has_session = false;
	for (guint i = 0; i < list->len; i++)
		abort_chunk(list->pdata[i]);
	g_ptr_array_unref(list);
}

void
batch_runner_heartbeat(struct batch_runner *br)
{
	int64_t began_us = clock_mono_us(br->d->clk);
	enum store_result res;

	if (!br->has_session) {
		start_session(br);
		return;
	}
	res = batch_session_heartbeat(br->d->store, &br->session);
	session_watch_record_call(br->watch, began_us, res);
	daemon_record_store_state(
	    br->d, res == kStoreOk || res == kStoreConflict);
	if (res == kStoreConflict)
		handle_session_lost(br);
}

void
batch_runner_cancel(struct batch_runner *br, const char *job)
{
	GPtrArray *list = held_chunks(br);

	for (guint i = 0; i < list->len; i++) {
		struct chunk_run *cr = list->pdata[i];
		char *name =
		    g_strdup_printf("%s/%s", cr->job->team, cr->job->id);

		if (strcmp(name, job) == 0)
			abort_chunk(cr);
		g_free(name);
	}
	g_ptr_array_unref(list);
	poller_trigger_batch(br->d->poller);
}

void
batch_runner_stop(struct batch_runner *br)
{
	GPtrArray *list;

	pthread_mutex_lock(&br->lock);
	br->is_stopping = true;
	pthread_mutex_unlock(&br->lock);
	list = held_chunks(br);
	for (guint i = 0; i < list->len; i++) {
		struct chunk_run *cr = list->pdata[i];

		abort_chunk(cr);
		batch_release_claim(
		    br->d->store, cr->job, cr->number, cr->claim);
	}
	g_ptr_array_unref(list);
}

/* Quotas that this daemon counts for all. */
#include <string.h>

#include "gateway/quota_internal.h"
#include "log/log.h"

enum {
	/* Period of the comparison with the open jobs in the store. */
	kSyncPeriodUs = 3 * kUsPerS,
	/* A quota without requests for this time, and without waiting tokens,
	 * is dropped. */
	kIdleUs = 60 * kUsPerS,
	/* A daemon that starts knows no others at first: it counts before it is
	 * asked only if it stays elected for this time. */
	kPrepareUs = 2 * kUsPerS,
};

struct hosted_quota {
	struct quota *qt;
	char *route;
	/** Counted only once it is loaded. */
	bool is_loaded;
	bool is_busy;
	/** Since when this daemon is elected; 0 if it is not. */
	int64_t elected_us;
	struct token_quota *count;
	int64_t fence;
	int64_t used_us;
	int64_t loaded_us;
	/** struct quota_ask that wait for the load. */
	GArray *pending;
};

/* Work at the store for a hosted quota, or for all that are loaded. */
struct load {
	struct quota *qt;
	/** NULL: all; no fence is taken then. */
	char *route;
	int64_t started_us;
	int64_t fence;
	enum store_result outcome;
	/** struct itemjob_open *. */
	GPtrArray *open;
};

static void
pending_clear(struct hosted_quota *hq)
{
	for (guint i = 0; i < hq->pending->len; i++)
		g_free(g_array_index(hq->pending, struct quota_ask, i).job);
	g_array_set_size(hq->pending, 0);
}

void
quota_host_free(void *p)
{
	struct hosted_quota *hq = p;

	pending_clear(hq);
	g_array_unref(hq->pending);
	token_quota_free(hq->count);
	g_free(hq->route);
	g_free(hq);
}

static struct hosted_quota *
hosted_get(struct quota *qt, const char *route)
{
	struct hosted_quota *hq = g_hash_table_lookup(qt->hosted, route);

	if (hq == NULL) {
		hq = g_new0(struct hosted_quota, 1);
		hq->qt = qt;
		hq->route = g_strdup(route);
		hq->count = token_quota_new();
		hq->pending =
		    g_array_new(FALSE, TRUE, sizeof(struct quota_ask));
		g_hash_table_insert(qt->hosted, hq->route, hq);
	}
	hq->used_us = loop_now_us(qt->opt.lp);
	return hq;
}

static void
answer_ask(struct hosted_quota *hq, const struct quota_ask *ask)
{
	int64_t now_us = loop_now_us(hq->qt->opt.lp);
	struct quota_answer answer = {
	    .verdict = kQuotaGranted, .fence = hq->fence};

	if (!token_quota_reserve(
		hq->count, ask->job, ask->tokens, ask->limit, now_us)) {
		answer.verdict = kQuotaRefused;
		answer.retry_after_us = token_quota_retry_after_us(
		    hq->count, ask->tokens, ask->limit);
	}
	log_event(kEvtQuotaAnswered, "job", ask->job, "route", hq->route,
	    "granted", answer.verdict == kQuotaGranted ? "yes" : "no", "tokens",
	    log_number(ask->tokens), "waiting",
	    log_number(token_quota_waiting(hq->count)), "limit",
	    log_number(ask->limit), NULL);
	quota_send_answer(hq->qt, ask, &answer);
}

static void
answer_pending(struct hosted_quota *hq)
{
	struct quota_answer unavailable = {.verdict = kQuotaUnavailable};

	for (guint i = 0; i < hq->pending->len; i++) {
		const struct quota_ask *ask =
		    &g_array_index(hq->pending, struct quota_ask, i);

		if (hq->is_loaded)
			answer_ask(hq, ask);
		else
			quota_send_answer(hq->qt, ask, &unavailable);
	}
	pending_clear(hq);
}

static void
load_work(void *ctx)
{
	struct load *ld = ctx;
	const struct store *st = ld->qt->opt.store;

	ld->outcome = kStoreOk;
	if (ld->route != NULL)
		ld->outcome = itemjob_take_quota_fence(
		    st, ld->route, ld->qt->opt.session, &ld->fence);
	if (ld->outcome == kStoreOk)
		ld->outcome = itemjob_read_open(st, &ld->open);
}

static GArray *
jobs_of_route(const GPtrArray *open, const char *route)
{
	GArray *jobs = g_array_new(FALSE, TRUE, sizeof(struct token_quota_job));

	for (guint i = 0; i < open->len; i++) {
		const struct itemjob_open *row = open->pdata[i];
		struct token_quota_job job = {row->id, row->quota_tokens};

		if (!row->is_ended && g_strcmp0(row->quota_route, route) == 0)
			g_array_append_val(jobs, job);
	}
	return jobs;
}

static void
load_free(struct load *ld)
{
	if (ld->open != NULL)
		g_ptr_array_unref(ld->open);
	g_free(ld->route);
	g_free(ld);
}

static void
sync_count(struct hosted_quota *hq, const struct load *ld)
{
	int64_t now_us = loop_now_us(hq->qt->opt.lp);
	GArray *jobs = jobs_of_route(ld->open, hq->route);

	token_quota_sync(hq->count, jobs, ld->started_us, now_us);
	g_array_unref(jobs);
}

static void
load_done(void *ctx)
{
	struct load *ld = ctx;
	struct hosted_quota *hq = hosted_get(ld->qt, ld->route);

	hq->is_busy = false;
	hq->is_loaded = ld->outcome == kStoreOk;
	hq->fence = ld->fence;
	hq->loaded_us = loop_now_us(ld->qt->opt.lp);
	if (hq->is_loaded)
		sync_count(hq, ld);
	log_event(kEvtQuotaLoaded, "route", hq->route, "store",
	    store_result_text(ld->outcome), "fence", log_number(hq->fence),
	    "waiting", log_number(token_quota_waiting(hq->count)), NULL);
	answer_pending(hq);
	load_free(ld);
}

static void
start_load(struct hosted_quota *hq)
{
	struct load *ld = g_new0(struct load, 1);

	ld->qt = hq->qt;
	ld->route = g_strdup(hq->route);
	ld->started_us = loop_now_us(hq->qt->opt.lp);
	hq->is_busy = true;
	hq->is_loaded = false;
	if (offload_run(hq->qt->opt.offload, load_work, load_done, ld))
		return;
	hq->is_busy = false;
	answer_pending(hq);
	load_free(ld);
}

/* What was loaded after the read began is newer than the read. */
static void
sync_done(void *ctx)
{
	struct load *ld = ctx;
	GHashTableIter it;
	void *val;

	ld->qt->is_syncing = false;
	g_hash_table_iter_init(&it, ld->qt->hosted);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct hosted_quota *hq = val;

		if (ld->outcome == kStoreOk && hq->is_loaded &&
		    hq->loaded_us < ld->started_us)
			sync_count(hq, ld);
	}
	load_free(ld);
}

/* Compares all counts with one read of the open jobs: there may be a count for
 * each of many teams. */
static void
start_sync(struct quota *qt, int64_t now_us)
{
	struct load *ld = g_new0(struct load, 1);

	ld->qt = qt;
	ld->started_us = now_us;
	qt->synced_us = now_us;
	qt->is_syncing = true;
	if (offload_run(qt->opt.offload, load_work, sync_done, ld))
		return;
	qt->is_syncing = false;
	load_free(ld);
}

void
quota_host_ask(struct quota *qt, const char *route, const struct quota_ask *ask)
{
	struct hosted_quota *hq = hosted_get(qt, route);
	bool is_stale = hq->is_loaded && ask->stale_fence != 0 &&
	    ask->stale_fence == hq->fence;
	struct quota_ask copy = *ask;

	if (hq->is_loaded && !is_stale) {
		answer_ask(hq, ask);
		return;
	}
	copy.job = g_strdup(ask->job);
	g_array_append_val(hq->pending, copy);
	if (!hq->is_busy)
		start_load(hq);
}

void
quota_host_prepare(struct quota *qt, const char *route, bool is_elected)
{
	struct hosted_quota *hq = g_hash_table_lookup(qt->hosted, route);
	int64_t now_us = loop_now_us(qt->opt.lp);

	if (!is_elected) {
		if (hq != NULL)
			hq->elected_us = 0;
		return;
	}
	hq = hosted_get(qt, route);
	if (hq->elected_us == 0)
		hq->elected_us = now_us;
	if (!hq->is_loaded && !hq->is_busy &&
	    now_us - hq->elected_us > kPrepareUs)
		start_load(hq);
}

void
quota_host_report(
    struct quota *qt, const char *route, const char *job, int64_t tokens)
{
	struct hosted_quota *hq = g_hash_table_lookup(qt->hosted, route);

	if (hq != NULL)
		token_quota_record(
		    hq->count, job, tokens, loop_now_us(qt->opt.lp));
}

void
quota_host_tick(struct quota *qt, int64_t now_us)
{
	bool has_loaded = false;
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, qt->hosted);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct hosted_quota *hq = val;

		token_quota_tick(hq->count, now_us);
		/* Read again, the jobs would count in full at first. */
		if (!hq->is_busy && now_us - hq->used_us > kIdleUs &&
		    token_quota_waiting(hq->count) == 0)
			g_hash_table_iter_remove(&it);
		else if (hq->is_loaded)
			has_loaded = true;
	}
	if (has_loaded && !qt->is_syncing &&
	    now_us - qt->synced_us > kSyncPeriodUs)
		start_sync(qt, now_us);
}

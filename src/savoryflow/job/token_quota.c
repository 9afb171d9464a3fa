/* Count of the tokens that wait on a route, against its limit. */
#include "savoryflow/job/token_quota.h"

#include "os/clock.h"

enum {
	/* A submission takes effect within this time of its reservation, or its
	 * outcome is reported. */
	kReservationUs = 5 * kUsPerS,
	/* Time over which the rate of finished tokens is averaged. */
	kRateWindowUs = 2 * kUsPerS,
	kRetryMinUs = 500 * kUsPerMs,
	kRetryMaxUs = 5 * kUsPerS,
};

struct quota_job {
	char *job;
	int64_t tokens;
	int64_t recorded_us;
	/** Reserved, but not known to be accepted. */
	bool is_reservation;
};

struct token_quota {
	/** struct quota_job by id. */
	GHashTable *jobs;
	int64_t waiting;
	/* Tokens finished since the start of the window, and in the last. */
	int64_t window_start_us;
	int64_t window_done;
	int64_t done_per_window;
};

static void
quota_job_free(void *p)
{
	struct quota_job *qj = p;

	g_free(qj->job);
	g_free(qj);
}

struct token_quota *
token_quota_new(void)
{
	struct token_quota *tq = g_new0(struct token_quota, 1);

	tq->jobs = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, quota_job_free);
	return tq;
}

void
token_quota_free(struct token_quota *tq)
{
	g_hash_table_unref(tq->jobs);
	g_free(tq);
}

int64_t
token_quota_waiting(const struct token_quota *tq)
{
	return tq->waiting;
}

static struct quota_job *
job_add(struct token_quota *tq, const char *job, int64_t tokens, int64_t now_us)
{
	struct quota_job *qj = g_new0(struct quota_job, 1);

	qj->job = g_strdup(job);
	qj->tokens = tokens;
	qj->recorded_us = now_us;
	tq->waiting += tokens;
	g_hash_table_insert(tq->jobs, qj->job, qj);
	return qj;
}

bool
token_quota_reserve(struct token_quota *tq, const char *job, int64_t tokens,
    int64_t limit, int64_t now_us)
{
	struct quota_job *qj = g_hash_table_lookup(tq->jobs, job);

	if (qj != NULL) {
		qj->recorded_us = now_us;
		return true;
	}
	if (tq->waiting + tokens > limit)
		return false;
	job_add(tq, job, tokens, now_us)->is_reservation = true;
	return true;
}

static void
record_done(struct token_quota *tq, int64_t tokens, int64_t now_us)
{
	if (now_us - tq->window_start_us > kRateWindowUs) {
		tq->done_per_window = tq->window_done;
		tq->window_done = 0;
		tq->window_start_us = now_us;
	}
	tq->window_done += tokens;
}

void
token_quota_record(
    struct token_quota *tq, const char *job, int64_t tokens, int64_t now_us)
{
	struct quota_job *qj = g_hash_table_lookup(tq->jobs, job);

	if (qj == NULL) {
		if (tokens > 0)
			job_add(tq, job, tokens, now_us);
		return;
	}
	if (qj->tokens > tokens)
		record_done(tq, qj->tokens - tokens, now_us);
	tq->waiting += tokens - qj->tokens;
	qj->tokens = tokens;
	qj->recorded_us = now_us;
	qj->is_reservation = false;
	if (tokens == 0)
		g_hash_table_remove(tq->jobs, job);
}

int64_t
token_quota_retry_after_us(
    const struct token_quota *tq, int64_t tokens, int64_t limit)
{
	int64_t missing = tq->waiting + tokens - limit;
	int64_t done = MAX(tq->done_per_window, tq->window_done);

	if (done <= 0)
		return kRetryMaxUs;
	return CLAMP((int64_t)((double)missing / (double)done * kRateWindowUs),
	    kRetryMinUs, kRetryMaxUs);
}

static bool
is_listed(const GArray *jobs, const char *job)
{
	for (guint i = 0; i < jobs->len; i++)
		if (g_strcmp0(
			g_array_index(jobs, struct token_quota_job, i).job,
			job) == 0)
			return true;
	return false;
}

void
token_quota_sync(struct token_quota *tq, const GArray *jobs, int64_t read_at_us,
    int64_t now_us)
{
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, tq->jobs);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct quota_job *qj = val;

		if (qj->is_reservation || qj->recorded_us >= read_at_us ||
		    is_listed(jobs, qj->job))
			continue;
		tq->waiting -= qj->tokens;
		g_hash_table_iter_remove(&it);
	}
	for (guint i = 0; i < jobs->len; i++) {
		const struct token_quota_job *open =
		    &g_array_index(jobs, struct token_quota_job, i);
		struct quota_job *qj = g_hash_table_lookup(tq->jobs, open->job);

		if (qj == NULL)
			job_add(tq, open->job, open->tokens, now_us);
		else
			qj->is_reservation = false;
	}
}

void
token_quota_tick(struct token_quota *tq, int64_t now_us)
{
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, tq->jobs);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct quota_job *qj = val;

		if (!qj->is_reservation ||
		    now_us - qj->recorded_us < kReservationUs)
			continue;
		tq->waiting -= qj->tokens;
		g_hash_table_iter_remove(&it);
	}
}

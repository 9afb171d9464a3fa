/* Heartbeats, the roster and takeover of orphaned jobs. */
#include "gateway/members.h"

#include <string.h>

#include "log/log.h"

enum {
	/* The row of a daemon without heartbeats for this time is removed. */
	kRowRetentionUs = 60 * kUsPerS,
	/* A job that its elected daemon has not taken over is taken over by any
	 * other daemon after this. */
	kOrphanGraceUs = 3 * kUsPerS,
	/* Period of reading the open jobs while any run here: a job ended
	 * elsewhere must stop within 3 s, even if no peer sends a
	 * notification. */
	kOpenJobsPeriodUs = kUsPerS,
};

enum poll_kind {
	kPollHeartbeat,
	/** Reads the open jobs only. */
	kPollOpenJobs,
	/** Removes this daemon's row. */
	kPollLeave,
	/** Reads only; this daemon's row is already removed. */
	kPollReadOnly,
};

struct poll {
	struct members *mb;
	enum poll_kind kind;
	int64_t sequence;
	/** Row of this daemon with its heartbeat period. */
	struct roster_row self;
	int64_t started_us;
	/** Rows without heartbeats for long, to be removed. */
	GArray *stale;
	enum store_result write_outcome;
	GArray *rows;
	GPtrArray *open;
};

struct members {
	struct members_options opt;
	int64_t sequence;
	/** Heartbeat period, and time of the next heartbeat. */
	int64_t period_us;
	int64_t next_heartbeat_us;
	bool is_polling;
	bool is_leaving;
	bool has_left;
	uint64_t timer;
	/** int64_t: time when a job was first seen without a live owner, by
	 * id. */
	GHashTable *orphans;
};

static void schedule_poll(struct members *mb, int64_t wait_us);

struct members *
members_new(const struct members_options *opt)
{
	struct members *mb = g_new0(struct members, 1);

	mb->opt = *opt;
	mb->orphans =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	schedule_poll(mb, 0);
	return mb;
}

void
members_free(struct members *mb)
{
	loop_timer_cancel(mb->opt.lp, mb->timer);
	g_hash_table_unref(mb->orphans);
	g_free(mb);
}

static void
poll_work(void *ctx)
{
	struct poll *poll = ctx;
	const struct store *st = poll->mb->opt.store;

	if (poll->kind == kPollLeave)
		poll->write_outcome =
		    roster_store_leave(st, &poll->mb->opt.self);
	else if (poll->kind == kPollHeartbeat)
		poll->write_outcome =
		    roster_store_heartbeat(st, &poll->self, poll->sequence);
	/* A row that has changed in the meantime is kept. */
	for (guint i = 0; i < poll->stale->len; i++) {
		const struct roster_row *row =
		    &g_array_index(poll->stale, struct roster_row, i);

		roster_store_remove(st, row->address, row->version);
	}
	if (poll->kind != kPollOpenJobs &&
	    roster_store_read(st, &poll->rows) != kStoreOk)
		return;
	if ((poll->kind == kPollHeartbeat || poll->kind == kPollOpenJobs) &&
	    itemjob_read_open(st, &poll->open) != kStoreOk)
		poll->open = NULL;
}

static void
poll_free(struct poll *poll)
{
	g_array_unref(poll->stale);
	if (poll->rows != NULL)
		g_array_unref(poll->rows);
	if (poll->open != NULL)
		g_ptr_array_unref(poll->open);
	g_free(poll);
}

/* True if this daemon must take the job over now. */
static bool
must_take_over(struct members *mb, const char *id, int64_t now_us)
{
	int64_t *orphaned_us = g_hash_table_lookup(mb->orphans, id);
	const char *owner;

	if (orphaned_us == NULL) {
		orphaned_us = g_new(int64_t, 1);
		*orphaned_us = now_us;
		g_hash_table_insert(mb->orphans, g_strdup(id), orphaned_us);
	}
	owner = roster_owner(mb->opt.roster, id, NULL, now_us);
	return strcmp(owner, mb->opt.self.address) == 0 ||
	    now_us - *orphaned_us > kOrphanGraceUs;
}

static void
take_over_orphans(struct members *mb, const GPtrArray *list, int64_t now_us)
{
	for (guint i = 0; i < list->len; i++) {
		const struct itemjob_open *open = list->pdata[i];

		if (strcmp(open->owner, mb->opt.self.session) == 0)
			continue;
		if (roster_is_session_alive(
			mb->opt.roster, open->owner, now_us)) {
			g_hash_table_remove(mb->orphans, open->id);
			continue;
		}
		if (!must_take_over(mb, open->id, now_us))
			continue;
		if (open->is_ended) {
			jobs_close(mb->opt.jobs, open->id);
			continue;
		}
		log_event(kEvtJobOrphaned, "job", open->id, "owner",
		    open->owner, "version", log_number(open->version), NULL);
		jobs_take_over(mb->opt.jobs, open);
	}
}

static void
apply_roster(struct members *mb, const GArray *rows, int64_t now_us)
{
	struct roster_changes changes = {
	    g_ptr_array_new_with_free_func(g_free),
	    g_ptr_array_new_with_free_func(g_free),
	};

	roster_apply_rows(mb->opt.roster, rows, now_us, &changes);
	mb->opt.on_roster(mb->opt.ctx, &changes);
	g_ptr_array_unref(changes.joined);
	g_ptr_array_unref(changes.removed);
}

static void
poll_done(void *ctx)
{
	struct poll *poll = ctx;
	struct members *mb = poll->mb;
	int64_t now_us = loop_now_us(mb->opt.lp);

	mb->is_polling = false;
	if (poll->rows != NULL)
		apply_roster(mb, poll->rows, now_us);
	else if (poll->kind != kPollOpenJobs)
		roster_on_store_unreachable(mb->opt.roster, now_us);
	mb->opt.on_store(mb->opt.ctx, poll->rows != NULL || poll->open != NULL);
	if (poll->open != NULL && !mb->is_leaving) {
		jobs_on_open_list(mb->opt.jobs, poll->open, poll->started_us);
		take_over_orphans(mb, poll->open, now_us);
	}
	if (poll->kind == kPollLeave && poll->write_outcome == kStoreOk) {
		mb->has_left = true;
		mb->opt.on_left(mb->opt.ctx);
	}
	schedule_poll(mb, kOpenJobsPeriodUs);
	poll_free(poll);
}

static enum poll_kind
next_kind(const struct members *mb, int64_t now_us)
{
	if (mb->has_left)
		return kPollReadOnly;
	if (mb->is_leaving)
		return kPollLeave;
	return now_us >= mb->next_heartbeat_us ? kPollHeartbeat : kPollOpenJobs;
}

static struct poll *
poll_new(struct members *mb, enum poll_kind kind, int64_t now_us)
{
	struct poll *poll = g_new0(struct poll, 1);

	poll->mb = mb;
	poll->kind = kind;
	poll->started_us = now_us;
	poll->stale = roster_stale(mb->opt.roster, kRowRetentionUs, now_us);
	if (kind != kPollHeartbeat)
		return poll;
	mb->period_us = roster_heartbeat_period_us(
	    roster_count_all(mb->opt.roster, now_us));
	mb->next_heartbeat_us = now_us + mb->period_us;
	poll->sequence = ++mb->sequence;
	poll->self = mb->opt.self;
	poll->self.period_us = mb->period_us;
	return poll;
}

static void
start_poll(void *ctx)
{
	struct members *mb = ctx;
	int64_t now_us = loop_now_us(mb->opt.lp);
	enum poll_kind kind = next_kind(mb, now_us);
	struct poll *poll;

	mb->timer = 0;
	if (mb->is_polling) {
		schedule_poll(mb, kOpenJobsPeriodUs / 4);
		return;
	}
	if (kind == kPollOpenJobs && !jobs_has_running(mb->opt.jobs)) {
		schedule_poll(mb, kOpenJobsPeriodUs);
		return;
	}
	poll = poll_new(mb, kind, now_us);
	mb->is_polling = true;
	if (offload_run(mb->opt.offload, poll_work, poll_done, poll))
		return;
	mb->is_polling = false;
	poll_free(poll);
	schedule_poll(mb, kOpenJobsPeriodUs);
}

static void
schedule_poll(struct members *mb, int64_t wait_us)
{
	loop_timer_cancel(mb->opt.lp, mb->timer);
	mb->timer = loop_timer(
	    mb->opt.lp, loop_now_us(mb->opt.lp) + wait_us, start_poll, mb);
}

void
members_poll_now(struct members *mb)
{
	mb->next_heartbeat_us = 0;
	if (!mb->is_polling && !mb->is_leaving)
		schedule_poll(mb, 0);
}

void
members_leave(struct members *mb)
{
	mb->is_leaving = true;
	schedule_poll(mb, 0);
}

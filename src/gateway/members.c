/* Heartbeat, roster and orphaned jobs. */
#include "gateway/members.h"

#include <string.h>

#include "log/log.h"

enum {
	/* The row of a daemon that was silent for so long is removed. */
	kForgetUs = 60 * kUsPerS,
	/* Beside the daemon that a job falls to any other one takes it over
	 * when it was orphaned for so long. */
	kAnybodyUs = 3 * kUsPerS,
	/* Open jobs are read so often while some run here: a job that was ended
	 * elsewhere has to stop within 3 s, also if no peer tells. */
	kOpenPeriodUs = kUsPerS,
};

enum look_kind {
	kLookBeat,
	/** Reads the open jobs only. */
	kLookOpen,
	/** Removes this daemon's row. */
	kLookLeave,
	/** Only reads: the row is removed. */
	kLookAfter,
};

struct look {
	struct members *mb;
	enum look_kind kind;
	int64_t beat;
	/** Row of this daemon, with its period. */
	struct roster_row self;
	int64_t started_us;
	/** Rows of daemons that are long gone, to be removed. */
	GArray *stale;
	enum store_result beat_outcome;
	GArray *rows;
	GPtrArray *open;
};

struct members {
	struct members_options opt;
	int64_t beat;
	/** Time between two heartbeats, and when the next one is due. */
	int64_t period_us;
	int64_t next_beat_us;
	bool is_looking;
	bool is_leaving;
	bool has_left;
	uint64_t timer;
	/** int64_t: when a job was first seen without a daemon, by id. */
	GHashTable *orphans;
};

static void look_soon(struct members *mb, int64_t wait_us);

struct members *
members_new(const struct members_options *opt)
{
	struct members *mb = g_new0(struct members, 1);

	mb->opt = *opt;
	mb->orphans =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	look_soon(mb, 0);
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
look_work(void *ctx)
{
	struct look *look = ctx;
	const struct store *st = look->mb->opt.store;

	if (look->kind == kLookLeave)
		look->beat_outcome =
		    roster_store_leave(st, &look->mb->opt.self);
	else if (look->kind == kLookBeat)
		look->beat_outcome =
		    roster_store_heartbeat(st, &look->self, look->beat);
	/* A row that has changed meanwhile stays. */
	for (guint i = 0; i < look->stale->len; i++) {
		const struct roster_row *row =
		    &g_array_index(look->stale, struct roster_row, i);

		roster_store_remove(st, row->address, row->version);
	}
	if (look->kind != kLookOpen &&
	    roster_store_read(st, &look->rows) != kStoreOk)
		return;
	if ((look->kind == kLookBeat || look->kind == kLookOpen) &&
	    itemjob_read_open(st, &look->open) != kStoreOk)
		look->open = NULL;
}

static void
look_free(struct look *look)
{
	g_array_unref(look->stale);
	if (look->rows != NULL)
		g_array_unref(look->rows);
	if (look->open != NULL)
		g_ptr_array_unref(look->open);
	g_free(look);
}

/* True if this daemon is to take the job over now. */
static bool
is_due_here(struct members *mb, const char *id, int64_t now_us)
{
	int64_t *since = g_hash_table_lookup(mb->orphans, id);
	const char *owner;

	if (since == NULL) {
		since = g_new(int64_t, 1);
		*since = now_us;
		g_hash_table_insert(mb->orphans, g_strdup(id), since);
	}
	owner = roster_owner(mb->opt.roster, id, NULL, now_us);
	return strcmp(owner, mb->opt.self.address) == 0 ||
	    now_us - *since > kAnybodyUs;
}

static void
take_orphans(struct members *mb, const GPtrArray *list, int64_t now_us)
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
		if (!is_due_here(mb, open->id, now_us))
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
take_roster(struct members *mb, const GArray *rows, int64_t now_us)
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
look_done(void *ctx)
{
	struct look *look = ctx;
	struct members *mb = look->mb;
	int64_t now_us = loop_now_us(mb->opt.lp);

	mb->is_looking = false;
	if (look->rows != NULL)
		take_roster(mb, look->rows, now_us);
	else if (look->kind != kLookOpen)
		roster_on_store_unreachable(mb->opt.roster, now_us);
	mb->opt.on_store(mb->opt.ctx, look->rows != NULL || look->open != NULL);
	if (look->open != NULL && !mb->is_leaving) {
		jobs_on_open_list(mb->opt.jobs, look->open, look->started_us);
		take_orphans(mb, look->open, now_us);
	}
	if (look->kind == kLookLeave && look->beat_outcome == kStoreOk) {
		mb->has_left = true;
		mb->opt.on_left(mb->opt.ctx);
	}
	look_soon(mb, kOpenPeriodUs);
	look_free(look);
}

static enum look_kind
next_kind(const struct members *mb, int64_t now_us)
{
	if (mb->has_left)
		return kLookAfter;
	if (mb->is_leaving)
		return kLookLeave;
	return now_us >= mb->next_beat_us ? kLookBeat : kLookOpen;
}

static struct look *
look_new(struct members *mb, enum look_kind kind, int64_t now_us)
{
	struct look *look = g_new0(struct look, 1);

	look->mb = mb;
	look->kind = kind;
	look->started_us = now_us;
	look->stale = roster_stale(mb->opt.roster, kForgetUs, now_us);
	if (kind != kLookBeat)
		return look;
	mb->period_us = roster_heartbeat_period_us(
	    roster_count_all(mb->opt.roster, now_us));
	mb->next_beat_us = now_us + mb->period_us;
	look->beat = ++mb->beat;
	look->self = mb->opt.self;
	look->self.period_us = mb->period_us;
	return look;
}

static void
start_look(void *ctx)
{
	struct members *mb = ctx;
	int64_t now_us = loop_now_us(mb->opt.lp);
	enum look_kind kind = next_kind(mb, now_us);
	struct look *look;

	mb->timer = 0;
	if (mb->is_looking) {
		look_soon(mb, kOpenPeriodUs / 4);
		return;
	}
	if (kind == kLookOpen && !jobs_has_running(mb->opt.jobs)) {
		look_soon(mb, kOpenPeriodUs);
		return;
	}
	look = look_new(mb, kind, now_us);
	mb->is_looking = true;
	if (offload_run(mb->opt.offload, look_work, look_done, look))
		return;
	mb->is_looking = false;
	look_free(look);
	look_soon(mb, kOpenPeriodUs);
}

static void
look_soon(struct members *mb, int64_t wait_us)
{
	loop_timer_cancel(mb->opt.lp, mb->timer);
	mb->timer = loop_timer(
	    mb->opt.lp, loop_now_us(mb->opt.lp) + wait_us, start_look, mb);
}

void
members_poll_now(struct members *mb)
{
	mb->next_beat_us = 0;
	if (!mb->is_looking && !mb->is_leaving)
		look_soon(mb, 0);
}

void
members_leave(struct members *mb)
{
	mb->is_leaving = true;
	look_soon(mb, 0);
}

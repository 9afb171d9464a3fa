/* One-shot timers ordered by due time. */
#include "serve/timers.h"

#include <glib.h>
#include <pthread.h>

#include "savoryflow/arbiter/u64_hash.h"

struct timer {
	uint64_t id;
	int64_t at_us;
	timer_fn fn;
	void *ctx;
};

struct timers {
	pthread_mutex_t lock;
	GSequence *order;
	/** Positions in the sequence, by timer id. */
	GHashTable *by_id;
	uint64_t last_id;
};

struct timers *
timers_new(void)
{
	struct timers *tm = g_new0(struct timers, 1);

	pthread_mutex_init(&tm->lock, NULL);
	tm->order = g_sequence_new(g_free);
	tm->by_id = u64_hash_new(NULL);
	return tm;
}

void
timers_free(struct timers *tm)
{
	g_hash_table_unref(tm->by_id);
	g_sequence_free(tm->order);
	pthread_mutex_destroy(&tm->lock);
	g_free(tm);
}

static int
compare_times(const void *a, const void *b, void *ctx)
{
	const struct timer *x = a;
	const struct timer *y = b;

	return (x->at_us > y->at_us) - (x->at_us < y->at_us);
}

uint64_t
timers_add(struct timers *tm, int64_t at_us, timer_fn fn, void *ctx)
{
	struct timer *t = g_new(struct timer, 1);
	uint64_t id;

	t->at_us = at_us;
	t->fn = fn;
	t->ctx = ctx;
	pthread_mutex_lock(&tm->lock);
	id = ++tm->last_id;
	t->id = id;
	g_hash_table_insert(tm->by_id, &t->id,
	    g_sequence_insert_sorted(tm->order, t, compare_times, NULL));
	pthread_mutex_unlock(&tm->lock);
	return id;
}

static void
remove_at(struct timers *tm, GSequenceIter *iter)
{
	struct timer *t = g_sequence_get(iter);

	g_hash_table_remove(tm->by_id, &t->id);
	g_sequence_remove(iter);
}

bool
timers_cancel(struct timers *tm, uint64_t id)
{
	GSequenceIter *iter;

	pthread_mutex_lock(&tm->lock);
	iter = g_hash_table_lookup(tm->by_id, &id);
	if (iter != NULL)
		remove_at(tm, iter);
	pthread_mutex_unlock(&tm->lock);
	return iter != NULL;
}

int64_t
timers_next_us(struct timers *tm)
{
	GSequenceIter *first;
	int64_t at_us = -1;

	pthread_mutex_lock(&tm->lock);
	first = g_sequence_get_begin_iter(tm->order);
	if (!g_sequence_iter_is_end(first))
		at_us = ((struct timer *)g_sequence_get(first))->at_us;
	pthread_mutex_unlock(&tm->lock);
	return at_us;
}

static bool
pop_due(struct timers *tm, int64_t now_us, struct timer *due)
{
	GSequenceIter *first;
	bool found;

	pthread_mutex_lock(&tm->lock);
	first = g_sequence_get_begin_iter(tm->order);
	found = !g_sequence_iter_is_end(first) &&
	    ((struct timer *)g_sequence_get(first))->at_us <= now_us;
	if (found) {
		*due = *(struct timer *)g_sequence_get(first);
		remove_at(tm, first);
	}
	pthread_mutex_unlock(&tm->lock);
	return found;
}

void
timers_run(struct timers *tm, int64_t now_us)
{
	struct timer due;

	while (pop_due(tm, now_us, &due))
		due.fn(due.ctx);
}

/* Start-time fair queueing over teams, earliest due first within a team. */
#include "savoryflow/arbiter/fair_queue.h"

#include "savoryflow/arbiter/u64_hash.h"

enum {
	/* Virtual time that one request costs a team of weight 1. */
	kVirtualCost = 1000000,
};

struct team_queue {
	uint64_t team;
	int64_t virtual_time;
	/** struct queued_ask by due time. */
	GSequence *asks;
	/** Place among the teams, NULL while the team has no request. */
	GSequenceIter *place;
};

struct queued_ask {
	struct admission_request ask;
	struct team_queue *team;
	GSequenceIter *team_place;
	GSequenceIter *due_place;
};

struct fair_queue {
	/** struct queued_ask by id. */
	GHashTable *by_id;
	/** struct team_queue by team. */
	GHashTable *teams;
	/** Teams with requests, by virtual time. */
	GSequence *order;
	/** All requests by due time. */
	GSequence *due;
	int64_t virtual_now;
};

static int
compare_i64(int64_t a, int64_t b)
{
	return (a > b) - (a < b);
}

static int
compare_due(const void *a, const void *b, void *ctx)
{
	const struct queued_ask *x = a;
	const struct queued_ask *y = b;
	int by_due = compare_i64(x->ask.due_us, y->ask.due_us);

	return by_due != 0
	    ? by_due
	    : compare_i64((int64_t)x->ask.id, (int64_t)y->ask.id);
}

static int
compare_teams(const void *a, const void *b, void *ctx)
{
	const struct team_queue *x = a;
	const struct team_queue *y = b;
	int by_time = compare_i64(x->virtual_time, y->virtual_time);

	return by_time != 0 ? by_time
			    : compare_i64((int64_t)x->team, (int64_t)y->team);
}

static void
team_queue_free(void *p)
{
	struct team_queue *tq = p;

	g_sequence_free(tq->asks);
	g_free(tq);
}

struct fair_queue *
fair_queue_new(void)
{
	struct fair_queue *fq = g_new0(struct fair_queue, 1);

	fq->by_id = u64_hash_new(g_free);
	fq->teams = u64_hash_new(team_queue_free);
	fq->order = g_sequence_new(NULL);
	fq->due = g_sequence_new(NULL);
	return fq;
}

void
fair_queue_free(struct fair_queue *fq)
{
	g_sequence_free(fq->order);
	g_sequence_free(fq->due);
	g_hash_table_unref(fq->teams);
	g_hash_table_unref(fq->by_id);
	g_free(fq);
}

int32_t
fair_queue_length(const struct fair_queue *fq)
{
	return (int32_t)g_hash_table_size(fq->by_id);
}

static struct team_queue *
team_get(struct fair_queue *fq, uint64_t team)
{
	struct team_queue *tq = g_hash_table_lookup(fq->teams, &team);

	if (tq != NULL)
		return tq;
	tq = g_new0(struct team_queue, 1);
	tq->team = team;
	tq->asks = g_sequence_new(NULL);
	g_hash_table_insert(fq->teams, &tq->team, tq);
	return tq;
}

void
fair_queue_push(struct fair_queue *fq, const struct admission_request *ask)
{
	struct team_queue *tq = team_get(fq, ask->team);
	struct queued_ask *qa = g_new0(struct queued_ask, 1);

	qa->ask = *ask;
	qa->team = tq;
	qa->team_place =
	    g_sequence_insert_sorted(tq->asks, qa, compare_due, NULL);
	qa->due_place =
	    g_sequence_insert_sorted(fq->due, qa, compare_due, NULL);
	g_hash_table_insert(fq->by_id, &qa->ask.id, qa);
	if (tq->place == NULL) {
		/* A team that was idle does not save up its share. */
		tq->virtual_time = MAX(tq->virtual_time, fq->virtual_now);
		tq->place = g_sequence_insert_sorted(
		    fq->order, tq, compare_teams, NULL);
	}
}

static void
queued_ask_remove(struct fair_queue *fq, struct queued_ask *qa)
{
	struct team_queue *tq = qa->team;

	g_sequence_remove(qa->team_place);
	g_sequence_remove(qa->due_place);
	if (g_sequence_is_empty(tq->asks)) {
		g_sequence_remove(tq->place);
		tq->place = NULL;
	}
	g_hash_table_remove(fq->by_id, &qa->ask.id);
}

static struct queued_ask *
next_ask(const struct fair_queue *fq, int64_t urgent_us)
{
	struct queued_ask *qa;
	struct team_queue *tq;

	if (g_sequence_is_empty(fq->due))
		return NULL;
	qa = g_sequence_get(g_sequence_get_begin_iter(fq->due));
	if (qa->ask.due_us < urgent_us)
		return qa;
	tq = g_sequence_get(g_sequence_get_begin_iter(fq->order));
	return g_sequence_get(g_sequence_get_begin_iter(tq->asks));
}

bool
fair_queue_peek(const struct fair_queue *fq, int64_t urgent_us,
    struct admission_request *ask)
{
	const struct queued_ask *qa = next_ask(fq, urgent_us);

	if (qa != NULL)
		*ask = qa->ask;
	return qa != NULL;
}

bool
fair_queue_pop(
    struct fair_queue *fq, int64_t urgent_us, struct admission_request *ask)
{
	struct queued_ask *qa = next_ask(fq, urgent_us);
	struct team_queue *tq;

	if (qa == NULL)
		return false;
	*ask = qa->ask;
	tq = qa->team;
	fq->virtual_now = MAX(fq->virtual_now, tq->virtual_time);
	tq->virtual_time += kVirtualCost / MAX(ask->weight, 1);
	g_sequence_sort_changed(tq->place, compare_teams, NULL);
	queued_ask_remove(fq, qa);
	return true;
}

bool
fair_queue_remove(struct fair_queue *fq, uint64_t id)
{
	struct queued_ask *qa = g_hash_table_lookup(fq->by_id, &id);

	if (qa == NULL)
		return false;
	queued_ask_remove(fq, qa);
	return true;
}

void
fair_queue_remove_holder(struct fair_queue *fq, uint32_t holder)
{
	GPtrArray *gone = g_ptr_array_new();
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, fq->by_id);
	while (g_hash_table_iter_next(&it, NULL, &val))
		if (((struct queued_ask *)val)->ask.holder == holder)
			g_ptr_array_add(gone, val);
	for (guint i = 0; i < gone->len; i++)
		queued_ask_remove(fq, gone->pdata[i]);
	g_ptr_array_unref(gone);
}

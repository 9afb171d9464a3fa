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
	/** struct queued_request by due time. */
	GSequence *requests;
	/** Position in fair_queue.order; NULL if no request is queued. */
	GSequenceIter *place;
};

struct queued_request {
	struct admission_request req;
	struct team_queue *team;
	GSequenceIter *team_place;
	GSequenceIter *due_place;
};

struct fair_queue {
	/** struct queued_request by id. */
	GHashTable *by_id;
	/** struct team_queue by team. */
	GHashTable *teams;
	/** Teams with queued requests, by virtual time. */
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
	const struct queued_request *x = a;
	const struct queued_request *y = b;
	int by_due = compare_i64(x->req.due_us, y->req.due_us);

	return by_due != 0
	    ? by_due
	    : compare_i64((int64_t)x->req.id, (int64_t)y->req.id);
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

	g_sequence_free(tq->requests);
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
	tq->requests = g_sequence_new(NULL);
	g_hash_table_insert(fq->teams, &tq->team, tq);
	return tq;
}

void
fair_queue_push(struct fair_queue *fq, const struct admission_request *req)
{
	struct team_queue *tq = team_get(fq, req->team);
	struct queued_request *qr = g_new0(struct queued_request, 1);

	qr->req = *req;
	qr->team = tq;
	qr->team_place =
	    g_sequence_insert_sorted(tq->requests, qr, compare_due, NULL);
	qr->due_place =
	    g_sequence_insert_sorted(fq->due, qr, compare_due, NULL);
	g_hash_table_insert(fq->by_id, &qr->req.id, qr);
	if (tq->place == NULL) {
		/* An idle team does not accumulate credit. */
		tq->virtual_time = MAX(tq->virtual_time, fq->virtual_now);
		tq->place = g_sequence_insert_sorted(
		    fq->order, tq, compare_teams, NULL);
	}
}

static void
queued_request_remove(struct fair_queue *fq, struct queued_request *qr)
{
	struct team_queue *tq = qr->team;

	g_sequence_remove(qr->team_place);
	g_sequence_remove(qr->due_place);
	if (g_sequence_is_empty(tq->requests)) {
		g_sequence_remove(tq->place);
		tq->place = NULL;
	}
	g_hash_table_remove(fq->by_id, &qr->req.id);
}

static struct queued_request *
next_request(const struct fair_queue *fq, int64_t urgent_us)
{
	struct queued_request *qr;
	struct team_queue *tq;

	if (g_sequence_is_empty(fq->due))
		return NULL;
	qr = g_sequence_get(g_sequence_get_begin_iter(fq->due));
	if (qr->req.due_us < urgent_us)
		return qr;
	tq = g_sequence_get(g_sequence_get_begin_iter(fq->order));
	return g_sequence_get(g_sequence_get_begin_iter(tq->requests));
}

bool
fair_queue_peek(const struct fair_queue *fq, int64_t urgent_us,
    struct admission_request *req)
{
	const struct queued_request *qr = next_request(fq, urgent_us);

	if (qr != NULL)
		*req = qr->req;
	return qr != NULL;
}

bool
fair_queue_pop(
    struct fair_queue *fq, int64_t urgent_us, struct admission_request *req)
{
	struct queued_request *qr = next_request(fq, urgent_us);
	struct team_queue *tq;

	if (qr == NULL)
		return false;
	*req = qr->req;
	tq = qr->team;
	fq->virtual_now = MAX(fq->virtual_now, tq->virtual_time);
	tq->virtual_time += kVirtualCost / MAX(req->weight, 1);
	g_sequence_sort_changed(tq->place, compare_teams, NULL);
	queued_request_remove(fq, qr);
	return true;
}

bool
fair_queue_remove(struct fair_queue *fq, uint64_t id)
{
	struct queued_request *qr = g_hash_table_lookup(fq->by_id, &id);

	if (qr == NULL)
		return false;
	queued_request_remove(fq, qr);
	return true;
}

void
fair_queue_remove_holder(struct fair_queue *fq, uint32_t holder)
{
	GPtrArray *removed = g_ptr_array_new();
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, fq->by_id);
	while (g_hash_table_iter_next(&it, NULL, &val))
		if (((struct queued_request *)val)->req.holder == holder)
			g_ptr_array_add(removed, val);
	for (guint i = 0; i < removed->len; i++)
		queued_request_remove(fq, removed->pdata[i]);
	g_ptr_array_unref(removed);
}

/* The online and the batch queue of a pool. */
#include "savoryflow/slotpool/slot_queue.h"

#include "savoryflow/arbiter/u64_hash.h"
#include "savoryflow/slotpool/batch_rank.h"
#include "savoryflow/slotpool/team_share.h"

enum {
	kUnreachableSkippedMax = 16,
	/* All requests of a target that falls silent avoid it at once. */
	kAvoidingSkippedMax = 256,
};

/** Online requests of one team and priority. */
struct flow {
	struct team_share *share;
	uint32_t priority;
	/** struct queued by deadline. */
	GSequence *requests;
};

struct queued {
	struct slot_request req;
	/** Place among all online or all batch requests. */
	GSequenceIter *place;
	/** Online: the request's flow, and its place there. */
	struct flow *flow;
	GSequenceIter *flow_place;
	uint64_t skipped_pass;
};

struct slot_queue {
	/** struct queued: online by deadline, batch by rank. */
	GSequence *online;
	GSequence *batch;
	/** struct queued by request id. */
	GHashTable *by_id;
	struct team_shares *shares;
	/** struct flow with waiting requests. */
	GPtrArray *flows;
	uint64_t passes;
};

static void
flow_free(void *p)
{
	struct flow *fw = p;

	g_sequence_free(fw->requests);
	g_free(fw);
}

struct slot_queue *
slot_queue_new(void)
{
	struct slot_queue *sq = g_new0(struct slot_queue, 1);

	sq->online = g_sequence_new(NULL);
	sq->batch = g_sequence_new(NULL);
	sq->by_id = u64_hash_new(g_free);
	sq->shares = team_shares_new();
	sq->flows = g_ptr_array_new_with_free_func(flow_free);
	return sq;
}

void
slot_queue_free(struct slot_queue *sq)
{
	g_ptr_array_unref(sq->flows);
	g_sequence_free(sq->online);
	g_sequence_free(sq->batch);
	g_hash_table_unref(sq->by_id);
	team_shares_free(sq->shares);
	g_free(sq);
}

static int
compare_deadline(const void *a, const void *b, void *ctx)
{
	const struct slot_request *x = &((const struct queued *)a)->req;
	const struct slot_request *y = &((const struct queued *)b)->req;

	if (x->deadline_us != y->deadline_us)
		return x->deadline_us < y->deadline_us ? -1 : 1;
	return (x->id > y->id) - (x->id < y->id);
}

static int
compare_rank(const void *a, const void *b, void *ctx)
{
	return batch_rank_compare(&((const struct queued *)a)->req,
	    &((const struct queued *)b)->req, ctx);
}

static struct flow *
flow_get(struct slot_queue *sq, const struct slot_request *req)
{
	struct flow *fw;

	for (guint i = 0; i < sq->flows->len; i++) {
		fw = sq->flows->pdata[i];
		if (fw->share->team == req->team &&
		    fw->priority == req->priority)
			return fw;
	}
	fw = g_new0(struct flow, 1);
	fw->share = team_shares_get(sq->shares, req->team);
	fw->priority = req->priority;
	fw->requests = g_sequence_new(NULL);
	g_ptr_array_add(sq->flows, fw);
	return fw;
}

void
slot_queue_add(struct slot_queue *sq, const struct slot_request *req)
{
	struct queued *q = g_new0(struct queued, 1);

	q->req = *req;
	q->place = req->is_batch
	    ? g_sequence_insert_sorted(sq->batch, q, compare_rank, NULL)
	    : g_sequence_insert_sorted(sq->online, q, compare_deadline, NULL);
	if (!req->is_batch) {
		q->flow = flow_get(sq, req);
		q->flow_place = g_sequence_insert_sorted(
		    q->flow->requests, q, compare_deadline, NULL);
		q->flow->share->virtual_us =
		    team_shares_start_us(sq->shares, q->flow->share);
		q->flow->share->waiting++;
	}
	g_hash_table_insert(sq->by_id, &q->req.id, q);
}

static void
leave_flow(struct slot_queue *sq, struct queued *q)
{
	q->flow->share->waiting--;
	g_sequence_remove(q->flow_place);
	if (g_sequence_is_empty(q->flow->requests))
		g_ptr_array_remove_fast(sq->flows, q->flow);
}

void
slot_queue_remove(struct slot_queue *sq, uint64_t id)
{
	struct queued *q = g_hash_table_lookup(sq->by_id, &id);

	if (q == NULL)
		return;
	if (q->flow != NULL)
		leave_flow(sq, q);
	g_sequence_remove(q->place);
	g_hash_table_remove(sq->by_id, &id);
}

static void
remove_holder_from(struct slot_queue *sq, GSequence *queue, uint32_t holder)
{
	GSequenceIter *it = g_sequence_get_begin_iter(queue);

	while (!g_sequence_iter_is_end(it)) {
		const struct queued *q = g_sequence_get(it);

		it = g_sequence_iter_next(it);
		if (q->req.holder == holder)
			slot_queue_remove(sq, q->req.id);
	}
}

void
slot_queue_remove_holder(struct slot_queue *sq, uint32_t holder)
{
	remove_holder_from(sq, sq->online, holder);
	remove_holder_from(sq, sq->batch, holder);
}

bool
slot_queue_has(const struct slot_queue *sq, uint64_t id)
{
	return g_hash_table_contains(sq->by_id, &id);
}

int32_t
slot_queue_len(const struct slot_queue *sq, bool is_batch)
{
	return g_sequence_get_length(is_batch ? sq->batch : sq->online);
}

static bool
copy_at(GSequence *queue, int32_t pos, struct slot_request *req)
{
	if (pos >= g_sequence_get_length(queue))
		return false;
	*req = ((struct queued *)g_sequence_get(
		    g_sequence_get_iter_at_pos(queue, pos)))
		   ->req;
	return true;
}

bool
slot_queue_most_urgent(const struct slot_queue *sq, struct slot_request *req)
{
	return copy_at(sq->online, 0, req);
}

void
slot_queue_skip(struct slot_queue *sq, struct slot_queue_skipped *skipped,
    const struct slot_request *req)
{
	struct queued *q = g_hash_table_lookup(sq->by_id, &req->id);

	if (skipped->pass == 0)
		skipped->pass = ++sq->passes;
	q->skipped_pass = skipped->pass;
	if (req->excluded_target[0] != '\0')
		skipped->avoiding++;
	else
		skipped->unreachable++;
}

static const struct queued *
flow_first(const struct flow *fw, uint64_t pass)
{
	GSequenceIter *it = g_sequence_get_begin_iter(fw->requests);

	for (; !g_sequence_iter_is_end(it); it = g_sequence_iter_next(it)) {
		const struct queued *q = g_sequence_get(it);

		if (pass == 0 || q->skipped_pass != pass)
			return q;
	}
	return NULL;
}

/* Whether a request starts before one of another flow. */
static bool
precedes(
    const struct slot_queue *sq, const struct queued *a, const struct queued *b)
{
	const struct team_share *x = a->flow->share;
	const struct team_share *y = b->flow->share;
	bool is_x_starved = team_shares_is_starved(sq->shares, x);

	if (is_x_starved != team_shares_is_starved(sq->shares, y))
		return is_x_starved;
	if (a->req.is_late != b->req.is_late)
		return b->req.is_late;
	if (a->flow->priority != b->flow->priority)
		return a->flow->priority < b->flow->priority;
	if (x->virtual_us != y->virtual_us)
		return x->virtual_us < y->virtual_us;
	return compare_deadline(a, b, NULL) < 0;
}

static bool
next_online(
    const struct slot_queue *sq, uint64_t pass, struct slot_request *req)
{
	const struct queued *first = NULL;

	for (guint i = 0; i < sq->flows->len; i++) {
		const struct queued *q = flow_first(sq->flows->pdata[i], pass);

		if (q != NULL && (first == NULL || precedes(sq, q, first)))
			first = q;
	}
	if (first != NULL)
		*req = first->req;
	return first != NULL;
}

bool
slot_queue_next(const struct slot_queue *sq, bool is_batch,
    const struct slot_queue_skipped *skipped, struct slot_request *req)
{
	if (skipped->unreachable >= kUnreachableSkippedMax ||
	    skipped->avoiding >= kAvoidingSkippedMax)
		return false;
	if (!is_batch)
		return next_online(sq, skipped->pass, req);
	return copy_at(
	    sq->batch, skipped->unreachable + skipped->avoiding, req);
}

/* Requests of another flow that start before a virtual time. */
static int32_t
flow_ahead(const struct slot_queue *sq, const struct flow *fw, int64_t until_us,
    int64_t usual_us)
{
	const struct queued *first = flow_first(fw, 0);
	int64_t each_us = team_shares_virtual_us(
	    team_share_work_us(fw->share, usual_us), first->req.weight);
	int64_t left_us = until_us - fw->share->virtual_us;
	int32_t len = g_sequence_get_length(fw->requests);

	if (left_us < 0)
		return 0;
	return (int32_t)MIN(left_us / MAX(each_us, 1) + 1, len);
}

int32_t
slot_queue_ahead(const struct slot_queue *sq, const struct slot_request *req,
    int64_t usual_us)
{
	struct team_share *own = team_shares_get(sq->shares, req->team);
	bool is_starved = team_shares_is_starved(sq->shares, own);
	int64_t start_us = team_shares_start_us(sq->shares, own) +
	    own->waiting *
		team_shares_virtual_us(
		    team_share_work_us(own, usual_us), req->weight);
	int32_t ahead = own->waiting;

	for (guint i = 0; i < sq->flows->len; i++) {
		const struct flow *fw = sq->flows->pdata[i];
		bool is_other_starved =
		    team_shares_is_starved(sq->shares, fw->share);

		if (fw->share == own)
			continue;
		if (is_other_starved != is_starved) {
			if (is_other_starved)
				ahead += g_sequence_get_length(fw->requests);
		} else if (fw->priority != req->priority) {
			if (fw->priority < req->priority)
				ahead += g_sequence_get_length(fw->requests);
		} else {
			ahead += flow_ahead(sq, fw, start_us, usual_us);
		}
	}
	return MAX(ahead, team_shares_ahead(sq->shares, own));
}

int64_t
slot_queue_charge(
    struct slot_queue *sq, const struct slot_request *req, int64_t usual_us)
{
	struct team_share *share = team_shares_get(sq->shares, req->team);
	int64_t work_us = team_share_work_us(share, usual_us);

	team_shares_charge(sq->shares, share, work_us, req->weight);
	return work_us;
}

void
slot_queue_settle(struct slot_queue *sq, const struct slot_request *req,
    int64_t charged_us, int64_t held_us)
{
	team_shares_settle(sq->shares, team_shares_get(sq->shares, req->team),
	    charged_us, held_us, req->weight);
}

void
slot_queue_age(struct slot_queue *sq, int64_t now_us)
{
	team_shares_age(sq->shares, now_us);
}

void
slot_queue_demote_late_batch(struct slot_queue *sq, int64_t now_us)
{
	GSequenceIter *it = g_sequence_get_begin_iter(sq->batch);

	while (!g_sequence_iter_is_end(it)) {
		struct slot_request req =
		    ((struct queued *)g_sequence_get(it))->req;

		it = g_sequence_iter_next(it);
		/* Late items sort last: the rest is marked already. */
		if (req.is_late)
			return;
		if (!batch_rank_is_late(&req, now_us))
			continue;
		slot_queue_remove(sq, req.id);
		req.is_late = true;
		slot_queue_add(sq, &req);
	}
}

/* The online and the batch queue of a pool. */
#include "savoryflow/slotpool/slot_queue.h"

#include "savoryflow/arbiter/u64_hash.h"
#include "savoryflow/slotpool/batch_rank.h"

enum {
	kUnreachableSkippedMax = 16,
	/* All requests of a target that falls silent avoid it at once. */
	kAvoidingSkippedMax = 256,
};

struct slot_queue {
	/** struct slot_request. */
	GSequence *online;
	GSequence *batch;
	/** Iterators into both sequences, by request id. */
	GHashTable *iters;
};

struct slot_queue *
slot_queue_new(void)
{
	struct slot_queue *sq = g_new(struct slot_queue, 1);

	sq->online = g_sequence_new(g_free);
	sq->batch = g_sequence_new(g_free);
	sq->iters = u64_hash_new(NULL);
	return sq;
}

void
slot_queue_free(struct slot_queue *sq)
{
	g_hash_table_unref(sq->iters);
	g_sequence_free(sq->online);
	g_sequence_free(sq->batch);
	g_free(sq);
}

static int
compare_deadline(const void *a, const void *b, void *ctx)
{
	const struct slot_request *x = a;
	const struct slot_request *y = b;

	if (x->deadline_us != y->deadline_us)
		return x->deadline_us < y->deadline_us ? -1 : 1;
	return (x->id > y->id) - (x->id < y->id);
}

void
slot_queue_add(struct slot_queue *sq, const struct slot_request *req)
{
	struct slot_request *copy = g_new(struct slot_request, 1);

	*copy = *req;
	g_hash_table_insert(sq->iters, &copy->id,
	    g_sequence_insert_sorted(req->is_batch ? sq->batch : sq->online,
		copy, req->is_batch ? batch_rank_compare : compare_deadline,
		NULL));
}

void
slot_queue_remove(struct slot_queue *sq, uint64_t id)
{
	GSequenceIter *iter = g_hash_table_lookup(sq->iters, &id);

	if (iter == NULL)
		return;
	g_hash_table_remove(sq->iters, &id);
	g_sequence_remove(iter);
}

static void
remove_holder_from(struct slot_queue *sq, GSequence *queue, uint32_t holder)
{
	GSequenceIter *it = g_sequence_get_begin_iter(queue);

	while (!g_sequence_iter_is_end(it)) {
		const struct slot_request *req = g_sequence_get(it);

		it = g_sequence_iter_next(it);
		if (req->holder == holder)
			slot_queue_remove(sq, req->id);
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
	return g_hash_table_contains(sq->iters, &id);
}

int32_t
slot_queue_len(const struct slot_queue *sq, bool is_batch)
{
	return g_sequence_get_length(is_batch ? sq->batch : sq->online);
}

bool
slot_queue_at(const struct slot_queue *sq, bool is_batch, int32_t pos,
    struct slot_request *req)
{
	GSequence *queue = is_batch ? sq->batch : sq->online;

	if (pos >= g_sequence_get_length(queue))
		return false;
	*req = *(struct slot_request *)g_sequence_get(
	    g_sequence_get_iter_at_pos(queue, pos));
	return true;
}

void
slot_queue_skip(
    struct slot_queue_skipped *skipped, const struct slot_request *req)
{
	if (req->excluded_target[0] != '\0')
		skipped->avoiding++;
	else
		skipped->unreachable++;
}

bool
slot_queue_next(const struct slot_queue *sq, bool is_batch,
    const struct slot_queue_skipped *skipped, struct slot_request *req)
{
	return skipped->unreachable < kUnreachableSkippedMax &&
	    skipped->avoiding < kAvoidingSkippedMax &&
	    slot_queue_at(
		sq, is_batch, skipped->unreachable + skipped->avoiding, req);
}

void
slot_queue_demote_late_batch(struct slot_queue *sq, int64_t now_us)
{
	GSequenceIter *it = g_sequence_get_begin_iter(sq->batch);

	while (!g_sequence_iter_is_end(it)) {
		struct slot_request req =
		    *(struct slot_request *)g_sequence_get(it);

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

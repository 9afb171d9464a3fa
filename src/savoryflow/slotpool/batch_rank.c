/* Order of batch items, for slots and for taking slots back. */
#include "savoryflow/slotpool/batch_rank.h"

static int
compare_i64(int64_t a, int64_t b)
{
	return (a > b) - (a < b);
}

bool
batch_rank_is_late(const struct slotpool_ask *ask, int64_t now_us)
{
	return now_us + ask->need_us > ask->until_us;
}

int
batch_rank_compare(const void *a, const void *b, void *ctx)
{
	const struct slotpool_ask *x = a;
	const struct slotpool_ask *y = b;

	if (x->is_late != y->is_late)
		return x->is_late ? 1 : -1;
	if (x->until_us != y->until_us)
		return compare_i64(x->until_us, y->until_us);
	if (x->need_us != y->need_us)
		return compare_i64(x->need_us, y->need_us);
	return (x->id > y->id) - (x->id < y->id);
}

struct slotpool_ask
batch_rank_running(
    const struct slotpool_ask *ask, int64_t since_us, int64_t now_us)
{
	struct slotpool_ask now = *ask;

	now.need_us = MAX(ask->need_us - (now_us - since_us), 0);
	now.is_late = batch_rank_is_late(&now, now_us);
	return now;
}

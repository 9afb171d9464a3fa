/* Priority order of batch items, for granting and revoking slots. */
#include "savoryflow/slotpool/batch_rank.h"

static int
compare_i64(int64_t a, int64_t b)
{
	return (a > b) - (a < b);
}

bool
batch_rank_is_late(const struct slot_request *req, int64_t now_us)
{
	return now_us + req->expected_run_us > req->deadline_us;
}

int
batch_rank_compare(const void *a, const void *b, void *ctx)
{
	const struct slot_request *x = a;
	const struct slot_request *y = b;

	if (x->is_late != y->is_late)
		return x->is_late ? 1 : -1;
	if (x->deadline_us != y->deadline_us)
		return compare_i64(x->deadline_us, y->deadline_us);
	if (x->expected_run_us != y->expected_run_us)
		return compare_i64(x->expected_run_us, y->expected_run_us);
	return (x->id > y->id) - (x->id < y->id);
}

struct slot_request
batch_rank_remaining(
    const struct slot_request *req, int64_t since_us, int64_t now_us)
{
	struct slot_request now = *req;

	now.expected_run_us =
	    MAX(req->expected_run_us - (now_us - since_us), 0);
	now.is_late = batch_rank_is_late(&now, now_us);
	return now;
}

/* Memory for answers that targets are sending. */
#include "serve/answer_room.h"

#include <glib.h>

#include "metric/metric.h"
#include "savoryflow/budget/budget.h"

struct answer_room {
	struct budget_options opt;
	/* Atomic. */
	int64_t used_bytes;
	int64_t client_bytes;
};

struct answer_room *
answer_room_new(int64_t memory_mib)
{
	struct answer_room *ar = g_new0(struct answer_room, 1);

	ar->opt = budget_options_of_vm(memory_mib);
	return ar;
}

void
answer_room_free(struct answer_room *ar)
{
	g_free(ar);
}

static bool
has_room(const struct answer_room *ar, int64_t used, int64_t bytes)
{
	int64_t clients = __atomic_load_n(&ar->client_bytes, __ATOMIC_RELAXED);
	int64_t limit = ar->opt.limit_bytes;

	if (bytes > kBudgetOrdinaryBytes)
		limit -= ar->opt.reserve_bytes;
	return ar->opt.limit_bytes == 0 || used + clients <= limit;
}

bool
answer_room_set(struct answer_room *ar, int64_t *held, int64_t bytes)
{
	int64_t more = bytes - *held;
	int64_t used;

	if (more == 0)
		return true;
	used = __atomic_add_fetch(&ar->used_bytes, more, __ATOMIC_RELAXED);
	if (more > 0 && !has_room(ar, used, bytes)) {
		__atomic_sub_fetch(&ar->used_bytes, more, __ATOMIC_RELAXED);
		return false;
	}
	*held = bytes;
	metric_set(kMetBudgetAnswers, used);
	return true;
}

int64_t
answer_room_used(const struct answer_room *ar)
{
	return __atomic_load_n(&ar->used_bytes, __ATOMIC_RELAXED);
}

void
answer_room_set_clients(struct answer_room *ar, int64_t bytes)
{
	__atomic_store_n(&ar->client_bytes, bytes, __ATOMIC_RELAXED);
}

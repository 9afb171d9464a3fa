/* The targets on which a request may start, and the choice of one. */
#include <string.h>

#include "savoryflow/slotpool/slotpool_internal.h"

enum {
	/* Weight of one run in the pool's mean time between events: 1/64, so
	 * that it spans many targets. */
	kPaceShift = 6,
};

void
slotpool_set_choice(struct slotpool *sp, enum slot_choice choice)
{
	sp->choice = choice;
}

bool
slotpool_may_run_on(
    const struct slot_target *t, const struct slot_request *req, int64_t now_us)
{
	return slot_target_accepts_work(t, req->is_last_resort, now_us) &&
	    (req->is_last_resort ||
		slot_target_is_reachable_from(t, req->holder, now_us)) &&
	    strcmp(t->info.id, req->excluded_target) != 0;
}

/* Whether the target takes one more request at its rate. */
bool
slotpool_has_start(const struct slotpool *sp, const struct slot_target *t,
    const struct slot_request *req, int64_t now_us)
{
	if (sp->is_limited_paused && t->rate.is_limited)
		return false;
	return start_rate_allows(&t->rate, req->is_batch, now_us);
}

static int64_t
target_cost(const struct slotpool *sp, const struct slot_target *t,
    const struct slot_request *req, int64_t now_us)
{
	switch (sp->choice) {
	case kSlotChoiceLeastRequests:
		return t->online + t->batch + t->revoked;
	case kSlotChoiceShare:
		return slot_target_cost(t, req, now_us);
	case kSlotChoiceFirstEvent:
		break;
	}
	return slot_target_first_event_cost(t, req, sp->pace_us, now_us);
}

/* The target of the lowest cost; of equal ones, each daemon prefers others. */
struct slot_target *
slotpool_choose_free(
    struct slotpool *sp, const struct slot_request *req, int64_t now_us)
{
	struct slot_target *best = NULL;
	int64_t best_cost = 0;
	uint64_t best_rank = 0;
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, sp->targets);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct slot_target *t = val;
		uint64_t rank;
		int64_t cost;

		if (!slotpool_may_run_on(t, req, now_us) ||
		    !slot_target_has_free_slot(t) ||
		    !slotpool_has_start(sp, t, req, now_us))
			continue;
		cost = target_cost(sp, t, req, now_us);
		if (best != NULL && cost > best_cost)
			continue;
		rank = slot_target_rank(t, req->holder);
		if (best != NULL && cost == best_cost && rank <= best_rank)
			continue;
		best = t;
		best_cost = cost;
		best_rank = rank;
	}
	return best;
}

void
slotpool_record_run(struct slotpool *sp, uint64_t id,
    const struct slot_run_times *run, int64_t now_us)
{
	const struct slot *sl = g_hash_table_lookup(sp->slots, &id);
	struct slot_target *t;

	if (sl == NULL || run->pace_us <= 0)
		return;
	t = g_hash_table_lookup(sp->targets, sl->target);
	if (t == NULL)
		return;
	target_pace_record(&t->pace, run, now_us);
	if (sp->pace_us == 0)
		sp->pace_us = run->pace_us;
	sp->pace_us += (run->pace_us - sp->pace_us) / (1 << kPaceShift);
}

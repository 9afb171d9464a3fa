/* Targets of a pool that name a rate of requests. */
#include <string.h>

#include "savoryflow/slotpool/slotpool_internal.h"

void
slotpool_allow_limited(struct slotpool *sp, bool is_allowed, int64_t now_us)
{
	bool was_paused = sp->is_limited_paused;
	GHashTableIter it;
	void *val;

	sp->is_limited_paused = !is_allowed;
	if (!was_paused || !is_allowed)
		return;
	g_hash_table_iter_init(&it, sp->targets);
	while (g_hash_table_iter_next(&it, NULL, &val))
		start_rate_empty(&((struct slot_target *)val)->rate, now_us);
}

/* An answer that ends a rate belongs to a run that this pool has started. */
static bool
end_rate(struct slotpool *sp, struct slot_target *t,
    const struct slotpool_rate *rate)
{
	const struct slot *sl = g_hash_table_lookup(sp->slots, &rate->slot);

	return sl != NULL && !sl->is_adopted &&
	    strcmp(sl->target, t->info.id) == 0 &&
	    start_rate_end(&t->rate, sl->since_us);
}

bool
slotpool_apply_rate(
    struct slotpool *sp, const struct slotpool_rate *rate, int64_t now_us)
{
	struct slot_target *t = g_hash_table_lookup(sp->targets, rate->target);
	bool was_limited;
	int64_t before;

	if (t == NULL || t->info.started_ms != rate->started_ms ||
	    (rate->slot == 0 && t->is_rate_known))
		return false;
	was_limited = t->rate.is_limited;
	before = t->rate.milli_per_s;
	if (rate->said.kind == kRateNamed)
		start_rate_name(&t->rate, rate->said.milli_per_s, now_us);
	else if (rate->said.kind != kRateNone || !end_rate(sp, t, rate))
		return false;
	t->is_rate_known |= rate->slot != 0;
	return was_limited != t->rate.is_limited ||
	    before != t->rate.milli_per_s;
}

GArray *
slotpool_rates(const struct slotpool *sp, int64_t now_us)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct slotpool_rate));
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, sp->targets);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		const struct slot_target *t = val;
		struct slotpool_rate rate = {.target = t->info.id,
		    .started_ms = t->info.started_ms,
		    .said = {kRateNamed, t->rate.milli_per_s},
		    .starts = t->starts,
		    .available = sp->is_limited_paused
			? 0
			: start_rate_available(&t->rate, now_us)};

		if (t->rate.is_limited)
			g_array_append_val(list, rate);
	}
	return list;
}

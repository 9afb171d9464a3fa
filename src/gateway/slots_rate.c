/* Rates that targets name in their answers. */
#include "gateway/slots_internal.h"

void
slots_record_rate(struct slots *sl, uint64_t id, int64_t started_ms,
    const struct stated_rate *said, const char *attempt_id)
{
	const struct hold *h = g_hash_table_lookup(sl->holds, &id);
	const struct fleet_target *t =
	    h != NULL ? fleet_find(sl->opt.fleet, h->target) : NULL;

	if (t == NULL || t->started_ms != started_ms)
		return;
	target_rates_on_answer(sl->rates, t, said, h->granted_us, attempt_id,
	    loop_now_us(sl->opt.lp));
}

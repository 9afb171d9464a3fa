/* Load of a target, and the rate that it names. */
#include "savoryflow/arbiter/arbiter_internal.h"
#include "savoryflow/arbiter/engine_cost.h"
#include "savoryflow/arbiter/fair_queue.h"
#include "savoryflow/arbiter/forecast.h"
#include "savoryflow/arbiter/tail_tracker.h"

static int64_t
queue_length(const struct arbiter *arb)
{
	return g_hash_table_size(arb->online_by_id) + 1;
}

static int64_t
slot_wait_us(const struct arbiter *arb)
{
	return queue_length(arb) * arb->mean_hold_us / MAX(arb->capacity, 1);
}

/* Time in which the rate lets the queue through. */
static int64_t
rate_wait_us(const struct arbiter *arb)
{
	return queue_length(arb) * start_rate_interval_us(&arb->rate);
}

int64_t
arbiter_start_wait_us(const struct arbiter *arb, int64_t now_us)
{
	int64_t wait_us = start_rate_wait_us(&arb->rate, now_us);

	return queue_length(arb) > 1 ? MAX(wait_us, rate_wait_us(arb))
				     : wait_us;
}

int64_t
arbiter_queue_wait_us(const struct arbiter *arb, int64_t now_us)
{
	return MAX(slot_wait_us(arb), arbiter_start_wait_us(arb, now_us));
}

/* An answer that ends the rate belongs to a run that was granted here. */
static void
end_rate(struct arbiter *arb, uint64_t id)
{
	const struct grant *gr = g_hash_table_lookup(arb->grants, &id);

	if (gr != NULL && !gr->is_adopted &&
	    start_rate_end(&arb->rate, gr->granted_us))
		arb->is_rate_known = true;
}

void
arbiter_record_rate(
    struct arbiter *arb, const struct arbiter_rate *rate, int64_t now_us)
{
	if (rate->id == 0 && arb->is_rate_known)
		return;
	if (rate->pause_us > 0)
		start_rate_pause(&arb->rate, rate->pause_us, now_us);
	if (rate->said.kind == kRateNamed) {
		start_rate_name(&arb->rate, rate->said.milli_per_s, now_us);
		arb->is_rate_known |= rate->id != 0;
	} else if (rate->said.kind == kRateNone && rate->id != 0) {
		end_rate(arb, rate->id);
	}
}

int64_t
arbiter_rate_milli(const struct arbiter *arb)
{
	return arb->rate.is_limited ? arb->rate.milli_per_s : -1;
}

struct arbiter_load
arbiter_load_get(const struct arbiter *arb, int64_t now_us)
{
	struct engine_cost cost = forecast_cost(arb);
	struct arbiter_load load = {
	    .online = arb->online,
	    .batch = arb->batch + arb->revoked,
	    .online_queued = (int32_t)g_hash_table_size(arb->online_by_id),
	    .batch_queued = fair_queue_length(arb->batch_queue),
	    .tail_us = tail_tracker_p99_us(arb->tail),
	    .is_leaving = arb->is_leaving,
	};

	load.first_token_us = engine_cost_prefill_us(
	    &cost, forecast_streams(arb), arb->prefill_tokens + 1);
	if (load.online_queued > 0)
		load.first_token_us += slot_wait_us(arb);
	load.first_token_us += start_rate_wait_us(&arb->rate, now_us);
	/* Targets without a rate are preferred. */
	load.first_token_us += rate_wait_us(arb) / 2;
	return load;
}

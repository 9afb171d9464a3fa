/* Load of a pool, and what it means for the wait of callers. */
#include "os/clock.h"
#include "savoryflow/slotpool/slotpool_internal.h"

enum {
	/* Microseconds of a second, times a thousand. */
	kMilliUsPerS = 1000 * kUsPerS,
	/* Refused callers should retry when there is likely to be room: an
	 * overload is assumed to last as long again as it has lasted. Callers
	 * wait for at most a third of their timeout, some 1.6 s. */
	kRetryAfterMinUs = 250 * kUsPerMs,
	kRetryAfterMaxUs = 1100 * kUsPerMs,
	/* Wait for targets to accept work again, if none does. */
	kNoTargetRetryUs = 500 * kUsPerMs,
};

/* Online requests that may start now; items are preempted for them. */
static int32_t
online_room(const struct slotpool_load *load)
{
	return load->slots - load->limited_slots -
	    (load->online - load->limited_online) + load->limited_starts;
}

/* Online requests that the pool starts a second, in thousandths. */
static int64_t
starts_milli_per_s(const struct slotpool_load *load)
{
	int64_t hold_us = MAX(load->hold_us, 1);

	return (load->slots - load->limited_slots) * (int64_t)kMilliUsPerS /
	    hold_us +
	    MIN(load->limited_milli_per_s,
		load->limited_slots * (int64_t)kMilliUsPerS / hold_us);
}

int64_t
slotpool_wait_us(const struct slotpool_load *load)
{
	if (load->slots == 0)
		return kNoTargetRetryUs;
	if (online_room(load) > 0 && load->online_queued == 0)
		return 0;
	if (load->limited_slots == 0)
		return (load->online_queued + 1) * load->hold_us / load->slots;
	return (load->online_queued + 1) * (int64_t)kMilliUsPerS /
	    MAX(starts_milli_per_s(load), 1);
}

int32_t
slotpool_batch_room(const struct slotpool_load *load)
{
	int32_t free_slots = load->slots - load->limited_slots -
	    (load->online - load->limited_online) -
	    (load->batch - load->limited_batch);

	return free_slots + load->limited_starts - load->online_queued -
	    load->batch_queued;
}

static void
add_limited(const struct slotpool *sp, struct slotpool_load *load,
    const struct slot_target *t, int64_t now_us)
{
	load->limited_slots += t->info.slots;
	load->limited_online += t->online;
	load->limited_batch += t->batch + t->revoked;
	if (sp->is_limited_paused)
		return;
	load->limited_milli_per_s += t->rate.milli_per_s;
	load->limited_starts += MIN(start_rate_available(&t->rate, now_us),
	    MAX(t->info.slots - t->online - t->revoked, 0));
}

struct slotpool_load
slotpool_load_get(const struct slotpool *sp, int64_t now_us)
{
	struct slotpool_load load = {
	    .online_queued = slot_queue_len(sp->queue, false),
	    .batch_queued = slot_queue_len(sp->queue, true),
	    .hold_us = sp->hold_us,
	};
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, sp->targets);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		const struct slot_target *t = val;

		if (!slot_target_accepts_work(t, false, now_us))
			continue;
		load.slots += t->info.slots;
		load.online += t->online;
		load.batch += t->batch + t->revoked;
		if (t->rate.is_limited)
			add_limited(sp, &load, t, now_us);
	}
	return load;
}

/* Adds up to 50 % jitter, so that callers do not all retry at once. */
int64_t
slotpool_retry_after_us(const struct slotpool *sp,
    const struct slot_request *req, const struct slotpool_load *load,
    int64_t now_us)
{
	int64_t overload_us = sp->is_full ? now_us - sp->full_since_us : 0;
	int64_t base_us = CLAMP(MAX(overload_us, slotpool_wait_us(load)),
	    kRetryAfterMinUs, kRetryAfterMaxUs);

	return base_us + base_us / 2 * (int64_t)(req->id % 256) / 256;
}

struct slotpool_starts
slotpool_take_starts(struct slotpool *sp)
{
	struct slotpool_starts sum = {0};
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, sp->targets);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct slotpool_starts *starts =
		    &((struct slot_target *)val)->starts;

		sum.online += starts->online;
		sum.items += starts->items;
		sum.preemptions += starts->preemptions;
		*starts = (struct slotpool_starts){0};
	}
	return sum;
}

/* Load of a pool, and what it means for the wait of callers. */
#include "os/clock.h"
#include "savoryflow/slotpool/slotpool_internal.h"

enum {
	/* Refused callers should retry when there is likely to be room: an
	 * overload is assumed to last as long again as it has lasted. Callers
	 * wait for at most a third of their timeout, some 1.6 s. */
	kRetryAfterMinUs = 250 * kUsPerMs,
	kRetryAfterMaxUs = 1100 * kUsPerMs,
	/* Wait for targets to accept work again, if none does. */
	kNoTargetRetryUs = 500 * kUsPerMs,
};

int64_t
slotpool_wait_us(const struct slotpool_load *load)
{
	if (load->slots == 0)
		return kNoTargetRetryUs;
	if (load->online < load->slots && load->online_queued == 0)
		return 0;
	return (load->online_queued + 1) * load->hold_us / load->slots;
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
	struct slotpool_starts starts = sp->starts;

	sp->starts = (struct slotpool_starts){0};
	return starts;
}

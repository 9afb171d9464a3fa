/* Slot messages from peers. */
#include <string.h>

#include "gateway/slots_internal.h"

#include "os/text_copy.h"

enum {
	/* Shorter than the time after which idle connections are closed. */
	kConnectPeriodUs = 5 * kUsPerS,
};

/*
 * Reports held slots to an arbiter that has just started. It may have replaced
 * one that this daemon still takes for the arbiter.
 */
static void
on_new_epoch(
    struct slots *sl, const struct pool_view *view, const char *arbiter)
{
	char saved[kFleetAddressMax];
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, sl->holds);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct hold *h = val;

		if (h->view != view || h->granted_us == 0)
			continue;
		TEXT_ASSIGN(saved, h->arbiter);
		text_copy_or_none(h->arbiter, sizeof(h->arbiter), arbiter);
		slots_send_request(sl, h, h->target);
		text_copy_or_none(h->arbiter, sizeof(h->arbiter), saved);
	}
}

/* Who reports directly has a connection to here; one in the other direction
 * lets it answer a request without delay. */
static void
keep_connected(struct slots *sl, struct pool_view *view, const char *arbiter,
    int64_t now_us)
{
	if (strcmp(view->reporter, arbiter) == 0 &&
	    now_us - view->connected_us < kConnectPeriodUs)
		return;
	view->connected_us = now_us;
	sl->opt.wire->connect(sl->opt.wire_ctx, arbiter);
}

static void
apply_load(struct slots *sl, const char *from, const Sfpeer__PoolLoad *wire)
{
	struct pool_view *view =
	    slots_view(sl, wire->service, wire->data_center);
	bool is_relayed = wire->arbiter[0] != '\0';
	const char *arbiter = is_relayed ? wire->arbiter : from;
	int64_t now_us = loop_now_us(sl->opt.lp);

	view->load = (struct slotpool_load){
	    .slots = (int32_t)wire->slots,
	    .online = (int32_t)wire->online,
	    .batch = (int32_t)wire->batch,
	    .online_queued = (int32_t)wire->online_queued,
	    .batch_queued = (int32_t)wire->batch_queued,
	    .hold_us = wire->hold_us,
	    .limited_slots = (int32_t)wire->limited_slots,
	    .limited_online = (int32_t)wire->limited_online,
	    .limited_batch = (int32_t)wire->limited_batch,
	    .limited_starts = (int32_t)wire->limited_starts,
	    .limited_milli_per_s = (int64_t)wire->limited_milli_per_s,
	};
	view->load_at_us = now_us;
	view->other_report_us = now_us;
	view->local_delta = 0;
	if (is_relayed)
		roster_record_relayed(sl->opt.roster, arbiter, now_us);
	view->is_relay_due =
	    !is_relayed && strcmp(view->data_center, sl->opt.data_center) != 0;
	if (!is_relayed)
		keep_connected(sl, view, arbiter, now_us);
	text_copy_or_none(view->reporter, sizeof(view->reporter), arbiter);
	slots_on_reported_rates(sl, view, wire);
	if (view->epoch == wire->epoch)
		return;
	view->epoch = wire->epoch;
	on_new_epoch(sl, view, arbiter);
}

/* Releases a slot whose request no longer exists. */
static void
release_unclaimed(
    struct slots *sl, const char *from, const Sfpeer__SlotAnswer *wire)
{
	const struct fleet_target *t = fleet_find(sl->opt.fleet, wire->target);
	struct hold stale = {.request.id = wire->id};

	if (t == NULL)
		return;
	stale.view = slots_view(sl, t->service, t->data_center);
	TEXT_ASSIGN(stale.service, t->service);
	TEXT_ASSIGN(stale.target, t->id);
	text_copy_or_none(stale.arbiter, sizeof(stale.arbiter), from);
	slots_send_release(sl, &stale, kSlotUnused);
}

static void
deliver_wire(struct slots *sl, const Sfpeer__SlotAnswer *wire)
{
	struct delivery del = {
	    .id = wire->id,
	    .verdict = (enum slotpool_verdict)wire->verdict,
	    .retry_after_us = (int64_t)wire->retry_after_us,
	    .has_no_healthy_target = wire->is_dead,
	    .is_rate_limited = wire->is_rate_limited,
	};

	/* A target of such a name is not known here, which its receiver tells
	 * the arbiter. */
	text_copy_or_none(del.target, sizeof(del.target), wire->target);
	slots_deliver(sl, &del);
}

/*
 * A request keeps its id when another arbiter is asked. Once granted, it may be
 * adopted by an arbiter that this daemon does not know yet.
 */
static bool
is_of_arbiter(const struct hold *h, const char *from)
{
	return h->granted_us != 0 || strcmp(h->arbiter, from) == 0;
}

static void
on_answer(struct slots *sl, const char *from, const Sfpeer__SlotAnswer *wire)
{
	uint64_t id = wire->id;
	const struct hold *h = g_hash_table_lookup(sl->holds, &id);

	if (h != NULL && is_of_arbiter(h, from))
		deliver_wire(sl, wire);
	else if (wire->verdict == kSlotGranted)
		release_unclaimed(sl, from, wire);
}

void
slots_on_envelope(struct slots *sl, const Sfpeer__Envelope *env)
{
	for (size_t i = 0; i < env->n_pool_loads; i++)
		apply_load(sl, env->from, env->pool_loads[i]);
	for (size_t i = 0; i < env->n_slot_rates; i++)
		slots_on_slot_rate(sl, env->slot_rates[i]);
	for (size_t i = 0; i < env->n_slot_notes; i++)
		slots_host_on_release(sl, env->from, env->slot_notes[i]);
	/* Before the requests that they came with. */
	slots_on_rates(sl, env->target_rates, env->n_target_rates);
	for (size_t i = 0; i < env->n_slot_asks; i++)
		slots_host_on_request(sl, env->from, env->slot_asks[i]);
	if (env->n_slot_answers > 0 || env->n_pool_loads > 0)
		slots_record_contact(sl, env->from);
	for (size_t i = 0; i < env->n_slot_answers; i++)
		on_answer(sl, env->from, env->slot_answers[i]);
}

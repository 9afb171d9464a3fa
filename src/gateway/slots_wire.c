/* Messages of peers about slots. */
#include <string.h>

#include "gateway/slots_internal.h"

/* An arbiter that started anew does not know what is held. It may have taken
 * over from one that this daemon still believes in. */
static void
on_new_epoch(
    struct slots *sl, const struct pool_view *view, const char *arbiter)
{
	char own[kFleetAddressMax];
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, sl->holds);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct hold *h = val;

		if (h->view != view || h->granted_us == 0)
			continue;
		g_strlcpy(own, h->arbiter, sizeof(own));
		g_strlcpy(h->arbiter, arbiter, sizeof(h->arbiter));
		slots_send_ask(sl, h, h->target);
		g_strlcpy(h->arbiter, own, sizeof(h->arbiter));
	}
}

static void
take_load(struct slots *sl, const char *from, const Sfpeer__PoolLoad *wire)
{
	struct pool_view *view =
	    slots_view(sl, wire->service, wire->data_center);

	view->load = (struct slotpool_load){
	    .slots = (int32_t)wire->slots,
	    .online = (int32_t)wire->online,
	    .batch = (int32_t)wire->batch,
	    .online_queued = (int32_t)wire->online_queued,
	    .batch_queued = (int32_t)wire->batch_queued,
	    .hold_us = wire->hold_us,
	};
	view->load_at_us = loop_now_us(sl->opt.lp);
	view->since = 0;
	if (view->epoch != wire->epoch) {
		view->epoch = wire->epoch;
		on_new_epoch(sl, view, from);
	}
}

/* A slot for a request that is gone is given back at once. */
static void
return_unwanted(
    struct slots *sl, const char *from, const Sfpeer__SlotAnswer *wire)
{
	const struct fleet_target *t = fleet_find(sl->opt.fleet, wire->target);
	struct hold gone = {.ask.id = wire->id};

	if (t == NULL)
		return;
	gone.view = slots_view(sl, t->service, t->data_center);
	g_strlcpy(gone.service, t->service, sizeof(gone.service));
	g_strlcpy(gone.target, t->id, sizeof(gone.target));
	g_strlcpy(gone.arbiter, from, sizeof(gone.arbiter));
	slots_send_note(sl, &gone, kSlotNeutral);
}

static void
deliver_wire(struct slots *sl, const Sfpeer__SlotAnswer *wire)
{
	struct delivery del = {
	    .id = wire->id,
	    .verdict = (enum slotpool_verdict)wire->verdict,
	    .retry_after_us = (int64_t)wire->retry_after_us,
	    .is_dead = wire->is_dead,
	};

	g_strlcpy(del.target, wire->target, sizeof(del.target));
	slots_deliver(sl, &del);
}

void
slots_on_envelope(struct slots *sl, const Sfpeer__Envelope *env)
{
	for (size_t i = 0; i < env->n_pool_loads; i++)
		take_load(sl, env->from, env->pool_loads[i]);
	for (size_t i = 0; i < env->n_slot_notes; i++)
		slots_host_on_note(sl, env->from, env->slot_notes[i]);
	for (size_t i = 0; i < env->n_slot_asks; i++)
		slots_host_on_ask(sl, env->from, env->slot_asks[i]);
	for (size_t i = 0; i < env->n_slot_answers; i++) {
		const Sfpeer__SlotAnswer *wire = env->slot_answers[i];
		uint64_t id = wire->id;

		if (wire->verdict == kSlotGranted &&
		    !g_hash_table_contains(sl->holds, &id))
			return_unwanted(sl, env->from, wire);
		else
			deliver_wire(sl, wire);
	}
}

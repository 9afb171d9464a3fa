/* Requests to arbiters, and releases, as they are sent. */
#include "gateway/slots_internal.h"
#include "savoryflow/slotpool/batch_rank.h"

struct slot_request
slots_remaining_request(const struct slots *sl, const struct hold *h)
{
	if (h->granted_us == 0 || !h->request.is_batch)
		return h->request;
	return batch_rank_remaining(
	    &h->request, h->granted_us, loop_now_us(sl->opt.lp));
}

/* @param tokens storage of the message */
static void
set_parts(Sfpeer__SlotAsk *wire, const struct slot_parts *parts,
    uint32_t tokens[kSlotPartsMax])
{
	for (int32_t i = 0; i < parts->count; i++)
		tokens[i] = (uint32_t)parts->tokens[i];
	wire->n_part_keys = (size_t)parts->count;
	wire->part_keys = (uint64_t *)parts->keys;
	wire->n_part_tokens = (size_t)parts->count;
	wire->part_tokens = tokens;
}

void
slots_send_request(
    struct slots *sl, const struct hold *h, const char *adopt_target)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__SlotAsk wire = SFPEER__SLOT_ASK__INIT;
	Sfpeer__SlotAsk *list[] = {&wire};
	struct wire_rates rates;
	uint32_t tokens[kSlotPartsMax];

	wire.id = h->request.id;
	wire.service = (char *)h->service;
	wire.data_center = h->view->data_center;
	wire.batch = h->request.is_batch;
	wire.left_us = h->request.deadline_us - loop_now_us(sl->opt.lp);
	wire.need_us = slots_remaining_request(sl, h).expected_run_us;
	wire.but = (char *)h->request.excluded_target;
	wire.prefix = h->request.prefix;
	set_parts(&wire, &h->request.parts, tokens);
	wire.team = h->request.team;
	wire.weight = h->request.weight;
	wire.priority = h->request.priority;
	wire.last_resort = h->request.is_last_resort;
	wire.adopt = adopt_target != NULL;
	wire.target = (char *)(adopt_target != NULL ? adopt_target : "");
	env.n_slot_asks = 1;
	env.slot_asks = list;
	slots_rates_for_arbiter(sl, h, &rates);
	env.n_target_rates = rates.count;
	env.target_rates = rates.refs;
	sl->opt.wire->send(sl->opt.wire_ctx, h->arbiter, &env);
	wire_rates_clear(&rates);
}

void
slots_send_release(
    struct slots *sl, const struct hold *h, enum slot_outcome outcome)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__SlotNote wire = SFPEER__SLOT_NOTE__INIT;
	Sfpeer__SlotNote *list[] = {&wire};

	wire.id = h->request.id;
	wire.service = (char *)h->service;
	wire.data_center = h->view->data_center;
	wire.unused = outcome == kSlotUnused;
	wire.outcome = wire.unused ? kSlotNeutral : outcome;
	wire.target = (char *)h->target;
	wire.first_event_us = (uint64_t)h->run.first_event_us;
	wire.pace_us = (uint64_t)h->run.pace_us;
	wire.events = (uint32_t)h->run.events;
	env.n_slot_notes = 1;
	env.slot_notes = list;
	sl->opt.wire->send(sl->opt.wire_ctx, h->arbiter, &env);
}

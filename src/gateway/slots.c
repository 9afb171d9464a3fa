/* Slots that this daemon's requests ask for, hold and give back. */
#include "gateway/slots.h"

#include <string.h>

#include "gateway/slots_internal.h"
#include "log/log.h"
#include "metric/metric.h"
#include "savoryflow/arbiter/u64_hash.h"
#include "savoryflow/slotpool/batch_rank.h"

enum {
	kTickUs = 25 * kUsPerMs,
	/* Beyond the links' own time an arbiter answers within a turn. */
	kAnswerSlackUs = 40 * kUsPerMs,
	/* An arbiter that did not answer is passed over until it is heard, or
	 * for so long: one that is asked tells its load more often. */
	kSuspectUs = 8 * kUsPerS,
	kSilentMax = 2,
	/* Long uses are told again, so that the arbiter keeps them. */
	kRenewUs = 1500 * kUsPerMs,
	/* A batch request that got no slot looks at all pools again. */
	kBatchRechooseUs = 1000 * kUsPerMs,
	kLocalRetryUs = 300 * kUsPerMs,
	/* An arbiter lets a queued request start late; after that it has lost
	 * it. */
	kLateUs = 1300 * kUsPerMs,
};

static void deliver_all(void *ctx);

static void tick(void *ctx);

struct slots *
slots_new(const struct slots_options *opt)
{
	struct slots *sl = g_new0(struct slots, 1);

	sl->opt = *opt;
	sl->epoch = opt->seed;
	sl->next_id = opt->seed;
	sl->holds = u64_hash_new(g_free);
	sl->views =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	sl->hosted = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, slots_host_free);
	sl->holders = g_ptr_array_new_with_free_func(g_free);
	sl->deliveries = g_array_new(FALSE, TRUE, sizeof(struct delivery));
	/* Holder 0 is this daemon. */
	slots_holder(sl, opt->address);
	loop_on_iteration_end(opt->lp, deliver_all, sl);
	sl->timer =
	    loop_timer(opt->lp, loop_now_us(opt->lp) + kTickUs, tick, sl);
	return sl;
}

void
slots_free(struct slots *sl)
{
	loop_timer_cancel(sl->opt.lp, sl->timer);
	g_hash_table_unref(sl->holds);
	g_hash_table_unref(sl->hosted);
	g_hash_table_unref(sl->views);
	g_ptr_array_unref(sl->holders);
	g_array_unref(sl->deliveries);
	g_free(sl);
}

void
slots_deliver(struct slots *sl, const struct delivery *del)
{
	g_array_append_vals(sl->deliveries, del, 1);
	loop_skip_wait(sl->opt.lp);
}

static void
deliver_refusal(struct slots *sl, uint64_t id, int64_t retry_after_us)
{
	struct delivery del = {.id = id,
	    .verdict = kSlotRefused,
	    .retry_after_us = retry_after_us};

	slots_deliver(sl, &del);
}

/* What is left of the need of a run that has begun. */
static struct slot_request
present_ask(const struct slots *sl, const struct hold *h)
{
	if (h->granted_us == 0 || !h->ask.is_batch)
		return h->ask;
	return batch_rank_remaining(
	    &h->ask, h->granted_us, loop_now_us(sl->opt.lp));
}

void
slots_send_ask(struct slots *sl, const struct hold *h, const char *adopt_target)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__SlotAsk wire = SFPEER__SLOT_ASK__INIT;
	Sfpeer__SlotAsk *list[] = {&wire};

	wire.id = h->ask.id;
	wire.service = (char *)h->service;
	wire.data_center = h->view->data_center;
	wire.batch = h->ask.is_batch;
	wire.left_us = h->ask.deadline_us - loop_now_us(sl->opt.lp);
	wire.need_us = present_ask(sl, h).expected_run_us;
	wire.but = (char *)h->ask.excluded_target;
	wire.prefix = h->ask.prefix;
	wire.last_resort = h->ask.is_last_resort;
	wire.adopt = adopt_target != NULL;
	wire.target = (char *)(adopt_target != NULL ? adopt_target : "");
	env.n_slot_asks = 1;
	env.slot_asks = list;
	sl->opt.wire->send(sl->opt.wire_ctx, h->arbiter, &env);
}

static bool
is_here(const struct slots *sl, const struct hold *h)
{
	return strcmp(h->arbiter, sl->opt.address) == 0;
}

static void
pass_ask(struct slots *sl, struct hold *h, const char *adopt_target)
{
	struct slot_request ask = present_ask(sl, h);

	if (is_here(sl, h))
		slots_host_ask(
		    sl, &ask, h->service, h->view->data_center, adopt_target);
	else
		slots_send_ask(sl, h, adopt_target);
}

static void
find_arbiter(struct slots *sl, struct hold *h)
{
	g_strlcpy(h->arbiter,
	    roster_owner(sl->opt.roster, h->view->key, h->view->data_center,
		loop_now_us(sl->opt.lp)),
	    sizeof(h->arbiter));
}

static void
count_since(struct hold *h, int32_t n)
{
	if (!h->ask.is_batch && h->view != NULL)
		h->view->since += n;
}

/* Asks the best pool, or tells that there is none. */
static void
ask_pool(struct slots *sl, struct hold *h)
{
	int64_t retry_after_us;

	h->view = slots_choose_pool(sl, h, &retry_after_us);
	if (h->view == NULL && !h->ask.is_batch && !h->ask.is_last_resort &&
	    slots_all_unhealthy(sl, h->service)) {
		h->ask.is_last_resort = true;
		h->tried_count = 0;
		h->view = slots_choose_pool(sl, h, &retry_after_us);
	}
	if (h->view == NULL) {
		deliver_refusal(
		    sl, h->ask.id, MAX(retry_after_us, h->retry_after_us));
		return;
	}
	h->phase = kHoldAsking;
	h->asked_us = loop_now_us(sl->opt.lp);
	count_since(h, 1);
	find_arbiter(sl, h);
	pass_ask(sl, h, NULL);
}

uint64_t
slots_acquire(struct slots *sl, const struct slots_acquire_options *ask,
    const struct slots_ops *ops, void *ctx)
{
	struct hold *h = g_new0(struct hold, 1);

	h->ask.id = ++sl->next_id;
	h->ask.is_batch = ask->is_batch;
	h->ask.deadline_us = ask->deadline_us;
	h->ask.expected_run_us = ask->expected_run_us;
	h->ask.prefix = ask->prefix;
	g_strlcpy(h->ask.excluded_target,
	    ask->excluded_target != NULL ? ask->excluded_target : "",
	    sizeof(h->ask.excluded_target));
	g_strlcpy(h->service, ask->service, sizeof(h->service));
	h->ops = ops;
	h->ctx = ctx;
	g_hash_table_insert(sl->holds, &h->ask.id, h);
	ask_pool(sl, h);
	return h->ask.id;
}

void
slots_send_note(
    struct slots *sl, const struct hold *h, enum slot_outcome outcome)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__SlotNote wire = SFPEER__SLOT_NOTE__INIT;
	Sfpeer__SlotNote *list[] = {&wire};

	wire.id = h->ask.id;
	wire.service = (char *)h->service;
	wire.data_center = h->view->data_center;
	wire.outcome = outcome;
	wire.target = (char *)h->target;
	env.n_slot_notes = 1;
	env.slot_notes = list;
	sl->opt.wire->send(sl->opt.wire_ctx, h->arbiter, &env);
}

/* Tells the arbiter that the slot, or the request for it, is no longer held.
 */
static void
tell_release(struct slots *sl, const struct hold *h, enum slot_outcome outcome)
{
	if (is_here(sl, h))
		slots_host_release(
		    sl, h->service, h->view->data_center, h->ask.id, outcome);
	else
		slots_send_note(sl, h, outcome);
}

static void
give_back(struct slots *sl, struct hold *h, enum slot_outcome outcome)
{
	if (h->view == NULL)
		return;
	count_since(h, -1);
	tell_release(sl, h, outcome);
}

void
slots_release(struct slots *sl, uint64_t id, enum slot_outcome outcome)
{
	struct hold *h = g_hash_table_lookup(sl->holds, &id);

	if (h == NULL)
		return;
	give_back(sl, h, outcome);
	g_hash_table_remove(sl->holds, &id);
}

static int32_t
held_at(const struct slots *sl, const char *target)
{
	int32_t n = 0;
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, sl->holds);
	while (g_hash_table_iter_next(&it, NULL, &val))
		if (strcmp(((struct hold *)val)->target, target) == 0)
			n++;
	return n;
}

static void
deliver_own_share(
    struct slots *sl, const struct hold *h, const struct fleet_target *t)
{
	struct delivery del = {.id = h->ask.id, .verdict = kSlotGranted};

	g_strlcpy(del.target, t->id, sizeof(del.target));
	slots_deliver(sl, &del);
}

/* No arbiter answers: this daemon's share of the targets nearby. */
static bool
use_own_share(struct slots *sl, struct hold *h)
{
	GPtrArray *all = fleet_list(sl->opt.fleet);
	const struct fleet_target *best = NULL;
	int32_t best_held = 0;
	int32_t daemons = roster_count(
	    sl->opt.roster, h->view->data_center, loop_now_us(sl->opt.lp));

	for (guint i = 0; i < all->len; i++) {
		const struct fleet_target *t = all->pdata[i];
		int32_t share = MAX(t->slots / MAX(daemons, 1), 1);
		int32_t held;

		if (strcmp(t->service, h->service) != 0 || t->is_draining ||
		    t->expires_at_us != 0 ||
		    strcmp(t->id, h->ask.excluded_target) == 0 ||
		    strcmp(t->data_center, h->view->data_center) != 0)
			continue;
		held = held_at(sl, t->id);
		if (held < share && (best == NULL || held < best_held)) {
			best = t;
			best_held = held;
		}
	}
	if (best != NULL) {
		metric_add(kMetFallbacks, 1);
		log_event(kEvtArbiterFallback, "target", best->id, "arbiter",
		    h->arbiter, NULL);
		h->phase = kHoldLocal;
		deliver_own_share(sl, h, best);
	}
	g_ptr_array_unref(all);
	return best != NULL;
}

static void
on_silent_arbiter(struct slots *sl, struct hold *h, int64_t now_us)
{
	log_event(kEvtArbiterSilent, "arbiter", h->arbiter, "waited_us",
	    log_number(now_us - h->asked_us), NULL);
	roster_suspect(sl->opt.roster, h->arbiter, now_us + kSuspectUs);
	h->silent++;
	if (h->silent < kSilentMax || h->ask.is_batch) {
		/* The first one may still give a slot later. */
		give_back(sl, h, kSlotNeutral);
		h->view = NULL;
		ask_pool(sl, h);
		return;
	}
	if (!use_own_share(sl, h))
		deliver_refusal(sl, h->ask.id, kLocalRetryUs);
}

static void
take_grant(struct slots *sl, struct hold *h, const struct delivery *del)
{
	int64_t now_us = loop_now_us(sl->opt.lp);

	/* The arbiter's answer may come after the own share was used. */
	if (h->granted_us != 0)
		return;
	if (h->phase != kHoldLocal)
		h->phase = kHoldGranted;
	h->granted_us = now_us;
	h->renewed_us = now_us;
	g_strlcpy(h->target, del->target, sizeof(h->target));
	h->ops->on_granted(h->ctx, h->ask.id, del->target);
}

static void
note_dead_pool(struct slots *sl, struct pool_view *view)
{
	view->load.slots = 0;
	view->load_at_us = loop_now_us(sl->opt.lp);
}

static void
take_refusal(struct slots *sl, struct hold *h, const struct delivery *del)
{
	const struct slots_ops *ops = h->ops;
	void *ctx = h->ctx;

	if (h->phase == kHoldGranted || h->phase == kHoldLocal)
		return;
	if (h->view != NULL && h->tried_count < kPoolsTriedMax &&
	    !h->ask.is_batch) {
		count_since(h, -1);
		h->retry_after_us = MAX(h->retry_after_us, del->retry_after_us);
		if (del->is_dead)
			note_dead_pool(sl, h->view);
		h->tried[h->tried_count++] = h->view;
		ask_pool(sl, h);
		return;
	}
	g_hash_table_remove(sl->holds, &del->id);
	ops->on_refused(ctx, del->id, del->retry_after_us);
}

static void
take_delivery(struct slots *sl, const struct delivery *del)
{
	struct hold *h = g_hash_table_lookup(sl->holds, &del->id);

	if (h == NULL)
		return;
	switch (del->verdict) {
	case kSlotGranted:
		take_grant(sl, h, del);
		break;
	case kSlotRefused:
		take_refusal(sl, h, del);
		break;
	case kSlotRevoked:
		if (h->phase == kHoldGranted)
			h->ops->on_revoked(h->ctx, del->id);
		break;
	case kSlotQueued:
		if (h->phase == kHoldAsking)
			h->phase = kHoldQueued;
		break;
	case kSlotUnknownPool:
		if (h->phase == kHoldAsking)
			on_silent_arbiter(sl, h, loop_now_us(sl->opt.lp));
		break;
	}
}

static void
deliver_all(void *ctx)
{
	struct slots *sl = ctx;

	for (guint i = 0; i < sl->deliveries->len; i++) {
		struct delivery del =
		    g_array_index(sl->deliveries, struct delivery, i);

		take_delivery(sl, &del);
	}
	g_array_set_size(sl->deliveries, 0);
}

/* The pool has another arbiter now, or the same one started anew. */
static void
follow_arbiter(struct slots *sl, struct hold *h, int64_t now_us)
{
	/* The old one would keep the slot until its lease ends. */
	tell_release(sl, h, kSlotNeutral);
	find_arbiter(sl, h);
	if (h->phase == kHoldGranted || h->phase == kHoldLocal) {
		h->renewed_us = now_us;
		pass_ask(sl, h, h->target);
	} else {
		h->phase = kHoldAsking;
		h->asked_us = now_us;
		pass_ask(sl, h, NULL);
	}
}

static bool
has_moved(const struct slots *sl, const struct hold *h, int64_t now_us)
{
	return strcmp(h->arbiter,
		   roster_owner(sl->opt.roster, h->view->key,
		       h->view->data_center, now_us)) != 0;
}

void
slots_reassign_arbiters(struct slots *sl)
{
	int64_t now_us = loop_now_us(sl->opt.lp);
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, sl->holds);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct hold *h = val;

		if (h->view != NULL && has_moved(sl, h, now_us))
			follow_arbiter(sl, h, now_us);
	}
}

void
slots_forget_daemon(struct slots *sl, const char *address)
{
	slots_host_forget(sl, address);
}

static void
hold_tick(struct slots *sl, struct hold *h, int64_t now_us)
{
	int64_t answer_us;

	if (h->view == NULL)
		return;
	if (has_moved(sl, h, now_us)) {
		follow_arbiter(sl, h, now_us);
		return;
	}
	answer_us = kAnswerSlackUs + slots_link_us(sl, h->view->data_center);
	switch (h->phase) {
	case kHoldAsking:
		if (!is_here(sl, h) && now_us - h->asked_us > answer_us)
			on_silent_arbiter(sl, h, now_us);
		else if (h->ask.is_batch &&
		    now_us - h->asked_us > kBatchRechooseUs)
			h->phase = kHoldQueued;
		break;
	case kHoldQueued:
		if (h->ask.is_batch) {
			if (now_us - h->asked_us <= kBatchRechooseUs)
				break;
			give_back(sl, h, kSlotNeutral);
			ask_pool(sl, h);
		} else if (now_us > h->ask.deadline_us + kLateUs) {
			give_back(sl, h, kSlotNeutral);
			h->view = NULL;
			deliver_refusal(sl, h->ask.id, kLocalRetryUs);
		}
		break;
	case kHoldGranted:
	case kHoldLocal:
		if (now_us - h->renewed_us > kRenewUs) {
			h->renewed_us = now_us;
			pass_ask(sl, h, h->target);
		}
		break;
	}
}

static void
tick(void *ctx)
{
	struct slots *sl = ctx;
	int64_t now_us = loop_now_us(sl->opt.lp);
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter it;
	void *val;

	slots_host_tick(sl, now_us);
	g_hash_table_iter_init(&it, sl->holds);
	while (g_hash_table_iter_next(&it, NULL, &val))
		g_ptr_array_add(list, val);
	for (guint i = 0; i < list->len; i++)
		hold_tick(sl, list->pdata[i], now_us);
	g_ptr_array_unref(list);
	sl->timer = loop_timer(sl->opt.lp, now_us + kTickUs, tick, sl);
}

void
slots_targets_changed(struct slots *sl)
{
	GPtrArray *all = fleet_list(sl->opt.fleet);
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, sl->views);
	while (g_hash_table_iter_next(&it, NULL, &val))
		((struct pool_view *)val)->listed_slots = 0;
	for (guint i = 0; i < all->len; i++) {
		const struct fleet_target *t = all->pdata[i];

		if (!t->is_draining && t->expires_at_us == 0)
			slots_view(sl, t->service, t->data_center)
			    ->listed_slots += t->slots;
	}
	g_ptr_array_unref(all);
	slots_host_targets_changed(sl);
}

/* Arbiters that this daemon hosts, for itself and for its peers. */
#include <stdio.h>
#include <string.h>

#include "gateway/dialect.h"
#include "gateway/slots_internal.h"
#include "log/log.h"
#include "metric/metric.h"
#include "os/text_copy.h"

enum {
	/* An arbiter without requests for this time is removed. */
	kIdleUs = 20 * kUsPerS,
	kLogPeriodUs = kUsPerS,
	/* An owner of a pool for this time arbitrates it before the first
	 * request, so that all daemons are connected to it then. A daemon that
	 * starts knows no others at first. */
	kEarlyStartUs = 2 * kUsPerS,
	/* Another arbiter of the pool reports more often than this. */
	kOtherSilentUs = kUsPerS,
	/* An elected arbiter that is silent for this time runs no items: the
	 * daemon that acts in its place starts them. Longer than the above, as
	 * two arbiters that start items fill each other's free slots. */
	kElectedSilentUs = 3 * kUsPerS,
	/* Bounds of what a message may say of a run. */
	kRunTimeMaxUs = 600 * kUsPerS,
	kRunEventsMax = 1000000,
};

void
slots_host_free(void *p)
{
	struct hosted_pool *hp = p;

	slotpool_free(hp->pool);
	g_free(hp);
}

uint32_t
slots_holder_index(struct slots *sl, const char *address)
{
	for (guint i = 0; i < sl->holders->len; i++)
		if (strcmp(sl->holders->pdata[i], address) == 0)
			return i;
	g_ptr_array_add(sl->holders, g_strdup(address));
	return sl->holders->len - 1;
}

static void
answer_peer(struct slots *sl, const struct slotpool_action *act)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__SlotAnswer answer = SFPEER__SLOT_ANSWER__INIT;
	Sfpeer__SlotAnswer *answers[] = {&answer};

	answer.id = act->id;
	answer.verdict = act->verdict;
	answer.target = (char *)act->target;
	answer.retry_after_us = (uint64_t)act->retry_after_us;
	answer.is_dead = act->has_no_healthy_target;
	answer.is_rate_limited = act->is_rate_limited;
	env.n_slot_answers = 1;
	env.slot_answers = answers;
	sl->opt.wire->send(
	    sl->opt.wire_ctx, sl->holders->pdata[act->holder], &env);
}

static void
deliver_locally(struct slots *sl, const struct slotpool_action *act)
{
	struct delivery del = {
	    .id = act->id,
	    .verdict = act->verdict,
	    .retry_after_us = act->retry_after_us,
	    .has_no_healthy_target = act->has_no_healthy_target,
	    .is_rate_limited = act->is_rate_limited,
	};

	TEXT_ASSIGN(del.target, act->target);
	slots_deliver(sl, &del);
}

static void
run_actions(struct slots *sl, GArray *actions)
{
	for (guint i = 0; i < actions->len; i++) {
		const struct slotpool_action *act =
		    &g_array_index(actions, struct slotpool_action, i);

		if (act->verdict == kSlotGranted)
			metric_add(kMetGrants, 1);
		if (act->verdict == kSlotRevoked)
			metric_add(kMetRevokes, 1);
		if (act->holder == 0)
			deliver_locally(sl, act);
		else
			answer_peer(sl, act);
	}
	g_array_unref(actions);
}

static void
update_targets(struct slots *sl, struct hosted_pool *hp, GArray *actions)
{
	GPtrArray *all = fleet_list(sl->opt.fleet);
	GPtrArray *own = g_ptr_array_new();

	for (guint i = 0; i < all->len; i++) {
		struct fleet_target *t = all->pdata[i];

		if (strcmp(t->service, hp->service) == 0 &&
		    strcmp(t->data_center, hp->data_center) == 0)
			g_ptr_array_add(own, t);
	}
	slotpool_set_targets(hp->pool, own, loop_now_us(sl->opt.lp), actions);
	g_ptr_array_unref(own);
	g_ptr_array_unref(all);
}

struct hosted_pool *
slots_hosted_find(
    struct slots *sl, const char *service, const char *data_center)
{
	struct pool_key key = slots_pool_key(service, data_center);

	return g_hash_table_lookup(sl->hosted, key.text);
}

void
slots_host_record_rate(
    struct slots *sl, struct hosted_pool *hp, const struct slotpool_rate *rate)
{
	GArray *actions = slotpool_actions_new();

	if (slotpool_record_rate(
		hp->pool, rate, loop_now_us(sl->opt.lp), actions))
		hp->has_rate_changed = true;
	run_actions(sl, actions);
}

/* Whether this arbiter counts the starts of targets that name a rate: the
 * elected one does, or the only one. */
static void
update_role(struct slots *sl, struct hosted_pool *hp, bool is_elected)
{
	const struct pool_view *view =
	    slots_view(sl, hp->service, hp->data_center);
	int64_t now_us = loop_now_us(sl->opt.lp);
	int64_t silent_us = now_us - MAX(view->other_report_us, hp->started_us);

	slotpool_allow_batch(
	    hp->pool, is_elected || silent_us > kElectedSilentUs);
	slotpool_allow_limited(hp->pool,
	    is_elected || now_us - view->other_report_us > kOtherSilentUs,
	    now_us);
}

static void
apply_known_rates(struct slots *sl, struct hosted_pool *hp)
{
	GArray *known = slots_known_rates(sl, hp->service, hp->data_center);

	for (guint i = 0; i < known->len; i++)
		slots_host_record_rate(
		    sl, hp, &g_array_index(known, struct slotpool_rate, i));
	g_array_unref(known);
}

static struct hosted_pool *
hosted_get(struct slots *sl, const char *service, const char *data_center)
{
	struct pool_key key = slots_pool_key(service, data_center);
	struct hosted_pool *hp = slots_hosted_find(sl, service, data_center);
	GArray *actions;

	if (hp == NULL) {
		hp = g_new0(struct hosted_pool, 1);
		text_copy_or_none(hp->service, sizeof(hp->service), service);
		text_copy_or_none(
		    hp->data_center, sizeof(hp->data_center), data_center);
		hp->pool = slotpool_new();
		hp->started_us = loop_now_us(sl->opt.lp);
		update_role(sl, hp,
		    roster_is_elected_owner(sl->opt.roster, key.text,
			data_center, loop_now_us(sl->opt.lp)));
		g_hash_table_insert(sl->hosted, g_strdup(key.text), hp);
		log_event(kEvtArbiterStarted, "service", service, "data_center",
		    data_center, NULL);
		actions = slotpool_actions_new();
		update_targets(sl, hp, actions);
		run_actions(sl, actions);
		apply_known_rates(sl, hp);
		/* Makes the holders of its slots report what they hold. */
		slots_report_load(sl, hp, loop_now_us(sl->opt.lp));
	}
	hp->used_us = loop_now_us(sl->opt.lp);
	return hp;
}

void
slots_host_request(struct slots *sl, const struct slot_request *request,
    const char *service, const char *data_center, const char *adopt_target)
{
	struct hosted_pool *hp = hosted_get(sl, service, data_center);
	GArray *actions = slotpool_actions_new();
	int64_t now_us = loop_now_us(sl->opt.lp);

	if (adopt_target != NULL) {
		slotpool_adopt(hp->pool, request, adopt_target, now_us);
	} else {
		slotpool_request(hp->pool, request, now_us, actions);
		/* Acknowledges the request, so that its daemon does not turn to
		 * another arbiter. */
		if (actions->len == 0 && request->holder != 0) {
			struct slotpool_action queued = {
			    .verdict = kSlotQueued,
			    .holder = request->holder,
			    .id = request->id,
			};

			g_array_append_val(actions, queued);
		}
	}
	run_actions(sl, actions);
}

void
slots_host_release(struct slots *sl, const char *service,
    const char *data_center, uint64_t id, enum slot_outcome outcome)
{
	struct hosted_pool *hp = hosted_get(sl, service, data_center);
	GArray *actions = slotpool_actions_new();

	slotpool_release(
	    hp->pool, id, outcome, loop_now_us(sl->opt.lp), actions);
	run_actions(sl, actions);
}

void
slots_host_record_run(struct slots *sl, const char *service,
    const char *data_center, uint64_t id, const struct slot_run_times *run)
{
	struct hosted_pool *hp = slots_hosted_find(sl, service, data_center);

	if (hp != NULL)
		slotpool_record_run(hp->pool, id, run, loop_now_us(sl->opt.lp));
}

void
slots_host_targets_changed(struct slots *sl)
{
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, sl->hosted);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		GArray *actions = slotpool_actions_new();

		update_targets(sl, val, actions);
		run_actions(sl, actions);
	}
}

void
slots_host_remove_holder(struct slots *sl, const char *address)
{
	uint32_t holder = slots_holder_index(sl, address);
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, sl->hosted);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		GArray *actions = slotpool_actions_new();

		slotpool_remove_holder(((struct hosted_pool *)val)->pool,
		    holder, loop_now_us(sl->opt.lp), actions);
		run_actions(sl, actions);
	}
}

static void
log_limited_targets(const struct hosted_pool *hp, int64_t now_us)
{
	GArray *list = slotpool_rates(hp->pool, now_us);

	for (guint i = 0; i < list->len; i++) {
		const struct slotpool_rate *rate =
		    &g_array_index(list, struct slotpool_rate, i);

		log_event(kEvtTargetStarts, "target", rate->target,
		    "milli_per_s", log_number(rate->said.milli_per_s),
		    "available", log_number(rate->available), "online_starts",
		    log_number(rate->starts.online), "item_starts",
		    log_number(rate->starts.items), "preemptions",
		    log_number(rate->starts.preemptions), NULL);
	}
	g_array_unref(list);
}

static void
log_load(struct hosted_pool *hp, bool is_elected, int64_t now_us)
{
	struct slotpool_load load;
	struct slotpool_starts starts;

	if (now_us - hp->logged_us < kLogPeriodUs)
		return;
	hp->logged_us = now_us;
	load = slotpool_load_get(hp->pool, now_us);
	log_limited_targets(hp, now_us);
	starts = slotpool_take_starts(hp->pool);
	log_event(kEvtPoolLoad, "service", hp->service, "data_center",
	    hp->data_center, "rightful", is_elected ? "yes" : "no", "slots",
	    log_number(load.slots), "online", log_number(load.online), "batch",
	    log_number(load.batch), "online_queued",
	    log_number(load.online_queued), "batch_queued",
	    log_number(load.batch_queued), "hold_us", log_number(load.hold_us),
	    "online_starts", log_number(starts.online), "item_starts",
	    log_number(starts.items), "preemptions",
	    log_number(starts.preemptions), NULL);
}

static bool
is_own(struct slots *sl, struct pool_view *view)
{
	return strcmp(slots_arbiter(sl, view), sl->opt.address) == 0;
}

/* Starts to arbitrate the pools that this daemon has owned for a while. */
static void
host_owned_pools(struct slots *sl, int64_t now_us)
{
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, sl->views);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct pool_view *view = val;

		if (view->listed_slots == 0 || !is_own(sl, view)) {
			view->owned_since_us = 0;
			continue;
		}
		if (view->owned_since_us == 0)
			view->owned_since_us = now_us;
		if (now_us - view->owned_since_us > kEarlyStartUs)
			hosted_get(sl, view->service, view->data_center);
	}
}

void
slots_host_tick(struct slots *sl, int64_t now_us)
{
	GHashTableIter it;
	void *val;

	host_owned_pools(sl, now_us);
	g_hash_table_iter_init(&it, sl->hosted);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct hosted_pool *hp = val;
		struct pool_key key =
		    slots_pool_key(hp->service, hp->data_center);
		GArray *actions;
		bool is_elected;

		if (now_us - hp->used_us > kIdleUs) {
			g_hash_table_iter_remove(&it);
			continue;
		}
		actions = slotpool_actions_new();
		is_elected = roster_is_elected_owner(
		    sl->opt.roster, key.text, hp->data_center, now_us);
		update_role(sl, hp, is_elected);
		slotpool_tick(hp->pool, now_us, actions);
		run_actions(sl, actions);
		log_load(hp, is_elected, now_us);
		if (is_own(sl, slots_view(sl, hp->service, hp->data_center)))
			slots_report_load(sl, hp, now_us);
	}
}

static bool
knows_pool(const struct slots *sl, const char *service, const char *data_center)
{
	GPtrArray *all = fleet_list(sl->opt.fleet);
	bool is_known = false;

	for (guint i = 0; i < all->len && !is_known; i++) {
		const struct fleet_target *t = all->pdata[i];

		is_known = strcmp(t->service, service) == 0 &&
		    strcmp(t->data_center, data_center) == 0;
	}
	g_ptr_array_unref(all);
	return is_known;
}

static struct slot_parts
decode_parts(const Sfpeer__SlotAsk *wire)
{
	struct slot_parts parts = {
	    .count = (int32_t)MIN(
		MIN(wire->n_part_keys, wire->n_part_tokens), kSlotPartsMax),
	};

	for (int32_t i = 0; i < parts.count; i++) {
		parts.keys[i] = wire->part_keys[i];
		parts.tokens[i] =
		    (int32_t)CLAMP(wire->part_tokens[i], 1, kPartTokensMax);
	}
	return parts;
}

void
slots_host_on_request(
    struct slots *sl, const char *from, const Sfpeer__SlotAsk *wire)
{
	struct slot_request request = {
	    .id = wire->id,
	    .holder = slots_holder_index(sl, from),
	    .is_batch = wire->batch,
	    .deadline_us = loop_now_us(sl->opt.lp) + wire->left_us,
	    .expected_run_us = wire->need_us,
	    .prefix = wire->prefix,
	    .parts = decode_parts(wire),
	    .team = wire->team,
	    .weight = wire->weight,
	    .priority = wire->priority,
	    .is_last_resort = wire->last_resort,
	};

	text_copy_or_none(request.excluded_target,
	    sizeof(request.excluded_target), wire->but);
	/* A daemon that has just started does not know the pool's targets yet
	 * and must not arbitrate for it. */
	if (!wire->adopt && !knows_pool(sl, wire->service, wire->data_center)) {
		struct slotpool_action rejection = {
		    .verdict = kSlotUnknownPool,
		    .holder = request.holder,
		    .id = request.id,
		};

		answer_peer(sl, &rejection);
		return;
	}
	slots_host_request(sl, &request, wire->service, wire->data_center,
	    wire->adopt ? wire->target : NULL);
}

void
slots_host_on_release(
    struct slots *sl, const char *from, const Sfpeer__SlotNote *wire)
{
	struct slot_run_times run = {
	    .first_event_us = (int64_t)MIN(wire->first_event_us, kRunTimeMaxUs),
	    .pace_us = (int64_t)MIN(wire->pace_us, kRunTimeMaxUs),
	    .events = (int32_t)MIN(wire->events, kRunEventsMax),
	};

	slots_host_record_run(
	    sl, wire->service, wire->data_center, wire->id, &run);
	slots_host_release(sl, wire->service, wire->data_center, wire->id,
	    wire->unused
		? kSlotUnused
		: (enum slot_outcome)MIN(wire->outcome, kSlotUnresponsive));
}

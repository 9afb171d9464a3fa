/*
 * Rates that targets name in their answers. The arbiter of a pool counts the
 * starts; what it hears of the rates comes from the daemons that got the
 * answers. All daemons learn them from its reports, and tell an arbiter that
 * may not know them, so that they outlive it.
 */
#include <string.h>

#include "gateway/slots_internal.h"

enum {
	/* An arbiter whose report is older may have been replaced. */
	kReportFreshUs = 1500 * kUsPerMs,
};

void
wire_rates_init(struct wire_rates *wire, const GArray *rates)
{
	wire->count = rates->len;
	wire->rows = g_new0(Sfpeer__TargetRate, rates->len);
	wire->refs = g_new0(Sfpeer__TargetRate *, rates->len);
	for (guint i = 0; i < rates->len; i++) {
		const struct slotpool_rate *rate =
		    &g_array_index(rates, struct slotpool_rate, i);

		sfpeer__target_rate__init(&wire->rows[i]);
		wire->rows[i].target = (char *)rate->target;
		wire->rows[i].started_ms = rate->started_ms;
		wire->rows[i].milli_per_s = (uint64_t)rate->said.milli_per_s;
		wire->refs[i] = &wire->rows[i];
	}
}

void
wire_rates_clear(struct wire_rates *wire)
{
	g_free(wire->rows);
	g_free(wire->refs);
	*wire = (struct wire_rates){0};
}

static struct target_start
start_of(const struct fleet_target *t)
{
	return (struct target_start){t->id, t->started_ms};
}

const struct target_rate *
slots_find_rate(const struct slots *sl, const struct fleet_target *t)
{
	struct target_start start = start_of(t);

	return target_rates_find(sl->rates, &start);
}

static void
learn_rate(struct slots *sl, const struct fleet_target *t, int64_t milli_per_s)
{
	struct target_start start = start_of(t);

	target_rates_learn(
	    sl->rates, &start, milli_per_s, loop_now_us(sl->opt.lp));
}

static bool
is_in_pool(
    const struct fleet_target *t, const char *service, const char *data_center)
{
	return strcmp(t->service, service) == 0 &&
	    strcmp(t->data_center, data_center) == 0;
}

GArray *
slots_known_rates(
    const struct slots *sl, const char *service, const char *data_center)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct slotpool_rate));
	GPtrArray *all = fleet_list(sl->opt.fleet);

	for (guint i = 0; i < all->len; i++) {
		const struct fleet_target *t = all->pdata[i];
		const struct target_rate *known = slots_find_rate(sl, t);
		struct slotpool_rate rate = {
		    .target = t->id, .started_ms = t->started_ms};

		if (known == NULL || !is_in_pool(t, service, data_center))
			continue;
		rate.said.kind = kRateNamed;
		rate.said.milli_per_s = known->milli_per_s;
		g_array_append_val(list, rate);
	}
	g_ptr_array_unref(all);
	return list;
}

/* True if the arbiter has lately reported, and with it the rates it knows. */
static bool
knows_rates(const struct slots *sl, const struct hold *h)
{
	return strcmp(h->view->reporter, h->arbiter) == 0 &&
	    loop_now_us(sl->opt.lp) - h->view->other_report_us < kReportFreshUs;
}

void
slots_rates_for_arbiter(
    struct slots *sl, const struct hold *h, struct wire_rates *wire)
{
	GArray *known;

	*wire = (struct wire_rates){0};
	if (target_rates_is_empty(sl->rates) || knows_rates(sl, h))
		return;
	known = slots_known_rates(sl, h->service, h->view->data_center);
	wire_rates_init(wire, known);
	g_array_unref(known);
}

static void
learn_own(struct slots *sl, const struct slotpool_rate *rate)
{
	const struct fleet_target *t = fleet_find(sl->opt.fleet, rate->target);

	if (t != NULL && t->started_ms == rate->started_ms)
		learn_rate(sl, t, rate->said.milli_per_s);
}

static void
learn(struct slots *sl, const struct fleet_target *t,
    const Sfpeer__TargetRate *wire)
{
	struct slotpool_rate rate = {
	    .target = t->id,
	    .started_ms = wire->started_ms,
	    .said = {kRateNamed, (int64_t)wire->milli_per_s},
	};
	struct hosted_pool *hp =
	    slots_hosted_find(sl, t->service, t->data_center);

	learn_rate(sl, t, rate.said.milli_per_s);
	if (hp != NULL)
		slots_host_record_rate(sl, hp, &rate);
}

void
slots_on_rates(struct slots *sl, Sfpeer__TargetRate *const *rates, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		const struct fleet_target *t =
		    fleet_find(sl->opt.fleet, rates[i]->target);

		if (t != NULL && t->started_ms == rates[i]->started_ms)
			learn(sl, t, rates[i]);
	}
}

/* Forgets rates of a pool that its arbiter does not list.
 * @param listed set of target ids */
static void
forget_unlisted(struct slots *sl, const char *service, const char *data_center,
    GHashTable *listed)
{
	GArray *known = slots_known_rates(sl, service, data_center);

	for (guint i = 0; i < known->len; i++) {
		const char *id =
		    g_array_index(known, struct slotpool_rate, i).target;

		if (!g_hash_table_contains(listed, id))
			target_rates_forget(
			    sl->rates, id, loop_now_us(sl->opt.lp));
	}
	g_array_unref(known);
	g_hash_table_unref(listed);
}

void
slots_on_reported_rates(struct slots *sl, const struct pool_view *view,
    const Sfpeer__PoolLoad *wire)
{
	GHashTable *listed;

	if (!wire->has_rates)
		return;
	slots_on_rates(sl, wire->rates, wire->n_rates);
	listed = g_hash_table_new(g_str_hash, g_str_equal);
	for (size_t i = 0; i < wire->n_rates; i++)
		g_hash_table_add(listed, wire->rates[i]->target);
	forget_unlisted(sl, view->service, view->data_center, listed);
}

void
slots_on_own_rates(
    struct slots *sl, const struct hosted_pool *hp, const GArray *rates)
{
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);

	for (guint i = 0; i < rates->len; i++) {
		const struct slotpool_rate *rate =
		    &g_array_index(rates, struct slotpool_rate, i);

		learn_own(sl, rate);
		g_hash_table_add(listed, (char *)rate->target);
	}
	forget_unlisted(sl, hp->service, hp->data_center, listed);
}

static void
send_rate(
    struct slots *sl, const struct hold *h, const struct slotpool_rate *rate)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__SlotRate wire = SFPEER__SLOT_RATE__INIT;
	Sfpeer__TargetRate named = SFPEER__TARGET_RATE__INIT;
	Sfpeer__SlotRate *list[] = {&wire};

	named.target = (char *)rate->target;
	named.started_ms = rate->started_ms;
	named.milli_per_s = (uint64_t)rate->said.milli_per_s;
	wire.id = rate->slot;
	wire.service = (char *)h->service;
	wire.data_center = h->view->data_center;
	wire.rate = &named;
	wire.none = rate->said.kind == kRateNone;
	env.n_slot_rates = 1;
	env.slot_rates = list;
	sl->opt.wire->send(sl->opt.wire_ctx, h->arbiter, &env);
}

void
slots_on_slot_rate(struct slots *sl, const Sfpeer__SlotRate *wire)
{
	struct hosted_pool *hp =
	    slots_hosted_find(sl, wire->service, wire->data_center);
	struct slotpool_rate rate = {.slot = wire->id};

	if (hp == NULL || wire->rate == NULL)
		return;
	rate.target = wire->rate->target;
	rate.started_ms = wire->rate->started_ms;
	rate.said.kind = wire->none ? kRateNone : kRateNamed;
	rate.said.milli_per_s = (int64_t)wire->rate->milli_per_s;
	slots_host_record_rate(sl, hp, &rate);
}

/* Tells the arbiter that granted the slot. */
static void
tell_arbiter(
    struct slots *sl, const struct hold *h, const struct slotpool_rate *rate)
{
	struct hosted_pool *hp;

	if (!slots_is_hosted_here(sl, h)) {
		send_rate(sl, h, rate);
		return;
	}
	hp = slots_hosted_find(sl, h->service, h->view->data_center);
	if (hp != NULL)
		slots_host_record_rate(sl, hp, rate);
}

void
slots_record_rate(struct slots *sl, uint64_t id, int64_t started_ms,
    const struct stated_rate *said, const char *attempt_id)
{
	const struct hold *h = g_hash_table_lookup(sl->holds, &id);
	const struct fleet_target *t =
	    h != NULL ? fleet_find(sl->opt.fleet, h->target) : NULL;
	struct slotpool_rate rate = {.slot = id, .said = *said};
	struct target_start start;
	bool is_news;

	if (t == NULL || t->started_ms != started_ms || h->view == NULL)
		return;
	rate.target = t->id;
	rate.started_ms = started_ms;
	start = start_of(t);
	is_news = target_rates_on_answer(sl->rates, &start, said, h->granted_us,
	    attempt_id, loop_now_us(sl->opt.lp));
	if (is_news || (said->kind == kRateNone && h->is_rate_limited))
		tell_arbiter(sl, h, &rate);
}

/*
 * Load reports of the pools that this daemon arbitrates. In a small fleet they
 * go to all daemons. In a larger one they go to the daemons of its data centre
 * and to the arbiters of the service elsewhere, which pass them on to their own
 * data centres with their own reports: an arbiter's messages do not grow with
 * the whole fleet.
 */
#include <string.h>

#include "gateway/slots_internal.h"

enum {
	/* Bounds of the time between load reports; before the maximum, only
	 * changes are reported. */
	kReportPeriodMinUs = 150 * kUsPerMs,
	kReportPeriodMaxUs = 700 * kUsPerMs,
	/* Daemons that are all reported to directly. */
	kDirectReportsMax = 100,
	/* Reports to one data centre of a larger fleet, all daemons
	 * together. */
	kReportsPerS = 200,
	/* Period of the reports to arbiters of other data centres. */
	kFarReportPeriodUs = 400 * kUsPerMs,
	/* Longest time between reports that list the rates of targets. */
	kRatesPeriodUs = kUsPerS,
	/* Pools of a service, one for each data centre. */
	kPoolsPerReportMax = 64,
};

/* A report with the pools that it describes. */
struct report {
	Sfpeer__Envelope env;
	struct wire_rates rates;
	Sfpeer__PoolLoad loads[kPoolsPerReportMax];
	Sfpeer__PoolLoad *refs[kPoolsPerReportMax];
};

static void
report_init(struct report *rep)
{
	sfpeer__envelope__init(&rep->env);
	rep->env.pool_loads = rep->refs;
	rep->rates = (struct wire_rates){0};
}

/* Adds the targets that name a rate to the first pool of a report. */
static void
report_add_rates(struct report *rep, const GArray *rates)
{
	if (rates == NULL)
		return;
	wire_rates_init(&rep->rates, rates);
	rep->loads[0].has_rates = true;
	rep->loads[0].n_rates = rep->rates.count;
	rep->loads[0].rates = rep->rates.refs;
}

static void
report_add(struct report *rep, const struct pool_view *view)
{
	Sfpeer__PoolLoad *wire = &rep->loads[rep->env.n_pool_loads];

	if (rep->env.n_pool_loads == kPoolsPerReportMax)
		return;
	sfpeer__pool_load__init(wire);
	wire->service = (char *)view->service;
	wire->data_center = (char *)view->data_center;
	wire->epoch = view->epoch;
	wire->slots = (uint32_t)view->load.slots;
	wire->online = (uint32_t)view->load.online;
	wire->batch = (uint32_t)view->load.batch;
	wire->online_queued = (uint32_t)view->load.online_queued;
	wire->batch_queued = (uint32_t)view->load.batch_queued;
	wire->hold_us = (uint32_t)view->load.hold_us;
	wire->limited_slots = (uint32_t)view->load.limited_slots;
	wire->limited_online = (uint32_t)view->load.limited_online;
	wire->limited_batch = (uint32_t)view->load.limited_batch;
	wire->limited_starts = (uint32_t)view->load.limited_starts;
	wire->limited_milli_per_s = (uint64_t)view->load.limited_milli_per_s;
	rep->refs[rep->env.n_pool_loads++] = wire;
}

static void
report_add_relayed(struct report *rep, const struct pool_view *view)
{
	report_add(rep, view);
	rep->refs[rep->env.n_pool_loads - 1]->arbiter = (char *)view->reporter;
}

static struct pool_view *
record_own_load(struct slots *sl, const struct hosted_pool *hp,
    const struct slotpool_load *load, int64_t now_us)
{
	struct pool_view *view = slots_view(sl, hp->service, hp->data_center);

	view->load = *load;
	view->load_at_us = now_us;
	view->epoch = sl->epoch;
	view->local_delta = 0;
	return view;
}

static bool
is_report_due(const struct hosted_pool *hp, const struct slotpool_load *load,
    int64_t min_us, int64_t now_us)
{
	int64_t since_us = now_us - hp->reported_us;

	if (since_us > MAX(kReportPeriodMaxUs, min_us))
		return true;
	return since_us > min_us &&
	    (load->slots != hp->reported.slots ||
		load->online != hp->reported.online ||
		load->online_queued != hp->reported.online_queued ||
		load->limited_starts != hp->reported.limited_starts ||
		hp->has_rate_changed || load->batch != hp->reported.batch);
}

/* Adds the reports of other arbiters of the service that are to be passed on.
 */
static void
add_relayed(struct slots *sl, const char *service, struct report *rep)
{
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, sl->views);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct pool_view *view = val;

		if (!view->is_relay_due || strcmp(view->service, service) != 0)
			continue;
		view->is_relay_due = false;
		report_add_relayed(rep, view);
	}
}

static void
send_report(struct slots *sl, struct report *rep, const GPtrArray *to)
{
	for (guint i = 0; i < to->len; i++)
		if (strcmp(to->pdata[i], sl->opt.address) != 0)
			sl->opt.wire->send(
			    sl->opt.wire_ctx, to->pdata[i], &rep->env);
}

/* Arbiters of the service in other data centres, and the daemons of those
 * without one. */
static GPtrArray *
far_receivers(struct slots *sl, const struct hosted_pool *hp, int64_t now_us)
{
	GPtrArray *list = g_ptr_array_new();
	GPtrArray *all = roster_peers(sl->opt.roster, NULL, now_us);
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, sl->views);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct pool_view *view = val;

		if (view->listed_slots > 0 &&
		    strcmp(view->service, hp->service) == 0 &&
		    strcmp(view->data_center, hp->data_center) != 0)
			g_ptr_array_add(list, (void *)slots_arbiter(sl, view));
	}
	for (guint i = 0; i < all->len; i++) {
		const char *dc =
		    roster_data_center(sl->opt.roster, all->pdata[i]);

		if (strcmp(dc, hp->data_center) != 0 &&
		    slots_view(sl, hp->service, dc)->listed_slots == 0)
			g_ptr_array_add(list, all->pdata[i]);
	}
	g_ptr_array_unref(all);
	return list;
}

static void
report_far(struct slots *sl, struct hosted_pool *hp,
    const struct pool_view *view, int64_t now_us)
{
	struct report rep;
	GPtrArray *to;

	if (now_us - hp->reported_far_us < kFarReportPeriodUs)
		return;
	hp->reported_far_us = now_us;
	to = far_receivers(sl, hp, now_us);
	report_init(&rep);
	report_add(&rep, view);
	send_report(sl, &rep, to);
	g_ptr_array_unref(to);
}

static void
report_directly(struct slots *sl, const struct pool_view *view,
    const GPtrArray *all, const GArray *rates)
{
	struct report rep;

	report_init(&rep);
	report_add(&rep, view);
	report_add_rates(&rep, rates);
	send_report(sl, &rep, all);
	wire_rates_clear(&rep.rates);
}

static void
report_by_relay(struct slots *sl, struct hosted_pool *hp,
    const struct pool_view *view, const GPtrArray *near, const GArray *rates,
    int64_t now_us)
{
	struct report rep;

	report_init(&rep);
	report_add(&rep, view);
	report_add_rates(&rep, rates);
	add_relayed(sl, hp->service, &rep);
	send_report(sl, &rep, near);
	wire_rates_clear(&rep.rates);
	report_far(sl, hp, view, now_us);
}

/* The rates that are to go with a report, or NULL: they are listed when they
 * have changed, and now and then. */
static GArray *
rates_due(struct slots *sl, struct hosted_pool *hp, int64_t now_us)
{
	GArray *rates;
	bool is_due;

	if (!hp->has_rate_changed &&
	    now_us - hp->rates_reported_us < kRatesPeriodUs)
		return NULL;
	rates = slotpool_rates(hp->pool, now_us);
	is_due = rates->len > 0 || hp->has_reported_rates;
	hp->has_reported_rates = rates->len > 0;
	hp->has_rate_changed = false;
	hp->rates_reported_us = now_us;
	slots_on_own_rates(sl, hp, rates);
	if (is_due)
		return rates;
	g_array_unref(rates);
	return NULL;
}

void
slots_report_load(struct slots *sl, struct hosted_pool *hp, int64_t now_us)
{
	struct slotpool_load load = slotpool_load_get(hp->pool, now_us);
	struct pool_view *view = record_own_load(sl, hp, &load, now_us);
	GPtrArray *all = roster_peers(sl->opt.roster, NULL, now_us);
	GPtrArray *near = roster_peers(sl->opt.roster, hp->data_center, now_us);
	bool is_direct = all->len <= kDirectReportsMax;
	int64_t min_us = is_direct
	    ? kReportPeriodMinUs
	    : MAX((int64_t)near->len * kUsPerS / kReportsPerS,
		  kReportPeriodMinUs);

	if (is_report_due(hp, &load, min_us, now_us)) {
		GArray *rates = rates_due(sl, hp, now_us);

		hp->reported = load;
		hp->reported_us = now_us;
		if (is_direct)
			report_directly(sl, view, all, rates);
		else
			report_by_relay(sl, hp, view, near, rates, now_us);
		if (rates != NULL)
			g_array_unref(rates);
	}
	g_ptr_array_unref(near);
	g_ptr_array_unref(all);
}

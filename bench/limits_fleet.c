/* Daemons with the allowances module in virtual time. */
#include "limits_fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "limits_internal.h"

static int64_t
rand_range(struct fleet *f, int64_t low, int64_t high)
{
	return low + (int64_t)(g_rand_double(f->rand) * (double)(high - low));
}

static struct sim_daemon *
daemon_at(struct fleet *f, const char *address)
{
	return &f->daemons[atoi(address + 1)];
}

/* Time on a daemon's own clock. */
int64_t
sim_own_us(const struct sim_daemon *d)
{
	return d->fleet->now_us + d->clock_us;
}

static bool
is_cut(const struct fleet *f, const struct sim_daemon *from,
    const struct sim_daemon *to)
{
	int64_t at_us = f->now_us % (10 * kSecondUs);

	if (from == to || at_us < 3 * kSecondUs)
		return false;
	switch (f->sc->trouble) {
	case kLimitsOneWay:
		return at_us < 8 * kSecondUs && from->region == 0 &&
		    to->region != 0;
	case kLimitsCut:
		return at_us < 7 * kSecondUs ? from->region != to->region
					     : at_us < 9 * kSecondUs;
	default:
		return false;
	}
}

/* Percent of the messages that are lost, and as many that are late. */
static int32_t
loss_percent(const struct fleet *f)
{
	switch (f->sc->trouble) {
	case kLimitsLossy:
		return kLostPercent;
	case kLimitsVeryLossy:
		return kLostManyPercent;
	default:
		return 0;
	}
}

static int64_t
delay_us(
    struct fleet *f, const struct sim_daemon *from, const struct sim_daemon *to)
{
	int64_t delay = from == to ? 0
	    : from->region != to->region
	    ? 30 * kMsUs + rand_range(f, 0, 2 * kMsUs)
	    : rand_range(f, kMsUs / 4, kMsUs);

	if (from != to && g_rand_int_range(f->rand, 0, 100) < loss_percent(f))
		delay += rand_range(f, 40 * kMsUs, 200 * kMsUs);
	return delay;
}

static struct sim_message *
post(struct sim_daemon *from, const char *to)
{
	struct fleet *f = from->fleet;
	struct sim_daemon *d = daemon_at(f, to);
	struct sim_message *msg;
	int64_t at_ms;

	f->messages += d != from;
	if (is_cut(f, from, d) ||
	    (d != from && g_rand_int_range(f->rand, 0, 100) < loss_percent(f)))
		return NULL;
	msg = g_new0(struct sim_message, 1);
	msg->from = from;
	msg->to = d;
	at_ms = (f->now_us + delay_us(f, from, d)) / kMsUs;
	g_queue_push_tail(&f->in_flight[at_ms % kRingMs], msg);
	f->is_posted = f->is_posted || at_ms == f->now_us / kMsUs;
	return msg;
}

static void
send_ask(void *ctx, const char *to, const struct limit_ask *ask)
{
	struct sim_message *msg = post(ctx, to);

	if (msg == NULL)
		return;
	msg->ask = *ask;
	msg->asks = g_memdup2(ask->items, sizeof(*ask->items) * ask->count);
	msg->ask.items = msg->asks;
}

static void
send_lease(void *ctx, const char *to, const struct limit_lease *lease)
{
	struct sim_message *msg = post(ctx, to);

	if (msg == NULL)
		return;
	msg->is_lease = true;
	msg->lease = *lease;
	msg->leases =
	    g_memdup2(lease->items, sizeof(*lease->items) * lease->count);
	msg->lease.items = msg->leases;
}

/* Daemons that were killed are elected until their peers have noticed. */
static bool
is_believed_up(const struct fleet *f, const struct sim_daemon *d)
{
	return d->up_us <= f->now_us || f->now_us - d->down_us < kNoticeUs;
}

static const char *
parent(void *ctx, enum limit_role role, int32_t shard, int32_t rank)
{
	struct sim_daemon *self = ctx;
	struct fleet *f = self->fleet;
	/* A daemon believes itself up. */
	struct sim_daemon *best = self;
	uint64_t weight;
	char key[32];

	snprintf(key, sizeof(key), "%d-%d-%d", (int)role, shard, rank);
	weight = rendezvous_weight(key, self->address);
	for (int32_t i = 0; i < f->sc->daemons; i++) {
		struct sim_daemon *d = &f->daemons[i];
		uint64_t w = rendezvous_weight(key, d->address);

		if ((role == kLimitDelegate &&
			d->data_center != self->data_center) ||
		    !is_believed_up(f, d) || w <= weight)
			continue;
		best = d;
		weight = w;
	}
	return best->address;
}

/* The election is the same until a daemon goes or comes. */
static const char *
cached_parent(void *ctx, enum limit_role role, int32_t shard, int32_t rank)
{
	struct sim_daemon *self = ctx;
	const char **known = &self->parents[role][shard][rank];

	if (self->parents_us + kElectUs < self->fleet->now_us) {
		memset(self->parents, 0, sizeof(self->parents));
		self->parents_us = self->fleet->now_us;
	}
	if (*known == NULL)
		*known = parent(ctx, role, shard, rank);
	return *known;
}

static bool
rate_of(void *ctx, uint64_t team, struct limit_rate *rate)
{
	struct sim_daemon *d = ctx;

	*rate = d->fleet->teams[team].rate;
	return true;
}

static void
finish(struct fleet *f, const struct sim_request *req, bool is_admitted)
{
	struct sim_team *t = &f->teams[req->team];
	int64_t wait_us = f->now_us - req->at_us;

	f->wait_max_us = MAX(f->wait_max_us, wait_us);
	if (!is_admitted)
		return;
	f->admitted++;
	f->waited += wait_us > 5 * kMsUs;
	t->admitted++;
	g_array_append_val(t->times, f->now_us);
}

static void
on_verdict(void *ctx, uint64_t id, const struct limit_result *result)
{
	struct sim_daemon *d = ctx;
	struct sim_request *req = g_hash_table_lookup(d->fleet->requests, &id);

	finish(d->fleet, req, result->outcome == kLimitAdmitted);
	g_hash_table_remove(d->fleet->requests, &id);
}

static const struct limit_exchange_ops sim_ops = {
    .parent = cached_parent,
    .rate = rate_of,
    .send_ask = send_ask,
    .send_lease = send_lease,
    .on_verdict = on_verdict,
};

static void
start_daemon(struct sim_daemon *d)
{
	struct limit_exchange_options opt = {
	    d->address, &sim_ops, d, sim_own_us(d)};

	d->ex = limit_exchange_new(&opt);
	d->tick_us = d->fleet->now_us;
	limit_exchange_set_daemons(d->ex, d->fleet->sc->daemons, sim_own_us(d));
}

static gboolean
belongs_to(void *key, void *value, void *data)
{
	return ((struct sim_request *)value)->daemon == data;
}

/* What waits at a daemon that is killed is lost to its callers. */
static void
stop_daemon(struct sim_daemon *d)
{
	limit_exchange_free(d->ex);
	d->ex = NULL;
	d->down_us = d->fleet->now_us;
	d->up_us = d->fleet->now_us + kRestartUs;
	g_hash_table_foreach_remove(d->fleet->requests, belongs_to, d);
}

static bool
is_running(const struct sim_daemon *d)
{
	return d->ex != NULL && d->frozen_us <= d->fleet->now_us;
}

static void
deliver(struct sim_message *msg)
{
	struct sim_daemon *d = msg->to;

	if (d->ex != NULL && msg->is_lease)
		limit_exchange_on_lease(
		    d->ex, msg->from->address, &msg->lease, sim_own_us(d));
	else if (d->ex != NULL)
		limit_exchange_on_ask(
		    d->ex, msg->from->address, &msg->ask, sim_own_us(d));
}

static void
free_message(void *p)
{
	struct sim_message *msg = p;

	g_free(msg->asks);
	g_free(msg->leases);
	g_free(msg);
}

static void
deliver_due(struct fleet *f)
{
	GQueue *due = &f->in_flight[f->now_us / kMsUs % kRingMs];
	GQueue *next = &f->in_flight[(f->now_us / kMsUs + 1) % kRingMs];
	guint n = g_queue_get_length(due);

	for (guint i = 0; i < n; i++) {
		struct sim_message *msg = g_queue_pop_head(due);

		if (msg->to->ex != NULL && !is_running(msg->to)) {
			g_queue_push_tail(next, msg);
			continue;
		}
		deliver(msg);
		free_message(msg);
	}
}

static void
flush_all(struct fleet *f)
{
	for (int32_t i = 0; i < f->sc->daemons; i++) {
		struct sim_daemon *d = &f->daemons[i];

		if (is_running(d))
			limit_exchange_flush(d->ex, sim_own_us(d));
	}
}

/* Messages of a daemon to itself are delivered within the same step. */
static void
exchange_messages(struct fleet *f)
{
	do {
		f->is_posted = false;
		deliver_due(f);
		flush_all(f);
	} while (f->is_posted);
}

static void
tick_all(struct fleet *f)
{
	for (int32_t i = 0; i < f->sc->daemons; i++) {
		struct sim_daemon *d = &f->daemons[i];

		if (d->ex == NULL && d->up_us <= f->now_us)
			start_daemon(d);
		if (!is_running(d) || d->tick_us > f->now_us)
			continue;
		limit_exchange_tick(d->ex, sim_own_us(d));
		d->tick_us =
		    limit_exchange_next_us(d->ex, sim_own_us(d)) - d->clock_us;
	}
}

static void
request_equal_share(struct sim_daemon *d, const struct sim_request *req)
{
	struct sim_team *t = &d->fleet->teams[req->team];
	int32_t n = d->fleet->sc->daemons;
	struct token_rate rate = {t->rate.milli_per_s * 1000 / n,
	    MAX(t->rate.burst * kTokenOne / n, kTokenOne)};
	struct token_bucket *tb = &t->shares[d->index];
	bool is_admitted =
	    token_bucket_level(tb, &rate, d->fleet->now_us) >= kTokenOne;

	if (is_admitted)
		token_bucket_take(tb, &rate, kTokenOne, d->fleet->now_us);
	finish(d->fleet, req, is_admitted);
}

/* What one bucket for all daemons would have admitted. */
static void
request_ideal(struct fleet *f, struct sim_team *t)
{
	struct token_rate rate = {
	    t->rate.milli_per_s * 1000, MAX(t->rate.burst, 1) * kTokenOne};

	t->offered++;
	if (token_bucket_level(&t->ideal, &rate, f->now_us) < kTokenOne)
		return;
	token_bucket_take(&t->ideal, &rate, kTokenOne, f->now_us);
	t->ideally_admitted++;
}

static struct sim_daemon *
pick_entry(struct fleet *f, const struct sim_team *t)
{
	int32_t any = g_rand_int_range(f->rand, 0, f->sc->daemons);
	int64_t period = f->now_us / (2 * kSecondUs);

	if (t != &f->teams[0])
		return &f->daemons[any];
	if (f->sc->hot == kHotOneDaemon)
		return &f->daemons[f->sc->daemons / 2];
	if (f->sc->hot == kHotMoving)
		return &f->daemons[(period * 37) % f->sc->daemons];
	return &f->daemons[any];
}

static void
send_request(struct fleet *f, int32_t team)
{
	struct sim_team *t = &f->teams[team];
	struct sim_daemon *d = pick_entry(f, t);
	struct sim_request *req;
	struct limit_result result;

	if (!is_running(d))
		return;
	request_ideal(f, t);
	req = g_new0(struct sim_request, 1);
	*req = (struct sim_request){++f->next_id, team, f->now_us, d};
	if (f->sc->is_baseline) {
		request_equal_share(d, req);
		g_free(req);
		return;
	}
	result = limit_exchange_request(
	    d->ex, req->id, (uint64_t)team, &t->rate, sim_own_us(d));
	if (result.outcome == kLimitPending) {
		g_hash_table_insert(f->requests, &req->id, req);
		return;
	}
	finish(f, req, result.outcome == kLimitAdmitted);
	g_free(req);
}

/* Overloading teams pause now and then. */
static double
offered_per_s(const struct fleet *f, const struct sim_team *t)
{
	bool is_pause = f->now_us % kHotPeriodUs >= kHotUs;

	return t->is_hot && is_pause ? t->offered_per_s / 40 : t->offered_per_s;
}

static void
send_requests(struct fleet *f)
{
	for (int32_t i = 0; i < f->sc->teams; i++) {
		struct sim_team *t = &f->teams[i];

		while (t->next_us <= f->now_us) {
			double u = 1.0 - g_rand_double(f->rand);
			double per_s = offered_per_s(f, t);

			t->next_us += (int64_t)(-sim_log(u) * 1e6 / per_s) + 1;
			send_request(f, i);
		}
	}
}

static void
make_trouble(struct fleet *f)
{
	struct sim_daemon *owner;
	enum limit_role role;
	const char *address;

	if (f->now_us % (4 * kSecondUs) != 3 * kSecondUs ||
	    (f->sc->trouble != kLimitsKill && f->sc->trouble != kLimitsFreeze))
		return;
	role = f->sc->trouble == kLimitsKill && f->now_us / kSecondUs % 8 < 4
	    ? kLimitDelegate
	    : kLimitOwner;
	address = parent(&f->daemons[0], role, 0, 0);
	owner = daemon_at(f, address);
	if (f->sc->trouble == kLimitsFreeze)
		owner->frozen_us = f->now_us + 3 * kSecondUs;
	else if (owner->ex != NULL)
		stop_daemon(owner);
}

static void
fill_teams(struct fleet *f)
{
	double total = (double)kLoadPerS * f->sc->daemons / kLoadDaemons;
	double sum = 0;

	for (int32_t i = 0; i < f->sc->teams; i++)
		sum += 1.0 / (i + 1);
	f->teams = g_new0(struct sim_team, f->sc->teams);
	for (int32_t i = 0; i < f->sc->teams; i++) {
		struct sim_team *t = &f->teams[i];
		double usual = total / (i + 1) / sum;
		bool is_hot = f->sc->hot == kHotAllTeams ||
		    (f->sc->hot != kHotNone && i == 0);

		t->is_hot = is_hot;
		t->offered_per_s = is_hot ? 7 * usual : usual;
		/* Above the usual load by a half. */
		t->rate.milli_per_s = (int64_t)(1500 * usual) + 1;
		t->rate.burst = (int64_t)(2 * usual) + 3;
		t->times = g_array_new(FALSE, FALSE, sizeof(int64_t));
		t->shares = g_new0(struct token_bucket, f->sc->daemons);
		for (int32_t d = 0; d < f->sc->daemons; d++)
			t->shares[d].micro = kTokenOne;
		t->ideal.micro = t->rate.burst * kTokenOne;
		t->next_us = f->now_us +
		    rand_range(f, 0, (int64_t)(1e6 / t->offered_per_s));
	}
}

static void
fill_daemons(struct fleet *f)
{
	f->daemons = g_new0(struct sim_daemon, f->sc->daemons);
	for (int32_t i = 0; i < f->sc->daemons; i++) {
		struct sim_daemon *d = &f->daemons[i];

		d->fleet = f;
		d->index = i;
		d->data_center = i % kDataCenters;
		d->region = d->data_center % kRegions;
		d->clock_us = rand_range(f, 0, 1000 * (int64_t)kSecondUs);
		snprintf(d->address, sizeof(d->address), "d%d", i);
		start_daemon(d);
		d->tick_us += rand_range(f, 0, 100 * kMsUs);
	}
}

static void
fleet_free(struct fleet *f)
{
	for (int32_t i = 0; i < f->sc->daemons; i++)
		if (f->daemons[i].ex != NULL)
			limit_exchange_free(f->daemons[i].ex);
	for (int32_t i = 0; i < f->sc->teams; i++) {
		g_array_unref(f->teams[i].times);
		g_free(f->teams[i].shares);
	}
	for (int i = 0; i < kRingMs; i++)
		g_queue_clear_full(&f->in_flight[i], free_message);
	g_hash_table_unref(f->requests);
	g_rand_free(f->rand);
	g_free(f->teams);
	g_free(f->daemons);
	g_free(f);
}

void
limits_fleet_run(const struct limits_scenario *sc, uint32_t seed,
    struct limits_result *result)
{
	struct fleet *f = g_new0(struct fleet, 1);

	*result = (struct limits_result){0};
	f->sc = sc;
	f->rand = g_rand_new_with_seed(seed);
	f->now_us = kSecondUs;
	f->requests = u64_hash_new(g_free);
	fill_teams(f);
	fill_daemons(f);
	for (; f->now_us < kPlayUs; f->now_us += kMsUs) {
		if (f->now_us == kWarmUs)
			limits_end_warm_up(f);
		make_trouble(f);
		tick_all(f);
		send_requests(f);
		exchange_messages(f);
	}
	limits_collect(f, result);
	fleet_free(f);
}

/*
 * Rates that targets name in their answers. Each target's arbiter counts its
 * starts; the daemons that get the answers tell it, and their requests carry
 * what they know, so that a new arbiter knows it as well.
 */
#include "os/clock.h"
#include "serve/grants_internal.h"

static int64_t
now_us(const struct grants *gs)
{
	return clock_mono_us(gs->d->clk);
}

static void
fill(Sfpeer__TargetRate *wire, const char *target, int64_t milli_per_s)
{
	sfpeer__target_rate__init(wire);
	wire->target = (char *)target;
	wire->milli_per_s = (uint64_t)milli_per_s;
}

Sfpeer__TargetRate *
grants_known_rate(
    const struct grants *gs, const char *target, Sfpeer__TargetRate *wire)
{
	struct target_start start = {target, 0};
	const struct target_rate *known = target_rates_find(gs->rates, &start);

	if (known == NULL)
		return NULL;
	fill(wire, target, known->milli_per_s);
	return wire;
}

Sfpeer__TargetRate *
grants_arbiter_rate(
    const struct arbiter *arb, const char *target, Sfpeer__TargetRate *wire)
{
	int64_t milli_per_s = arbiter_rate_milli(arb);

	if (milli_per_s < 0)
		return NULL;
	fill(wire, target, milli_per_s);
	return wire;
}

void
grants_hear_rate(
    struct grants *gs, struct arbiter *arb, const Sfpeer__TargetRate *wire)
{
	struct arbiter_rate rate = {.said.kind = kRateNamed};

	if (wire == NULL)
		return;
	rate.said.milli_per_s = (int64_t)wire->milli_per_s;
	arbiter_record_rate(arb, &rate, now_us(gs));
}

void
grants_learn_rate(
    struct grants *gs, struct held *h, const Sfpeer__TargetRate *wire)
{
	struct target_start start = {h->route.target, 0};

	h->is_rate_limited = wire != NULL;
	if (wire != NULL)
		target_rates_learn(
		    gs->rates, &start, (int64_t)wire->milli_per_s, now_us(gs));
	else
		target_rates_forget(gs->rates, h->route.target, now_us(gs));
}

static void
send_rate(
    struct grants *gs, const struct held *h, const struct arbiter_rate *rate)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__GrantRate wire = SFPEER__GRANT_RATE__INIT;
	Sfpeer__GrantRate *list[] = {&wire};
	Sfpeer__TargetRate named;

	fill(&named, h->route.target, rate->said.milli_per_s);
	wire.id = rate->id;
	wire.rate = &named;
	wire.none = rate->said.kind != kRateNamed;
	wire.pause_us = (uint64_t)rate->pause_us;
	env.n_grant_rates = 1;
	env.grant_rates = list;
	peer_send(gs->d->peer, h->route.arbiter, &env, kPeerControl);
}

/* The lock is held. */
static void
record_here(
    struct grants *gs, const char *target, const struct arbiter_rate *rate)
{
	struct hosted *ho = g_hash_table_lookup(gs->hosted, target);

	if (ho != NULL)
		arbiter_record_rate(ho->arb, rate, now_us(gs));
}

static bool
is_rate_limited(const struct grants *gs, const struct held *h)
{
	const struct hosted *ho;

	if (!grants_is_local(gs, h))
		return h->is_rate_limited;
	ho = g_hash_table_lookup(gs->hosted, h->route.target);
	return ho != NULL && arbiter_rate_milli(ho->arb) >= 0;
}

/* The lock is held. */
static void
record_rate(
    struct grants *gs, const struct held *h, const struct arbiter_rate *rate)
{
	struct target_start start = {h->route.target, 0};
	char attempt[20];
	bool is_news;

	g_snprintf(
	    attempt, sizeof(attempt), "%016" G_GINT64_MODIFIER "x", rate->id);
	is_news = target_rates_on_answer(
	    gs->rates, &start, &rate->said, h->granted_us, attempt, now_us(gs));
	if (!is_news && rate->pause_us == 0 && !is_rate_limited(gs, h))
		return;
	if (grants_is_local(gs, h))
		record_here(gs, h->route.target, rate);
	else
		send_rate(gs, h, rate);
}

void
grants_record_rate(struct grants *gs, uint64_t id,
    const struct stated_rate *said, int64_t pause_us)
{
	struct arbiter_rate rate = {id, *said, pause_us};
	const struct held *h;

	pthread_mutex_lock(&gs->lock);
	h = g_hash_table_lookup(gs->held, &id);
	if (h != NULL)
		record_rate(gs, h, &rate);
	if (h != NULL && pause_us > 0)
		routes_record_load(gs->d->routes, h->route.target, pause_us);
	pthread_mutex_unlock(&gs->lock);
}

void
grants_on_rate(struct grants *gs, const Sfpeer__GrantRate *wire)
{
	struct arbiter_rate rate = {
	    .id = wire->id, .pause_us = (int64_t)wire->pause_us};

	if (wire->rate == NULL)
		return;
	rate.said.kind = wire->none ? kRateNone : kRateNamed;
	rate.said.milli_per_s = (int64_t)wire->rate->milli_per_s;
	pthread_mutex_lock(&gs->lock);
	record_here(gs, wire->rate->target, &rate);
	pthread_mutex_unlock(&gs->lock);
}

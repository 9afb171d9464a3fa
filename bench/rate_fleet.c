/* Callers and items of daemons that share targets with rates, and the course of
 * a play. */
#include "rate_fleet.h"

#include <string.h>

#include "gateway/slots_internal.h"
#include "rate_internal.h"
#include "sim_math.h"

enum {
	kStepUs = kMsUs,
	/* From the arrival of a request to the head of its answer. */
	kHeadUs = 30 * kMsUs,
	kCallMinUs = 100 * kMsUs,
	kCallMaxUs = 900 * kMsUs,
	kItemUs = 3 * kSecondUs,
	kItemDueUs = 18 * kSecondUs,
	/* Latest useful start of a call, and the longest wait of its caller
	 * after a refusal. */
	kStartWithinUs = 240 * kMsUs,
	kRetryMaxUs = 1600 * kMsUs,
	kItemRetryUs = 300 * kMsUs,
	kForgottenCheckUs = 25 * kMsUs,
};

static struct timespec
sim_now(void *ctx)
{
	const struct play *p = ctx;

	return (struct timespec){
	    p->now_us / kSecondUs, p->now_us % kSecondUs * 1000};
}

static const struct clock_ops sim_clock = {sim_now, sim_now, sim_now};

static struct sim_event *
call_event(struct sim_call *c, int64_t delay_us, void (*fn)(struct sim_event *))
{
	struct sim_event *ev = sim_event_add(c->p, delay_us, fn);

	ev->call = c;
	ev->d = c->d;
	ev->incarnation = c->incarnation;
	ev->run = c->run;
	return ev;
}

static void call_acquire(struct sim_call *c);

static bool
is_current(const struct sim_event *ev)
{
	return ev->d->incarnation == ev->incarnation &&
	    ev->call->run == ev->run;
}

static void
on_end(struct sim_event *ev)
{
	struct sim_call *c = ev->call;

	if (!is_current(ev))
		return;
	ev->d->is_dirty = true;
	slots_release(ev->d->slots, c->slot, kSlotServed);
	c->run++;
	if (c->is_batch)
		call_acquire(c);
	else
		c->p->served++;
}

static void
on_head(struct sim_event *ev)
{
	if (!is_current(ev))
		return;
	slots_record_rate(ev->d->slots, ev->call->slot, 1, &ev->said, "");
	ev->d->is_dirty = true;
}

/* The request reaches its target. */
static void
on_arrival(struct sim_event *ev)
{
	struct sim_call *c = ev->call;
	struct play *p = c->p;
	struct rate_target *t = c->target;
	int64_t named;
	int64_t hold_us = c->is_batch
	    ? kItemUs
	    : g_rand_int_range(p->rand, kCallMinUs, kCallMaxUs);
	char data_center[16];
	struct sim_event *head;

	if (!is_current(ev))
		return;
	g_array_append_val(t->arrivals, p->now_us);
	g_snprintf(data_center, sizeof(data_center), "dc%d", t->data_center);
	head = call_event(c,
	    kHeadUs + sim_link_us(p, data_center, c->d->data_center), on_head);
	named = rate_target_named(p->sc, t, p->now_us);
	if (named >= 0)
		head->said = (struct stated_rate){kRateNamed, named};
	call_event(c, hold_us, on_end);
}

static void
on_granted(void *ctx, uint64_t id, const char *target)
{
	struct sim_call *c = ctx;
	struct play *p = c->p;
	int32_t i = (int32_t)strtol(target + 1, NULL, 10);
	char data_center[16];

	c->target = &p->targets[i];
	g_snprintf(
	    data_center, sizeof(data_center), "dc%d", c->target->data_center);
	call_event(
	    c, sim_link_us(p, c->d->data_center, data_center), on_arrival);
}

static struct sim_daemon *
pick_daemon(struct play *p)
{
	for (int32_t tries = 0; tries < 100; tries++) {
		struct sim_daemon *d =
		    &p->daemons[g_rand_int_range(p->rand, 0, p->sc->daemons)];

		if (d->incarnation != 0 && !d->is_leaving &&
		    !sim_daemon_is_cut(d) && d->frozen_until_us <= p->now_us)
			return d;
	}
	return NULL;
}

static void
on_again(struct sim_event *ev)
{
	struct sim_call *c = ev->call;

	if (ev->run == c->run)
		call_acquire(c);
}

static void
on_refused(void *ctx, uint64_t id, int64_t retry_after_us)
{
	struct sim_call *c = ctx;
	struct play *p = c->p;

	c->run++;
	if (c->is_batch) {
		call_event(c, kItemRetryUs, on_again);
		return;
	}
	p->refusals++;
	p->is_refusing[p->now_us / kSecondUs] = true;
	if (c->is_repeat || retry_after_us > kRetryMaxUs)
		return;
	c->is_repeat = true;
	call_event(c, retry_after_us, on_again);
}

static void
on_revoked(void *ctx, uint64_t id)
{
	struct sim_call *c = ctx;

	c->run++;
	slots_release(c->d->slots, id, kSlotNeutral);
	call_event(c, kStepUs, on_again);
}

static const struct slots_ops slot_ops = {on_granted, on_refused, on_revoked};

static void
call_acquire(struct sim_call *c)
{
	struct play *p = c->p;
	struct slots_acquire_options opt = {
	    .service = "llm",
	    .is_batch = c->is_batch,
	    .deadline_us =
		p->now_us + (c->is_batch ? kItemDueUs : kStartWithinUs),
	    .expected_run_us = c->is_batch ? kItemUs : 0,
	};

	/* Callers come back to any daemon; items of a lost one are taken over.
	 */
	c->d = pick_daemon(p);
	if (c->d == NULL)
		return;
	c->incarnation = c->d->incarnation;
	c->d->is_dirty = true;
	c->slot = slots_acquire(c->d->slots, &opt, &slot_ops, c);
}

static struct sim_call *
call_new(struct play *p, bool is_batch)
{
	struct sim_call *c = g_new0(struct sim_call, 1);

	c->p = p;
	c->is_batch = is_batch;
	g_ptr_array_add(p->call_list, c);
	return c;
}

/* Troubles and the course of a play. */

/* The daemon that arbitrates a pool, as one that is up sees it. */
static struct sim_daemon *
arbiter_of(struct play *p, int32_t pool)
{
	struct sim_daemon *asked = pick_daemon(p);
	char data_center[16];

	if (asked == NULL)
		return NULL;
	g_snprintf(data_center, sizeof(data_center), "dc%d", pool);
	return sim_daemon_find(
	    p, slots_pool_arbiter(asked->slots, "llm", data_center));
}

static void
cause_trouble(struct play *p)
{
	int32_t n = p->troubles++;
	int64_t last_us = p->sc->trouble_ms * (int64_t)kMsUs;
	struct sim_daemon *d = p->sc->trouble == kTroubleRoll
	    ? &p->daemons[n % p->sc->daemons]
	    : arbiter_of(p, n % p->sc->data_centers);

	if (d == NULL || d->incarnation == 0 || d->is_leaving)
		return;
	switch (p->sc->trouble) {
	case kTroubleNone:
		break;
	case kTroubleRoll:
		sim_daemon_drain(d);
		break;
	case kTroubleKill:
		sim_daemon_kill(d, last_us);
		break;
	case kTroubleFreeze:
		d->frozen_until_us = p->now_us + last_us;
		break;
	case kTroubleCut:
		d->cut_until_us = p->now_us + last_us;
		break;
	}
}

static void
start_calls(struct play *p)
{
	while (p->next_call_us <= p->now_us) {
		p->next_call_us -=
		    (int64_t)(sim_log(1.0 - g_rand_double(p->rand)) *
			kSecondUs / p->sc->calls_per_s);
		p->calls++;
		call_acquire(call_new(p, false));
	}
}

static void
step(struct play *p)
{
	sim_events_run(p);
	start_calls(p);
	if (p->sc->trouble != kTroubleNone && p->now_us >= p->next_trouble_us &&
	    p->now_us < kNamedUntilUs) {
		p->next_trouble_us =
		    p->now_us + p->sc->trouble_period_ms * (int64_t)kMsUs;
		cause_trouble(p);
	}
	for (int32_t i = 0; i < p->sc->daemons; i++)
		sim_daemon_run(&p->daemons[i]);
}

/* Whether an arbiter that is asked takes a target to name a rate. */
static bool
is_limited_anywhere(struct play *p)
{
	for (int32_t i = 0; i < p->sc->data_centers; i++) {
		struct sim_daemon *d = arbiter_of(p, i);
		char data_center[16];
		struct hosted_pool *hp;

		g_snprintf(data_center, sizeof(data_center), "dc%d", i);
		hp = d != NULL && d->incarnation != 0
		    ? slots_hosted_find(d->slots, "llm", data_center)
		    : NULL;
		if (hp != NULL &&
		    slotpool_load_get(hp->pool, p->now_us).limited_slots > 0)
			return true;
	}
	return false;
}

static void
play_init(struct play *p)
{
	const struct rate_scenario *sc = p->sc;

	p->now_us = kSecondUs;
	p->clk = (struct clock_source){&sim_clock, p};
	p->events = g_sequence_new(sim_event_free);
	p->call_list = g_ptr_array_new_with_free_func(g_free);
	p->next_call_us = 2 * kSecondUs;
	p->next_trouble_us = kNamedFromUs + kSecondUs;
	p->targets = g_new0(struct rate_target, sc->targets);
	for (int32_t i = 0; i < sc->targets; i++) {
		struct rate_target *t = &p->targets[i];

		g_snprintf(t->id, sizeof(t->id), "t%d", i);
		t->data_center = i % sc->data_centers;
		t->arrivals = g_array_new(FALSE, FALSE, sizeof(int64_t));
		t->milli_per_s =
		    g_rand_int_range(p->rand, 0, 100) < sc->limited_percent
		    ? g_rand_int_range(
			  p->rand, sc->milli_min, sc->milli_max + 1)
		    : -1;
	}
	p->daemons = g_new0(struct sim_daemon, sc->daemons);
	for (int32_t i = 0; i < sc->daemons; i++) {
		struct sim_daemon *d = &p->daemons[i];

		d->p = p;
		d->index = i;
		g_snprintf(d->address, sizeof(d->address), "d%d", i);
		g_snprintf(d->data_center, sizeof(d->data_center), "dc%d",
		    i % sc->data_centers);
		d->next_incarnation = 1;
		d->heartbeat_us = i * kMsUs;
	}
	for (int32_t i = 0; i < sc->daemons; i++)
		sim_daemon_start(&p->daemons[i]);
}

static void
play_clear(struct play *p)
{
	for (int32_t i = 0; i < p->sc->daemons; i++)
		sim_daemon_stop(&p->daemons[i]);
	for (int32_t i = 0; i < p->sc->targets; i++)
		g_array_unref(p->targets[i].arrivals);
	g_sequence_free(p->events);
	g_ptr_array_unref(p->call_list);
	g_free(p->daemons);
	g_free(p->targets);
	g_rand_free(p->rand);
}

struct rate_result
rate_fleet_run(const struct rate_scenario *sc, uint32_t seed)
{
	struct play p = {.sc = sc, .rand = g_rand_new_with_seed(seed)};
	struct rate_result res = {0};

	play_init(&p);
	for (int32_t i = 0; i < sc->items; i++)
		call_acquire(call_new(&p, true));
	for (; p.now_us < kPlayUs; p.now_us += kStepUs) {
		step(&p);
		if (p.now_us > kNamedUntilUs &&
		    p.now_us % kForgottenCheckUs == 0 &&
		    is_limited_anywhere(&p))
			res.forgotten_s =
			    (double)(p.now_us - kNamedUntilUs) / kSecondUs;
	}
	for (int32_t i = 0; i < sc->targets; i++)
		rate_target_judge(sc, &p.targets[i], &res);
	res.used = rate_targets_used(sc, p.targets, p.is_refusing);
	res.served = (double)p.served / MAX(p.calls, 1);
	res.refusals = p.refusals;
	play_clear(&p);
	return res;
}

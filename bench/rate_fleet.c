/* Daemons that share targets with rates, in virtual time. */
#include "rate_fleet.h"

#include <string.h>

#include "gateway/slots_internal.h"
#include "rate_internal.h"
#include "sim_math.h"

enum {
	kStepUs = kMsUs,
	kTargetSlots = 8,
	/* The daemons' timers are exact to this. */
	kTimerUs = 25 * kMsUs,
	/* Network, one way. */
	kNearUs = 1 * kMsUs,
	kFarUs = 30 * kMsUs,
	kJitterMaxUs = 10 * kMsUs,
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
	/* Heartbeats and reads of the rows. */
	kHeartbeatUs = kSecondUs,
	kLeaseUs = 4 * kSecondUs,
	kContactUs = 1500 * kMsUs,
	/* A daemon that stops finishes its calls meanwhile. */
	kDrainUs = 2 * kSecondUs,
	kRestartUs = 1 * kSecondUs,
	kItemRetryUs = 300 * kMsUs,
};

struct play;

struct sim_daemon {
	struct play *p;
	int32_t index;
	char address[kFleetAddressMax];
	char data_center[kFleetNameMax];
	struct loop *lp;
	struct roster *roster;
	struct fleet *fleet;
	struct slots *slots;
	/** Start of the daemon; 0: it is down. */
	uint64_t incarnation;
	uint64_t next_incarnation;
	bool is_leaving;
	int64_t frozen_until_us;
	int64_t cut_until_us;
	int64_t heartbeat;
	int64_t heartbeat_us;
	int64_t next_run_us;
	bool is_dirty;
};

/** A call of a caller, or an item. */
struct sim_call {
	struct play *p;
	struct sim_daemon *d;
	uint64_t incarnation;
	uint64_t slot;
	bool is_batch;
	/** Refused once before. */
	bool is_repeat;
	struct rate_target *target;
	/** Number of the run, so that events of earlier ones are ignored. */
	int32_t run;
};

struct sim_event {
	int64_t at_us;
	uint64_t order;
	void (*fn)(struct sim_event *ev);
	struct sim_daemon *d;
	uint64_t incarnation;
	struct sim_call *call;
	int32_t run;
	/** A message, packed. */
	GByteArray *data;
	struct stated_rate said;
};

struct play {
	const struct rate_scenario *sc;
	GRand *rand;
	int64_t now_us;
	struct clock_source clk;
	struct sim_daemon *daemons;
	struct rate_target *targets;
	GSequence *events;
	uint64_t next_order;
	int64_t next_call_us;
	int64_t next_trouble_us;
	int32_t troubles;
	int32_t calls;
	int32_t served;
	int32_t refusals;
	bool is_refusing[kPlayUs / kSecondUs + 1];
};

static struct timespec
sim_now(void *ctx)
{
	const struct play *p = ctx;

	return (struct timespec){
	    p->now_us / kSecondUs, p->now_us % kSecondUs * 1000};
}

static const struct clock_ops sim_clock = {sim_now, sim_now};

static int
compare_events(const void *a, const void *b, void *ctx)
{
	const struct sim_event *x = a;
	const struct sim_event *y = b;

	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return (x->order > y->order) - (x->order < y->order);
}

static void
event_free(void *p)
{
	struct sim_event *ev = p;

	if (ev->data != NULL)
		g_byte_array_unref(ev->data);
	g_free(ev);
}

static struct sim_event *
event_add(struct play *p, int64_t delay_us, void (*fn)(struct sim_event *ev))
{
	struct sim_event *ev = g_new0(struct sim_event, 1);

	ev->at_us = p->now_us + delay_us;
	ev->order = p->next_order++;
	ev->fn = fn;
	g_sequence_insert_sorted(p->events, ev, compare_events, NULL);
	return ev;
}

static struct sim_event *
call_event(struct sim_call *c, int64_t delay_us, void (*fn)(struct sim_event *))
{
	struct sim_event *ev = event_add(c->p, delay_us, fn);

	ev->call = c;
	ev->d = c->d;
	ev->incarnation = c->incarnation;
	ev->run = c->run;
	return ev;
}

static int64_t
link_us(struct play *p, const char *from, const char *to)
{
	return (strcmp(from, to) == 0 ? kNearUs : kFarUs) +
	    g_rand_int_range(p->rand, 0, kJitterMaxUs);
}

static bool
is_cut(const struct sim_daemon *d)
{
	return d->cut_until_us > d->p->now_us;
}

static void
on_message(struct sim_event *ev)
{
	struct sim_daemon *d = ev->d;
	Sfpeer__Envelope *env;

	if (d->incarnation == 0 || is_cut(d))
		return;
	env = sfpeer__envelope__unpack(NULL, ev->data->len, ev->data->data);
	roster_record_message(d->roster, env->from, NULL, d->p->now_us);
	if (env->leaving) {
		roster_record_leaving(d->roster, env->from);
		slots_reassign_arbiters(d->slots);
	}
	slots_on_envelope(d->slots, env);
	sfpeer__envelope__free_unpacked(env, NULL);
	d->is_dirty = true;
}

static struct sim_daemon *
find_daemon(struct play *p, const char *address)
{
	for (int32_t i = 0; i < p->sc->daemons; i++)
		if (strcmp(p->daemons[i].address, address) == 0)
			return &p->daemons[i];
	return NULL;
}

static void
send_message(void *ctx, const char *to, Sfpeer__Envelope *env)
{
	struct sim_daemon *d = ctx;
	struct sim_daemon *other = find_daemon(d->p, to);
	struct sim_event *ev;

	if (other == NULL || is_cut(d))
		return;
	env->from = d->address;
	ev = event_add(d->p, link_us(d->p, d->data_center, other->data_center),
	    on_message);
	ev->d = other;
	ev->data = g_byte_array_sized_new(256);
	g_byte_array_set_size(
	    ev->data, (guint)sfpeer__envelope__get_packed_size(env));
	sfpeer__envelope__pack(env, ev->data->data);
}

static void
ignore_connect(void *ctx, const char *to)
{
}

static const struct slots_wire_ops wire_ops = {
    send_message, ignore_connect, ignore_connect};

static struct roster_row
daemon_row(const struct sim_daemon *d)
{
	struct roster_row row = {
	    .version = d->heartbeat + 1,
	    .period_us = kHeartbeatUs,
	    .cpu_millicores = 1000,
	};

	g_strlcpy(row.address, d->address, sizeof(row.address));
	g_strlcpy(row.data_center, d->data_center, sizeof(row.data_center));
	g_strlcpy(row.region, d->data_center, sizeof(row.region));
	g_snprintf(row.session, sizeof(row.session), "%s-%" G_GUINT64_FORMAT,
	    d->address, d->next_incarnation);
	return row;
}

static void
read_rows(struct sim_daemon *d)
{
	struct play *p = d->p;
	GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct roster_row));
	struct roster_changes changes = {g_ptr_array_new_with_free_func(g_free),
	    g_ptr_array_new_with_free_func(g_free)};

	for (int32_t i = 0; i < p->sc->daemons; i++) {
		struct roster_row row = daemon_row(&p->daemons[i]);

		if (&p->daemons[i] != d)
			g_array_append_val(rows, row);
	}
	roster_apply_rows(d->roster, rows, p->now_us, &changes);
	for (guint i = 0; i < changes.removed->len; i++)
		slots_remove_daemon(d->slots, changes.removed->pdata[i]);
	g_array_unref(rows);
	g_ptr_array_unref(changes.joined);
	g_ptr_array_unref(changes.removed);
}

static void
daemon_start(struct sim_daemon *d)
{
	struct play *p = d->p;
	struct roster_options ropt = {
	    .lease_us = kLeaseUs, .contact_timeout_us = kContactUs};
	struct slots_options sopt = {.address = d->address,
	    .data_center = d->data_center,
	    .wire = &wire_ops,
	    .wire_ctx = d};

	d->incarnation = ++d->next_incarnation;
	d->is_leaving = false;
	ropt.self = daemon_row(d);
	d->lp = loop_new(&p->clk);
	d->roster = roster_new(&ropt);
	d->fleet = fleet_new();
	for (int32_t i = 0; i < p->sc->targets; i++) {
		struct fleet_target t = {
		    .slots = kTargetSlots, .started_ms = 1, .version = 1};

		g_strlcpy(t.id, p->targets[i].id, sizeof(t.id));
		g_strlcpy(t.service, "llm", sizeof(t.service));
		g_snprintf(t.data_center, sizeof(t.data_center), "dc%d",
		    p->targets[i].data_center);
		fleet_apply(d->fleet, &t);
	}
	sopt.lp = d->lp;
	sopt.roster = d->roster;
	sopt.fleet = d->fleet;
	sopt.seed = (d->incarnation << 48) + ((uint64_t)d->index << 32);
	d->slots = slots_new(&sopt);
	read_rows(d);
	slots_targets_changed(d->slots);
	d->next_run_us = p->now_us;
}

static void
daemon_stop(struct sim_daemon *d)
{
	if (d->incarnation == 0)
		return;
	d->incarnation = 0;
	slots_free(d->slots);
	roster_free(d->roster);
	fleet_free(d->fleet);
	loop_free(d->lp);
}

static void
on_restart(struct sim_event *ev)
{
	if (ev->d->incarnation == 0)
		daemon_start(ev->d);
}

static void
kill_daemon(struct sim_daemon *d, int64_t down_us)
{
	daemon_stop(d);
	event_add(d->p, down_us, on_restart)->d = d;
}

static void
on_drained(struct sim_event *ev)
{
	if (ev->d->incarnation == ev->incarnation)
		kill_daemon(ev->d, kRestartUs);
}

static void
drain_daemon(struct sim_daemon *d)
{
	struct play *p = d->p;
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	struct sim_event *ev;

	d->is_leaving = true;
	env.leaving = true;
	for (int32_t i = 0; i < p->sc->daemons; i++)
		if (&p->daemons[i] != d)
			send_message(d, p->daemons[i].address, &env);
	roster_leave(d->roster);
	slots_reassign_arbiters(d->slots);
	ev = event_add(p, kDrainUs, on_drained);
	ev->d = d;
	ev->incarnation = d->incarnation;
}

/* Events of calls. */

static void call_acquire(struct sim_call *c);

static bool
is_current(const struct sim_event *ev)
{
	return ev->d->incarnation == ev->incarnation &&
	    ev->call->run == ev->run;
}

/* Events at a daemon that stands still wait. */
static bool
is_deferred(const struct sim_event *ev)
{
	return ev->d != NULL && ev->d->frozen_until_us > ev->at_us;
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
	head = call_event(
	    c, kHeadUs + link_us(p, data_center, c->d->data_center), on_head);
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
	call_event(c, link_us(p, c->d->data_center, data_center), on_arrival);
}

static struct sim_daemon *
pick_daemon(struct play *p)
{
	for (int32_t tries = 0; tries < 100; tries++) {
		struct sim_daemon *d =
		    &p->daemons[g_rand_int_range(p->rand, 0, p->sc->daemons)];

		if (d->incarnation != 0 && !d->is_leaving && !is_cut(d) &&
		    d->frozen_until_us <= p->now_us)
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
	return find_daemon(
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
		drain_daemon(d);
		break;
	case kTroubleKill:
		kill_daemon(d, last_us);
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
run_due_events(struct play *p)
{
	while (!g_sequence_is_empty(p->events)) {
		GSequenceIter *it = g_sequence_get_begin_iter(p->events);
		struct sim_event *ev = g_sequence_get(it);

		if (ev->at_us > p->now_us)
			return;
		if (is_deferred(ev)) {
			ev->at_us = ev->d->frozen_until_us;
			g_sequence_sort_changed(it, compare_events, NULL);
			continue;
		}
		ev->fn(ev);
		g_sequence_remove(it);
	}
}

static void
run_daemon(struct sim_daemon *d)
{
	struct play *p = d->p;

	if (d->incarnation == 0 || d->frozen_until_us > p->now_us)
		return;
	if (p->now_us - d->heartbeat_us >= kHeartbeatUs) {
		d->heartbeat_us = p->now_us;
		d->heartbeat += !is_cut(d);
		if (!is_cut(d))
			read_rows(d);
	}
	if (!d->is_dirty && p->now_us < d->next_run_us)
		return;
	d->is_dirty = false;
	d->next_run_us = p->now_us + kTimerUs;
	loop_run_once(d->lp);
	/* What the callbacks have asked for is delivered at once. */
	loop_run_once(d->lp);
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
	run_due_events(p);
	start_calls(p);
	if (p->sc->trouble != kTroubleNone && p->now_us >= p->next_trouble_us &&
	    p->now_us < kNamedUntilUs) {
		p->next_trouble_us =
		    p->now_us + p->sc->trouble_period_ms * (int64_t)kMsUs;
		cause_trouble(p);
	}
	for (int32_t i = 0; i < p->sc->daemons; i++)
		run_daemon(&p->daemons[i]);
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
	p->events = g_sequence_new(event_free);
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
		daemon_start(&p->daemons[i]);
}

static void
play_clear(struct play *p)
{
	for (int32_t i = 0; i < p->sc->daemons; i++)
		daemon_stop(&p->daemons[i]);
	for (int32_t i = 0; i < p->sc->targets; i++)
		g_array_unref(p->targets[i].arrivals);
	g_sequence_free(p->events);
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
		if (p.now_us > kNamedUntilUs && p.now_us % kTimerUs == 0 &&
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

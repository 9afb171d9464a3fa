/* Daemons with the real slots and roster modules, and the messages between
 * them. */
#include <string.h>

#include "gateway/slots_internal.h"
#include "os/text_copy.h"
#include "rate_internal.h"

enum {
	kTargetSlots = 8,
	/* The daemons' timers are exact to this. */
	kTimerUs = 25 * kMsUs,
	/* Network, one way. */
	kNearUs = 1 * kMsUs,
	kFarUs = 30 * kMsUs,
	kJitterMaxUs = 10 * kMsUs,
	/* Heartbeats and reads of the rows. */
	kHeartbeatUs = kSecondUs,
	kLeaseUs = 4 * kSecondUs,
	kContactUs = 1500 * kMsUs,
	/* A daemon that stops finishes its calls meanwhile. */
	kDrainUs = 2 * kSecondUs,
	kRestartUs = 1 * kSecondUs,
};

static int
compare_events(const void *a, const void *b, void *ctx)
{
	const struct sim_event *x = a;
	const struct sim_event *y = b;

	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return (x->order > y->order) - (x->order < y->order);
}

void
sim_event_free(void *p)
{
	struct sim_event *ev = p;

	if (ev->data != NULL)
		g_byte_array_unref(ev->data);
	g_free(ev);
}

struct sim_event *
sim_event_add(
    struct play *p, int64_t delay_us, void (*fn)(struct sim_event *ev))
{
	struct sim_event *ev = g_new0(struct sim_event, 1);

	ev->at_us = p->now_us + delay_us;
	ev->order = p->next_order++;
	ev->fn = fn;
	g_sequence_insert_sorted(p->events, ev, compare_events, NULL);
	return ev;
}

/* Events at a daemon that stands still wait. */
static bool
is_deferred(const struct sim_event *ev)
{
	return ev->d != NULL && ev->d->frozen_until_us > ev->at_us;
}

void
sim_events_run(struct play *p)
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

int64_t
sim_link_us(struct play *p, const char *from, const char *to)
{
	return (strcmp(from, to) == 0 ? kNearUs : kFarUs) +
	    g_rand_int_range(p->rand, 0, kJitterMaxUs);
}

bool
sim_daemon_is_cut(const struct sim_daemon *d)
{
	return d->cut_until_us > d->p->now_us;
}

static void
on_message(struct sim_event *ev)
{
	struct sim_daemon *d = ev->d;
	Sfpeer__Envelope *env;

	if (d->incarnation == 0 || sim_daemon_is_cut(d))
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

struct sim_daemon *
sim_daemon_find(struct play *p, const char *address)
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
	struct sim_daemon *other = sim_daemon_find(d->p, to);
	struct sim_event *ev;

	if (other == NULL || sim_daemon_is_cut(d))
		return;
	env->from = d->address;
	ev = sim_event_add(d->p,
	    sim_link_us(d->p, d->data_center, other->data_center), on_message);
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

	TEXT_ASSIGN(row.address, d->address);
	TEXT_ASSIGN(row.data_center, d->data_center);
	TEXT_ASSIGN(row.region, d->data_center);
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

void
sim_daemon_start(struct sim_daemon *d)
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

		TEXT_ASSIGN(t.id, p->targets[i].id);
		text_copy_or_none(t.service, sizeof(t.service), "llm");
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

void
sim_daemon_stop(struct sim_daemon *d)
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
		sim_daemon_start(ev->d);
}

void
sim_daemon_kill(struct sim_daemon *d, int64_t down_us)
{
	sim_daemon_stop(d);
	sim_event_add(d->p, down_us, on_restart)->d = d;
}

static void
on_drained(struct sim_event *ev)
{
	if (ev->d->incarnation == ev->incarnation)
		sim_daemon_kill(ev->d, kRestartUs);
}

void
sim_daemon_drain(struct sim_daemon *d)
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
	ev = sim_event_add(p, kDrainUs, on_drained);
	ev->d = d;
	ev->incarnation = d->incarnation;
}

void
sim_daemon_run(struct sim_daemon *d)
{
	struct play *p = d->p;

	if (d->incarnation == 0 || d->frozen_until_us > p->now_us)
		return;
	if (p->now_us - d->heartbeat_us >= kHeartbeatUs) {
		d->heartbeat_us = p->now_us;
		d->heartbeat += !sim_daemon_is_cut(d);
		if (!sim_daemon_is_cut(d))
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

/*
 * Exchange of routes, targets and daemons between peers while the store rejects
 * a daemon.
 */
#include "gateway/view.h"

#include "os/text_copy.h"

#include <string.h>

enum {
	/* Changes must be known within 3 s. */
	kRequestPeriodUs = 500 * kUsPerMs,
	/* Limits the size of a message; a row has a few hundred bytes. */
	kRowsMax = 2000,
	/* One of this many requests goes to any daemon, the others to those of
	 * this data centre: all of it may be cut off from the store. */
	kFarRequestEvery = 3,
};

struct view_exchange {
	struct view_options opt;
	char **seed_peers;
	bool is_store_unreachable;
	uint64_t timer;
	guint next_peer;
};

static void
request_rows(void *ctx)
{
	struct view_exchange *vx = ctx;
	int64_t now_us = loop_now_us(vx->opt.lp);
	bool is_far = vx->next_peer % kFarRequestEvery == 0;
	GPtrArray *peers = roster_peers(
	    vx->opt.roster, is_far ? NULL : vx->opt.data_center, now_us);
	guint seed_count = g_strv_length(vx->seed_peers);
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__View view = SFPEER__VIEW__INIT;
	const char *to;

	if (peers->len == 0) {
		g_ptr_array_unref(peers);
		peers = roster_peers(vx->opt.roster, NULL, now_us);
	}
	view.wanted = true;
	view.daemons_wanted = peers->len == 0;
	view.as_of = (uint64_t)vx->opt.adapter->watch_version(vx->opt.watch);
	env.view = &view;
	for (guint i = 0; view.daemons_wanted && i < seed_count; i++)
		g_ptr_array_add(peers, vx->seed_peers[i]);
	if (vx->is_store_unreachable && peers->len > 0) {
		to = peers->pdata[vx->next_peer++ % peers->len];
		if (strcmp(to, vx->opt.address) != 0)
			vx->opt.wire->send(vx->opt.wire_ctx, to, &env);
	}
	g_ptr_array_unref(peers);
	vx->timer =
	    loop_timer(vx->opt.lp, now_us + kRequestPeriodUs, request_rows, vx);
}

struct view_exchange *
view_exchange_new(const struct view_options *opt)
{
	struct view_exchange *vx = g_new0(struct view_exchange, 1);

	vx->opt = *opt;
	vx->seed_peers = g_strsplit(opt->seed_peers, ",", -1);
	/* Cleared when the lists are read for the first time. */
	vx->is_store_unreachable = true;
	vx->next_peer = g_random_int();
	vx->timer = loop_timer(
	    opt->lp, loop_now_us(opt->lp) + kRequestPeriodUs, request_rows, vx);
	return vx;
}

void
view_exchange_free(struct view_exchange *vx)
{
	loop_timer_cancel(vx->opt.lp, vx->timer);
	g_strfreev(vx->seed_peers);
	g_free(vx);
}

void
view_exchange_set_store_unreachable(
    struct view_exchange *vx, bool is_store_unreachable)
{
	vx->is_store_unreachable = is_store_unreachable;
}

void
view_exchange_fetch(struct view_exchange *vx, const char *peer)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__View view = SFPEER__VIEW__INIT;

	view.wanted = true;
	view.as_of = (uint64_t)vx->opt.adapter->watch_version(vx->opt.watch);
	env.view = &view;
	vx->opt.wire->send(vx->opt.wire_ctx, peer, &env);
}

static void
send_daemons(struct view_exchange *vx, const char *to)
{
	GArray *rows = roster_rows(vx->opt.roster, loop_now_us(vx->opt.lp));
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__View view = SFPEER__VIEW__INIT;
	Sfpeer__ViewDaemon *daemons = g_new(Sfpeer__ViewDaemon, rows->len);
	Sfpeer__ViewDaemon **list = g_new(Sfpeer__ViewDaemon *, rows->len);

	for (guint i = 0; i < rows->len; i++) {
		struct roster_row *row =
		    &g_array_index(rows, struct roster_row, i);

		sfpeer__view_daemon__init(&daemons[i]);
		daemons[i].address = row->address;
		daemons[i].front = row->front;
		daemons[i].region = row->region;
		daemons[i].data_center = row->data_center;
		daemons[i].session = row->session;
		daemons[i].period_us = row->period_us;
		daemons[i].cpu_millicores = (uint32_t)row->cpu_millicores;
		list[i] = &daemons[i];
	}
	view.n_daemons = rows->len;
	view.daemons = list;
	env.view = &view;
	vx->opt.wire->send(vx->opt.wire_ctx, to, &env);
	g_free(list);
	g_free(daemons);
	g_array_unref(rows);
}

static void
learn_daemons(struct view_exchange *vx, const Sfpeer__View *view)
{
	GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct roster_row));
	struct roster_changes changes = {
	    g_ptr_array_new_with_free_func(g_free),
	    g_ptr_array_new_with_free_func(g_free),
	};

	for (size_t i = 0; i < view->n_daemons; i++) {
		const Sfpeer__ViewDaemon *d = view->daemons[i];
		struct roster_row row = {.period_us = d->period_us,
		    .cpu_millicores = (int32_t)d->cpu_millicores};

		if (text_copy(row.address, sizeof(row.address), d->address) &&
		    text_copy(row.front, sizeof(row.front), d->front) &&
		    text_copy(row.region, sizeof(row.region), d->region) &&
		    text_copy(row.data_center, sizeof(row.data_center),
			d->data_center) &&
		    text_copy(row.session, sizeof(row.session), d->session))
			g_array_append_val(rows, row);
	}
	roster_learn(vx->opt.roster, rows, loop_now_us(vx->opt.lp), &changes);
	vx->opt.on_roster(vx->opt.ctx, &changes);
	g_ptr_array_unref(changes.joined);
	g_ptr_array_unref(changes.removed);
	g_array_unref(rows);
}

static void
send_rows(struct view_exchange *vx, const char *to, int64_t after)
{
	/* Read first: rows that change meanwhile are sent beside it. */
	int64_t version = vx->opt.adapter->watch_version(vx->opt.watch);
	GArray *rows = vx->opt.adapter->watch_rows(vx->opt.watch, after);
	guint n = MIN(rows->len, kRowsMax);
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__View view = SFPEER__VIEW__INIT;
	Sfpeer__ViewRow *wire_rows = g_new(Sfpeer__ViewRow, n);
	Sfpeer__ViewRow **list = g_new(Sfpeer__ViewRow *, n);

	for (guint i = 0; i < n; i++) {
		const struct view_row *row =
		    &g_array_index(rows, struct view_row, i);

		sfpeer__view_row__init(&wire_rows[i]);
		wire_rows[i].table = row->table;
		wire_rows[i].key = row->key;
		wire_rows[i].version = (uint64_t)row->version;
		wire_rows[i].removed = row->value == NULL;
		if (row->value != NULL) {
			wire_rows[i].value.data = (uint8_t *)row->value;
			wire_rows[i].value.len = strlen(row->value);
		}
		list[i] = &wire_rows[i];
	}
	/* An incomplete message brings the receiver up to no version. */
	view.as_of = n == rows->len ? (uint64_t)version : 0;
	view.n_rows = n;
	view.rows = list;
	env.view = &view;
	if (n > 0)
		vx->opt.wire->send(vx->opt.wire_ctx, to, &env);
	g_free(list);
	g_free(wire_rows);
	g_array_unref(rows);
}

static void
view_row_clear(void *p)
{
	struct view_row *row = p;

	g_free(row->table);
	g_free(row->key);
	g_free(row->value);
}

static void
apply_rows(struct view_exchange *vx, const Sfpeer__View *view)
{
	GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct view_row));

	g_array_set_clear_func(rows, view_row_clear);
	for (size_t i = 0; i < view->n_rows; i++) {
		const Sfpeer__ViewRow *wire = view->rows[i];
		struct view_row row = {g_strdup(wire->table),
		    g_strdup(wire->key), NULL, (int64_t)wire->version};

		if (!wire->removed)
			row.value = g_strndup(
			    (const char *)wire->value.data, wire->value.len);
		g_array_append_val(rows, row);
	}
	vx->opt.adapter->watch_apply_rows(
	    vx->opt.watch, rows, (int64_t)view->as_of);
	g_array_unref(rows);
}

void
view_exchange_on_view(
    struct view_exchange *vx, const char *from, const Sfpeer__View *view)
{
	/* Sent even while this daemon cannot read the lists: the receiver
	 * ignores a row of which it knows this or a newer version. */
	if (view->wanted)
		send_rows(vx, from, (int64_t)view->as_of);
	if (view->daemons_wanted)
		send_daemons(vx, from);
	if (view->n_rows > 0 && vx->is_store_unreachable)
		apply_rows(vx, view);
	if (view->n_daemons > 0 && vx->is_store_unreachable)
		learn_daemons(vx, view);
}

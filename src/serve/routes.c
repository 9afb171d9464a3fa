/* Membership and routing of one daemon, updated by peers and the VM list. */
#include "serve/routes.h"

#include <pthread.h>
#include <string.h>

#include "log/log.h"
#include "metric/metric.h"
#include "os/text_copy.h"
#include "savoryflow/membership/membership.h"
#include "savoryflow/membership/selection.h"
#include "savoryflow/routing/rendezvous.h"
#include "savoryflow/routing/routing.h"
#include "serve/grants.h"

enum {
	kMemberRetentionUs = 7200 * (int64_t)kUsPerS,
	/* Peers notified immediately of a leaving target. */
	kLeavingFanout = 8,
};

struct routes {
	struct daemon *d;
	pthread_mutex_t lock;
	struct membership *members;
	struct routing *routing;
	uint64_t epoch;
	int64_t generation;
	int32_t daemons;
	/** Targets reported as leaving by a peer or the VM list, by name or
	 * URL. */
	GHashTable *leaving;
	/** Peers last seen as usable, to log changes. */
	GHashTable *usable;
};

static void
fill_self(struct daemon *d, struct member_entry *self)
{
	text_copy_or_none(
	    self->address, sizeof(self->address), d->set->peer_listen);
	text_copy_or_none(self->http, sizeof(self->http), d->set->listen);
	text_copy_or_none(self->region, sizeof(self->region), d->set->region);
	text_copy_or_none(
	    self->data_center, sizeof(self->data_center), d->set->data_center);
	self->incarnation = d->incarnation;
}

struct routes *
routes_new(struct daemon *d)
{
	struct routes *rs = g_new0(struct routes, 1);
	struct routing_location location = {
	    d->set->region, d->set->data_center};
	struct membership_options opt = {
	    .period_us = d->set->gossip_period_ms * kUsPerMs,
	    .suspect_us = d->set->member_timeout_ms * kUsPerMs,
	    .forget_us = kMemberRetentionUs,
	    .selection = &member_select_changed,
	    .seed = d->incarnation,
	};
	char **seeds = g_strsplit(d->set->peers, ",", -1);

	rs->d = d;
	pthread_mutex_init(&rs->lock, NULL);
	fill_self(d, &opt.self);
	rs->members = membership_new(&opt);
	rs->routing = routing_new(&location);
	rs->leaving =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	rs->usable =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	rs->daemons = 1;
	rs->generation = -1;
	for (char **s = seeds; *s != NULL; s++)
		if (**s != '\0')
			membership_seed(rs->members, *s, clock_mono_us(d->clk));
	g_strfreev(seeds);
	return rs;
}

void
routes_free(struct routes *rs)
{
	membership_free(rs->members);
	routing_free(rs->routing);
	g_hash_table_unref(rs->leaving);
	g_hash_table_unref(rs->usable);
	pthread_mutex_destroy(&rs->lock);
	g_free(rs);
}

static void
route_fill(
    struct routes *rs, const struct routing_target *t, struct route *route)
{
	text_copy_or_none(route->target, sizeof(route->target), t->name);
	text_copy_or_none(route->url, sizeof(route->url), t->url);
	TEXT_ASSIGN(route->arbiter, t->arbiter);
	route->is_engine = t->is_engine;
	route->slots = t->slots;
	route->daemons = rs->daemons;
}

bool
routes_choose_other(
    struct routes *rs, struct routing_query *query, struct route *route)
{
	const struct routing_target *t;

	pthread_mutex_lock(&rs->lock);
	query->now_us = clock_mono_us(rs->d->clk);
	t = routing_choose(rs->routing, query);
	if (t != NULL)
		route_fill(rs, t, route);
	pthread_mutex_unlock(&rs->lock);
	return t != NULL;
}

bool
routes_choose(
    struct routes *rs, struct routing_query *query, struct route *route)
{
	if (routes_choose_other(rs, query, route))
		return true;
	if (query->excluded_target == NULL)
		return false;
	/* The target that failed last is the only one available. */
	query->excluded_target = NULL;
	return routes_choose_other(rs, query, route);
}

bool
routes_has_service(struct routes *rs, const char *service)
{
	bool has;

	pthread_mutex_lock(&rs->lock);
	has = routing_has_service(rs->routing, service);
	pthread_mutex_unlock(&rs->lock);
	return has;
}

void
routes_record_outcome(
    struct routes *rs, const char *target, enum route_outcome outcome)
{
	struct routing_target *t;
	bool changed = false;

	pthread_mutex_lock(&rs->lock);
	t = routing_find(rs->routing, target);
	if (t != NULL && outcome == kRouteComplete)
		changed = routing_record_success(t);
	else if (t != NULL)
		changed = routing_record_failure(
		    t, outcome == kRouteUnreachable, clock_mono_us(rs->d->clk));
	pthread_mutex_unlock(&rs->lock);
	if (changed)
		log_event(outcome == kRouteComplete ? kEvtTargetBack
						    : kEvtTargetEjected,
		    "target", target, NULL);
}

void
routes_record_load(struct routes *rs, const char *target, int64_t load_us)
{
	struct routing_target *t;

	pthread_mutex_lock(&rs->lock);
	t = routing_find(rs->routing, target);
	if (t != NULL)
		routing_record_load(t, load_us, clock_mono_us(rs->d->clk));
	pthread_mutex_unlock(&rs->lock);
}

static void
notify_leaving(struct routes *rs, const char *target)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	GPtrArray *peers = routes_random_peers(rs, kLeavingFanout);
	char *names[] = {(char *)target};

	env.n_leaving_targets = 1;
	env.leaving_targets = names;
	for (guint i = 0; i < peers->len; i++)
		peer_send(rs->d->peer, peers->pdata[i], &env, kPeerControl);
	g_ptr_array_unref(peers);
}

void
routes_set_leaving(
    struct routes *rs, const char *target, bool is_leaving, bool notify_peers)
{
	struct routing_target *t;
	char name[kMemberAddressMax] = "";
	bool changed = false;

	pthread_mutex_lock(&rs->lock);
	t = routing_find(rs->routing, target);
	if (t == NULL)
		t = routing_find_url(rs->routing, target);
	if (t != NULL) {
		changed = t->is_leaving != is_leaving;
		t->is_leaving = is_leaving;
		text_copy_or_none(name, sizeof(name), t->name);
	}
	if (is_leaving)
		g_hash_table_add(rs->leaving, g_strdup(target));
	else
		g_hash_table_remove(rs->leaving, target);
	pthread_mutex_unlock(&rs->lock);
	if (!changed)
		return;
	log_event(is_leaving ? kEvtTargetLeaving : kEvtTargetBack, "target",
	    name, NULL);
	grants_set_leaving(rs->d->grants, name, is_leaving);
	if (notify_peers && is_leaving)
		notify_leaving(rs, name);
}

void
routes_each_target(struct routes *rs, routes_target_fn fn, void *ctx)
{
	GPtrArray *list;

	pthread_mutex_lock(&rs->lock);
	list = routing_targets(rs->routing);
	for (guint i = 0; i < list->len; i++)
		fn(ctx, list->pdata[i]);
	g_ptr_array_unref(list);
	pthread_mutex_unlock(&rs->lock);
}

bool
routes_target(struct routes *rs, const char *name, struct route *route,
    int64_t *tail_budget_us)
{
	const struct routing_target *t;

	pthread_mutex_lock(&rs->lock);
	t = routing_find(rs->routing, name);
	if (t != NULL) {
		route_fill(rs, t, route);
		*tail_budget_us = t->tail_budget_us;
	}
	pthread_mutex_unlock(&rs->lock);
	return t != NULL;
}

void
routes_owner(struct routes *rs, const char *key, char *address)
{
	const char *self = rs->d->set->peer_listen;
	uint64_t best = rendezvous_weight(key, self);
	GPtrArray *list;

	text_copy_or_none(address, kMemberAddressMax, self);
	pthread_mutex_lock(&rs->lock);
	list = membership_list(rs->members);
	for (guint i = 0; i < list->len; i++) {
		const struct member *m = list->pdata[i];
		uint64_t weight;

		if (!membership_is_usable(m))
			continue;
		weight = rendezvous_weight(key, m->entry.address);
		if (weight <= best)
			continue;
		best = weight;
		text_copy_or_none(address, kMemberAddressMax, m->entry.address);
	}
	g_ptr_array_unref(list);
	pthread_mutex_unlock(&rs->lock);
}

int32_t
routes_daemon_count(struct routes *rs)
{
	int32_t n;

	pthread_mutex_lock(&rs->lock);
	n = rs->daemons;
	pthread_mutex_unlock(&rs->lock);
	return n;
}

GPtrArray *
routes_random_peers(struct routes *rs, int32_t max)
{
	GPtrArray *chosen = g_ptr_array_new_with_free_func(g_free);
	GPtrArray *list;

	pthread_mutex_lock(&rs->lock);
	list = membership_list(rs->members);
	while (list->len > 0 && (int32_t)chosen->len < max) {
		guint at = membership_random(rs->members, list->len);
		const struct member *m = list->pdata[at];

		if (membership_is_usable(m))
			g_ptr_array_add(chosen, g_strdup(m->entry.address));
		g_ptr_array_remove_index_fast(list, at);
	}
	g_ptr_array_unref(list);
	pthread_mutex_unlock(&rs->lock);
	return chosen;
}

bool
routes_is_alive(struct routes *rs, const char *address)
{
	const struct member *m;
	bool alive;

	if (strcmp(address, rs->d->set->peer_listen) == 0)
		return true;
	pthread_mutex_lock(&rs->lock);
	m = membership_find(rs->members, address);
	alive = m != NULL && membership_is_usable(m);
	pthread_mutex_unlock(&rs->lock);
	return alive;
}

static void
daemon_add(GArray *daemons, const struct member_entry *entry)
{
	struct routing_daemon rd;

	TEXT_ASSIGN(rd.address, entry->address);
	TEXT_ASSIGN(rd.region, entry->region);
	TEXT_ASSIGN(rd.data_center, entry->data_center);
	g_array_append_val(daemons, rd);
}

/* Logs members that became usable or unusable, and adds their addresses. */
static void
log_member_changes(struct routes *rs, GPtrArray *added, GPtrArray *removed)
{
	GPtrArray *list = membership_list(rs->members);

	for (guint i = 0; i < list->len; i++) {
		const struct member *m = list->pdata[i];
		const char *address = m->entry.address;
		bool was_usable = g_hash_table_contains(rs->usable, address);

		if (membership_is_usable(m) == was_usable)
			continue;
		log_event(was_usable ? kEvtMemberDown : kEvtMemberUp, "member",
		    address, NULL);
		if (was_usable) {
			g_hash_table_remove(rs->usable, address);
			g_ptr_array_add(removed, g_strdup(address));
		} else {
			g_hash_table_add(rs->usable, g_strdup(address));
			g_ptr_array_add(added, g_strdup(address));
		}
	}
	g_ptr_array_unref(list);
}

static void
apply_leaving(struct routes *rs)
{
	GHashTableIter it;
	void *key;

	g_hash_table_iter_init(&it, rs->leaving);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		struct routing_target *t = routing_find(rs->routing, key);

		if (t == NULL)
			t = routing_find_url(rs->routing, key);
		if (t != NULL)
			t->is_leaving = true;
	}
}

static void
rebuild(struct routes *rs, const struct config *cfg)
{
	GArray *daemons =
	    g_array_new(FALSE, TRUE, sizeof(struct routing_daemon));
	GPtrArray *list = membership_list(rs->members);
	struct member_entry self = {0};

	fill_self(rs->d, &self);
	daemon_add(daemons, &self);
	for (guint i = 0; i < list->len; i++) {
		const struct member *m = list->pdata[i];

		if (membership_is_usable(m))
			daemon_add(daemons, &m->entry);
	}
	rs->daemons = (int32_t)daemons->len;
	metric_set(kMetMembersAlive, rs->daemons);
	if (cfg != NULL) {
		routing_rebuild(rs->routing, cfg, daemons);
		apply_leaving(rs);
	}
	g_ptr_array_unref(list);
	g_array_unref(daemons);
}

static void
rebuild_if_changed(struct routes *rs)
{
	struct config *cfg = config_holder_get(rs->d->configs);
	int64_t generation = cfg != NULL ? cfg->generation : 0;
	GPtrArray *added = g_ptr_array_new_with_free_func(g_free);
	GPtrArray *removed = g_ptr_array_new_with_free_func(g_free);
	bool changed;

	pthread_mutex_lock(&rs->lock);
	changed = rs->epoch != membership_epoch(rs->members) ||
	    rs->generation != generation;
	if (changed) {
		rs->epoch = membership_epoch(rs->members);
		rs->generation = generation;
		log_member_changes(rs, added, removed);
		/* An earlier connection may be waiting for its next attempt,
		 * with requests for grants behind it. */
		for (guint i = 0; i < added->len; i++)
			peer_disconnect(rs->d->peer, added->pdata[i]);
		rebuild(rs, cfg);
	}
	pthread_mutex_unlock(&rs->lock);
	config_unref(cfg);
	for (guint i = 0; i < removed->len; i++) {
		grants_remove_daemon(rs->d->grants, removed->pdata[i]);
		peer_disconnect(rs->d->peer, removed->pdata[i]);
	}
	g_ptr_array_unref(added);
	g_ptr_array_unref(removed);
	if (changed)
		grants_routes_changed(rs->d->grants);
}

void
routes_config_changed(struct routes *rs)
{
	rebuild_if_changed(rs);
}

static void
fill_wire_member(Sfpeer__Member *wire, const struct member_entry *entry)
{
	sfpeer__member__init(wire);
	wire->address = (char *)entry->address;
	wire->http = (char *)entry->http;
	wire->region = (char *)entry->region;
	wire->data_center = (char *)entry->data_center;
	wire->incarnation = entry->incarnation;
	wire->state = entry->state;
}

static void
send_gossip(struct routes *rs, const struct member_message *msg)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__Gossip gossip = SFPEER__GOSSIP__INIT;
	Sfpeer__ConfigHint hint = SFPEER__CONFIG_HINT__INIT;
	guint n = msg->entries->len;
	Sfpeer__Member *members = g_new(Sfpeer__Member, n);
	Sfpeer__Member **pointers = g_new(Sfpeer__Member *, n);

	for (guint i = 0; i < n; i++) {
		fill_wire_member(&members[i],
		    &g_array_index(msg->entries, struct member_entry, i));
		pointers[i] = &members[i];
	}
	gossip.kind = msg->kind;
	gossip.subject = (char *)msg->subject;
	gossip.digest = msg->digest;
	gossip.n_members = n;
	gossip.members = pointers;
	env.gossip = &gossip;
	hint.generation = (uint64_t)config_holder_generation(rs->d->configs);
	env.config = &hint;
	peer_send(rs->d->peer, msg->to, &env, kPeerGossip);
	g_free(members);
	g_free(pointers);
}

static void
send_all(struct routes *rs, GPtrArray *out)
{
	for (guint i = 0; i < out->len; i++)
		send_gossip(rs, out->pdata[i]);
	g_ptr_array_unref(out);
}

static struct member_message *
message_from_wire(const char *from, const Sfpeer__Gossip *gossip)
{
	struct member_message *msg = membership_message_new();

	msg->kind = gossip->kind;
	msg->digest = gossip->digest;
	text_copy_or_none(msg->from, sizeof(msg->from), from);
	text_copy_or_none(msg->subject, sizeof(msg->subject), gossip->subject);
	for (size_t i = 0; i < gossip->n_members; i++) {
		const Sfpeer__Member *wire = gossip->members[i];
		struct member_entry entry = {
		    .incarnation = wire->incarnation,
		    .state = MIN(wire->state, kMemberLeft),
		};

		if (text_copy(
			entry.address, sizeof(entry.address), wire->address) &&
		    text_copy(entry.http, sizeof(entry.http), wire->http) &&
		    text_copy(
			entry.region, sizeof(entry.region), wire->region) &&
		    text_copy(entry.data_center, sizeof(entry.data_center),
			wire->data_center))
			g_array_append_val(msg->entries, entry);
	}
	return msg;
}

void
routes_on_gossip(
    struct routes *rs, const char *from, const Sfpeer__Gossip *gossip)
{
	struct member_message *msg = message_from_wire(from, gossip);
	GPtrArray *out = membership_messages_new();

	pthread_mutex_lock(&rs->lock);
	membership_receive(rs->members, msg, clock_mono_us(rs->d->clk), out);
	pthread_mutex_unlock(&rs->lock);
	/* Before the replies, as it may replace their connection. */
	rebuild_if_changed(rs);
	send_all(rs, out);
	membership_message_free(msg);
}

void
routes_on_vms(struct routes *rs, const GPtrArray *vms)
{
	int64_t now_us = clock_mono_us(rs->d->clk);

	for (guint i = 0; i < vms->len; i++) {
		const struct store_vm *vm = vms->pdata[i];

		if (strstr(vm->address, "://") != NULL) {
			routes_set_leaving(
			    rs, vm->address, vm->state != kVmLive, false);
			continue;
		}
		pthread_mutex_lock(&rs->lock);
		if (vm->state == kVmGone)
			membership_remove(rs->members, vm->address, now_us);
		else
			membership_seed(rs->members, vm->address, now_us);
		pthread_mutex_unlock(&rs->lock);
	}
}

void
routes_tick(struct routes *rs)
{
	GPtrArray *out = membership_messages_new();

	pthread_mutex_lock(&rs->lock);
	membership_tick(rs->members, clock_mono_us(rs->d->clk), out);
	pthread_mutex_unlock(&rs->lock);
	send_all(rs, out);
	rebuild_if_changed(rs);
}

void
routes_leave(struct routes *rs)
{
	GPtrArray *out = membership_messages_new();

	pthread_mutex_lock(&rs->lock);
	membership_leave(rs->members, clock_mono_us(rs->d->clk), out);
	pthread_mutex_unlock(&rs->lock);
	send_all(rs, out);
}

json_t *
routes_status(struct routes *rs)
{
	static const char *const names[] = {"alive", "suspect", "down", "left"};
	json_t *list = json_array();
	GPtrArray *members;

	pthread_mutex_lock(&rs->lock);
	members = membership_list(rs->members);
	for (guint i = 0; i < members->len; i++) {
		const struct member *m = members->pdata[i];

		if (m->entry.incarnation == 0)
			continue;
		json_array_append_new(list,
		    json_pack("{s:s,s:s,s:s,s:s,s:s}", "address",
			m->entry.address, "http", m->entry.http, "region",
			m->entry.region, "data_center", m->entry.data_center,
			"state", names[m->entry.state]));
	}
	g_ptr_array_unref(members);
	pthread_mutex_unlock(&rs->lock);
	return list;
}

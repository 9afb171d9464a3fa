/* Target selection: hash rings per service and scope, two candidates. */
#include "savoryflow/routing/routing.h"

#include <string.h>
#include <xxhash.h>

#include "os/text_copy.h"
#include "savoryflow/routing/rendezvous.h"

enum {
	/* Points per target on a ring. */
	kRingPoints = 16,
	/* Consecutive failures after which a target is ejected. */
	kEjectFailures = 3,
	kEjectUs = 5000000,
	/* Age at which a load report is no longer used. */
	kLoadHorizonUs = 4000000,
	/* Prefill time saved per cached prompt token. */
	kPrefillPerTokenUs = 50,
	/* Cost of leaving the data centre, and of leaving the region, where
	 * traffic is billed by volume. */
	kRegionCostUs = 4000,
	kWorldCostUs = 400000,
};

struct ring_point {
	uint64_t hash;
	struct routing_target *target;
};

struct service_rings {
	/** struct ring_point sorted by hash, one ring per scope. */
	GArray *rings[kScopeCount];
};

struct routing {
	char *region;
	char *data_center;
	/** struct routing_target by name. */
	GHashTable *targets;
	/** struct routing_target by URL; not owned. */
	GHashTable *targets_by_url;
	/** struct service_rings by service name. */
	GHashTable *services;
	/** Selections so far; varies the second candidate. */
	uint64_t picks;
};

static const int64_t scope_cost_us[kScopeCount] = {
    0, kRegionCostUs, kWorldCostUs};

static void
target_free(void *p)
{
	struct routing_target *t = p;

	g_free(t->name);
	g_free(t->url);
	g_free(t->region);
	g_free(t->data_center);
	g_free(t);
}

static void
rings_free(void *p)
{
	struct service_rings *sr = p;

	for (int i = 0; i < kScopeCount; i++)
		g_array_unref(sr->rings[i]);
	g_free(sr);
}

struct routing *
routing_new(const struct routing_location *place)
{
	struct routing *rt = g_new0(struct routing, 1);

	rt->region = g_strdup(place->region);
	rt->data_center = g_strdup(place->data_center);
	rt->targets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, target_free);
	rt->targets_by_url = g_hash_table_new(g_str_hash, g_str_equal);
	rt->services =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, rings_free);
	return rt;
}

void
routing_free(struct routing *rt)
{
	g_hash_table_unref(rt->services);
	g_hash_table_unref(rt->targets_by_url);
	g_hash_table_unref(rt->targets);
	g_free(rt->region);
	g_free(rt->data_center);
	g_free(rt);
}

static struct routing_target *
target_from_config(struct routing *rt, const struct config_target *ct)
{
	struct routing_target *t = g_new0(struct routing_target, 1);
	const struct routing_target *old =
	    g_hash_table_lookup(rt->targets, ct->name);

	if (old != NULL && strcmp(old->url, ct->url) == 0)
		*t = *old;
	t->name = g_strdup(ct->name);
	t->url = g_strdup(ct->url);
	t->region = g_strdup(ct->region);
	t->data_center = g_strdup(ct->data_center);
	t->is_engine = ct->service->is_engine;
	t->slots = ct->slots;
	t->tail_budget_us = ct->service->tail_budget_us;
	return t;
}

/* Daemons of the target's data centre rank first, then those of its region. */
static int
proximity(const struct routing_target *t, const struct routing_daemon *d)
{
	if (strcmp(t->region, d->region) != 0)
		return 0;
	return strcmp(t->data_center, d->data_center) == 0 ? 2 : 1;
}

static void
choose_arbiter(struct routing_target *t, const GArray *daemons)
{
	uint64_t best_weight = 0;
	int best_rank = -1;

	t->arbiter[0] = '\0';
	for (guint i = 0; i < daemons->len; i++) {
		const struct routing_daemon *d =
		    &g_array_index(daemons, struct routing_daemon, i);
		int rank = proximity(t, d);
		uint64_t weight;

		if (rank < best_rank)
			continue;
		weight = rendezvous_weight(t->name, d->address);
		if (rank > best_rank || weight > best_weight) {
			best_rank = rank;
			best_weight = weight;
			TEXT_ASSIGN(t->arbiter, d->address);
		}
	}
}

static enum routing_scope
target_scope(const struct routing *rt, const struct routing_target *t)
{
	if (strcmp(t->region, rt->region) != 0)
		return kScopeWorld;
	if (strcmp(t->data_center, rt->data_center) != 0)
		return kScopeRegion;
	return kScopeDataCenter;
}

static struct service_rings *
rings_get(struct routing *rt, const char *service)
{
	struct service_rings *sr = g_hash_table_lookup(rt->services, service);

	if (sr != NULL)
		return sr;
	sr = g_new0(struct service_rings, 1);
	for (int i = 0; i < kScopeCount; i++)
		sr->rings[i] =
		    g_array_new(FALSE, FALSE, sizeof(struct ring_point));
	g_hash_table_insert(rt->services, g_strdup(service), sr);
	return sr;
}

static void
ring_add(GArray *ring, struct routing_target *t)
{
	for (uint64_t i = 0; i < kRingPoints; i++) {
		struct ring_point point = {
		    XXH3_64bits_withSeed(t->name, strlen(t->name), i), t};

		g_array_append_val(ring, point);
	}
}

static int
compare_points(const void *a, const void *b)
{
	const struct ring_point *x = a;
	const struct ring_point *y = b;

	return (x->hash > y->hash) - (x->hash < y->hash);
}

static void
sort_rings(struct routing *rt)
{
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, rt->services);
	while (g_hash_table_iter_next(&it, NULL, &val))
		for (int i = 0; i < kScopeCount; i++)
			g_array_sort(((struct service_rings *)val)->rings[i],
			    compare_points);
}

void
routing_rebuild(
    struct routing *rt, const struct config *cfg, const GArray *daemons)
{
	GHashTable *targets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, target_free);
	GHashTableIter it;
	void *key;
	void *val;

	g_hash_table_remove_all(rt->services);
	g_hash_table_remove_all(rt->targets_by_url);
	g_hash_table_iter_init(&it, cfg->services);
	while (g_hash_table_iter_next(&it, &key, NULL))
		rings_get(rt, key);
	g_hash_table_iter_init(&it, cfg->targets);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		const struct config_target *ct = val;
		struct routing_target *t = target_from_config(rt, ct);

		choose_arbiter(t, daemons);
		g_hash_table_insert(targets, t->name, t);
		g_hash_table_insert(rt->targets_by_url, t->url, t);
		ring_add(rings_get(rt, ct->service->name)
			     ->rings[target_scope(rt, t)],
		    t);
	}
	g_hash_table_unref(rt->targets);
	rt->targets = targets;
	sort_rings(rt);
}

bool
routing_has_service(const struct routing *rt, const char *service)
{
	return g_hash_table_contains(rt->services, service);
}

static bool
is_eligible(const struct routing_target *t, const struct routing_query *query)
{
	if (t->is_leaving)
		return false;
	if (query->excluded_target != NULL &&
	    strcmp(query->excluded_target, t->name) == 0)
		return false;
	if (t->ejected_until_us == 0)
		return true;
	return query->now_us >= t->ejected_until_us && !t->is_probing;
}

static guint
ring_position(const GArray *ring, uint64_t hash)
{
	guint lo = 0;
	guint hi = ring->len;

	while (lo < hi) {
		guint mid = lo + (hi - lo) / 2;

		if (g_array_index(ring, struct ring_point, mid).hash < hash)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo == ring->len ? 0 : lo;
}

static struct routing_target *
ring_find(const GArray *ring, uint64_t hash, const struct routing_query *query)
{
	guint at;

	if (ring->len == 0)
		return NULL;
	at = ring_position(ring, hash);
	for (guint i = 0; i < ring->len; i++) {
		struct routing_target *t =
		    g_array_index(ring, struct ring_point, (at + i) % ring->len)
			.target;

		if (is_eligible(t, query))
			return t;
	}
	return NULL;
}

/* The last reported load, decreasing linearly with the report's age. */
static int64_t
load_now_us(const struct routing_target *t, int64_t now_us)
{
	int64_t age_us = now_us - t->load_at_us;

	if (t->load_at_us == 0 || age_us >= kLoadHorizonUs)
		return 0;
	return t->load_us * (kLoadHorizonUs - MAX(age_us, 0)) / kLoadHorizonUs;
}

/* Chooses the cheaper of the prefix's preferred target and a second one. */
static struct routing_target *
choose_in_scope(struct routing *rt, const GArray *ring,
    const struct routing_query *query, int64_t *cost_us)
{
	struct routing_target *preferred =
	    ring_find(ring, query->prefix_hash, query);
	struct routing_target *alternative;
	int64_t preferred_us;
	int64_t alternative_us;

	if (preferred == NULL)
		return NULL;
	rt->picks++;
	alternative = ring_find(ring,
	    XXH3_64bits_withSeed(
		&rt->picks, sizeof(rt->picks), query->prefix_hash),
	    query);
	preferred_us = load_now_us(preferred, query->now_us);
	alternative_us = load_now_us(alternative, query->now_us) +
	    (int64_t)query->prompt_tokens * kPrefillPerTokenUs;
	*cost_us = MIN(preferred_us, alternative_us);
	return alternative_us < preferred_us ? alternative : preferred;
}

struct routing_target *
routing_choose(struct routing *rt, const struct routing_query *query)
{
	const struct service_rings *sr =
	    g_hash_table_lookup(rt->services, query->service);
	struct routing_target *best = NULL;
	int64_t best_us = INT64_MAX;

	for (int i = 0; sr != NULL && i < kScopeCount; i++) {
		struct routing_target *t;
		int64_t cost_us = 0;

		/* Skip scopes whose distance alone costs more. */
		if (scope_cost_us[i] >= best_us)
			break;
		t = choose_in_scope(rt, sr->rings[i], query, &cost_us);
		if (t != NULL && cost_us + scope_cost_us[i] < best_us) {
			best = t;
			best_us = cost_us + scope_cost_us[i];
		}
	}
	if (best != NULL && best->ejected_until_us != 0)
		best->is_probing = true;
	return best;
}

struct routing_target *
routing_find(struct routing *rt, const char *name)
{
	return g_hash_table_lookup(rt->targets, name);
}

struct routing_target *
routing_find_url(struct routing *rt, const char *url)
{
	return g_hash_table_lookup(rt->targets_by_url, url);
}

GPtrArray *
routing_targets(struct routing *rt)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, rt->targets);
	while (g_hash_table_iter_next(&it, NULL, &val))
		g_ptr_array_add(list, val);
	return list;
}

bool
routing_record_success(struct routing_target *target)
{
	bool was_ejected = target->ejected_until_us != 0;

	target->failures = 0;
	target->ejected_until_us = 0;
	target->is_probing = false;
	return was_ejected;
}

bool
routing_record_failure(
    struct routing_target *target, bool is_unreachable, int64_t now_us)
{
	bool was_ejected = target->ejected_until_us != 0;

	target->failures++;
	target->is_probing = false;
	if (target->failures < kEjectFailures && !is_unreachable)
		return false;
	target->ejected_until_us = now_us + kEjectUs;
	return !was_ejected;
}

void
routing_record_load(
    struct routing_target *target, int64_t first_token_us, int64_t now_us)
{
	target->load_us = first_token_us;
	target->load_at_us = now_us;
}

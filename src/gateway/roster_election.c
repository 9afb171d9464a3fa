/* Which daemon takes a role that serves others. */
#include <string.h>

#include "gateway/roster_internal.h"
#include "savoryflow/routing/rendezvous.h"

enum {
	/* A daemon takes such roles if it has at least this share, in percent,
	 * of the processor capacity of the largest one. */
	kRoleCapacityPercent = 50,
};

/* Daemons among which the owner of a key is elected. */
struct candidates {
	const char *key;
	/** NULL: any. */
	const char *data_center;
	/** Daemons that did not answer in time count as well. */
	bool include_suspects;
	/** Only daemons that are believed to reach the store. */
	bool needs_store;
	int64_t now_us;
	/** Highest processor capacity of a candidate. */
	int32_t cpu_millicores;
	const char *best;
	uint64_t weight;
};

static void
consider_capacity(struct candidates *c, const struct roster_row *row)
{
	c->cpu_millicores = MAX(c->cpu_millicores, row->cpu_millicores);
}

static void
consider(struct candidates *c, const struct roster_row *row)
{
	uint64_t weight;

	if ((int64_t)row->cpu_millicores * 100 <
	    (int64_t)c->cpu_millicores * kRoleCapacityPercent)
		return;
	weight = rendezvous_weight(c->key, row->address);
	if (c->best != NULL && weight <= c->weight)
		return;
	c->best = row->address;
	c->weight = weight;
}

typedef void (*consider_fn)(struct candidates *c, const struct roster_row *row);

static bool
is_candidate(const struct roster *ro, const struct candidates *c,
    const struct roster_member *m)
{
	if (c->data_center != NULL &&
	    strcmp(c->data_center, m->row.data_center) != 0)
		return false;
	if (c->needs_store &&
	    (m->is_store_unreachable ||
		!roster_member_is_alive(ro, m, c->now_us)))
		return false;
	return c->include_suspects ? roster_member_is_eligible(ro, m, c->now_us)
				   : roster_member_is_usable(ro, m, c->now_us);
}

static bool
is_self_candidate(const struct roster *ro, const struct candidates *c)
{
	return !ro->is_self_leaving &&
	    !(c->needs_store && ro->is_self_cut_off) &&
	    (c->data_center == NULL ||
		strcmp(c->data_center, ro->opt.self.data_center) == 0);
}

static void
for_each_candidate(
    const struct roster *ro, consider_fn fn, struct candidates *c)
{
	GHashTableIter it;
	void *val;

	if (is_self_candidate(ro, c))
		fn(c, &ro->opt.self);
	g_hash_table_iter_init(&it, ro->members);
	while (g_hash_table_iter_next(&it, NULL, &val))
		if (is_candidate(ro, c, val))
			fn(c, &((struct roster_member *)val)->row);
}

static const char *
elect(const struct roster *ro, struct candidates *c)
{
	for_each_candidate(ro, consider_capacity, c);
	for_each_candidate(ro, consider, c);
	return c->best;
}

static const char *
find_owner(const struct roster *ro, const char *key, const char *data_center,
    bool include_suspects, int64_t now_us)
{
	struct candidates near = {.key = key,
	    .data_center = data_center,
	    .include_suspects = include_suspects,
	    .now_us = now_us};
	struct candidates any = near;
	const char *owner = elect(ro, &near);

	any.data_center = NULL;
	if (owner == NULL && data_center != NULL)
		owner = elect(ro, &any);
	return owner != NULL ? owner : ro->opt.self.address;
}

const char *
roster_owner(const struct roster *ro, const char *key, const char *data_center,
    int64_t now_us)
{
	return find_owner(ro, key, data_center, false, now_us);
}

void
roster_set_store_status(struct roster *ro, bool is_store_unreachable)
{
	ro->is_self_cut_off = is_store_unreachable;
}

const char *
roster_owner_reaching_store(
    const struct roster *ro, const char *key, int64_t now_us)
{
	struct candidates c = {
	    .key = key, .needs_store = true, .now_us = now_us};
	const char *owner = elect(ro, &c);

	return owner != NULL ? owner : roster_owner(ro, key, NULL, now_us);
}

bool
roster_is_elected_owner(const struct roster *ro, const char *key,
    const char *data_center, int64_t now_us)
{
	return strcmp(find_owner(ro, key, data_center, true, now_us),
		   ro->opt.self.address) == 0;
}

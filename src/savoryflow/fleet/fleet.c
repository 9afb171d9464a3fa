/* The targets listed by the platform, with the versions of their rows. */
#include "savoryflow/fleet/fleet.h"

#include <string.h>

struct fleet {
	/** struct fleet_target by id. */
	GHashTable *targets;
	/** int64_t version of the removal by id; older rows are ignored. */
	GHashTable *removed;
	/** int64_t start of a target that said that it leaves, by id. */
	GHashTable *leaving;
};

struct fleet *
fleet_new(void)
{
	struct fleet *fl = g_new0(struct fleet, 1);

	fl->targets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	fl->removed =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fl->leaving =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return fl;
}

void
fleet_free(struct fleet *fl)
{
	g_hash_table_unref(fl->targets);
	g_hash_table_unref(fl->removed);
	g_hash_table_unref(fl->leaving);
	g_free(fl);
}

static bool
is_same(const struct fleet_target *a, const struct fleet_target *b)
{
	return strcmp(a->service, b->service) == 0 &&
	    strcmp(a->address, b->address) == 0 &&
	    strcmp(a->data_center, b->data_center) == 0 &&
	    a->slots == b->slots && a->is_draining == b->is_draining &&
	    a->started_ms == b->started_ms &&
	    a->expires_at_us == b->expires_at_us;
}

/* The row, with what the target said itself. */
static struct fleet_target
effective_row(struct fleet *fl, const struct fleet_target *t)
{
	const int64_t *leaving = g_hash_table_lookup(fl->leaving, t->id);
	struct fleet_target row = *t;

	if (leaving == NULL)
		return row;
	if (*leaving == t->started_ms)
		row.is_draining = true;
	else if (*leaving < t->started_ms)
		g_hash_table_remove(fl->leaving, t->id);
	return row;
}

static bool
apply_row(struct fleet *fl, const struct fleet_target *t)
{
	struct fleet_target *known = g_hash_table_lookup(fl->targets, t->id);
	const int64_t *removed = g_hash_table_lookup(fl->removed, t->id);
	bool changed;

	if (removed != NULL && *removed >= t->version)
		return false;
	if (known == NULL) {
		known = g_new0(struct fleet_target, 1);
		*known = *t;
		g_hash_table_insert(fl->targets, known->id, known);
		return true;
	}
	if (known->version > t->version)
		return false;
	changed = !is_same(known, t);
	*known = *t;
	return changed;
}

bool
fleet_apply(struct fleet *fl, const struct fleet_target *t)
{
	struct fleet_target row = effective_row(fl, t);

	return apply_row(fl, &row);
}

bool
fleet_record_leaving(struct fleet *fl, const char *id, int64_t started_ms)
{
	struct fleet_target *known = g_hash_table_lookup(fl->targets, id);
	int64_t *start;

	if (known == NULL || known->started_ms != started_ms)
		return false;
	start = g_new(int64_t, 1);
	*start = started_ms;
	g_hash_table_replace(fl->leaving, g_strdup(id), start);
	if (known->is_draining)
		return false;
	known->is_draining = true;
	return true;
}

bool
fleet_remove(
    struct fleet *fl, const char *id, int64_t version, int64_t expires_at_us)
{
	struct fleet_target *known = g_hash_table_lookup(fl->targets, id);
	int64_t *removed;

	if (known == NULL || known->version > version ||
	    known->expires_at_us != 0)
		return false;
	removed = g_new(int64_t, 1);
	*removed = version;
	g_hash_table_replace(fl->removed, g_strdup(id), removed);
	known->expires_at_us = expires_at_us;
	return true;
}

bool
fleet_replace(struct fleet *fl, const GArray *list, int64_t version,
    int64_t expires_at_us)
{
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *known = fleet_list(fl);
	bool changed = false;

	for (guint i = 0; i < list->len; i++) {
		struct fleet_target *t =
		    &g_array_index(list, struct fleet_target, i);

		g_hash_table_add(listed, t->id);
		changed = fleet_apply(fl, t) || changed;
	}
	for (guint i = 0; i < known->len; i++) {
		const struct fleet_target *t = known->pdata[i];

		if (!g_hash_table_contains(listed, t->id))
			changed =
			    fleet_remove(fl, t->id, version, expires_at_us) ||
			    changed;
	}
	g_ptr_array_unref(known);
	g_hash_table_unref(listed);
	return changed;
}

bool
fleet_tick(struct fleet *fl, int64_t now_us)
{
	bool changed = false;
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, fl->targets);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		const struct fleet_target *t = val;

		if (t->expires_at_us == 0 || t->expires_at_us > now_us)
			continue;
		g_hash_table_iter_remove(&it);
		changed = true;
	}
	return changed;
}

const struct fleet_target *
fleet_find(const struct fleet *fl, const char *id)
{
	return g_hash_table_lookup(fl->targets, id);
}

bool
fleet_is_empty(const struct fleet *fl)
{
	return g_hash_table_size(fl->targets) == 0;
}

GPtrArray *
fleet_list(const struct fleet *fl)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, fl->targets);
	while (g_hash_table_iter_next(&it, NULL, &val))
		g_ptr_array_add(list, val);
	return list;
}

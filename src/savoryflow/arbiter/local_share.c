/* This daemon's share of each target's slots while no arbiter answers. */
#include "savoryflow/arbiter/local_share.h"

struct local_share {
	/** Slots in use by this daemon, by target name. */
	GHashTable *used;
};

struct local_share *
local_share_new(void)
{
	struct local_share *ls = g_new0(struct local_share, 1);

	ls->used = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return ls;
}

void
local_share_free(struct local_share *ls)
{
	g_hash_table_unref(ls->used);
	g_free(ls);
}

static int32_t
used_get(struct local_share *ls, const char *target)
{
	return GPOINTER_TO_INT(g_hash_table_lookup(ls->used, target));
}

static void
used_set(struct local_share *ls, const char *target, int32_t n)
{
	if (n > 0)
		g_hash_table_replace(
		    ls->used, g_strdup(target), GINT_TO_POINTER(n));
	else
		g_hash_table_remove(ls->used, target);
}

bool
local_share_acquire(
    struct local_share *ls, const char *target, int32_t slots, int32_t daemons)
{
	int32_t share = MAX(slots / MAX(daemons, 1), 1);
	int32_t used = used_get(ls, target);

	if (used >= share)
		return false;
	used_set(ls, target, used + 1);
	return true;
}

void
local_share_release(struct local_share *ls, const char *target)
{
	used_set(ls, target, used_get(ls, target) - 1);
}

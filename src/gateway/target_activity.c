/* When each target last sent data. */
#include "gateway/target_activity.h"

#include <glib.h>

enum { kTargetsMax = 2000 };

struct target_activity {
	/** Time of the last data, int64_t, by target id. */
	GHashTable *last_data;
};

struct target_activity *
target_activity_new(void)
{
	struct target_activity *ta = g_new(struct target_activity, 1);

	ta->last_data =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return ta;
}

void
target_activity_free(struct target_activity *ta)
{
	g_hash_table_unref(ta->last_data);
	g_free(ta);
}

void
target_activity_record(
    struct target_activity *ta, const char *target, int64_t now_us)
{
	int64_t *at_us = g_hash_table_lookup(ta->last_data, target);

	if (at_us == NULL) {
		if (g_hash_table_size(ta->last_data) >= kTargetsMax)
			g_hash_table_remove_all(ta->last_data);
		at_us = g_new(int64_t, 1);
		g_hash_table_insert(ta->last_data, g_strdup(target), at_us);
	}
	*at_us = now_us;
}

int64_t
target_activity_last_us(const struct target_activity *ta, const char *target)
{
	const int64_t *at_us = g_hash_table_lookup(ta->last_data, target);

	return at_us != NULL ? *at_us : 0;
}

#ifndef SAVORYFLOW_U64_HASH_H
#define SAVORYFLOW_U64_HASH_H

#include <glib.h>

/** New hash table whose keys are uint64_t * pointing into the values. */
static inline GHashTable *
u64_hash_new(GDestroyNotify value_free)
{
	return g_hash_table_new_full(
	    g_int64_hash, g_int64_equal, NULL, value_free);
}

#endif

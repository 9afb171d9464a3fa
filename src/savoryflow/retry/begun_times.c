/* Two generations of times: the older one is dropped as the younger fills. */
#include "savoryflow/retry/begun_times.h"

#include <glib.h>

#include "savoryflow/arbiter/u64_hash.h"

enum {
	kKeysPerGeneration = 2048,
};

struct begun_time {
	uint64_t key;
	int64_t at_us;
};

struct begun_times {
	/** struct begun_time by key. */
	GHashTable *young;
	GHashTable *old;
};

struct begun_times *
begun_times_new(void)
{
	struct begun_times *bt = g_new(struct begun_times, 1);

	bt->young = u64_hash_new(g_free);
	bt->old = u64_hash_new(g_free);
	return bt;
}

void
begun_times_free(struct begun_times *bt)
{
	g_hash_table_unref(bt->young);
	g_hash_table_unref(bt->old);
	g_free(bt);
}

static struct begun_time *
find(const struct begun_times *bt, uint64_t key)
{
	struct begun_time *found = g_hash_table_lookup(bt->young, &key);

	return found != NULL ? found : g_hash_table_lookup(bt->old, &key);
}

void
begun_times_record(struct begun_times *bt, uint64_t key, int64_t at_us)
{
	struct begun_time *entry = g_hash_table_lookup(bt->young, &key);

	if (entry == NULL) {
		const struct begun_time *older =
		    g_hash_table_lookup(bt->old, &key);

		entry = g_new(struct begun_time, 1);
		entry->key = key;
		entry->at_us = older != NULL ? older->at_us : at_us;
		if (g_hash_table_size(bt->young) >= kKeysPerGeneration) {
			g_hash_table_unref(bt->old);
			bt->old = bt->young;
			bt->young = u64_hash_new(g_free);
		}
		g_hash_table_insert(bt->young, &entry->key, entry);
	}
	entry->at_us = MAX(entry->at_us, at_us);
}

int64_t
begun_times_get(const struct begun_times *bt, uint64_t key)
{
	const struct begun_time *entry = find(bt, key);

	return entry != NULL ? entry->at_us : INT64_MIN;
}

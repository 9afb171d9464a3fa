/* Bounded set of the fingerprints of requests that crash targets. */
#include "savoryflow/retry/quarantine.h"

#include <string.h>
#include <xxhash.h>

#include "savoryflow/arbiter/u64_hash.h"

struct quarantine {
	GHashTable *set;
	/** uint64_t *, oldest first; owned by set. */
	GQueue order;
	int32_t capacity;
};

struct quarantine *
quarantine_new(int32_t capacity)
{
	struct quarantine *set = g_new0(struct quarantine, 1);

	set->set = u64_hash_new(g_free);
	set->capacity = capacity;
	g_queue_init(&set->order);
	return set;
}

void
quarantine_free(struct quarantine *set)
{
	g_queue_clear(&set->order);
	g_hash_table_unref(set->set);
	g_free(set);
}

uint64_t
quarantine_fingerprint(const char *service, const char *body, size_t len)
{
	uint64_t seed = XXH3_64bits(service, strlen(service));

	return XXH3_64bits_withSeed(body, len, seed);
}

bool
quarantine_add(struct quarantine *set, uint64_t fingerprint)
{
	uint64_t *key;

	if (quarantine_has(set, fingerprint))
		return false;
	if ((int32_t)g_queue_get_length(&set->order) >= set->capacity)
		g_hash_table_remove(set->set, g_queue_pop_head(&set->order));
	key = g_new(uint64_t, 1);
	*key = fingerprint;
	g_hash_table_insert(set->set, key, key);
	g_queue_push_tail(&set->order, key);
	return true;
}

bool
quarantine_has(const struct quarantine *set, uint64_t fingerprint)
{
	return g_hash_table_contains(set->set, &fingerprint);
}

/* Requests suspected of crashing the targets that run them. */
#include "savoryflow/retry/suspects.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "os/clock.h"
#include "savoryflow/arbiter/u64_hash.h"

enum {
	/* A target that loses answers interrupts one run in some tens, so three
	 * interruptions of the same request are not a coincidence. */
	kQuarantineThreshold = 3,
	/* Covers a caller's retry within seconds and the seconds that a target
	 * needs to restart. */
	kSuspectExpiryUs = 60 * kUsPerS,
	kSuspectsMax = 10000,
};

struct suspect {
	uint64_t fingerprint;
	int32_t interruptions;
	int64_t last_us;
};

struct suspects {
	/** struct suspect by fingerprint. */
	GHashTable *all;
};

struct suspects *
suspects_new(void)
{
	struct suspects *sus = g_new(struct suspects, 1);

	sus->all = u64_hash_new(g_free);
	return sus;
}

void
suspects_free(struct suspects *sus)
{
	g_hash_table_unref(sus->all);
	g_free(sus);
}

uint64_t
suspects_fingerprint(const char *uri, const char *body, size_t len)
{
	uint64_t seed = XXH3_64bits(uri, strlen(uri));

	return XXH3_64bits_withSeed(body, len, seed);
}

static bool
is_expired(const struct suspect *entry, int64_t now_us)
{
	return now_us - entry->last_us > kSuspectExpiryUs;
}

static struct suspect *
suspect_get(struct suspects *sus, uint64_t fingerprint, int64_t now_us)
{
	struct suspect *entry = g_hash_table_lookup(sus->all, &fingerprint);

	if (entry == NULL) {
		if (g_hash_table_size(sus->all) >= kSuspectsMax)
			g_hash_table_remove_all(sus->all);
		entry = g_new0(struct suspect, 1);
		entry->fingerprint = fingerprint;
		g_hash_table_insert(sus->all, &entry->fingerprint, entry);
	}
	if (is_expired(entry, now_us))
		entry->interruptions = 0;
	return entry;
}

void
suspects_quarantine(struct suspects *sus, uint64_t fingerprint, int64_t now_us)
{
	struct suspect *entry = suspect_get(sus, fingerprint, now_us);

	entry->interruptions = MAX(entry->interruptions, kQuarantineThreshold);
	entry->last_us = now_us;
}

bool
suspects_record_interrupted(
    struct suspects *sus, uint64_t fingerprint, int64_t now_us)
{
	struct suspect *entry = suspect_get(sus, fingerprint, now_us);

	entry->interruptions++;
	entry->last_us = now_us;
	return entry->interruptions == kQuarantineThreshold;
}

void
suspects_record_progress(struct suspects *sus, uint64_t fingerprint)
{
	g_hash_table_remove(sus->all, &fingerprint);
}

bool
suspects_is_quarantined(
    const struct suspects *sus, uint64_t fingerprint, int64_t now_us)
{
	const struct suspect *entry =
	    g_hash_table_lookup(sus->all, &fingerprint);

	return entry != NULL && entry->interruptions >= kQuarantineThreshold &&
	    !is_expired(entry, now_us);
}

void
suspects_tick(struct suspects *sus, int64_t now_us)
{
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, sus->all);
	while (g_hash_table_iter_next(&it, NULL, &val))
		if (is_expired(val, now_us))
			g_hash_table_iter_remove(&it);
}

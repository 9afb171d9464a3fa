/* One target of a pool: what is in use, and how well it suits a request. */
#include "savoryflow/slotpool/slot_target.h"

#include "savoryflow/arbiter/u64_hash.h"

enum {
	/* Prefixes that a target is thought to keep. */
	kPrefixesMax = 512,
};

struct slot_target *
slot_target_new(const struct fleet_target *info)
{
	struct slot_target *t = g_new0(struct slot_target, 1);

	t->prefixes = u64_hash_new(g_free);
	t->info = *info;
	return t;
}

void
slot_target_free(void *p)
{
	struct slot_target *t = p;

	g_hash_table_unref(t->prefixes);
	g_free(t);
}

void
slot_target_update(struct slot_target *t, const struct fleet_target *info)
{
	if (t->info.born_ms != info->born_ms) {
		target_health_reset(&t->health);
		g_hash_table_remove_all(t->prefixes);
	}
	t->info = *info;
}

static int32_t
used(const struct slot_target *t)
{
	return t->online + t->batch + t->revoked;
}

static bool
is_listed(const struct slot_target *t)
{
	return !t->info.is_draining && t->info.gone_at_us == 0;
}

bool
slot_target_takes_work(
    const struct slot_target *t, bool ignore_health, int64_t now_us)
{
	return is_listed(t) &&
	    (ignore_health || target_health_takes(&t->health, now_us));
}

void
slot_target_note_prefix(struct slot_target *t, uint64_t prefix)
{
	uint64_t *key;

	if (prefix == 0 || g_hash_table_contains(t->prefixes, &prefix))
		return;
	if (g_hash_table_size(t->prefixes) >= kPrefixesMax)
		g_hash_table_remove_all(t->prefixes);
	key = g_new(uint64_t, 1);
	*key = prefix;
	g_hash_table_add(t->prefixes, key);
	/* The table owns the key. */
	// cppcheck-suppress memleak
}

/*
 * Of two targets with room: the less used one, by share of its slots; a kept
 * prefix makes up for one slot.
 */
int64_t
slot_target_cost(const struct slot_target *t, const struct slotpool_ask *ask)
{
	int64_t scaled = 1000 * (int64_t)used(t) / MAX(t->info.slots, 1);

	if (ask->prefix != 0 &&
	    g_hash_table_contains(t->prefixes, &ask->prefix))
		scaled -= 1000 / MAX(t->info.slots, 1);
	return scaled + target_health_penalty(&t->health);
}

bool
slot_target_has_free(const struct slot_target *t)
{
	return used(t) < t->info.slots;
}

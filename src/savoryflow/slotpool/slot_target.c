/* One target of a pool: slots in use, and how well it suits a request. */
#include "savoryflow/slotpool/slot_target.h"

#include <string.h>
#include <xxhash.h>

#include "os/clock.h"
#include "savoryflow/arbiter/u64_hash.h"

enum {
	/* Prefixes that a target is assumed to have cached. */
	kCachedPrefixesMax = 512,
	/* A target that served another daemon within this time is alive: under
	 * load it serves a request every 100 ms. */
	kAliveUs = 400 * kUsPerMs,
	/* First period without requests from a daemon that does not reach the
	 * target; doubled for each consecutive one. */
	kBlockMinUs = kUsPerS,
	kBlockDoublingsMax = 2,
	/* Cost of a target that names a rate: others are preferred until they
	 * have this share of their slots, in thousandths, more in use. */
	kLimitedCost = 500,
	/* Shared tokens of a prompt whose daemon does not count them. */
	kPrefixTokens = 450,
	/* Thousandths of a slot: a target that keeps all shared parts is chosen
	 * though it has this much more in use than another one. */
	kKeptSaving = 4000,
	/* Thousandths of a slot that the usual time between events is worth. */
	kSpeedWeight = 1000,
};

/** Outcomes of one daemon's requests to the target. */
struct slot_path {
	int64_t last_served_us;
	int64_t blocked_until_us;
	int32_t blocks;
};

struct slot_target *
slot_target_new(const struct fleet_target *info)
{
	struct slot_target *t = g_new0(struct slot_target, 1);

	t->prefixes = u64_hash_new(g_free);
	t->kept = kept_parts_new();
	t->paths =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	t->info = *info;
	return t;
}

void
slot_target_free(void *p)
{
	struct slot_target *t = p;

	g_hash_table_unref(t->paths);
	g_hash_table_unref(t->prefixes);
	kept_parts_free(t->kept);
	g_free(t);
}

void
slot_target_update(struct slot_target *t, const struct fleet_target *info)
{
	if (t->info.started_ms != info->started_ms) {
		target_health_reset(&t->health);
		t->rate = (struct start_rate){0};
		t->is_rate_known = false;
		g_hash_table_remove_all(t->prefixes);
		kept_parts_clear(t->kept);
		t->pace = (struct target_pace){0};
		g_hash_table_remove_all(t->paths);
	}
	t->info = *info;
}

static int32_t
slots_used(const struct slot_target *t)
{
	return t->online + t->batch + t->revoked;
}

static bool
is_available(const struct slot_target *t)
{
	return !t->info.is_draining && t->info.expires_at_us == 0;
}

bool
slot_target_accepts_work(
    const struct slot_target *t, bool ignore_health, int64_t now_us)
{
	return is_available(t) &&
	    (ignore_health || target_health_accepts_work(&t->health, now_us));
}

bool
slot_target_is_reachable_from(
    const struct slot_target *t, uint32_t holder, int64_t now_us)
{
	const struct slot_path *path =
	    g_hash_table_lookup(t->paths, GUINT_TO_POINTER(holder));

	return path == NULL || path->blocked_until_us <= now_us;
}

void
slot_targets_count_reachable(GHashTable *targets, uint32_t holder,
    const char *excluded, int64_t now_us, int32_t *all, int32_t *reached)
{
	GHashTableIter it;
	void *val;

	*all = 0;
	*reached = 0;
	g_hash_table_iter_init(&it, targets);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		const struct slot_target *t = val;

		if (!slot_target_accepts_work(t, false, now_us) ||
		    strcmp(t->info.id, excluded) == 0)
			continue;
		*all += 1;
		*reached += slot_target_is_reachable_from(t, holder, now_us);
	}
}

bool
slot_targets_has_other(GHashTable *targets, const char *excluded)
{
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, targets);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		const struct slot_target *t = val;

		if (is_available(t) && strcmp(t->info.id, excluded) != 0)
			return true;
	}
	return false;
}

static struct slot_path *
path_get(struct slot_target *t, uint32_t holder)
{
	void *key = GUINT_TO_POINTER(holder);
	struct slot_path *path = g_hash_table_lookup(t->paths, key);

	if (path == NULL) {
		path = g_new0(struct slot_path, 1);
		g_hash_table_insert(t->paths, key, path);
	}
	return path;
}

static bool
is_reached_by_others(
    const struct slot_target *t, const struct slot_path *own, int64_t now_us)
{
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, t->paths);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		const struct slot_path *path = val;

		if (path != own && path->last_served_us != 0 &&
		    now_us - path->last_served_us < kAliveUs)
			return true;
	}
	return false;
}

static void
path_block(struct slot_path *path, int64_t now_us)
{
	/* Failures of requests sent before the block are no new evidence. */
	if (path->blocked_until_us > now_us)
		return;
	path->blocked_until_us = now_us +
	    ((int64_t)kBlockMinUs << MIN(path->blocks, kBlockDoublingsMax));
	path->blocks++;
}

void
slot_target_record_outcome(struct slot_target *t, uint32_t holder,
    enum slot_outcome outcome, int64_t now_us)
{
	struct slot_path *path = path_get(t, holder);

	if (outcome == kSlotServed) {
		/* 0 means never. */
		*path = (struct slot_path){.last_served_us = MAX(now_us, 1)};
	} else if ((outcome == kSlotUnreachable ||
		       outcome == kSlotUnresponsive) &&
	    is_reached_by_others(t, path, now_us)) {
		path_block(path, now_us);
		outcome = kSlotNeutral;
	}
	target_health_record_outcome(&t->health, outcome, now_us);
}

void
slot_target_record_prefix(struct slot_target *t, uint64_t prefix)
{
	uint64_t *key;

	if (prefix == 0 || g_hash_table_contains(t->prefixes, &prefix))
		return;
	if (g_hash_table_size(t->prefixes) >= kCachedPrefixesMax)
		g_hash_table_remove_all(t->prefixes);
	key = g_new(uint64_t, 1);
	*key = prefix;
	g_hash_table_add(t->prefixes, key);
	/* The table owns the key. */
	// cppcheck-suppress memleak
}

/* Daemons that do not tell the parts apart send one key for all. */
static struct slot_parts
parts_of(const struct slot_request *req)
{
	struct slot_parts one = {
	    .count = req->prefix != 0,
	    .keys = {req->prefix},
	    .tokens = {kPrefixTokens},
	};

	return req->parts.count > 0 ? req->parts : one;
}

void
slot_target_record_prompt(struct slot_target *t, const struct slot_request *req)
{
	struct slot_parts parts = parts_of(req);

	kept_parts_record(t->kept, &parts, slots_used(t));
}

/*
 * Prefers the target with the lower share of slots in use; a cached prefix
 * offsets one slot.
 */
int64_t
slot_target_cost(
    const struct slot_target *t, const struct slot_request *req, int64_t now_us)
{
	int64_t scaled = 1000 * (int64_t)slots_used(t) / MAX(t->info.slots, 1);

	if (req->prefix != 0 &&
	    g_hash_table_contains(t->prefixes, &req->prefix))
		scaled -= 1000 / MAX(t->info.slots, 1);
	if (start_rate_is_fresh(&t->rate, now_us))
		scaled += kLimitedCost;
	return scaled + target_health_penalty(&t->health);
}

/* What the kept parts of a prompt save, in thousandths of a slot. */
static int64_t
kept_saving(const struct slot_target *t, const struct slot_request *req)
{
	struct slot_parts parts = parts_of(req);
	int64_t kept = kept_parts_find(t->kept, &parts);
	int64_t all = 0;

	for (int32_t i = 0; i < parts.count; i++)
		all += parts.tokens[i];
	return all > 0 ? kKeptSaving * kept / all : 0;
}

int64_t
slot_target_first_event_cost(const struct slot_target *t,
    const struct slot_request *req, int64_t usual_us, int64_t now_us)
{
	int64_t slots = MAX(t->info.slots, 1);
	int64_t factor = target_pace_factor(&t->pace, usual_us, now_us);
	int64_t speed = (factor - kPaceUsual) * kSpeedWeight / kPaceUsual;
	int64_t cost = 1000 * (int64_t)slots_used(t) / slots;

	/* Items leave the free slots of fast targets to online requests. */
	cost += (req->is_batch ? -speed : speed) / slots;
	cost -= kept_saving(t, req) / slots;
	if (start_rate_is_fresh(&t->rate, now_us))
		cost += kLimitedCost;
	return cost + target_health_penalty(&t->health);
}

uint64_t
slot_target_rank(const struct slot_target *t, uint32_t holder)
{
	return XXH3_64bits_withSeed(t->info.id, strlen(t->info.id), holder);
}

bool
slot_target_has_free_slot(const struct slot_target *t)
{
	return slots_used(t) < t->info.slots;
}

/* Which request gets a slot of a pool, and on which target. */
#include "savoryflow/slotpool/slotpool.h"

#include <string.h>

#include "os/clock.h"
#include "savoryflow/arbiter/u64_hash.h"
#include "savoryflow/slotpool/batch_rank.h"
#include "savoryflow/slotpool/slot_queue.h"
#include "savoryflow/slotpool/slot_target.h"

enum {
	/* Mean use of a slot until it is measured. */
	kHoldDefaultUs = 500 * kUsPerMs,
	/* Weight of one use in the mean: 1 in 16. */
	kHoldShift = 4,
	/* Slots that batch leaves free, one for each so many: arrivals during
	 * the few ms that a revoked run takes to leave find one. */
	kSlotsPerReserved = 24,
	/* Queued requests that are passed over if their daemons do not reach
	 * what is free. */
	kLookPastMax = 16,
	/* A holder that lives renews its slots more often than this. */
	kLeaseUs = 4 * kUsPerS,
	/* A holder that lives ends a revoked run within some ms. */
	kRevokedLeaseUs = kUsPerS,
	/* Those who are turned away come back when there is likely to be room:
	 * a rush that has lasted for some time lasts as long again. Callers
	 * wait for a third of their time at most, some 1.6 s. */
	kRetryAfterLeastUs = 250 * kUsPerMs,
	kRetryAfterMostUs = 1100 * kUsPerMs,
	kNoTargetRetryUs = 500 * kUsPerMs,
	/* A caller that has waited gets a late answer rather than none for so
	 * long; callers leave a stream that stands still for 2 s. */
	kLateUs = 1200 * kUsPerMs,
};

struct slot {
	struct slot_request ask;
	char target[kFleetNameMax];
	int64_t since_us;
	bool is_revoked;
	int64_t expires_us;
};

struct slotpool {
	/** struct slot_target by id. */
	GHashTable *targets;
	/** struct slot by id. */
	GHashTable *slots;
	struct slot_queue *queue;
	int64_t hold_us;
	/** No online request could start at once, and since when. */
	bool is_full;
	int64_t full_since_us;
	bool refuses_batch;
};

struct slotpool *
slotpool_new(void)
{
	struct slotpool *sp = g_new0(struct slotpool, 1);

	sp->targets = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, slot_target_free);
	sp->slots = u64_hash_new(g_free);
	sp->queue = slot_queue_new();
	sp->hold_us = kHoldDefaultUs;
	return sp;
}

void
slotpool_free(struct slotpool *sp)
{
	slot_queue_free(sp->queue);
	g_hash_table_unref(sp->slots);
	g_hash_table_unref(sp->targets);
	g_free(sp);
}

GArray *
slotpool_actions_new(void)
{
	return g_array_new(FALSE, TRUE, sizeof(struct slotpool_action));
}

static void
emit(GArray *out, enum slotpool_verdict verdict, const struct slot_request *ask,
    const char *target, int64_t retry_after_us)
{
	struct slotpool_action act = {
	    .verdict = verdict,
	    .holder = ask->holder,
	    .id = ask->id,
	    .retry_after_us = retry_after_us,
	};

	g_strlcpy(act.target, target != NULL ? target : "", sizeof(act.target));
	g_array_append_val(out, act);
}

struct slotpool_load
slotpool_load_get(const struct slotpool *sp, int64_t now_us)
{
	struct slotpool_load load = {
	    .online_queued = slot_queue_len(sp->queue, false),
	    .batch_queued = slot_queue_len(sp->queue, true),
	    .hold_us = sp->hold_us,
	};
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, sp->targets);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		const struct slot_target *t = val;

		if (!slot_target_accepts_work(t, false, now_us))
			continue;
		load.slots += t->info.slots;
		load.online += t->online;
		load.batch += t->batch + t->revoked;
	}
	return load;
}

int64_t
slotpool_wait_us(const struct slotpool_load *load)
{
	if (load->slots == 0)
		return kNoTargetRetryUs;
	if (load->online < load->slots && load->online_queued == 0)
		return 0;
	return (load->online_queued + 1) * load->hold_us / load->slots;
}

static void
slot_count(struct slot_target *t, const struct slot *sl, int32_t sign)
{
	if (!sl->ask.is_batch)
		t->online += sign;
	else if (sl->is_revoked)
		t->revoked += sign;
	else
		t->batch += sign;
}

static void
slot_add(struct slotpool *sp, struct slot_target *t,
    const struct slot_request *ask, int64_t now_us)
{
	struct slot *sl = g_new0(struct slot, 1);

	sl->ask = *ask;
	sl->since_us = now_us;
	sl->expires_us = now_us + kLeaseUs;
	g_strlcpy(sl->target, t->info.id, sizeof(sl->target));
	g_hash_table_insert(sp->slots, &sl->ask.id, sl);
	slot_count(t, sl, 1);
	slot_target_record_prefix(t, ask->prefix);
	target_health_record_start(&t->health);
}

static void
slot_remove(struct slotpool *sp, struct slot *sl)
{
	struct slot_target *t = g_hash_table_lookup(sp->targets, sl->target);

	if (t != NULL)
		slot_count(t, sl, -1);
	g_hash_table_remove(sp->slots, &sl->ask.id);
}

static void
grant(struct slotpool *sp, struct slot_target *t,
    const struct slot_request *ask, int64_t now_us, GArray *out)
{
	slot_add(sp, t, ask, now_us);
	emit(out, kSlotGranted, ask, t->info.id, 0);
}

static bool
may_run_at(
    const struct slot_target *t, const struct slot_request *ask, int64_t now_us)
{
	return slot_target_accepts_work(t, ask->is_last_resort, now_us) &&
	    (ask->is_last_resort ||
		slot_target_is_reachable_from(t, ask->holder, now_us)) &&
	    strcmp(t->info.id, ask->excluded_target) != 0;
}

static struct slot_target *
choose_free(struct slotpool *sp, const struct slot_request *ask, int64_t now_us)
{
	struct slot_target *best = NULL;
	int64_t best_cost = 0;
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, sp->targets);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct slot_target *t = val;
		int64_t cost;

		if (!may_run_at(t, ask, now_us) ||
		    !slot_target_has_free_slot(t))
			continue;
		cost = slot_target_cost(t, ask);
		if (best == NULL || cost < best_cost) {
			best = t;
			best_cost = cost;
		}
	}
	return best;
}

/* The batch slot that is worth the least, where the request may run. */
static struct slot *
find_expendable(
    struct slotpool *sp, const struct slot_request *ask, int64_t now_us)
{
	struct slot_request last;
	struct slot *found = NULL;
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, sp->slots);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct slot *sl = val;
		const struct slot_target *t;
		struct slot_request item;

		if (!sl->ask.is_batch || sl->is_revoked)
			continue;
		item = batch_rank_remaining(&sl->ask, sl->since_us, now_us);
		if (found != NULL && batch_rank_compare(&item, &last, NULL) < 0)
			continue;
		t = g_hash_table_lookup(sp->targets, sl->target);
		if (!may_run_at(t, ask, now_us))
			continue;
		found = sl;
		last = item;
	}
	return found;
}

static void
take_back(struct slotpool *sp, struct slot *sl, int64_t now_us, GArray *out)
{
	struct slot_target *t = g_hash_table_lookup(sp->targets, sl->target);

	slot_count(t, sl, -1);
	sl->is_revoked = true;
	sl->expires_us = now_us + kRevokedLeaseUs;
	slot_count(t, sl, 1);
	emit(out, kSlotRevoked, &sl->ask, sl->target, 0);
}

static bool
reaches_all(
    const struct slotpool *sp, const struct slot_request *ask, int64_t now_us)
{
	int32_t targets;
	int32_t reached;

	slot_targets_count_reachable(
	    sp->targets, ask->holder, now_us, &targets, &reached);
	return reached == targets;
}

static void
note_full(struct slotpool *sp, const struct slot_request *ask, int64_t now_us)
{
	if (sp->is_full || !reaches_all(sp, ask, now_us))
		return;
	sp->full_since_us = now_us;
	sp->is_full = true;
}

static bool
start_online(struct slotpool *sp, const struct slot_request *ask,
    int64_t now_us, GArray *out)
{
	struct slot_target *t = choose_free(sp, ask, now_us);

	if (t == NULL) {
		struct slot *sl = find_expendable(sp, ask, now_us);

		if (sl == NULL) {
			note_full(sp, ask, now_us);
			return false;
		}
		t = g_hash_table_lookup(sp->targets, sl->target);
		take_back(sp, sl, now_us, out);
	}
	if (slot_queue_len(sp->queue, false) == 0)
		sp->is_full = false;
	grant(sp, t, ask, now_us, out);
	return true;
}

/* Whoever does not reach all targets holds up none that does. */
static void
start_queued_online(struct slotpool *sp, int64_t now_us, GArray *out)
{
	struct slot_request ask;
	int32_t place = 0;

	while (place < kLookPastMax &&
	    slot_queue_at(sp->queue, false, place, &ask)) {
		if (start_online(sp, &ask, now_us, out))
			slot_queue_remove(sp->queue, ask.id);
		else if (reaches_all(sp, &ask, now_us))
			return;
		else
			place++;
	}
}

static void
start_queued_batch(struct slotpool *sp, int64_t now_us, GArray *out)
{
	struct slotpool_load load = slotpool_load_get(sp, now_us);
	int32_t reserve = load.slots / kSlotsPerReserved;
	struct slot_request ask;
	int32_t place = 0;

	while (!sp->refuses_batch && load.online_queued == 0 &&
	    place < kLookPastMax &&
	    slot_queue_at(sp->queue, true, place, &ask) &&
	    load.online + load.batch + reserve < load.slots) {
		struct slot_target *t = choose_free(sp, &ask, now_us);

		if (t == NULL && reaches_all(sp, &ask, now_us))
			return;
		if (t == NULL) {
			place++;
			continue;
		}
		grant(sp, t, &ask, now_us, out);
		slot_queue_remove(sp->queue, ask.id);
		load.batch++;
	}
}

static void
schedule(struct slotpool *sp, int64_t now_us, GArray *out)
{
	start_queued_online(sp, now_us, out);
	start_queued_batch(sp, now_us, out);
}

/* Spread over half as much again, so that not all come back at once. */
static int64_t
retry_after_us(const struct slotpool *sp, const struct slot_request *ask,
    const struct slotpool_load *load, int64_t now_us)
{
	int64_t rush_us = sp->is_full ? now_us - sp->full_since_us : 0;
	int64_t base_us = CLAMP(MAX(rush_us, slotpool_wait_us(load)),
	    kRetryAfterLeastUs, kRetryAfterMostUs);

	return base_us + base_us / 2 * (int64_t)(ask->id % 256) / 256;
}

static void
refuse(struct slotpool *sp, const struct slot_request *ask, int64_t now_us,
    GArray *out)
{
	struct slotpool_load load = slotpool_load_get(sp, now_us);

	int32_t targets;
	int32_t reached;

	slot_targets_count_reachable(
	    sp->targets, ask->holder, now_us, &targets, &reached);
	emit(out, kSlotRefused, ask, NULL,
	    retry_after_us(sp, ask, &load, now_us));
	g_array_index(out, struct slotpool_action, out->len - 1)
	    .has_no_healthy_target = reached == 0;
}

static void
request_online(struct slotpool *sp, const struct slot_request *ask,
    int64_t now_us, GArray *out)
{
	struct slotpool_load load;
	int32_t targets;
	int32_t reached;

	if (slot_queue_len(sp->queue, false) == 0 &&
	    start_online(sp, ask, now_us, out))
		return;
	load = slotpool_load_get(sp, now_us);
	slot_targets_count_reachable(
	    sp->targets, ask->holder, now_us, &targets, &reached);
	if (reached == 0 ||
	    now_us + slotpool_wait_us(&load) > ask->deadline_us) {
		refuse(sp, ask, now_us, out);
		return;
	}
	slot_queue_add(sp->queue, ask);
	start_queued_online(sp, now_us, out);
}

static void
enqueue_batch(
    struct slotpool *sp, const struct slot_request *ask, int64_t now_us)
{
	struct slot_request item = *ask;

	item.is_late = batch_rank_is_late(&item, now_us);
	slot_queue_add(sp->queue, &item);
}

void
slotpool_request(struct slotpool *sp, const struct slot_request *ask,
    int64_t now_us, GArray *out)
{
	const struct slot *sl = g_hash_table_lookup(sp->slots, &ask->id);

	/* Asked again: the answer may have been lost. */
	if (sl != NULL) {
		emit(out, kSlotGranted, ask, sl->target, 0);
		return;
	}
	if (slot_queue_has(sp->queue, ask->id))
		return;
	if (!ask->is_batch) {
		request_online(sp, ask, now_us, out);
		return;
	}
	enqueue_batch(sp, ask, now_us);
	start_queued_batch(sp, now_us, out);
}

void
slotpool_adopt(struct slotpool *sp, const struct slot_request *ask,
    const char *target, int64_t now_us)
{
	struct slot_target *t = g_hash_table_lookup(sp->targets, target);
	struct slot *sl = g_hash_table_lookup(sp->slots, &ask->id);

	slot_queue_remove(sp->queue, ask->id);
	if (sl != NULL && strcmp(sl->target, target) != 0) {
		slot_remove(sp, sl);
		sl = NULL;
	}
	if (sl == NULL && t != NULL)
		slot_add(sp, t, ask, now_us);
	else if (sl != NULL && !sl->is_revoked)
		sl->expires_us = now_us + kLeaseUs;
}

static void
note_hold(struct slotpool *sp, const struct slot *sl, int64_t now_us)
{
	sp->hold_us += (now_us - sl->since_us - sp->hold_us) >> kHoldShift;
}

void
slotpool_release(struct slotpool *sp, uint64_t id, enum slot_outcome outcome,
    int64_t now_us, GArray *out)
{
	struct slot *sl = g_hash_table_lookup(sp->slots, &id);
	struct slot_target *t;

	if (sl == NULL) {
		slot_queue_remove(sp->queue, id);
		return;
	}
	if (outcome == kSlotServed && !sl->ask.is_batch)
		note_hold(sp, sl, now_us);
	t = g_hash_table_lookup(sp->targets, sl->target);
	if (t != NULL)
		slot_target_record_outcome(t, sl->ask.holder, outcome, now_us);
	slot_remove(sp, sl);
	schedule(sp, now_us, out);
}

typedef bool (*slot_test_fn)(const struct slot *sl, const void *arg);

static void
remove_slots_if(struct slotpool *sp, slot_test_fn gone, const void *arg)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, sp->slots);
	while (g_hash_table_iter_next(&it, NULL, &val))
		if (gone(val, arg))
			g_ptr_array_add(list, val);
	for (guint i = 0; i < list->len; i++)
		slot_remove(sp, list->pdata[i]);
	g_ptr_array_unref(list);
}

static bool
is_held_by(const struct slot *sl, const void *holder)
{
	return sl->ask.holder == *(const uint32_t *)holder;
}

void
slotpool_remove_holder(
    struct slotpool *sp, uint32_t holder, int64_t now_us, GArray *out)
{
	remove_slots_if(sp, is_held_by, &holder);
	slot_queue_remove_holder(sp->queue, holder);
	schedule(sp, now_us, out);
}

static bool
is_expired(const struct slot *sl, const void *now_us)
{
	return sl->expires_us <= *(const int64_t *)now_us;
}

/*
 * What was queued and is late now lets those pass that can still be in time.
 */
static void
put_back_late_online(struct slotpool *sp, int64_t now_us, GArray *out)
{
	struct slot_request ask;

	while (slot_queue_at(sp->queue, false, 0, &ask) &&
	    ask.deadline_us <= now_us) {
		slot_queue_remove(sp->queue, ask.id);
		if (ask.is_late) {
			refuse(sp, &ask, now_us, out);
			continue;
		}
		ask.is_late = true;
		ask.deadline_us = now_us + kLateUs;
		slot_queue_add(sp->queue, &ask);
	}
}

void
slotpool_allow_batch(struct slotpool *sp, bool is_allowed)
{
	sp->refuses_batch = !is_allowed;
}

void
slotpool_tick(struct slotpool *sp, int64_t now_us, GArray *out)
{
	remove_slots_if(sp, is_expired, &now_us);
	put_back_late_online(sp, now_us, out);
	slot_queue_demote_late_batch(sp->queue, now_us);
	schedule(sp, now_us, out);
}

static void
take_target(struct slotpool *sp, const struct fleet_target *info)
{
	struct slot_target *t = g_hash_table_lookup(sp->targets, info->id);

	if (t == NULL) {
		t = slot_target_new(info);
		g_hash_table_insert(sp->targets, t->info.id, t);
	}
	slot_target_update(t, info);
	t->is_listed = true;
}

static bool
is_on_lost_target(const struct slot *sl, const void *arg)
{
	const struct slotpool *sp = arg;
	const struct slot_target *t =
	    g_hash_table_lookup(sp->targets, sl->target);

	return t == NULL || !t->is_listed;
}

static gboolean
is_unlisted(void *key, void *val, void *ctx)
{
	return !((struct slot_target *)val)->is_listed;
}

void
slotpool_set_targets(
    struct slotpool *sp, const GPtrArray *targets, int64_t now_us, GArray *out)
{
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, sp->targets);
	while (g_hash_table_iter_next(&it, NULL, &val))
		((struct slot_target *)val)->is_listed = false;
	for (guint i = 0; i < targets->len; i++)
		take_target(sp, targets->pdata[i]);
	remove_slots_if(sp, is_on_lost_target, sp);
	g_hash_table_foreach_remove(sp->targets, is_unlisted, NULL);
	schedule(sp, now_us, out);
}

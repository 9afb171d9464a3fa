/* Decides which request gets a slot of a pool, and on which target. */
#include <string.h>

#include "os/clock.h"
#include "os/text_copy.h"
#include "savoryflow/arbiter/u64_hash.h"
#include "savoryflow/slotpool/batch_rank.h"
#include "savoryflow/slotpool/slotpool_internal.h"

enum {
	/* Mean time that a slot is held, until it is measured. */
	kHoldDefaultUs = 500 * kUsPerMs,
	/* Weight of one sample in the mean: 1/16. */
	kHoldShift = 4,
	/* Batch leaves one of this many slots free, for online arrivals during
	 * the few ms that a revoked run takes to end. */
	kSlotsPerReserved = 24,
	/* A live holder renews its slots more often than this. */
	kLeaseUs = 4 * kUsPerS,
	/* A live holder ends a revoked run within a few ms. */
	kRevokedLeaseUs = kUsPerS,
	/* An overdue request may start this late, as a late answer is better
	 * than none; callers abandon a stream that stalls for 2 s. */
	kLateStartUs = 1200 * kUsPerMs,
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
add_action(GArray *out, enum slotpool_verdict verdict,
    const struct slot_request *req, const char *target, int64_t retry_after_us)
{
	struct slotpool_action act = {
	    .verdict = verdict,
	    .holder = req->holder,
	    .id = req->id,
	    .retry_after_us = retry_after_us,
	};

	text_copy_or_none(act.target, sizeof(act.target), target);
	g_array_append_val(out, act);
}

static void
add_grant(
    GArray *out, const struct slot_request *req, const struct slot_target *t)
{
	add_action(out, kSlotGranted, req, t->info.id, 0);
	g_array_index(out, struct slotpool_action, out->len - 1)
	    .is_rate_limited = t->rate.is_limited;
}

static void
count_slot(struct slot_target *t, const struct slot *sl, int32_t sign)
{
	if (!sl->req.is_batch)
		t->online += sign;
	else if (sl->is_revoked)
		t->revoked += sign;
	else
		t->batch += sign;
}

static struct slot *
slot_add(struct slotpool *sp, struct slot_target *t,
    const struct slot_request *req, int64_t now_us)
{
	struct slot *sl = g_new0(struct slot, 1);

	sl->req = *req;
	sl->since_us = now_us;
	sl->expires_us = now_us + kLeaseUs;
	TEXT_ASSIGN(sl->target, t->info.id);
	g_hash_table_insert(sp->slots, &sl->req.id, sl);
	count_slot(t, sl, 1);
	if (sp->choice == kSlotChoiceShare)
		slot_target_record_prefix(t, req->prefix);
	else
		slot_target_record_prompt(t, req);
	target_health_record_start(&t->health);
	return sl;
}

static void
slot_remove(struct slotpool *sp, struct slot *sl)
{
	struct slot_target *t = g_hash_table_lookup(sp->targets, sl->target);

	if (t != NULL)
		count_slot(t, sl, -1);
	g_hash_table_remove(sp->slots, &sl->req.id);
}

static void
grant(struct slotpool *sp, struct slot_target *t,
    const struct slot_request *req, int64_t now_us, GArray *out)
{
	struct slot *sl = slot_add(sp, t, req, now_us);

	if (req->is_batch) {
		t->starts.items++;
	} else {
		t->starts.online++;
		sl->charged_us = slot_queue_charge(sp->queue, req, sp->hold_us);
	}
	start_rate_record(&t->rate, now_us);
	add_grant(out, req, t);
}

/* Lowest-ranked batch slot on a target where the request may run. */
static struct slot *
find_preemptible(
    struct slotpool *sp, const struct slot_request *req, int64_t now_us)
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

		if (!sl->req.is_batch || sl->is_revoked)
			continue;
		item = batch_rank_remaining(&sl->req, sl->since_us, now_us);
		if (found != NULL && batch_rank_compare(&item, &last, NULL) < 0)
			continue;
		t = g_hash_table_lookup(sp->targets, sl->target);
		if (!slotpool_may_run_on(t, req, now_us) ||
		    !slotpool_has_start(sp, t, req, now_us))
			continue;
		found = sl;
		last = item;
	}
	return found;
}

static void
revoke_slot(struct slotpool *sp, struct slot *sl, int64_t now_us, GArray *out)
{
	struct slot_target *t = g_hash_table_lookup(sp->targets, sl->target);

	t->starts.preemptions++;
	count_slot(t, sl, -1);
	sl->is_revoked = true;
	sl->expires_us = now_us + kRevokedLeaseUs;
	count_slot(t, sl, 1);
	add_action(out, kSlotRevoked, &sl->req, sl->target, 0);
}

/* Whether the request may run on every target that accepts work. */
static bool
may_run_on_all(
    const struct slotpool *sp, const struct slot_request *req, int64_t now_us)
{
	int32_t targets;
	int32_t reached;

	if (req->excluded_target[0] != '\0')
		return false;
	slot_targets_count_reachable(
	    sp->targets, req->holder, "", now_us, &targets, &reached);
	return reached == targets;
}

static void
record_full(struct slotpool *sp, const struct slot_request *req, int64_t now_us)
{
	if (sp->is_full || !may_run_on_all(sp, req, now_us))
		return;
	sp->full_since_us = now_us;
	sp->is_full = true;
}

static bool
start_online(struct slotpool *sp, const struct slot_request *req,
    int64_t now_us, GArray *out)
{
	struct slot_target *t = slotpool_choose_free(sp, req, now_us);

	if (t == NULL) {
		struct slot *sl = find_preemptible(sp, req, now_us);

		if (sl == NULL) {
			record_full(sp, req, now_us);
			return false;
		}
		t = g_hash_table_lookup(sp->targets, sl->target);
		revoke_slot(sp, sl, now_us, out);
	}
	if (slot_queue_len(sp->queue, false) == 0)
		sp->is_full = false;
	grant(sp, t, req, now_us, out);
	return true;
}

/* A request that may not run on all targets does not block those behind it. */
static void
start_queued_online(struct slotpool *sp, int64_t now_us, GArray *out)
{
	struct slot_request req;
	struct slot_queue_skipped skipped = {0, 0, 0};

	while (slot_queue_next(sp->queue, false, &skipped, &req)) {
		if (start_online(sp, &req, now_us, out))
			slot_queue_remove(sp->queue, req.id);
		else if (may_run_on_all(sp, &req, now_us))
			return;
		else
			slot_queue_skip(sp->queue, &skipped, &req);
	}
}

static void
start_queued_batch(struct slotpool *sp, int64_t now_us, GArray *out)
{
	struct slotpool_load load = slotpool_load_get(sp, now_us);
	int32_t reserve = load.slots / kSlotsPerReserved;
	struct slot_request req;
	struct slot_queue_skipped skipped = {0, 0, 0};

	while (!sp->is_batch_paused && load.online_queued == 0 &&
	    slot_queue_next(sp->queue, true, &skipped, &req) &&
	    load.online + load.batch + reserve < load.slots) {
		struct slot_target *t = slotpool_choose_free(sp, &req, now_us);

		if (t == NULL && may_run_on_all(sp, &req, now_us))
			return;
		if (t == NULL) {
			slot_queue_skip(sp->queue, &skipped, &req);
			continue;
		}
		grant(sp, t, &req, now_us, out);
		slot_queue_remove(sp->queue, req.id);
		load.batch++;
	}
}

static void
schedule(struct slotpool *sp, int64_t now_us, GArray *out)
{
	start_queued_online(sp, now_us, out);
	start_queued_batch(sp, now_us, out);
}

static void
refuse(struct slotpool *sp, const struct slot_request *req, int64_t now_us,
    GArray *out)
{
	struct slotpool_load load = slotpool_load_get(sp, now_us);

	int32_t targets;
	int32_t reached;

	slot_targets_count_reachable(
	    sp->targets, req->holder, "", now_us, &targets, &reached);
	add_action(out, kSlotRefused, req, NULL,
	    slotpool_retry_after_us(sp, req, &load, now_us));
	g_array_index(out, struct slotpool_action, out->len - 1)
	    .has_no_healthy_target = reached == 0;
}

static void
request_online(struct slotpool *sp, const struct slot_request *req,
    int64_t now_us, GArray *out)
{
	struct slotpool_load load;
	int32_t targets;
	int32_t reached;

	if (slot_queue_len(sp->queue, false) == 0 &&
	    start_online(sp, req, now_us, out))
		return;
	load = slotpool_load_get(sp, now_us);
	slot_targets_count_reachable(sp->targets, req->holder,
	    req->excluded_target, now_us, &targets, &reached);
	if (reached == 0) {
		refuse(sp, req, now_us, out);
		return;
	}
	load.online_queued = slot_queue_ahead(sp->queue, req, sp->hold_us);
	slot_queue_add(sp->queue, req);
	start_queued_online(sp, now_us, out);
	/* Those before it may be unable to use the free slots, so it is refused
	 * only if it did not start. */
	if (slot_queue_has(sp->queue, req->id) &&
	    now_us + slotpool_wait_us(&load) > req->deadline_us) {
		slot_queue_remove(sp->queue, req->id);
		refuse(sp, req, now_us, out);
	}
}

static void
enqueue_batch(
    struct slotpool *sp, const struct slot_request *req, int64_t now_us)
{
	struct slot_request item = *req;

	item.is_late = batch_rank_is_late(&item, now_us);
	slot_queue_add(sp->queue, &item);
}

/* An item may wait for any time, but not for targets that may not serve it:
 * another pool may. */
static bool
may_serve_batch(
    const struct slotpool *sp, const struct slot_request *req, int64_t now_us)
{
	int32_t targets;
	int32_t reached;

	if (req->excluded_target[0] != '\0' &&
	    !slot_targets_has_other(sp->targets, req->excluded_target))
		return false;
	slot_targets_count_reachable(sp->targets, req->holder,
	    req->excluded_target, now_us, &targets, &reached);
	return targets == 0 || reached > 0;
}

void
slotpool_request(struct slotpool *sp, const struct slot_request *req,
    int64_t now_us, GArray *out)
{
	const struct slot *sl = g_hash_table_lookup(sp->slots, &req->id);

	/* Repeated request: the first answer may have been lost. */
	if (sl != NULL) {
		add_grant(
		    out, req, g_hash_table_lookup(sp->targets, sl->target));
		return;
	}
	if (slot_queue_has(sp->queue, req->id))
		return;
	if (!req->is_batch) {
		request_online(sp, req, now_us, out);
		return;
	}
	if (!may_serve_batch(sp, req, now_us)) {
		refuse(sp, req, now_us, out);
		return;
	}
	enqueue_batch(sp, req, now_us);
	start_queued_batch(sp, now_us, out);
}

void
slotpool_adopt(struct slotpool *sp, const struct slot_request *req,
    const char *target, int64_t now_us)
{
	struct slot_target *t = g_hash_table_lookup(sp->targets, target);
	struct slot *sl = g_hash_table_lookup(sp->slots, &req->id);

	slot_queue_remove(sp->queue, req->id);
	if (sl != NULL && strcmp(sl->target, target) != 0) {
		slot_remove(sp, sl);
		sl = NULL;
	}
	if (sl == NULL && t != NULL)
		slot_add(sp, t, req, now_us)->is_adopted = true;
	else if (sl != NULL && !sl->is_revoked)
		sl->expires_us = now_us + kLeaseUs;
}

static void
record_hold(struct slotpool *sp, const struct slot *sl, int64_t now_us)
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
	if (outcome == kSlotServed && !sl->req.is_batch)
		record_hold(sp, sl, now_us);
	if (sl->charged_us != 0)
		slot_queue_settle(
		    sp->queue, &sl->req, sl->charged_us, now_us - sl->since_us);
	t = g_hash_table_lookup(sp->targets, sl->target);
	if (t != NULL)
		slot_target_record_outcome(t, sl->req.holder, outcome, now_us);
	if (t != NULL && outcome == kSlotUnused && !sl->is_adopted)
		start_rate_refund(&t->rate, now_us);
	slot_remove(sp, sl);
	schedule(sp, now_us, out);
}

typedef bool (*slot_test_fn)(const struct slot *sl, const void *arg);

static void
remove_slots_if(struct slotpool *sp, slot_test_fn matches, const void *arg)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, sp->slots);
	while (g_hash_table_iter_next(&it, NULL, &val))
		if (matches(val, arg))
			g_ptr_array_add(list, val);
	for (guint i = 0; i < list->len; i++)
		slot_remove(sp, list->pdata[i]);
	g_ptr_array_unref(list);
}

static bool
is_held_by(const struct slot *sl, const void *holder)
{
	return sl->req.holder == *(const uint32_t *)holder;
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

/* Requeues overdue requests once, behind those that can still start in time;
 * refuses those that are overdue again. */
static void
requeue_late_online(struct slotpool *sp, int64_t now_us, GArray *out)
{
	struct slot_request req;

	while (slot_queue_most_urgent(sp->queue, &req) &&
	    req.deadline_us <= now_us) {
		slot_queue_remove(sp->queue, req.id);
		if (req.is_late) {
			refuse(sp, &req, now_us, out);
			continue;
		}
		req.is_late = true;
		req.deadline_us = now_us + kLateStartUs;
		slot_queue_add(sp->queue, &req);
	}
}

void
slotpool_allow_batch(struct slotpool *sp, bool is_allowed)
{
	sp->is_batch_paused = !is_allowed;
}

bool
slotpool_record_rate(struct slotpool *sp, const struct slotpool_rate *rate,
    int64_t now_us, GArray *out)
{
	bool has_changed = slotpool_apply_rate(sp, rate, now_us);

	if (has_changed)
		schedule(sp, now_us, out);
	return has_changed;
}

void
slotpool_tick(struct slotpool *sp, int64_t now_us, GArray *out)
{
	remove_slots_if(sp, is_expired, &now_us);
	requeue_late_online(sp, now_us, out);
	slot_queue_demote_late_batch(sp->queue, now_us);
	slot_queue_age(sp->queue, now_us);
	schedule(sp, now_us, out);
}

static void
apply_target(struct slotpool *sp, const struct fleet_target *info)
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
is_on_unlisted_target(const struct slot *sl, const void *arg)
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
		apply_target(sp, targets->pdata[i]);
	remove_slots_if(sp, is_on_unlisted_target, sp);
	g_hash_table_foreach_remove(sp->targets, is_unlisted, NULL);
	schedule(sp, now_us, out);
}

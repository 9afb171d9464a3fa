/* Selects the pool from which a slot is requested. */
#include <stdio.h>
#include <string.h>

#include "gateway/slots_internal.h"

#include "os/text_copy.h"

enum {
	/* Two round trips: connection set-up, then the request. The one-way
	 * latency is 1 to 2 ms between data centres of a region and 30 ms
	 * between regions. */
	kLinkSameCenterUs = 1 * kUsPerMs,
	kLinkSameRegionUs = 8 * kUsPerMs,
	kLinkOtherRegionUs = 120 * kUsPerMs,
	/* Leases and suspicions that expire change the owner of a pool. */
	kOwnerCheckUs = 50 * kUsPerMs,
	/* A connection between daemons without messages may be closed after
	 * this. */
	kConnectionIdleUs = 15 * kUsPerS,
	/* Round trips of a request whose connections in both directions are to
	 * be opened first: three each, and the request itself. */
	kColdRoundTrips = 7,
	/* An arbiter answers within one loop iteration; this is allowed for on
	 * top of the link latency. */
	kAnswerMarginUs = 40 * kUsPerMs,
	/* An older load report is disregarded. */
	kLoadMaxAgeUs = 1500 * kUsPerMs,
	kHoldDefaultUs = 700 * kUsPerMs,
	kNoSlotsWaitUs = 500 * kUsPerMs,
	/* A batch item moves to another data centre only for more free slots
	 * than this, since traffic between data centres is billed by volume. */
	kBatchRemoteExtraSlots = 2,
};

struct pool_key
slots_pool_key(const char *service, const char *data_center)
{
	size_t len = strlen(service);
	struct pool_key key;

	key.text[0] = '\0';
	if (!text_fits(kFleetNameMax, service) ||
	    !text_fits(kFleetNameMax, data_center))
		return key;
	memcpy(key.text, service, len);
	key.text[len] = '|';
	memcpy(key.text + len + 1, data_center, strlen(data_center) + 1);
	return key;
}

struct pool_view *
slots_view(struct slots *sl, const char *service, const char *data_center)
{
	struct pool_key key = slots_pool_key(service, data_center);
	struct pool_view *view;

	view = g_hash_table_lookup(sl->views, key.text);
	if (view != NULL)
		return view;
	view = g_new0(struct pool_view, 1);
	text_copy_or_none(view->service, sizeof(view->service), service);
	text_copy_or_none(
	    view->data_center, sizeof(view->data_center), data_center);
	TEXT_ASSIGN(view->key, key.text);
	g_hash_table_insert(sl->views, view->key, view);
	return view;
}

const char *
slots_arbiter(struct slots *sl, struct pool_view *view)
{
	uint64_t epoch = roster_epoch(sl->opt.roster);
	int64_t now_us = loop_now_us(sl->opt.lp);
	const char *owner;

	if (view->owner_at_us != 0 && view->owner_epoch == epoch &&
	    now_us - view->owner_at_us < kOwnerCheckUs)
		return view->owner;
	view->owner_epoch = epoch;
	view->owner_at_us = now_us;
	owner =
	    roster_owner(sl->opt.roster, view->key, view->data_center, now_us);
	if (strcmp(view->owner, owner) == 0)
		return view->owner;
	view->owner_heard_us = 0;
	text_copy_or_none(view->owner, sizeof(view->owner), owner);
	return view->owner;
}

void
slots_record_contact(struct slots *sl, const char *arbiter)
{
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, sl->views);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct pool_view *view = val;

		if (strcmp(view->owner, arbiter) == 0)
			view->owner_heard_us = loop_now_us(sl->opt.lp);
	}
}

static bool
was_heard(const struct slots *sl, const struct pool_view *view)
{
	return view->owner_heard_us != 0 &&
	    loop_now_us(sl->opt.lp) - view->owner_heard_us < kConnectionIdleUs;
}

int64_t
slots_request_us(struct slots *sl, struct pool_view *view)
{
	int64_t link_us = slots_link_us(sl, view->data_center);

	slots_arbiter(sl, view);
	return link_us / 2 * (was_heard(sl, view) ? 1 : kColdRoundTrips);
}

/* True if the pool's arbiter was heard lately, for this pool or another one. */
static bool
is_owner_connected(const struct slots *sl, const struct pool_view *view)
{
	GHashTableIter it;
	void *val;

	if (was_heard(sl, view))
		return true;
	g_hash_table_iter_init(&it, sl->views);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		const struct pool_view *other = val;

		if (strcmp(other->reporter, view->owner) == 0 &&
		    other->connected_us != 0 &&
		    loop_now_us(sl->opt.lp) - other->connected_us <
			kConnectionIdleUs)
			return true;
	}
	return false;
}

int64_t
slots_answer_us(struct slots *sl, struct pool_view *view)
{
	const char *owner = slots_arbiter(sl, view);
	const char *data_center = roster_data_center(sl->opt.roster, owner);
	int64_t round_trip_us =
	    slots_link_us(
		sl, data_center[0] != '\0' ? data_center : view->data_center) /
	    2;

	return kAnswerMarginUs +
	    2 * round_trip_us *
	    (is_owner_connected(sl, view) ? 1 : kColdRoundTrips);
}

const char *
slots_pool_arbiter(
    struct slots *sl, const char *service, const char *data_center)
{
	return slots_arbiter(sl, slots_view(sl, service, data_center));
}

int64_t
slots_link_us(const struct slots *sl, const char *data_center)
{
	const char *own = sl->opt.data_center;

	if (strcmp(data_center, own) == 0)
		return kLinkSameCenterUs;
	if (strcmp(roster_region(sl->opt.roster, data_center),
		roster_region(sl->opt.roster, own)) == 0)
		return kLinkSameRegionUs;
	return kLinkOtherRegionUs;
}

/* Last reported load plus this daemon's requests since the report. */
static struct slotpool_load
estimate_load(const struct slots *sl, const struct pool_view *view)
{
	struct slotpool_load load = view->load;
	int64_t age_us = loop_now_us(sl->opt.lp) - view->load_at_us;

	if (view->load_at_us == 0 || age_us > kLoadMaxAgeUs)
		load = (struct slotpool_load){
		    .slots = view->listed_slots, .hold_us = kHoldDefaultUs};
	load.slots = MIN(load.slots, view->listed_slots);
	load.limited_slots = MIN(load.limited_slots, load.slots);
	load.online = MAX(load.online + view->local_delta, 0);
	return load;
}

int64_t
slots_view_wait_us(const struct slots *sl, const struct pool_view *view)
{
	struct slotpool_load load = estimate_load(sl, view);

	if (load.slots == 0)
		return kNoSlotsWaitUs;
	return slotpool_wait_us(&load);
}

static bool
was_tried(const struct hold *h, const struct pool_view *view)
{
	for (int32_t i = 0; i < h->tried_count; i++)
		if (h->tried[i] == view)
			return true;
	return false;
}

/* The requests that wait at a pool may be of other teams and start later: only
 * its arbiter knows. */
static int64_t
least_wait_us(const struct slots *sl, const struct hold *h,
    const struct pool_view *view, int64_t wait_us)
{
	return h->request.team != 0 && estimate_load(sl, view).slots > 0
	    ? 0
	    : wait_us;
}

/* Online: the pool with the earliest expected first event. */
static struct pool_view *
choose_online(struct slots *sl, const struct hold *h, int64_t *retry_after_us)
{
	int64_t remaining_us = h->request.deadline_us - loop_now_us(sl->opt.lp);
	struct pool_view *best = NULL;
	int64_t best_us = 0;
	GHashTableIter it;
	void *val;

	*retry_after_us = kNoSlotsWaitUs;
	g_hash_table_iter_init(&it, sl->views);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct pool_view *view = val;
		int64_t wait_us;
		int64_t link_us;
		int64_t cost_us;

		if (!slots_may_serve(sl, view, h))
			continue;
		wait_us = h->request.is_last_resort
		    ? 0
		    : slots_view_wait_us(sl, view);
		*retry_after_us = MIN(*retry_after_us, wait_us);
		link_us = slots_link_us(sl, view->data_center) +
		    slots_request_us(sl, view);
		cost_us = wait_us + link_us;
		if (was_tried(h, view) ||
		    least_wait_us(sl, h, view, wait_us) + link_us >
			remaining_us)
			continue;
		if (best == NULL || cost_us < best_us) {
			best = view;
			best_us = cost_us;
		}
	}
	return best;
}

bool
slots_all_unhealthy(const struct slots *sl, const char *service)
{
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, sl->views);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		const struct pool_view *view = val;

		if (strcmp(view->service, service) == 0 &&
		    estimate_load(sl, view).slots > 0)
			return false;
	}
	return true;
}

/* Batch: the pool with the most room, net of queued requests. */
static struct pool_view *
choose_batch(struct slots *sl, const struct hold *h)
{
	struct pool_view *best = NULL;
	int32_t best_room = 0;
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, sl->views);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct pool_view *view = val;
		struct slotpool_load load;
		int32_t room;

		if (!slots_may_serve(sl, view, h) || was_tried(h, view))
			continue;
		load = estimate_load(sl, view);
		room = slotpool_batch_room(&load);
		if (strcmp(view->data_center, sl->opt.data_center) != 0)
			room -= kBatchRemoteExtraSlots;
		if (best == NULL || room > best_room) {
			best = view;
			best_room = room;
		}
	}
	return best;
}

struct pool_view *
slots_choose_pool(
    struct slots *sl, const struct hold *h, int64_t *retry_after_us)
{
	*retry_after_us = kNoSlotsWaitUs;
	if (h->request.is_batch)
		return choose_batch(sl, h);
	return choose_online(sl, h, retry_after_us);
}

void
slots_targets_changed(struct slots *sl)
{
	GPtrArray *all = fleet_list(sl->opt.fleet);
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, sl->views);
	while (g_hash_table_iter_next(&it, NULL, &val))
		((struct pool_view *)val)->listed_slots = 0;
	for (guint i = 0; i < all->len; i++) {
		const struct fleet_target *t = all->pdata[i];

		if (!t->is_draining && t->expires_at_us == 0)
			slots_view(sl, t->service, t->data_center)
			    ->listed_slots += t->slots;
	}
	g_ptr_array_unref(all);
	slots_host_targets_changed(sl);
}

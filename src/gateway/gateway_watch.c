/* Posts updates of the adapter's watch from its threads to the loop. */
#include <string.h>

#include "gateway/gateway_internal.h"
#include "log/log.h"
#include "metric/metric.h"

enum {
	/* Entries of targets that expired while the store was unavailable are
	 * restored within about 2 s of its recovery. */
	kEntryRestoreUs = 2500 * kUsPerMs,
};

struct watch_update {
	struct gateway *gw;
	struct routebook *book;
	struct fleet_target target;
	char id[kFleetNameMax];
	GArray *list;
	int64_t version;
	bool is_reachable;
};

static struct watch_update *
watch_update_new(struct gateway *gw)
{
	struct watch_update *update = g_new0(struct watch_update, 1);

	update->gw = gw;
	return update;
}

static void
apply_routes(void *ctx)
{
	struct watch_update *update = ctx;
	struct gateway *gw = update->gw;
	int64_t old = gw->routes != NULL ? gw->routes->version : -1;

	/* Never goes back to an older version, whatever a late answer shows. */
	if (update->book->version > old) {
		routebook_unref(gw->routes);
		gw->routes = update->book;
		front_set_body_max(gw->front, gw->routes->limits.body_bytes);
		metric_set(kMetGeneration, gw->routes->version);
		log_event(kEvtConfigInForce, "version",
		    log_number(gw->routes->version), "from", log_number(old),
		    "routes", log_number(gw->routes->routes->len), NULL);
	} else {
		routebook_unref(update->book);
	}
	g_free(update);
}

static void
on_routes(void *ctx, struct routebook *book)
{
	struct watch_update *update = watch_update_new(ctx);

	update->book = book;
	loop_post(update->gw->lp, apply_routes, update);
}

static void
update_pools(void *ctx)
{
	struct gateway *gw = ctx;

	gw->is_pool_update_pending = false;
	slots_targets_changed(gw->slots);
}

/* Coalesces changes: the first list causes one for each target, and each update
 * of the pools checks all targets. */
void
gateway_targets_changed(struct gateway *gw)
{
	if (gw->is_pool_update_pending)
		return;
	gw->is_pool_update_pending = true;
	loop_post(gw->lp, update_pools, gw);
}

static void
log_target(const struct fleet_target *t, const char *state)
{
	log_event(kEvtTargetListed, "target", t->id, "service", t->service,
	    "address", t->address, "state", state, "version",
	    log_number(t->version), NULL);
}

static void
apply_target(void *ctx)
{
	struct watch_update *update = ctx;

	if (fleet_apply(update->gw->fleet, &update->target)) {
		/* The first list is logged as a whole. */
		if (update->gw->has_target_list)
			log_target(&update->target,
			    update->target.is_draining ? "draining" : "ready");
		gateway_targets_changed(update->gw);
	}
	g_free(update);
}

static void
on_target(void *ctx, const struct fleet_target *target)
{
	struct watch_update *update = watch_update_new(ctx);

	update->target = *target;
	loop_post(update->gw->lp, apply_target, update);
}

/* After a store outage, entries of live targets may be missing. */
static int64_t
expiry_us(const struct gateway *gw)
{
	int64_t now_us = loop_now_us(gw->lp);

	return MAX(now_us, gw->store_recovered_us + kEntryRestoreUs);
}

static void
apply_removal(void *ctx)
{
	struct watch_update *update = ctx;
	struct gateway *gw = update->gw;

	if (fleet_remove(
		gw->fleet, update->id, update->version, expiry_us(gw))) {
		log_event(kEvtTargetGone, "target", update->id, "version",
		    log_number(update->version), "kept_us",
		    log_number(expiry_us(gw) - loop_now_us(gw->lp)), NULL);
		gateway_targets_changed(gw);
	}
	g_free(update);
}

static void
on_target_removed(void *ctx, const char *id, int64_t version)
{
	struct watch_update *update = watch_update_new(ctx);

	g_strlcpy(update->id, id, sizeof(update->id));
	update->version = version;
	loop_post(update->gw->lp, apply_removal, update);
}

static void
apply_list(void *ctx)
{
	struct watch_update *update = ctx;
	struct gateway *gw = update->gw;

	bool is_first = !gw->has_target_list;
	bool is_changed = fleet_replace(
	    gw->fleet, update->list, update->version, expiry_us(gw));

	gw->has_target_list = true;
	if (is_changed || is_first) {
		log_event(kEvtTargetList, "targets",
		    log_number(update->list->len), "version",
		    log_number(update->version), NULL);
		gateway_targets_changed(gw);
	}
	g_array_unref(update->list);
	g_free(update);
}

static void
on_target_list(void *ctx, const GArray *list, int64_t version)
{
	struct watch_update *update = watch_update_new(ctx);

	update->list = g_array_sized_new(
	    FALSE, TRUE, sizeof(struct fleet_target), list->len);
	g_array_append_vals(update->list, list->data, list->len);
	update->version = version;
	loop_post(update->gw->lp, apply_list, update);
}

static void
on_bad_row(void *ctx, const char *table, const char *key, const char *why)
{
	log_event(
	    kEvtRowUnreadable, "table", table, "key", key, "error", why, NULL);
}

static void
apply_reachability(void *ctx)
{
	struct watch_update *update = ctx;
	struct gateway *gw = update->gw;

	if (update->is_reachable)
		gw->store_recovered_us = loop_now_us(gw->lp);
	view_exchange_set_store_unreachable(gw->view, !update->is_reachable);
	g_free(update);
}

static void
on_reachability(void *ctx, bool is_reachable, const char *table)
{
	struct watch_update *update = watch_update_new(ctx);

	log_event(
	    is_reachable ? kEvtWatchUp : kEvtWatchDown, "table", table, NULL);
	update->is_reachable = is_reachable;
	loop_post(update->gw->lp, apply_reachability, update);
}

const struct watch_ops gateway_watch_ops = {on_routes, on_target,
    on_target_removed, on_target_list, on_bad_row, on_reachability};

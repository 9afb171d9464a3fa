/* Posts updates of the adapter's watch from its threads to the loop. */
#include <string.h>

#include "gateway/gateway_internal.h"
#include "log/log.h"
#include "metric/metric.h"
#include "os/text_copy.h"

enum {
	/* Entries of targets that expired while the store was unavailable are
	 * restored within about 2 s of its recovery. */
	kEntryRestoreUs = 2500 * kUsPerMs,
	/* Routes logged by name for one version. */
	kRoutesLoggedMax = 8,
};

struct watch_update {
	struct gateway *gw;
	struct routebook *book;
	struct fleet_target target;
	char id[kFleetNameMax];
	GArray *list;
	int64_t version;
	int64_t sent_us;
	bool is_reachable;
};

static struct watch_update *
watch_update_new(struct gateway *gw)
{
	struct watch_update *update = g_new0(struct watch_update, 1);

	update->gw = gw;
	return update;
}

static const struct routebook_route *
same_route(const struct routebook *book, const struct routebook_route *route)
{
	for (guint i = 0; book != NULL && i < book->routes->len; i++) {
		const struct routebook_route *r = book->routes->pdata[i];

		if (strcmp(r->host, route->host) == 0 &&
		    strcmp(r->prefix, route->prefix) == 0)
			return r;
	}
	return NULL;
}

static bool
has_same_shares(
    const struct routebook_route *a, const struct routebook_route *b)
{
	if (a->shares->len != b->shares->len)
		return false;
	for (guint i = 0; i < a->shares->len; i++) {
		const struct routebook_share *x =
		    &g_array_index(a->shares, struct routebook_share, i);
		const struct routebook_share *y =
		    &g_array_index(b->shares, struct routebook_share, i);

		if (strcmp(x->service, y->service) != 0 ||
		    x->weight != y->weight)
			return false;
	}
	return true;
}

/* @return NULL if requests are handled as before */
static const char *
route_change(
    const struct routebook_route *old, const struct routebook_route *now)
{
	if (old == NULL)
		return "added";
	if (now == NULL)
		return "removed";
	if (!has_same_shares(old, now))
		return "services";
	if (old->timeout_us != now->timeout_us)
		return "timeout";
	if (old->waiting_tokens_max != now->waiting_tokens_max)
		return "quota";
	return NULL;
}

/* @return the number of routes that changed so far */
static int32_t
log_route_change(const struct routebook_route *old,
    const struct routebook_route *now, int32_t count)
{
	const struct routebook_route *route = now != NULL ? now : old;
	const char *change = route_change(old, now);

	if (change == NULL)
		return count;
	if (count < kRoutesLoggedMax)
		log_event(kEvtConfigRoute, "route",
		    route->name != NULL ? route->name : "", "change", change,
		    "service",
		    g_array_index(route->shares, struct routebook_share, 0)
			.service,
		    "shares", log_number(route->shares->len), "timeout_us",
		    log_number(route->timeout_us), "waiting_tokens_max",
		    log_number(route->waiting_tokens_max), NULL);
	return count + 1;
}

/* The first version is logged as a number of routes. */
static void
log_config(const struct routebook *old, const struct routebook *now)
{
	int32_t n = 0;

	for (guint i = 0; old != NULL && i < now->routes->len; i++)
		n = log_route_change(same_route(old, now->routes->pdata[i]),
		    now->routes->pdata[i], n);
	for (guint i = 0; old != NULL && i < old->routes->len; i++)
		if (same_route(now, old->routes->pdata[i]) == NULL)
			n = log_route_change(old->routes->pdata[i], NULL, n);
	log_event(kEvtConfigInForce, "version", log_number(now->version),
	    "from", log_number(old != NULL ? old->version : -1), "routes",
	    log_number(now->routes->len), "changed", log_number(n),
	    "body_bytes", log_number(now->limits.body_bytes), "idle_us",
	    log_number(now->limits.idle_timeout_us), NULL);
}

/* Never goes back to an older version, whatever a late answer shows. With a
 * bound on revocations, the row counts: its number may have been used before.
 */
static bool
is_newer(const struct gateway *gw, const struct routebook *book)
{
	return gw->routes == NULL || book->version > gw->routes->version ||
	    (gw->proofs != NULL && book->row_version > gw->routes->row_version);
}

static void
apply_routes(void *ctx)
{
	struct watch_update *update = ctx;
	struct gateway *gw = update->gw;

	if (is_newer(gw, update->book)) {
		log_config(gw->routes, update->book);
		routebook_unref(gw->routes);
		gw->routes = update->book;
		front_set_body_max(gw->front, gw->routes->limits.body_bytes);
		metric_set(kMetGeneration, gw->routes->version);
		if (gw->proofs != NULL)
			proof_exchange_on_routes(
			    gw->proofs, gw->routes->row_version);
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
	struct watch_update *update;

	/* No target has so long a name: its row was refused. */
	if (!text_fits(sizeof(update->id), id))
		return;
	update = watch_update_new(ctx);
	text_copy_or_none(update->id, sizeof(update->id), id);
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

	gw->is_watch_up = update->is_reachable;
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

static void
apply_proof(void *ctx)
{
	struct watch_update *update = ctx;

	proof_exchange_on_proof(
	    update->gw->proofs, update->sent_us, update->version);
	g_free(update);
}

/* In the queue of the routes, behind those of the version. */
static void
on_proof(void *ctx, int64_t sent_us, int64_t version)
{
	struct gateway *gw = ctx;
	struct watch_update *update;

	if (gw->proofs == NULL)
		return;
	update = watch_update_new(gw);
	update->sent_us = sent_us;
	update->version = version;
	loop_post(update->gw->lp, apply_proof, update);
}

static void
apply_proof_read(void *ctx)
{
	struct watch_update *update = ctx;

	proof_exchange_on_read(update->gw->proofs, update->is_reachable);
	g_free(update);
}

static void
on_proof_read(void *ctx, bool is_ok)
{
	struct watch_update *update = watch_update_new(ctx);

	update->is_reachable = is_ok;
	loop_post(update->gw->lp, apply_proof_read, update);
}

const struct watch_ops gateway_watch_ops = {on_routes, on_target,
    on_target_removed, on_target_list, on_bad_row, on_reachability, on_proof,
    on_proof_read};

/*
 * Grants held by this daemon and arbiters hosted by it. A request is sent to
 * the arbiter of its target, on this daemon or a peer. While the arbiter is
 * unresponsive, online requests use this daemon's local share of the target.
 */
#include "serve/grants_internal.h"

#include <string.h>

#include "log/log.h"
#include "metric/metric.h"
#include "os/text_copy.h"
#include "savoryflow/arbiter/local_share.h"
#include "savoryflow/arbiter/u64_hash.h"

enum {
	kTokenIntervalUs = 63000,
	kCancelLatencyUs = 100000,
	kOnlineQueueMax = 2000,
	kBatchQueueMax = 20000,
	kGrantLeaseUs = 600 * kUsPerS,
	/* Interval at which a request queued at a peer is repeated. */
	kRequestRetryUs = 200 * kUsPerMs,
	kBatchRequestRetryUs = 5 * kUsPerS,
	kLocalRefusalRetryUs = kUsPerS,
	/* Initial cost model, corrected by load reports. */
	kStepBaseUs = 15000,
	kStepPerStreamUs = 150,
	kStepPerPromptTokenNs = 25000,
	kPromptTokensPerStep = 512,
	/* Index of this daemon among the holders. */
	kHolderSelf = 0,
};

/* Verdicts on the wire. */
enum wire_verdict {
	kWireGranted = 1,
	kWireRefused,
	kWireRevoked,
	kWireQueued,
	/** The peer does not know the target, or not yet. */
	kWireUnknown,
	kWireLeaving,
	kWireBusy,
};

enum wire_notification {
	kNotifyFirstToken = 1,
	kNotifyRelease,
	kNotifyCrash,
};

/* A callback to the caller's layer, deferred until the lock is released. */
struct delivery {
	const struct grant_ops *ops;
	void *ctx;
	uint64_t id;
	enum wire_verdict verdict;
	int64_t retry_after_us;
	bool is_crash;
	enum arbiter_crash_verdict crash;
};

static void
held_free(void *p)
{
	struct held *h = p;

	h->ops->unref(h->ctx);
	g_free(h);
}

static void
hosted_free(void *p)
{
	struct hosted *ho = p;

	arbiter_free(ho->arb);
	g_free(ho->target);
	g_free(ho);
}

struct grants *
grants_new(struct daemon *d)
{
	struct grants *gs = g_new0(struct grants, 1);

	gs->d = d;
	pthread_mutex_init(&gs->lock, NULL);
	gs->held = u64_hash_new(held_free);
	gs->hosted =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, hosted_free);
	gs->local = local_share_new();
	gs->rates = target_rates_new();
	gs->holders = g_ptr_array_new_with_free_func(g_free);
	gs->holder_index = g_hash_table_new(g_str_hash, g_str_equal);
	g_ptr_array_add(gs->holders, g_strdup(d->set->peer_listen));
	g_hash_table_insert(gs->holder_index, gs->holders->pdata[0],
	    GUINT_TO_POINTER(kHolderSelf));
	return gs;
}

void
grants_free(struct grants *gs)
{
	g_hash_table_unref(gs->held);
	g_hash_table_unref(gs->hosted);
	local_share_free(gs->local);
	target_rates_free(gs->rates);
	g_hash_table_unref(gs->holder_index);
	g_ptr_array_unref(gs->holders);
	pthread_mutex_destroy(&gs->lock);
	g_free(gs);
}

static int64_t
now_us(const struct grants *gs)
{
	return clock_mono_us(gs->d->clk);
}

static uint32_t
holder_index_get(struct grants *gs, const char *address)
{
	void *index;
	char *copy;

	if (g_hash_table_lookup_extended(
		gs->holder_index, address, NULL, &index))
		return GPOINTER_TO_UINT(index);
	copy = g_strdup(address);
	g_ptr_array_add(gs->holders, copy);
	g_hash_table_insert(
	    gs->holder_index, copy, GUINT_TO_POINTER(gs->holders->len - 1));
	return gs->holders->len - 1;
}

static struct arbiter_options
arbiter_options_for(const struct route *route, int64_t tail_budget_us)
{
	struct arbiter_options opt = {
	    .cost = {kStepBaseUs, kStepPerStreamUs, kStepPerPromptTokenNs,
		kPromptTokensPerStep, route->slots},
	    .tail_budget_us = tail_budget_us,
	    .token_interval_us = kTokenIntervalUs,
	    .cancel_latency_us = kCancelLatencyUs,
	    .online_queue_max = kOnlineQueueMax,
	    .batch_queue_max = kBatchQueueMax,
	    .grant_lease_us = kGrantLeaseUs,
	    .is_plain = !route->is_engine,
	};

	return opt;
}

/*
 * @return the target's arbiter hosted here, created on first use; NULL if the
 * target is unknown
 */
static struct arbiter *
hosted_get(struct grants *gs, const char *target)
{
	struct hosted *ho = g_hash_table_lookup(gs->hosted, target);
	struct arbiter_options opt;
	struct route route;
	int64_t budget_us;

	if (ho != NULL)
		return ho->arb;
	if (!routes_target(gs->d->routes, target, &route, &budget_us))
		return NULL;
	opt = arbiter_options_for(&route, budget_us);
	ho = g_new0(struct hosted, 1);
	ho->target = g_strdup(target);
	ho->arb = arbiter_new(&opt);
	g_hash_table_insert(gs->hosted, ho->target, ho);
	return ho->arb;
}

bool
grants_is_local(const struct grants *gs, const struct held *h)
{
	return h->route.arbiter[0] == '\0' ||
	    strcmp(h->route.arbiter, gs->d->set->peer_listen) == 0;
}

static GArray *
deliveries_new(void)
{
	return g_array_new(FALSE, TRUE, sizeof(struct delivery));
}

static void
delivery_add(GArray *list, const struct held *h, enum wire_verdict verdict,
    int64_t retry_after_us)
{
	struct delivery del = {
	    .ops = h->ops,
	    .ctx = h->ctx,
	    .id = h->req.id,
	    .verdict = verdict,
	    .retry_after_us = retry_after_us,
	};

	h->ops->ref(h->ctx);
	g_array_append_val(list, del);
}

static void
delivery_run(const struct delivery *del)
{
	if (del->is_crash)
		del->ops->on_crash_verdict(del->ctx, del->id, del->crash);
	else if (del->verdict == kWireGranted)
		del->ops->on_granted(del->ctx, del->id);
	else if (del->verdict == kWireRefused)
		del->ops->on_refused(del->ctx, del->id, del->retry_after_us);
	else if (del->verdict == kWireLeaving)
		del->ops->on_leaving(del->ctx, del->id);
	else if (del->verdict == kWireBusy)
		del->ops->on_busy(del->ctx, del->id, del->retry_after_us);
	else
		del->ops->on_revoked(del->ctx, del->id);
	del->ops->unref(del->ctx);
}

static void
deliver(GArray *list)
{
	for (guint i = 0; i < list->len; i++)
		delivery_run(&g_array_index(list, struct delivery, i));
	g_array_unref(list);
}

static void
release_local_share(struct grants *gs, struct held *h)
{
	if (h->uses_local_share)
		local_share_release(gs->local, h->route.target);
	h->uses_local_share = false;
}

/* @return true if the configuration has the target of a request */
static bool
is_listed(const struct grants *gs, const struct held *h)
{
	struct route route;
	int64_t budget_us;

	return routes_target(
	    gs->d->routes, h->route.target, &route, &budget_us);
}

/* Applies an arbiter's verdict to a request of this daemon. */
static void
apply_verdict(struct grants *gs, uint64_t id, enum wire_verdict verdict,
    int64_t retry_after_us, GArray *list)
{
	struct held *h = g_hash_table_lookup(gs->held, &id);
	bool was_running;

	if (h == NULL)
		return;
	was_running = h->phase == kHeldLocal || h->phase == kHeldGranted;
	switch (verdict) {
	case kWireGranted:
		release_local_share(gs, h);
		h->phase = kHeldGranted;
		if (h->granted_us == 0)
			h->granted_us = now_us(gs);
		if (!was_running)
			delivery_add(list, h, verdict, 0);
		break;
	case kWireQueued:
		if (h->phase == kHeldRequested)
			h->phase = kHeldQueued;
		break;
	case kWireRefused:
	case kWireLeaving:
	case kWireBusy:
		/* A request that is already running continues. */
		if (was_running)
			break;
		delivery_add(list, h, verdict, retry_after_us);
		g_hash_table_remove(gs->held, &id);
		break;
	case kWireRevoked:
		delivery_add(list, h, verdict, 0);
		break;
	case kWireUnknown:
		if (!was_running && !is_listed(gs, h)) {
			delivery_add(list, h, kWireLeaving, 0);
			g_hash_table_remove(gs->held, &id);
			break;
		}
		/* Treated like a peer that did not answer. */
		h->requested_us = 0;
		break;
	}
}

static void
send_answer(struct grants *gs, uint32_t holder, Sfpeer__GrantAnswer *answer)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__GrantAnswer *answers[] = {answer};

	env.n_answers = 1;
	env.answers = answers;
	peer_send(gs->d->peer, gs->holders->pdata[holder], &env, kPeerControl);
}

static void
answer_peer(struct grants *gs, const struct arbiter_action *act,
    enum wire_verdict verdict, int64_t load_us, Sfpeer__TargetRate *rate)
{
	Sfpeer__GrantAnswer answer = SFPEER__GRANT_ANSWER__INIT;

	answer.id = act->id;
	answer.verdict = verdict;
	answer.retry_after_us = (uint64_t)act->retry_after_us;
	answer.load_us = (uint64_t)load_us;
	answer.rate = rate;
	send_answer(gs, act->holder, &answer);
}

static enum wire_verdict
verdict_to_wire(enum arbiter_verdict verdict)
{
	switch (verdict) {
	case kArbiterGranted:
		return kWireGranted;
	case kArbiterRefused:
		return kWireRefused;
	case kArbiterLeaving:
		return kWireLeaving;
	case kArbiterBusy:
		return kWireBusy;
	case kArbiterRevoked:
		break;
	}
	return kWireRevoked;
}

static void
run_actions(struct grants *gs, const char *target, struct arbiter *arb,
    GArray *actions, GArray *list)
{
	int64_t load_us = arbiter_load_get(arb, now_us(gs)).first_token_us;
	Sfpeer__TargetRate wire;
	Sfpeer__TargetRate *rate = grants_arbiter_rate(arb, target, &wire);

	for (guint i = 0; i < actions->len; i++) {
		const struct arbiter_action *act =
		    &g_array_index(actions, struct arbiter_action, i);
		enum wire_verdict verdict = verdict_to_wire(act->verdict);

		if (verdict == kWireGranted)
			metric_add(kMetGrants, 1);
		if (verdict == kWireRevoked)
			metric_add(kMetRevokes, 1);
		if (act->holder == kHolderSelf)
			apply_verdict(
			    gs, act->id, verdict, act->retry_after_us, list);
		else
			answer_peer(gs, act, verdict, load_us, rate);
	}
	if (actions->len > 0)
		routes_record_load(gs->d->routes, target, load_us);
	g_array_unref(actions);
}

static bool
has_action_for(const GArray *actions, uint64_t id)
{
	for (guint i = 0; i < actions->len; i++)
		if (g_array_index(actions, struct arbiter_action, i).id == id)
			return true;
	return false;
}

static void
request_here(struct grants *gs, struct held *h, GArray *list)
{
	struct arbiter *arb = hosted_get(gs, h->route.target);
	GArray *actions;

	if (arb == NULL) {
		delivery_add(list, h, kWireLeaving, 0);
		g_hash_table_remove(gs->held, &h->req.id);
		return;
	}
	actions = arbiter_actions_new();
	h->phase = kHeldQueued;
	arbiter_request(arb, &h->req, now_us(gs), actions);
	run_actions(gs, h->route.target, arb, actions, list);
}

static void
request_from_peer(struct grants *gs, struct held *h, bool adopt)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__GrantAsk req = SFPEER__GRANT_ASK__INIT;
	Sfpeer__GrantAsk *asks[] = {&req};
	Sfpeer__TargetRate rate;
	int64_t now = now_us(gs);

	h->requested_us = now;
	req.id = h->req.id;
	req.target = h->route.target;
	req.batch = h->req.work_class == kWorkBatch;
	req.prompt_tokens = (uint32_t)h->req.prompt_tokens;
	req.deadline_in_us = (uint64_t)MAX(h->req.deadline_us - now, 0);
	req.team = h->req.team;
	req.weight = (uint32_t)h->req.weight;
	req.due_in_us = (uint64_t)MAX(h->req.due_us - now, 0);
	req.suspect = h->req.is_suspect;
	req.adopt = adopt;
	req.has_first_token = h->has_first_token;
	req.last_resort = h->req.is_last_resort;
	req.rate = grants_known_rate(gs, h->route.target, &rate);
	env.n_asks = 1;
	env.asks = asks;
	peer_send(gs->d->peer, h->route.arbiter, &env, kPeerControl);
}

void
grants_acquire(struct grants *gs, const struct admission_request *req,
    const struct route *route, const struct grant_ops *ops, void *ctx)
{
	struct held *h = g_new0(struct held, 1);
	GArray *list = deliveries_new();

	h->req = *req;
	h->req.holder = kHolderSelf;
	h->route = *route;
	h->ops = ops;
	h->ctx = ctx;
	ops->ref(ctx);
	pthread_mutex_lock(&gs->lock);
	g_hash_table_insert(gs->held, &h->req.id, h);
	if (grants_is_local(gs, h))
		request_here(gs, h, list);
	else
		request_from_peer(gs, h, false);
	pthread_mutex_unlock(&gs->lock);
	deliver(list);
}

static void
send_notification(
    struct grants *gs, const struct held *h, enum wire_notification kind)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__GrantNote notification = SFPEER__GRANT_NOTE__INIT;
	Sfpeer__GrantNote *notes[] = {&notification};

	notification.id = h->req.id;
	notification.target = (char *)h->route.target;
	notification.kind = kind;
	env.n_notes = 1;
	env.notes = notes;
	peer_send(gs->d->peer, h->route.arbiter, &env, kPeerControl);
}

void
grants_first_token(struct grants *gs, uint64_t id)
{
	GArray *list = deliveries_new();
	struct held *h;

	pthread_mutex_lock(&gs->lock);
	h = g_hash_table_lookup(gs->held, &id);
	if (h != NULL && !h->has_first_token) {
		struct hosted *ho =
		    g_hash_table_lookup(gs->hosted, h->route.target);

		h->has_first_token = true;
		if (!grants_is_local(gs, h)) {
			send_notification(gs, h, kNotifyFirstToken);
		} else if (ho != NULL) {
			GArray *actions = arbiter_actions_new();

			arbiter_first_token(ho->arb, id, now_us(gs), actions);
			run_actions(gs, ho->target, ho->arb, actions, list);
		}
	}
	pthread_mutex_unlock(&gs->lock);
	deliver(list);
}

static void
release_here(struct grants *gs, const char *target, uint64_t id, GArray *list)
{
	struct hosted *ho = g_hash_table_lookup(gs->hosted, target);
	GArray *actions;

	if (ho == NULL)
		return;
	actions = arbiter_actions_new();
	arbiter_release(ho->arb, id, now_us(gs), actions);
	run_actions(gs, target, ho->arb, actions, list);
}

void
grants_release(struct grants *gs, uint64_t id)
{
	GArray *list = deliveries_new();
	struct held *h;

	pthread_mutex_lock(&gs->lock);
	h = g_hash_table_lookup(gs->held, &id);
	if (h != NULL) {
		struct route route = h->route;
		bool here = grants_is_local(gs, h);

		release_local_share(gs, h);
		if (!here)
			send_notification(gs, h, kNotifyRelease);
		g_hash_table_remove(gs->held, &id);
		if (here)
			release_here(gs, route.target, id, list);
	}
	pthread_mutex_unlock(&gs->lock);
	deliver(list);
}

static void
deliver_crash(struct grants *gs, struct held *h,
    enum arbiter_crash_verdict verdict, GArray *list)
{
	delivery_add(list, h, kWireRefused, 0);
	g_array_index(list, struct delivery, list->len - 1).is_crash = true;
	g_array_index(list, struct delivery, list->len - 1).crash = verdict;
	release_local_share(gs, h);
	g_hash_table_remove(gs->held, &h->req.id);
}

void
grants_report_crash(struct grants *gs, uint64_t id)
{
	GArray *list = deliveries_new();
	struct held *h;

	pthread_mutex_lock(&gs->lock);
	h = g_hash_table_lookup(gs->held, &id);
	if (h != NULL && grants_is_local(gs, h)) {
		struct arbiter *arb = hosted_get(gs, h->route.target);
		GArray *actions = arbiter_actions_new();
		enum arbiter_crash_verdict verdict = kCrashSuspect;
		char target[kMemberAddressMax];

		TEXT_ASSIGN(target, h->route.target);
		if (arb != NULL)
			verdict = arbiter_crash(arb, id, now_us(gs), actions);
		deliver_crash(gs, h, verdict, list);
		if (arb != NULL)
			run_actions(gs, target, arb, actions, list);
		else
			g_array_unref(actions);
	} else if (h != NULL) {
		h->phase = kHeldCrashed;
		h->requested_us = now_us(gs);
		send_notification(gs, h, kNotifyCrash);
	}
	pthread_mutex_unlock(&gs->lock);
	deliver(list);
}

void
grants_set_leaving(struct grants *gs, const char *target, bool is_leaving)
{
	GArray *list = deliveries_new();
	struct hosted *ho;

	pthread_mutex_lock(&gs->lock);
	ho = g_hash_table_lookup(gs->hosted, target);
	if (ho != NULL) {
		GArray *actions = arbiter_actions_new();

		arbiter_set_leaving(ho->arb, is_leaving, now_us(gs), actions);
		run_actions(gs, target, ho->arb, actions, list);
	}
	pthread_mutex_unlock(&gs->lock);
	deliver(list);
}

void
grants_remove_daemon(struct grants *gs, const char *address)
{
	GArray *list = deliveries_new();
	uint32_t holder;
	GHashTableIter it;
	void *val;

	pthread_mutex_lock(&gs->lock);
	holder = holder_index_get(gs, address);
	g_hash_table_iter_init(&it, gs->hosted);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct hosted *ho = val;
		GArray *actions = arbiter_actions_new();

		arbiter_remove_holder(ho->arb, holder, now_us(gs), actions);
		run_actions(gs, ho->target, ho->arb, actions, list);
	}
	pthread_mutex_unlock(&gs->lock);
	deliver(list);
}

/* Transfers a request or grant to the target's current arbiter. */
static void
move_to_arbiter(struct grants *gs, struct held *h, GArray *list)
{
	bool running = h->phase == kHeldGranted || h->phase == kHeldLocal;

	if (!grants_is_local(gs, h)) {
		request_from_peer(gs, h, running);
		if (!running)
			h->phase = kHeldRequested;
		return;
	}
	if (!running) {
		request_here(gs, h, list);
	} else {
		struct arbiter *arb = hosted_get(gs, h->route.target);
		GArray *actions = arbiter_actions_new();

		if (arb == NULL) {
			g_array_unref(actions);
			return;
		}
		arbiter_adopt(
		    arb, &h->req, h->has_first_token, now_us(gs), actions);
		run_actions(gs, h->route.target, arb, actions, list);
	}
}

static void
update_hosted(struct grants *gs)
{
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, gs->hosted);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct hosted *ho = val;
		struct arbiter_options opt;
		struct route route;
		int64_t budget_us;

		if (!routes_target(
			gs->d->routes, ho->target, &route, &budget_us)) {
			g_hash_table_iter_remove(&it);
			continue;
		}
		opt = arbiter_options_for(&route, budget_us);
		arbiter_configure(ho->arb, &opt);
	}
}

/* Requests for targets that exist no more; nothing else would answer them. */
static void
turn_away_from_removed(struct grants *gs, GArray *list)
{
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, gs->held);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct held *h = val;

		if ((h->phase != kHeldRequested && h->phase != kHeldQueued) ||
		    is_listed(gs, h))
			continue;
		delivery_add(list, h, kWireLeaving, 0);
		g_hash_table_iter_remove(&it);
	}
}

static GPtrArray *
held_with_moved_arbiter(struct grants *gs)
{
	GPtrArray *moved = g_ptr_array_new();
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, gs->held);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct held *h = val;
		struct route route;
		int64_t budget_us;

		if (!routes_target(
			gs->d->routes, h->route.target, &route, &budget_us) ||
		    strcmp(route.arbiter, h->route.arbiter) == 0)
			continue;
		h->route = route;
		g_ptr_array_add(moved, h);
	}
	return moved;
}

void
grants_routes_changed(struct grants *gs)
{
	GArray *list = deliveries_new();
	GPtrArray *moved;

	pthread_mutex_lock(&gs->lock);
	update_hosted(gs);
	turn_away_from_removed(gs, list);
	moved = held_with_moved_arbiter(gs);
	for (guint i = 0; i < moved->len; i++)
		move_to_arbiter(gs, moved->pdata[i], list);
	g_ptr_array_unref(moved);
	pthread_mutex_unlock(&gs->lock);
	deliver(list);
}

void
grants_record_load_report(struct grants *gs, const char *target,
    int32_t streams, int32_t prompt_tokens, int64_t step_us)
{
	struct hosted *ho;

	pthread_mutex_lock(&gs->lock);
	ho = g_hash_table_lookup(gs->hosted, target);
	if (ho != NULL && streams > 0 && step_us > 0)
		arbiter_observe_step(ho->arb, streams, prompt_tokens, step_us);
	pthread_mutex_unlock(&gs->lock);
}

void
grants_on_request(
    struct grants *gs, const char *from, const Sfpeer__GrantAsk *wire)
{
	GArray *list = deliveries_new();
	GArray *actions = arbiter_actions_new();
	int64_t now = now_us(gs);
	struct admission_request req = {
	    .id = wire->id,
	    .work_class = wire->batch ? kWorkBatch : kWorkOnline,
	    .prompt_tokens = (int32_t)wire->prompt_tokens,
	    .team = wire->team,
	    .weight = (int32_t)wire->weight,
	    .is_suspect = wire->suspect,
	    .is_last_resort = wire->last_resort,
	};
	struct arbiter_action queued = {kArbiterGranted, 0, wire->id, 0};
	struct arbiter *arb;

	req.deadline_us =
	    now + (int64_t)MIN(wire->deadline_in_us, INT64_MAX / 4);
	req.due_us = now + (int64_t)MIN(wire->due_in_us, INT64_MAX / 4);
	pthread_mutex_lock(&gs->lock);
	req.holder = holder_index_get(gs, from);
	queued.holder = req.holder;
	arb = hosted_get(gs, wire->target);
	if (arb != NULL)
		grants_hear_rate(gs, arb, wire->rate);
	if (arb == NULL) {
		answer_peer(gs, &queued, kWireUnknown, 0, NULL);
		g_array_unref(actions);
	} else if (wire->adopt) {
		arbiter_adopt(arb, &req, wire->has_first_token, now, actions);
		run_actions(gs, wire->target, arb, actions, list);
	} else {
		arbiter_request(arb, &req, now, actions);
		/* Batch requests get no queued answer, as waiting is their
		 * normal state. */
		if (!wire->batch && !has_action_for(actions, req.id))
			answer_peer(gs, &queued, kWireQueued, 0, NULL);
		run_actions(gs, wire->target, arb, actions, list);
	}
	pthread_mutex_unlock(&gs->lock);
	deliver(list);
}

/* Releases a slot granted to a request that no longer exists. */
static void
release_unclaimed(struct grants *gs, const char *from, uint64_t id)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__GrantNote notification = SFPEER__GRANT_NOTE__INIT;
	Sfpeer__GrantNote *notes[] = {&notification};

	notification.id = id;
	notification.kind = kNotifyRelease;
	env.n_notes = 1;
	env.notes = notes;
	peer_send(gs->d->peer, from, &env, kPeerControl);
}

void
grants_on_answer(
    struct grants *gs, const char *from, const Sfpeer__GrantAnswer *answer)
{
	GArray *list = deliveries_new();
	uint64_t id = answer->id;
	struct held *h;

	pthread_mutex_lock(&gs->lock);
	h = g_hash_table_lookup(gs->held, &id);
	if (h == NULL) {
		if (answer->verdict == kWireGranted)
			release_unclaimed(gs, from, id);
	} else if (answer->crash_verdict > 0) {
		deliver_crash(gs, h, answer->crash_verdict - 1, list);
	} else {
		routes_record_load(
		    gs->d->routes, h->route.target, (int64_t)answer->load_us);
		if (answer->verdict == kWireGranted)
			grants_learn_rate(gs, h, answer->rate);
		apply_verdict(gs, id, answer->verdict,
		    (int64_t)answer->retry_after_us, list);
	}
	pthread_mutex_unlock(&gs->lock);
	deliver(list);
}

static void
release_on_all(struct grants *gs, uint64_t id, GArray *list)
{
	GHashTableIter it;
	void *key;

	g_hash_table_iter_init(&it, gs->hosted);
	while (g_hash_table_iter_next(&it, &key, NULL))
		release_here(gs, key, id, list);
}

static void
handle_crash_notification(struct grants *gs, const char *from,
    struct hosted *ho, uint64_t id, GArray *list)
{
	Sfpeer__GrantAnswer answer = SFPEER__GRANT_ANSWER__INIT;
	GArray *actions = arbiter_actions_new();

	answer.id = id;
	answer.crash_verdict =
	    1 + (uint32_t)arbiter_crash(ho->arb, id, now_us(gs), actions);
	send_answer(gs, holder_index_get(gs, from), &answer);
	run_actions(gs, ho->target, ho->arb, actions, list);
}

void
grants_on_notification(
    struct grants *gs, const char *from, const Sfpeer__GrantNote *notification)
{
	GArray *list = deliveries_new();
	struct hosted *ho;

	pthread_mutex_lock(&gs->lock);
	ho = g_hash_table_lookup(gs->hosted, notification->target);
	if (ho == NULL) {
		release_on_all(gs, notification->id, list);
	} else if (notification->kind == kNotifyFirstToken) {
		GArray *actions = arbiter_actions_new();

		arbiter_first_token(
		    ho->arb, notification->id, now_us(gs), actions);
		run_actions(gs, ho->target, ho->arb, actions, list);
	} else if (notification->kind == kNotifyCrash) {
		handle_crash_notification(gs, from, ho, notification->id, list);
	} else {
		release_here(gs, ho->target, notification->id, list);
	}
	pthread_mutex_unlock(&gs->lock);
	deliver(list);
}

static void
use_local_share(struct grants *gs, struct held *h, GArray *list)
{
	uint64_t id = h->req.id;

	struct target_start start = {h->route.target, 0};

	if (target_rates_find(gs->rates, &start) != NULL ||
	    !local_share_acquire(
		gs->local, h->route.target, h->route.slots, h->route.daemons)) {
		delivery_add(list, h, kWireRefused, kLocalRefusalRetryUs);
		g_hash_table_remove(gs->held, &id);
		return;
	}
	metric_add(kMetFallbacks, 1);
	log_event(kEvtArbiterFallback, "target", h->route.target, "arbiter",
	    h->route.arbiter, NULL);
	h->uses_local_share = true;
	h->phase = kHeldLocal;
	delivery_add(list, h, kWireGranted, 0);
}

/* Handles time-outs and retries of a request that waits for a peer. */
static void
held_tick(struct grants *gs, struct held *h, int64_t now, GArray *list)
{
	int64_t waited_us = now - h->requested_us;
	int64_t timeout_us = gs->d->set->grant_timeout_ms * kUsPerMs;
	bool is_batch = h->req.work_class == kWorkBatch;

	if (h->phase == kHeldCrashed && waited_us > timeout_us) {
		deliver_crash(gs, h, kCrashSuspect, list);
	} else if (grants_is_local(gs, h)) {
		return;
	} else if (h->phase == kHeldRequested && !is_batch &&
	    waited_us > timeout_us) {
		use_local_share(gs, h, list);
	} else if (h->phase == kHeldQueued && waited_us > kRequestRetryUs) {
		h->phase = kHeldRequested;
		request_from_peer(gs, h, false);
	} else if (h->phase == kHeldRequested && is_batch &&
	    waited_us > kBatchRequestRetryUs) {
		request_from_peer(gs, h, false);
	}
}

void
grants_tick(struct grants *gs)
{
	GArray *list = deliveries_new();
	int64_t now = now_us(gs);
	GPtrArray *waiting = g_ptr_array_new();
	GHashTableIter it;
	void *val;

	pthread_mutex_lock(&gs->lock);
	g_hash_table_iter_init(&it, gs->hosted);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct hosted *ho = val;
		GArray *actions = arbiter_actions_new();

		arbiter_tick(ho->arb, now, actions);
		run_actions(gs, ho->target, ho->arb, actions, list);
	}
	g_hash_table_iter_init(&it, gs->held);
	while (g_hash_table_iter_next(&it, NULL, &val))
		if (((struct held *)val)->phase != kHeldGranted)
			g_ptr_array_add(waiting, val);
	for (guint i = 0; i < waiting->len; i++)
		held_tick(gs, waiting->pdata[i], now, list);
	pthread_mutex_unlock(&gs->lock);
	g_ptr_array_unref(waiting);
	deliver(list);
}

json_t *
grants_status(struct grants *gs)
{
	json_t *list = json_array();
	GHashTableIter it;
	void *val;

	pthread_mutex_lock(&gs->lock);
	g_hash_table_iter_init(&it, gs->hosted);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct hosted *ho = val;
		struct arbiter_load load =
		    arbiter_load_get(ho->arb, now_us(gs));

		json_array_append_new(list,
		    json_pack("{s:s,s:i,s:i,s:i,s:i,s:I}", "target", ho->target,
			"online", load.online, "batch", load.batch,
			"online_queued", load.online_queued, "batch_queued",
			load.batch_queued, "first_token_us",
			(json_int_t)load.first_token_us));
	}
	pthread_mutex_unlock(&gs->lock);
	return list;
}

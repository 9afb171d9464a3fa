/* Slots of this daemon's requests: acquisition, renewal and release. */
#include "gateway/slots.h"

#include <string.h>
#include <xxhash.h>

#include "gateway/slots_internal.h"
#include "log/log.h"
#include "metric/metric.h"
#include "os/text_copy.h"
#include "savoryflow/arbiter/u64_hash.h"

enum {
	/* The team of requests without one, where there are teams. */
	kTeamNone = 1,
	kTickUs = 25 * kUsPerMs,
	/* Period while no answer is awaited. */
	kSlowTickUs = 150 * kUsPerMs,
	/* An arbiter that timed out is skipped for this time, or until a
	 * message from it arrives: an arbiter in use reports its load more
	 * often. */
	kSuspectUs = 8 * kUsPerS,
	kUnresponsiveMax = 2,
	/* Slots held for longer are renewed, so that the arbiter keeps them. */
	kRenewUs = 1500 * kUsPerMs,
	/* A batch request without a slot chooses among all pools again after
	 * this. */
	kBatchRechooseUs = 1000 * kUsPerMs,
	kLocalRetryUs = 300 * kUsPerMs,
	/* Period of asking an arbiter whether it keeps an overdue request. */
	kConfirmUs = 300 * kUsPerMs,
	/* A tick that is later than this may run before what has arrived is
	 * read. */
	kTickLateUs = 40 * kUsPerMs,
};

static void deliver_all(void *ctx);

static void tick(void *ctx);

static void
schedule_tick(struct slots *sl, int64_t at_us)
{
	loop_timer_cancel(sl->opt.lp, sl->timer);
	sl->next_tick_us = at_us;
	sl->timer = loop_timer(sl->opt.lp, at_us, tick, sl);
}

struct slots *
slots_new(const struct slots_options *opt)
{
	struct slots *sl = g_new0(struct slots, 1);

	sl->opt = *opt;
	sl->epoch = opt->seed;
	sl->next_id = opt->seed;
	sl->holds = u64_hash_new(g_free);
	sl->views =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	sl->hosted = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, slots_host_free);
	sl->holders = g_ptr_array_new_with_free_func(g_free);
	sl->deliveries = g_array_new(FALSE, TRUE, sizeof(struct delivery));
	sl->rates = target_rates_new();
	/* Holder 0 is this daemon. */
	slots_holder_index(sl, opt->address);
	loop_on_iteration_end(opt->lp, deliver_all, sl);
	schedule_tick(sl, loop_now_us(opt->lp) + kTickUs);
	return sl;
}

void
slots_free(struct slots *sl)
{
	loop_timer_cancel(sl->opt.lp, sl->timer);
	g_hash_table_unref(sl->holds);
	g_hash_table_unref(sl->hosted);
	g_hash_table_unref(sl->views);
	g_ptr_array_unref(sl->holders);
	g_array_unref(sl->deliveries);
	target_rates_free(sl->rates);
	g_free(sl);
}

void
slots_deliver(struct slots *sl, const struct delivery *del)
{
	g_array_append_vals(sl->deliveries, del, 1);
	loop_skip_wait(sl->opt.lp);
}

static void
deliver_refusal(struct slots *sl, uint64_t id, int64_t retry_after_us)
{
	struct delivery del = {.id = id,
	    .verdict = kSlotRefused,
	    .retry_after_us = retry_after_us};

	slots_deliver(sl, &del);
}

static void
request_from_arbiter(struct slots *sl, struct hold *h, const char *adopt_target)
{
	struct slot_request request = slots_remaining_request(sl, h);

	h->requested_count++;
	if (slots_is_hosted_here(sl, h))
		slots_host_request(sl, &request, h->service,
		    h->view->data_center, adopt_target);
	else
		slots_send_request(sl, h, adopt_target);
}

static void
assign_arbiter(struct slots *sl, struct hold *h)
{
	text_copy_or_none(
	    h->arbiter, sizeof(h->arbiter), slots_arbiter(sl, h->view));
}

static void
add_local_delta(struct hold *h, int32_t n)
{
	if (!h->request.is_batch && h->view != NULL)
		h->view->local_delta += n;
}

/* Requests a slot from the best pool; refuses if there is none. */
static void
request_from_pool(struct slots *sl, struct hold *h)
{
	int64_t retry_after_us;

	slots_expire_exclusion(sl, h);
	h->view = slots_choose_pool(sl, h, &retry_after_us);
	if (h->view == NULL && slots_end_exclusion(h))
		h->view = slots_choose_pool(sl, h, &retry_after_us);
	if (h->view == NULL && !h->request.is_batch &&
	    !h->request.is_last_resort && slots_all_unhealthy(sl, h->service)) {
		h->request.is_last_resort = true;
		h->tried_count = 0;
		h->view = slots_choose_pool(sl, h, &retry_after_us);
	}
	if (h->view == NULL) {
		deliver_refusal(
		    sl, h->request.id, MAX(retry_after_us, h->retry_after_us));
		return;
	}
	h->phase = kHoldRequested;
	h->requested_us = loop_now_us(sl->opt.lp);
	if (sl->next_tick_us > h->requested_us + kTickUs)
		schedule_tick(sl, h->requested_us + kTickUs);
	add_local_delta(h, 1);
	assign_arbiter(sl, h);
	request_from_arbiter(sl, h, NULL);
}

static void
set_team(struct slot_request *req, const struct slots_acquire_options *opt)
{
	const char *team = opt->team;

	if (!opt->has_teams)
		return;
	req->team = team != NULL && team[0] != '\0'
	    ? XXH3_64bits(team, strlen(team))
	    : kTeamNone;
	req->weight = opt->weight;
	req->priority = opt->priority;
}

uint64_t
slots_acquire(struct slots *sl, const struct slots_acquire_options *request,
    const struct slots_ops *ops, void *ctx)
{
	struct hold *h = g_new0(struct hold, 1);

	h->request.id = ++sl->next_id;
	h->acquired_us = loop_now_us(sl->opt.lp);
	h->request.is_batch = request->is_batch;
	h->request.deadline_us = request->deadline_us;
	h->request.expected_run_us = request->expected_run_us;
	h->request.prefix = request->prefix;
	h->request.parts = request->parts;
	if (!request->is_batch)
		set_team(&h->request, request);
	text_copy_or_none(h->request.excluded_target,
	    sizeof(h->request.excluded_target),
	    request->excluded_target != NULL ? request->excluded_target : "");
	h->is_exclusion_strict = request->is_exclusion_strict;
	text_copy_or_none(h->service, sizeof(h->service), request->service);
	h->ops = ops;
	h->ctx = ctx;
	g_hash_table_insert(sl->holds, &h->request.id, h);
	request_from_pool(sl, h);
	return h->request.id;
}

/* Releases the slot, or withdraws the request for it, at the arbiter. */
static void
release_at_arbiter(
    struct slots *sl, const struct hold *h, enum slot_outcome outcome)
{
	if (h->granted_us == 0)
		outcome = kSlotUnused;
	if (!slots_is_hosted_here(sl, h)) {
		slots_send_release(sl, h, outcome);
		return;
	}
	slots_host_record_run(
	    sl, h->service, h->view->data_center, h->request.id, &h->run);
	slots_host_release(
	    sl, h->service, h->view->data_center, h->request.id, outcome);
}

static void
release_hold(struct slots *sl, struct hold *h, enum slot_outcome outcome)
{
	if (h->view == NULL)
		return;
	add_local_delta(h, -1);
	release_at_arbiter(sl, h, outcome);
}

void
slots_record_run(
    struct slots *sl, uint64_t id, const struct slot_run_times *run)
{
	struct hold *h = g_hash_table_lookup(sl->holds, &id);

	if (h != NULL)
		h->run = *run;
}

void
slots_release(struct slots *sl, uint64_t id, enum slot_outcome outcome)
{
	struct hold *h = g_hash_table_lookup(sl->holds, &id);

	if (h == NULL)
		return;
	if (h->granted_us == 0)
		slots_log_wait(sl, h, "withdrawn");
	release_hold(sl, h, outcome);
	g_hash_table_remove(sl->holds, &id);
}

static void
on_arbiter_timeout(struct slots *sl, struct hold *h, int64_t now_us)
{
	log_event(kEvtArbiterSilent, "arbiter", h->arbiter, "waited_us",
	    log_number(now_us - h->requested_us), NULL);
	roster_suspect(sl->opt.roster, h->arbiter, now_us + kSuspectUs);
	sl->opt.wire->reconnect(sl->opt.wire_ctx, h->arbiter);
	h->unresponsive_count++;
	if (h->request.is_batch ||
	    (h->unresponsive_count < kUnresponsiveMax &&
		now_us <= h->request.deadline_us)) {
		/* The unresponsive arbiter may still grant a slot later. */
		release_hold(sl, h, kSlotNeutral);
		h->view = NULL;
		request_from_pool(sl, h);
		return;
	}
	if (!slots_grant_local_share(sl, h))
		deliver_refusal(sl, h->request.id, kLocalRetryUs);
}

static void
handle_grant(struct slots *sl, struct hold *h, const struct delivery *del)
{
	int64_t now_us = loop_now_us(sl->opt.lp);

	/* The arbiter's answer may arrive after a local grant. */
	if (h->granted_us != 0)
		return;
	slots_log_wait(sl, h, "granted");
	if (h->phase != kHoldLocal)
		h->phase = kHoldGranted;
	h->granted_us = now_us;
	h->renewed_us = now_us;
	h->is_rate_limited = del->is_rate_limited;
	TEXT_ASSIGN(h->target, del->target);
	h->ops->on_granted(h->ctx, h->request.id, del->target);
}

static void
record_unhealthy_pool(struct slots *sl, struct pool_view *view)
{
	view->load.slots = 0;
	view->load_at_us = loop_now_us(sl->opt.lp);
}

/* @return false if the refusal is final */
static bool
try_next_pool(struct slots *sl, struct hold *h, const struct delivery *del)
{
	bool is_tried_out = h->tried_count == kPoolsTriedMax;

	if (is_tried_out && !slots_end_exclusion(h))
		return false;
	add_local_delta(h, -1);
	h->retry_after_us = MAX(h->retry_after_us, del->retry_after_us);
	if (del->has_no_healthy_target)
		record_unhealthy_pool(sl, h->view);
	if (!is_tried_out)
		h->tried[h->tried_count++] = h->view;
	request_from_pool(sl, h);
	return true;
}

static void
handle_refusal(struct slots *sl, struct hold *h, const struct delivery *del)
{
	const struct slots_ops *ops = h->ops;
	void *ctx = h->ctx;

	if (h->phase == kHoldGranted || h->phase == kHoldLocal)
		return;
	if (h->view != NULL && try_next_pool(sl, h, del))
		return;
	slots_log_wait(sl, h, "refused");
	g_hash_table_remove(sl->holds, &del->id);
	ops->on_refused(ctx, del->id, del->retry_after_us);
}

static void
handle_delivery(struct slots *sl, const struct delivery *del)
{
	struct hold *h = g_hash_table_lookup(sl->holds, &del->id);

	if (h == NULL)
		return;
	/* The slot or the request was given back already; the refusal of this
	 * daemon follows. */
	if (h->view == NULL && del->verdict != kSlotRefused)
		return;
	switch (del->verdict) {
	case kSlotGranted:
		handle_grant(sl, h, del);
		break;
	case kSlotRefused:
		handle_refusal(sl, h, del);
		break;
	case kSlotRevoked:
		if (h->phase == kHoldGranted)
			h->ops->on_revoked(h->ctx, del->id);
		break;
	case kSlotQueued:
		if (h->phase == kHoldRequested)
			h->phase = kHoldQueued;
		break;
	case kSlotUnknownPool:
		if (h->phase == kHoldRequested)
			on_arbiter_timeout(sl, h, loop_now_us(sl->opt.lp));
		break;
	}
}

static void
deliver_all(void *ctx)
{
	struct slots *sl = ctx;

	for (guint i = 0; i < sl->deliveries->len; i++) {
		struct delivery del =
		    g_array_index(sl->deliveries, struct delivery, i);

		handle_delivery(sl, &del);
	}
	g_array_set_size(sl->deliveries, 0);
}

/* Handles a new arbiter of the pool, or a restart of the current one. */
static void
switch_arbiter(struct slots *sl, struct hold *h, int64_t now_us)
{
	if (slots_is_kept(sl, h))
		h->lost_us = now_us;
	/* Otherwise the old arbiter keeps the slot until its lease ends. */
	release_at_arbiter(sl, h, kSlotNeutral);
	assign_arbiter(sl, h);
	if (h->phase == kHoldGranted || h->phase == kHoldLocal) {
		h->renewed_us = now_us;
		request_from_arbiter(sl, h, h->target);
	} else {
		h->phase = kHoldRequested;
		h->requested_us = now_us;
		request_from_arbiter(sl, h, NULL);
	}
}

static bool
has_arbiter_changed(struct slots *sl, const struct hold *h)
{
	return strcmp(h->arbiter, slots_arbiter(sl, h->view)) != 0;
}

void
slots_reassign_arbiters(struct slots *sl)
{
	int64_t now_us = loop_now_us(sl->opt.lp);
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, sl->holds);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct hold *h = val;

		if (h->view != NULL && has_arbiter_changed(sl, h))
			switch_arbiter(sl, h, now_us);
	}
}

bool
slots_is_arbiter(const struct slots *sl)
{
	return g_hash_table_size(sl->hosted) > 0;
}

void
slots_remove_daemon(struct slots *sl, const char *address)
{
	slots_host_remove_holder(sl, address);
}

/* Decides a request that no arbiter decided within its bound. */
static void
end_wait(struct slots *sl, struct hold *h)
{
	if (!slots_is_kept(sl, h) && slots_grant_local_share(sl, h))
		return;
	release_hold(sl, h, kSlotNeutral);
	h->view = NULL;
	deliver_refusal(sl, h->request.id, kLocalRetryUs);
}

/* The arbiter may have lost the request, or be down. */
static void
confirm_queued(struct slots *sl, struct hold *h, int64_t now_us)
{
	if (now_us <= h->request.deadline_us ||
	    now_us - h->requested_us <= kConfirmUs)
		return;
	h->phase = kHoldRequested;
	h->requested_us = now_us;
	h->lost_us = now_us;
	request_from_arbiter(sl, h, NULL);
}

static void
tick_requested(struct slots *sl, struct hold *h, int64_t now_us)
{
	int64_t waited_us = now_us - h->requested_us;

	if (!slots_is_kept(sl, h) && waited_us > slots_answer_us(sl, h->view))
		on_arbiter_timeout(sl, h, now_us);
	else if (h->request.is_batch && waited_us > kBatchRechooseUs)
		h->phase = kHoldQueued;
}

static void
tick_queued(struct slots *sl, struct hold *h, int64_t now_us)
{
	if (!h->request.is_batch) {
		confirm_queued(sl, h, now_us);
		return;
	}
	if (now_us - h->requested_us <= kBatchRechooseUs)
		return;
	release_hold(sl, h, kSlotNeutral);
	h->tried_count = 0;
	request_from_pool(sl, h);
}

static void
hold_tick(struct slots *sl, struct hold *h, int64_t now_us)
{
	if (h->view == NULL)
		return;
	if (slots_is_wait_over(sl, h)) {
		end_wait(sl, h);
		return;
	}
	if (has_arbiter_changed(sl, h)) {
		switch_arbiter(sl, h, now_us);
		return;
	}
	switch (h->phase) {
	case kHoldRequested:
		tick_requested(sl, h, now_us);
		break;
	case kHoldQueued:
		tick_queued(sl, h, now_us);
		break;
	case kHoldGranted:
	case kHoldLocal:
		if (now_us - h->renewed_us > kRenewUs) {
			h->renewed_us = now_us;
			request_from_arbiter(sl, h, h->target);
		}
		break;
	}
}

/* True while an answer is awaited or given here, or may soon be overdue. */
static bool
needs_tick_soon(const struct slots *sl, int64_t now_us)
{
	GHashTableIter it;
	void *val;

	if (g_hash_table_size(sl->hosted) > 0)
		return true;
	g_hash_table_iter_init(&it, sl->holds);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		const struct hold *h = val;

		if (h->phase == kHoldRequested ||
		    (h->phase == kHoldQueued && !h->request.is_batch &&
			now_us + kSlowTickUs > h->request.deadline_us))
			return true;
	}
	return false;
}

/* The daemon was stopped: its arbiters had no time to answer it.
 * @return true if the tick is put off, once, until their answers are read */
static bool
put_off_late_tick(struct slots *sl, int64_t now_us)
{
	int64_t late_us = now_us - sl->next_tick_us;
	GHashTableIter it;
	void *val;

	sl->is_tick_put_off = late_us > kTickLateUs && !sl->is_tick_put_off;
	if (!sl->is_tick_put_off)
		return false;
	g_hash_table_iter_init(&it, sl->holds);
	while (g_hash_table_iter_next(&it, NULL, &val))
		if (((struct hold *)val)->phase == kHoldRequested)
			((struct hold *)val)->requested_us += late_us;
	schedule_tick(sl, now_us + kTickUs);
	return true;
}

static void
tick(void *ctx)
{
	struct slots *sl = ctx;
	int64_t now_us = loop_now_us(sl->opt.lp);
	GPtrArray *list;
	GHashTableIter it;
	void *val;

	if (put_off_late_tick(sl, now_us))
		return;
	list = g_ptr_array_new();
	slots_host_tick(sl, now_us);
	g_hash_table_iter_init(&it, sl->holds);
	while (g_hash_table_iter_next(&it, NULL, &val))
		g_ptr_array_add(list, val);
	for (guint i = 0; i < list->len; i++)
		hold_tick(sl, list->pdata[i], now_us);
	schedule_tick(
	    sl, now_us + (needs_tick_soon(sl, now_us) ? kTickUs : kSlowTickUs));
	g_ptr_array_unref(list);
}

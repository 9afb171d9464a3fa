/*
 * A silent target keeps its attempt: it may go on at any time. Meanwhile
 * another target is asked for a slot; the call moves there once it is granted.
 * Progress and every end of the running attempt withdraw that request.
 */
#include "log/log.h"
#include "metric/metric.h"
#include "os/text_copy.h"
#include "serve/call_internal.h"
#include "serve/grants.h"

enum {
	/* No caller's deadline bounds an item: an engine may have lost it. */
	kItemSilenceMaxUs = 60 * kUsPerS,
};

uint64_t
call_takeover_withdraw(struct call *c)
{
	uint64_t id = c->next_attempt;

	c->next_attempt = 0;
	return id;
}

/* The lock is held. */
static bool
may_move(const struct call *c)
{
	bool has_progress = c->stream.next_index > c->attempt_first_index;

	if (!c->retry.is_idempotent || c->is_revoked || c->next_attempt != 0)
		return false;
	return c->work_class == kWorkBatch || has_progress ||
	    c->retry.failures + 1 < c->retry.failures_max;
}

/* Whether the silent attempt ends now; counts it only if it does. The lock is
 * held. */
static bool
decide_move(struct call *c)
{
	struct retry_state retry = c->retry;
	struct item_retry item_retry = c->item_retry;
	long status = c->attempt_status;

	c->attempt_status = 0;
	if (call_decide_locked(c, kAttemptStalled).action == kRetryAgain)
		return true;
	c->retry = retry;
	c->item_retry = item_retry;
	c->attempt_status = status;
	return false;
}

/* Moves the call to the granted attempt; its first one ends at the cancel. */
static void
on_granted(void *ctx, uint64_t id)
{
	struct call *c = ctx;
	char silent_target[kMemberAddressMax];
	uint64_t silent_attempt = 0;
	GBytes *body = NULL;
	bool is_resumed = false;

	pthread_mutex_lock(&c->lock);
	if (c->next_attempt == id && c->phase == kPhaseRunning &&
	    !c->is_revoked) {
		c->next_attempt = 0;
		if (decide_move(c)) {
			silent_attempt = c->attempt;
			TEXT_ASSIGN(silent_target, c->route.target);
			call_discard_partial_answer(c);
			c->retry.may_have_run = true;
			c->attempt = id;
			c->route = c->next_route;
			is_resumed = c->is_engine && c->stream.next_index > 0;
			body = call_transfer_prepare(c);
		}
	}
	pthread_mutex_unlock(&c->lock);
	if (body == NULL) {
		grants_release(c->d->grants, id);
		return;
	}
	target_client_cancel(c->d->targets, silent_attempt);
	call_transfer_start(c, id, body);
	g_bytes_unref(body);
	call_log_failed_attempt(silent_target, kAttemptStalled);
	metric_add(kMetRetries, 1);
	if (is_resumed)
		metric_add(kMetResumes, 1);
	routes_record_outcome(c->d->routes, silent_target, kRouteFailed);
}

/* The next stall timeout asks again. */
static void
on_refused(void *ctx, uint64_t id, int64_t retry_after_us)
{
	struct call *c = ctx;

	pthread_mutex_lock(&c->lock);
	if (c->next_attempt == id)
		c->next_attempt = 0;
	pthread_mutex_unlock(&c->lock);
}

static void
on_leaving(void *ctx, uint64_t id)
{
	struct call *c = ctx;
	char target[kMemberAddressMax] = "";

	pthread_mutex_lock(&c->lock);
	if (c->next_attempt == id) {
		c->next_attempt = 0;
		TEXT_ASSIGN(target, c->next_route.target);
	}
	pthread_mutex_unlock(&c->lock);
	if (target[0] != '\0')
		call_record_leaving(c, target);
}

static const struct grant_ops takeover_ops = {on_granted, on_refused,
    on_leaving, on_refused, call_on_revoked, call_on_crash_verdict,
    call_ref_ctx, call_unref_ctx};

/* Asks for the slot. It may have been withdrawn before the request is known. */
static void
acquire(struct call *c, const struct admission_request *req,
    const struct route *route)
{
	bool is_wanted;

	grants_acquire(c->d->grants, req, route, &takeover_ops, c);
	pthread_mutex_lock(&c->lock);
	is_wanted = c->next_attempt == req->id || c->attempt == req->id;
	pthread_mutex_unlock(&c->lock);
	if (!is_wanted)
		grants_release(c->d->grants, req->id);
}

/* Asks another target for a slot, if there is one. */
static void
ask_elsewhere(struct call *c, uint64_t attempt, const char *silent_target)
{
	struct routing_query query = {
	    .service = c->service,
	    .prefix_hash = c->prefix_hash,
	    .prompt_tokens = c->prompt_tokens,
	    .excluded_target = silent_target,
	};
	struct admission_request req;
	struct route route;
	bool found = routes_choose_other(c->d->routes, &query, &route);

	log_event(kEvtAttemptSilent, "target", silent_target, "asked",
	    found ? route.target : "", NULL);
	if (!found)
		return;
	pthread_mutex_lock(&c->lock);
	found = call_is_current(c, attempt, kPhaseRunning) && may_move(c);
	if (found) {
		c->next_attempt = daemon_unique_id(c->d);
		c->next_route = route;
		call_fill_admission_request(c, c->next_attempt, &req);
	}
	pthread_mutex_unlock(&c->lock);
	if (found)
		acquire(c, &req, &route);
}

bool
call_takeover_on_silent(void *ctx, uint64_t attempt, int64_t silent_us)
{
	struct call *c = ctx;
	char target[kMemberAddressMax] = "";
	bool is_kept = true;

	pthread_mutex_lock(&c->lock);
	if (call_is_current(c, attempt, kPhaseRunning)) {
		bool has_answer =
		    c->is_engine && c->stream.status == kStreamComplete;

		is_kept = !has_answer &&
		    (c->work_class == kWorkOnline ||
			silent_us < kItemSilenceMaxUs);
		if (is_kept && may_move(c))
			TEXT_ASSIGN(target, c->route.target);
	}
	pthread_mutex_unlock(&c->lock);
	if (target[0] != '\0')
		ask_elsewhere(c, attempt, target);
	return is_kept;
}

/*
 * The wait of online requests for a slot. Each has a bound of its own that
 * holds whatever the arbiters do: its deadline if none keeps it, and the time
 * of late grants if one does.
 */
#include <string.h>

#include "gateway/slots_internal.h"
#include "log/log.h"
#include "metric/metric.h"
#include "os/text_copy.h"

enum {
	/* An arbiter may grant a queued request after its deadline. Past this
	 * time it is taken to have lost the request. */
	kLateGrantMaxUs = 1300 * kUsPerMs,
	/* An answer that is due at the deadline may still arrive. */
	kLateAnswerMaxUs = 40 * kUsPerMs,
	kLoggedWaitUs = 500 * kUsPerMs,
	kLoggedPerSecondMax = 32,
};

static bool
may_log(struct slots *sl, int64_t now_us)
{
	if (now_us - sl->wait_logged_us >= kUsPerS) {
		sl->wait_logged_us = now_us;
		sl->wait_logged_count = 0;
	}
	return sl->wait_logged_count++ < kLoggedPerSecondMax;
}

static const char *
phase_name(enum hold_phase phase)
{
	switch (phase) {
	case kHoldRequested:
		return "requested";
	case kHoldQueued:
		return "queued";
	case kHoldGranted:
		return "granted";
	case kHoldLocal:
		return "local";
	}
	return "";
}

void
slots_log_wait(struct slots *sl, const struct hold *h, const char *end)
{
	int64_t now_us = loop_now_us(sl->opt.lp);
	int64_t waited_us = now_us - h->acquired_us;
	int64_t late_us = now_us - h->request.deadline_us;

	if (h->request.is_batch || (waited_us < kLoggedWaitUs && late_us < 0) ||
	    !may_log(sl, now_us))
		return;
	log_event(kEvtSlotWaitLong, "service", h->service, "end", end, "phase",
	    phase_name(h->phase), "arbiter", h->arbiter, "waited_us",
	    log_number(waited_us), "at_arbiter_us",
	    log_number(now_us - h->requested_us), "late_us",
	    log_number(late_us), "requests", log_number(h->requested_count),
	    "silent", log_number(h->unresponsive_count), "refusals",
	    log_number(h->tried_count), NULL);
}

bool
slots_is_hosted_here(const struct slots *sl, const struct hold *h)
{
	return strcmp(h->arbiter, sl->opt.address) == 0;
}

bool
slots_is_kept(const struct slots *sl, const struct hold *h)
{
	return h->phase == kHoldQueued ||
	    (h->phase == kHoldRequested && slots_is_hosted_here(sl, h));
}

bool
slots_is_wait_over(struct slots *sl, const struct hold *h)
{
	int64_t deadline_us = h->request.deadline_us;
	int64_t last_us = deadline_us + kLateGrantMaxUs;
	int64_t limit_us = deadline_us + kLateAnswerMaxUs;

	if (h->request.is_batch || h->phase == kHoldGranted ||
	    h->phase == kHoldLocal)
		return false;
	if (slots_is_kept(sl, h))
		limit_us = last_us;
	else if (h->lost_us != 0)
		limit_us = CLAMP(h->lost_us + slots_answer_us(sl, h->view),
		    limit_us, last_us);
	return loop_now_us(sl->opt.lp) > limit_us;
}

static int32_t
count_held(const struct slots *sl, const char *target)
{
	int32_t n = 0;
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, sl->holds);
	while (g_hash_table_iter_next(&it, NULL, &val))
		if (strcmp(((struct hold *)val)->target, target) == 0)
			n++;
	return n;
}

/* The share is in use from now on, not only when the grant is delivered. */
static void
deliver_local_grant(
    struct slots *sl, struct hold *h, const struct fleet_target *t)
{
	struct delivery del = {.id = h->request.id, .verdict = kSlotGranted};

	h->phase = kHoldLocal;
	TEXT_ASSIGN(h->target, t->id);
	TEXT_ASSIGN(del.target, t->id);
	slots_deliver(sl, &del);
}

bool
slots_grant_local_share(struct slots *sl, struct hold *h)
{
	GPtrArray *all = fleet_list(sl->opt.fleet);
	const struct fleet_target *best = NULL;
	int32_t best_held = 0;
	int32_t daemons = roster_count(
	    sl->opt.roster, h->view->data_center, loop_now_us(sl->opt.lp));

	for (guint i = 0; i < all->len; i++) {
		const struct fleet_target *t = all->pdata[i];
		int32_t share = MAX(t->slots / MAX(daemons, 1), 1);
		int32_t held;

		if (strcmp(t->service, h->service) != 0 || t->is_draining ||
		    t->expires_at_us != 0 || slots_find_rate(sl, t) != NULL ||
		    strcmp(t->id, h->request.excluded_target) == 0 ||
		    strcmp(t->data_center, h->view->data_center) != 0)
			continue;
		held = count_held(sl, t->id);
		if (held < share && (best == NULL || held < best_held)) {
			best = t;
			best_held = held;
		}
	}
	if (best != NULL) {
		metric_add(kMetFallbacks, 1);
		log_event(kEvtArbiterFallback, "target", best->id, "arbiter",
		    h->arbiter, NULL);
		deliver_local_grant(sl, h, best);
	}
	g_ptr_array_unref(all);
	return best != NULL;
}

/* The wait of online requests for a slot. */
#include "gateway/slots_internal.h"
#include "log/log.h"

enum {
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

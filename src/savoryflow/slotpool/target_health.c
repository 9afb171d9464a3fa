/* Ejection and recovery of failing targets. */
#include "savoryflow/slotpool/target_health.h"

#include <string.h>

#include "os/clock.h"

enum {
	/* Faults after which a target is ejected. An incomplete answer counts
	 * as one: a healthy target may produce one occasionally. */
	kFaultsToEject = 2,
	/* First ejection; doubled for each consecutive one. */
	kEjectMinUs = 400 * kUsPerMs,
	/* A crashed target is back within a few seconds. */
	kEjectMaxUs = 2 * kUsPerS,
	kEjectDoublingsMax = 3,
	/* A target that has never served a request may not exist. */
	kEjectUnprovenMaxUs = 10 * kUsPerS,
	kEjectUnprovenDoublingsMax = 5,
	/* A full target has a free slot when its next request ends. */
	kFullUs = 60 * kUsPerMs,
	kPenaltyPerFault = 250,
	/* A target that served a request within this time is alive: a timeout
	 * counts as one fault only. */
	kRecentlyServedUs = kUsPerS,
};

void
target_health_reset(struct target_health *h)
{
	memset(h, 0, sizeof(*h));
}

bool
target_health_accepts_work(const struct target_health *h, int64_t now_us)
{
	if (h->ejected_until_us > now_us || h->full_until_us > now_us)
		return false;
	return h->ejections == 0 || !h->is_probing;
}

int64_t
target_health_penalty(const struct target_health *h)
{
	/* No penalty, so that an ejected target receives its probe. */
	if (h->ejections > 0)
		return 0;
	return (int64_t)kPenaltyPerFault * MIN(h->faults, kFaultsToEject);
}

void
target_health_record_start(struct target_health *h)
{
	if (h->ejections > 0)
		h->is_probing = true;
}

static void
eject(struct target_health *h, int64_t now_us)
{
	bool is_proven = h->last_served_us != 0;
	int64_t max_us = is_proven ? kEjectMaxUs : kEjectUnprovenMaxUs;
	int64_t span_us = (int64_t)kEjectMinUs
	    << MIN(h->ejections,
		   is_proven ? kEjectDoublingsMax : kEjectUnprovenDoublingsMax);

	/* Failures of requests sent before the ejection are no new evidence. */
	if (h->ejected_until_us > now_us)
		return;
	h->ejections++;
	h->is_probing = false;
	h->ejected_until_us = now_us + MIN(span_us, max_us);
}

static bool
has_served_recently(const struct target_health *h, int64_t now_us)
{
	return h->last_served_us != 0 &&
	    now_us - h->last_served_us < kRecentlyServedUs;
}

void
target_health_record_outcome(
    struct target_health *h, enum slot_outcome outcome, int64_t now_us)
{
	switch (outcome) {
	case kSlotServed:
		target_health_reset(h);
		h->last_served_us = now_us;
		return;
	case kSlotNeutral:
	case kSlotUnused:
		h->is_probing = false;
		return;
	case kSlotFull:
		h->is_probing = false;
		h->full_until_us = now_us + kFullUs;
		return;
	case kSlotFailed:
		h->faults++;
		break;
	case kSlotUnreachable:
		h->faults += kFaultsToEject;
		break;
	case kSlotUnresponsive:
		h->faults +=
		    has_served_recently(h, now_us) ? 1 : kFaultsToEject;
		break;
	}
	if (h->faults >= kFaultsToEject)
		eject(h, now_us);
}

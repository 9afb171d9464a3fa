#ifndef SAVORYFLOW_TARGET_HEALTH_H
#define SAVORYFLOW_TARGET_HEALTH_H

#include "savoryflow/slotpool/slotpool_defs.h"

/** What the outcomes of requests say of one target. */
struct target_health {
	/** Faults since the last answer that was whole. */
	int32_t faults;
	/** Ejections one after the other. */
	int32_t ejections;
	/** No work until then; one request probes it afterwards. */
	int64_t ejected_until_us;
	bool is_probing;
	/** Time of the last answer that was whole. */
	int64_t served_us;
	/** It said that it is full: no work until then. */
	int64_t full_until_us;
};

void target_health_reset(struct target_health *h);

/** True if the target may be given one more request. */
bool target_health_accepts_work(const struct target_health *h, int64_t now_us);

/** Added to the cost of a target that failed lately, in 1/1000 of it. */
int64_t target_health_penalty(const struct target_health *h);

void target_health_record_start(struct target_health *h);
void target_health_record_outcome(
    struct target_health *h, enum slot_outcome outcome, int64_t now_us);

#endif

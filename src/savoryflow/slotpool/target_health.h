#ifndef SAVORYFLOW_TARGET_HEALTH_H
#define SAVORYFLOW_TARGET_HEALTH_H

#include "savoryflow/slotpool/slotpool_defs.h"

/** Health of one target, derived from the outcomes of requests. */
struct target_health {
	/** Faults since the last complete answer. */
	int32_t faults;
	/** Consecutive ejections. */
	int32_t ejections;
	/** No requests until then; afterwards one request probes the target. */
	int64_t ejected_until_us;
	bool is_probing;
	/** Time of the last complete answer. */
	int64_t last_served_us;
	/** The target reported that it is full: no requests until then. */
	int64_t full_until_us;
};

void target_health_reset(struct target_health *h);

/** True if the target may receive one more request. */
bool target_health_accepts_work(const struct target_health *h, int64_t now_us);

/** Cost added for recent faults, in the unit of slot_target_cost: 1000 equals a
 * target with all slots in use. */
int64_t target_health_penalty(const struct target_health *h);

void target_health_record_start(struct target_health *h);
void target_health_record_outcome(
    struct target_health *h, enum slot_outcome outcome, int64_t now_us);

#endif

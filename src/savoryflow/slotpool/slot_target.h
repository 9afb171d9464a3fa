#ifndef SAVORYFLOW_SLOT_TARGET_H
#define SAVORYFLOW_SLOT_TARGET_H

#include "savoryflow/slotpool/target_health.h"

/** A target of a pool, with the slots that are in use. */
struct slot_target {
	struct fleet_target info;
	struct target_health health;
	int32_t online;
	int32_t batch;
	int32_t revoked;
	/** Paths from daemons to it: struct slot_path by holder. */
	GHashTable *paths;
	/** Set of the prefixes that it has read. */
	GHashTable *prefixes;
	/** Seen in the list that is being taken. */
	bool is_listed;
};

struct slot_target *slot_target_new(const struct fleet_target *info);
void slot_target_free(void *p);

/** Takes what the list says now; a restart clears what was known. */
void slot_target_update(struct slot_target *t, const struct fleet_target *info);

/** True if the target may be given work at all. */
bool slot_target_accepts_work(
    const struct slot_target *t, bool ignore_health, int64_t now_us);

/** True unless requests of the daemon have just failed to reach it, while
 * those of others did not. */
bool slot_target_is_reachable_from(
    const struct slot_target *t, uint32_t holder, int64_t now_us);

/** Counts the targets that may be given work, and those of them that the daemon
 * reaches. @param targets struct slot_target by id */
void slot_targets_count_reachable(GHashTable *targets, uint32_t holder,
    int64_t now_us, int32_t *all, int32_t *reached);

/** The use of a slot by a daemon has ended. */
void slot_target_record_outcome(struct slot_target *t, uint32_t holder,
    enum slot_outcome outcome, int64_t now_us);

bool slot_target_has_free_slot(const struct slot_target *t);

/** The lower the better: share of slots in use, faults, kept prefixes. */
int64_t slot_target_cost(
    const struct slot_target *t, const struct slot_request *ask);

/** The target reads a prefix. */
void slot_target_record_prefix(struct slot_target *t, uint64_t prefix);

#endif

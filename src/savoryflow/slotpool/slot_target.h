#ifndef SAVORYFLOW_SLOT_TARGET_H
#define SAVORYFLOW_SLOT_TARGET_H

#include "savoryflow/limits/start_rate.h"
#include "savoryflow/slotpool/kept_parts.h"
#include "savoryflow/slotpool/target_health.h"
#include "savoryflow/slotpool/target_pace.h"

/** A target of a pool and the slots in use on it. */
struct slot_target {
	struct fleet_target info;
	struct target_health health;
	struct start_rate rate;
	/** An answer to a run of this pool has named or ended the rate: what
	 * other daemons have heard counts no more. */
	bool is_rate_known;
	/** Since slotpool_take_starts. */
	struct slotpool_starts starts;
	int32_t online;
	int32_t batch;
	int32_t revoked;
	/** Outcomes by requesting daemon: struct slot_path by holder. */
	GHashTable *paths;
	/** Set of the hashes of prompt prefixes that it has processed; only the
	 * previous policy fills it. */
	GHashTable *prefixes;
	struct kept_parts *kept;
	struct target_pace pace;
	/** Present in the target list that is being applied. */
	bool is_listed;
};

struct slot_target *slot_target_new(const struct fleet_target *info);
void slot_target_free(void *p);

/** Applies the target's list entry; a restart clears the learned state. */
void slot_target_update(struct slot_target *t, const struct fleet_target *info);

/** True if the target accepts work, whichever daemon sends it. */
bool slot_target_accepts_work(
    const struct slot_target *t, bool ignore_health, int64_t now_us);

/** False if requests of the daemon have just failed to reach the target while
 * those of other daemons succeeded. */
bool slot_target_is_reachable_from(
    const struct slot_target *t, uint32_t holder, int64_t now_us);

/**
 * Counts the targets that accept work, and those of them that the daemon
 * reaches.
 * @param targets struct slot_target by id
 * @param excluded id of a target that is left out; may be empty
 */
void slot_targets_count_reachable(GHashTable *targets, uint32_t holder,
    const char *excluded, int64_t now_us, int32_t *all, int32_t *reached);

/** Whether a target other than the excluded one takes requests, whatever its
 * health. */
bool slot_targets_has_other(GHashTable *targets, const char *excluded);

/** Records how a daemon's use of a slot ended. */
void slot_target_record_outcome(struct slot_target *t, uint32_t holder,
    enum slot_outcome outcome, int64_t now_us);

bool slot_target_has_free_slot(const struct slot_target *t);

/** Cost of placing the request here, lower is better: share of slots in use,
 * recent faults, a rate, cached prefix. The previous policy, for benchmarks. */
int64_t slot_target_cost(const struct slot_target *t,
    const struct slot_request *req, int64_t now_us);

/**
 * Expected time to the request's first event here, lower is better, in the unit
 * of slot_target_cost: the share of slots in use, longer at slow targets, less
 * what it saves that parts of the prompt are kept.
 * @param usual_us mean time between events over all targets of the pool
 */
int64_t slot_target_first_event_cost(const struct slot_target *t,
    const struct slot_request *req, int64_t usual_us, int64_t now_us);

/** Rank of the target for a daemon among targets of equal cost, higher is
 * better; always the same, so that the daemon uses its connections again. */
uint64_t slot_target_rank(const struct slot_target *t, uint32_t holder);

/** Records that the target processes a prompt prefix, for slot_target_cost. */
void slot_target_record_prefix(struct slot_target *t, uint64_t prefix);

/** Records that the target processes the request's prompt, for
 * slot_target_first_event_cost. */
void slot_target_record_prompt(
    struct slot_target *t, const struct slot_request *req);

#endif

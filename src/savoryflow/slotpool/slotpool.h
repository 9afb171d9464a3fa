#ifndef SAVORYFLOW_SLOTPOOL_H
#define SAVORYFLOW_SLOTPOOL_H

#include "savoryflow/slotpool/slotpool_defs.h"

/*
 * Slot admission for the targets of one service in one data centre, across all
 * daemons. Online requests go before batch: if no slot is free, an online
 * request preempts the batch item that batch_rank.h ranks last. Requests that
 * cannot start in time are refused at once; a queued request that misses its
 * deadline may still start late, up to a limit, before it is refused. All state
 * is soft. No I/O, no clock.
 *
 * A target that names a rate gets starts at that rate (start_rate.h), and
 * others are preferred.
 *
 * Functions with a parameter `out` append struct slotpool_action to it.
 */
struct slotpool;

struct slotpool *slotpool_new(void);
void slotpool_free(struct slotpool *sp);

/** Selects the rule for the choice of a target; benchmarks compare them. */
void slotpool_set_choice(struct slotpool *sp, enum slot_choice choice);

/** New array of struct slotpool_action. */
GArray *slotpool_actions_new(void);

/** Replaces the target list: array of const struct fleet_target *. */
void slotpool_set_targets(
    struct slotpool *sp, const GPtrArray *targets, int64_t now_us, GArray *out);

/**
 * Sets whether batch items may start. A fallback arbiter, which acts because it
 * cannot reach the regular one, must leave free slots alone: the regular
 * arbiter may be filling them too.
 */
void slotpool_allow_batch(struct slotpool *sp, bool is_allowed);

/**
 * Sets whether requests may start on targets that name a rate. Of arbiters that
 * act at the same time only one may count their starts.
 */
void slotpool_allow_limited(
    struct slotpool *sp, bool is_allowed, int64_t now_us);

/** Applies what a target says of its rate. @return true if that changed */
bool slotpool_record_rate(struct slotpool *sp, const struct slotpool_rate *rate,
    int64_t now_us, GArray *out);

/** The targets that name a rate: array of struct slotpool_rate, whose names are
 * borrowed. */
GArray *slotpool_rates(const struct slotpool *sp, int64_t now_us);

/** Requests a slot: granted or refused at once, or queued. */
void slotpool_request(struct slotpool *sp, const struct slot_request *req,
    int64_t now_us, GArray *out);

/** Renews a slot in use, or takes it over from another arbiter. */
void slotpool_adopt(struct slotpool *sp, const struct slot_request *req,
    const char *target, int64_t now_us);

/** Learns from the run of a slot, before its release. */
void slotpool_record_run(struct slotpool *sp, uint64_t id,
    const struct slot_run_times *run, int64_t now_us);

/** Releases a slot, or withdraws a queued request. */
void slotpool_release(struct slotpool *sp, uint64_t id,
    enum slot_outcome outcome, int64_t now_us, GArray *out);

/** Frees the slots and drops the requests of a daemon that is down. */
void slotpool_remove_holder(
    struct slotpool *sp, uint32_t holder, int64_t now_us, GArray *out);

/** Advances the time: handles queued requests that are overdue and expires
 * slots that were not renewed. */
void slotpool_tick(struct slotpool *sp, int64_t now_us, GArray *out);

struct slotpool_load slotpool_load_get(
    const struct slotpool *sp, int64_t now_us);

/** Starts since the last call. */
struct slotpool_starts slotpool_take_starts(struct slotpool *sp);

/** Expected wait of one more online request, in microseconds. */
int64_t slotpool_wait_us(const struct slotpool_load *load);

/** Batch items that may start now, net of what is queued. */
int32_t slotpool_batch_room(const struct slotpool_load *load);

#endif

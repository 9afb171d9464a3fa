#ifndef SAVORYFLOW_SLOTPOOL_H
#define SAVORYFLOW_SLOTPOOL_H

#include "savoryflow/slotpool/slotpool_defs.h"

/*
 * Admission to the targets of one service in one data centre, for all daemons.
 * Online goes before batch: with no slot free it takes that of the batch item
 * that batch_rank.h puts last. What can't start in time is refused at once;
 * what was queued and could not start in time after all starts late rather than
 * never. All state is soft. No I/O, no clock.
 *
 * Functions that take `out` append struct slotpool_action to it.
 */
struct slotpool;

struct slotpool *slotpool_new(void);
void slotpool_free(struct slotpool *sp);

/** New array of struct slotpool_action. */
GArray *slotpool_actions_new(void);

/** Takes the present targets: array of const struct fleet_target *. */
void slotpool_set_targets(
    struct slotpool *sp, const GPtrArray *targets, int64_t now_us, GArray *out);

/**
 * Whether batch may start. An arbiter that only stands in for one that it
 * cannot reach leaves the free slots alone: the other one may fill them too.
 */
void slotpool_allow_batch(struct slotpool *sp, bool is_allowed);

/** Asks for a slot: granted or refused at once, or queued. */
void slotpool_request(struct slotpool *sp, const struct slot_request *ask,
    int64_t now_us, GArray *out);

/** Renews a slot in use, or adopts it from another arbiter. */
void slotpool_adopt(struct slotpool *sp, const struct slot_request *ask,
    const char *target, int64_t now_us);

/** A slot is given back, or a queued request withdrawn. */
void slotpool_release(struct slotpool *sp, uint64_t id,
    enum slot_outcome outcome, int64_t now_us, GArray *out);

/** The daemon is gone: its slots are free and its requests dropped. */
void slotpool_remove_holder(
    struct slotpool *sp, uint32_t holder, int64_t now_us, GArray *out);

/** Moves the time on: requests that wait too long, slots never returned. */
void slotpool_tick(struct slotpool *sp, int64_t now_us, GArray *out);

struct slotpool_load slotpool_load_get(
    const struct slotpool *sp, int64_t now_us);

/** Expected wait of one more online request. */
int64_t slotpool_wait_us(const struct slotpool_load *load);

#endif

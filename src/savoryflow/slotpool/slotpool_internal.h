#ifndef SAVORYFLOW_SLOTPOOL_INTERNAL_H
#define SAVORYFLOW_SLOTPOOL_INTERNAL_H

#include "savoryflow/slotpool/slot_queue.h"
#include "savoryflow/slotpool/slot_target.h"
#include "savoryflow/slotpool/slotpool.h"

/* Private state of a pool. */

struct slot {
	struct slot_request req;
	char target[kFleetNameMax];
	int64_t since_us;
	/** Slot time that its team was charged for the start; 0: none. */
	int64_t charged_us;
	bool is_revoked;
	/** Started by another arbiter, or without one. */
	bool is_adopted;
	int64_t expires_us;
};

struct slotpool {
	/** struct slot_target by id. */
	GHashTable *targets;
	/** struct slot by id. */
	GHashTable *slots;
	struct slot_queue *queue;
	enum slot_choice choice;
	int64_t hold_us;
	/** Mean time between events over all runs; 0: unknown. */
	int64_t pace_us;
	/** Online requests have to queue, and since when. */
	bool is_full;
	int64_t full_since_us;
	/** Batch items may not start; see slotpool_allow_batch. */
	bool is_batch_paused;
	/** Nor may any request on a target that names a rate. */
	bool is_limited_paused;
};

/** Whether the request may run on the target. */
bool slotpool_may_run_on(const struct slot_target *t,
    const struct slot_request *req, int64_t now_us);

/** Whether the target takes one more request at its rate. */
bool slotpool_has_start(const struct slotpool *sp, const struct slot_target *t,
    const struct slot_request *req, int64_t now_us);

/** The target with a free slot where the request may start that suits it best;
 * NULL if there is none. */
struct slot_target *slotpool_choose_free(
    struct slotpool *sp, const struct slot_request *req, int64_t now_us);

/** Applies a rate without starting requests. @return true if it changed */
bool slotpool_apply_rate(
    struct slotpool *sp, const struct slotpool_rate *rate, int64_t now_us);

/** Time after which a refused request should come again. */
int64_t slotpool_retry_after_us(const struct slotpool *sp,
    const struct slot_request *req, const struct slotpool_load *load,
    int64_t now_us);

#endif

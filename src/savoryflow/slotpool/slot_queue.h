#ifndef SAVORYFLOW_SLOT_QUEUE_H
#define SAVORYFLOW_SLOT_QUEUE_H

#include "savoryflow/slotpool/slotpool_defs.h"

/** Requests waiting for a slot: online by deadline, batch by batch_rank.h. */
struct slot_queue;

struct slot_queue *slot_queue_new(void);
void slot_queue_free(struct slot_queue *sq);

/** Adds a request; its id must not be queued yet. */
void slot_queue_add(struct slot_queue *sq, const struct slot_request *req);

/** Removes a request; no effect if it is not queued. */
void slot_queue_remove(struct slot_queue *sq, uint64_t id);

void slot_queue_remove_holder(struct slot_queue *sq, uint32_t holder);

bool slot_queue_has(const struct slot_queue *sq, uint64_t id);
int32_t slot_queue_len(const struct slot_queue *sq, bool is_batch);

/** Copies the request at a position from the front. @return false if out of
 * range */
bool slot_queue_at(const struct slot_queue *sq, bool is_batch, int32_t pos,
    struct slot_request *req);

/** Requests at the front of a queue that cannot start yet. */
struct slot_queue_skipped {
	/** Their daemons do not reach the free slots. */
	int32_t unreachable;
	/** They avoid the targets with free slots. */
	int32_t avoiding;
};

void slot_queue_skip(
    struct slot_queue_skipped *skipped, const struct slot_request *req);

/** Copies the first request after the skipped ones. @return false if there is
 * none or too many were skipped */
bool slot_queue_next(const struct slot_queue *sq, bool is_batch,
    const struct slot_queue_skipped *skipped, struct slot_request *req);

/** Moves batch items that can no longer meet their deadline behind those that
 * can. */
void slot_queue_demote_late_batch(struct slot_queue *sq, int64_t now_us);

#endif

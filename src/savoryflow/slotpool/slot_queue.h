#ifndef SAVORYFLOW_SLOT_QUEUE_H
#define SAVORYFLOW_SLOT_QUEUE_H

#include "savoryflow/slotpool/slotpool_defs.h"

/**
 * Requests waiting for a slot. Batch goes by batch_rank.h. Online goes by team:
 * first teams that get less than a third of the mean, then requests that are
 * not late, then by priority, then the team that is furthest behind; within a
 * team by deadline. Without teams, that is by deadline.
 */
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

/** Copies the online request with the earliest deadline. @return false if there
 * is none */
bool slot_queue_most_urgent(
    const struct slot_queue *sq, struct slot_request *req);

/** Requests that cannot start yet, though they come before others. */
struct slot_queue_skipped {
	/** Their daemons do not reach the free slots. */
	int32_t unreachable;
	/** They avoid the targets with free slots. */
	int32_t avoiding;
	/** Marks the online requests among them. */
	uint64_t pass;
};

void slot_queue_skip(struct slot_queue *sq, struct slot_queue_skipped *skipped,
    const struct slot_request *req);

/** Copies the first request after the skipped ones. @return false if there is
 * none or too many were skipped */
bool slot_queue_next(const struct slot_queue *sq, bool is_batch,
    const struct slot_queue_skipped *skipped, struct slot_request *req);

/** Online requests that are likely to start before this one, which is not
 * queued.
 * @param usual_us mean slot time of a request */
int32_t slot_queue_ahead(const struct slot_queue *sq,
    const struct slot_request *req, int64_t usual_us);

/** Charges an online request that starts to its team.
 * @return the charge */
int64_t slot_queue_charge(
    struct slot_queue *sq, const struct slot_request *req, int64_t usual_us);

/** Corrects the charge of an online request that held its slot for a time. */
void slot_queue_settle(struct slot_queue *sq, const struct slot_request *req,
    int64_t charged_us, int64_t held_us);

/** Ages the accounts of the teams. */
void slot_queue_age(struct slot_queue *sq, int64_t now_us);

/** Moves batch items that can no longer meet their deadline behind those that
 * can. */
void slot_queue_demote_late_batch(struct slot_queue *sq, int64_t now_us);

#endif

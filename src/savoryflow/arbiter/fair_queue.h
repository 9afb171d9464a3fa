#ifndef SAVORYFLOW_FAIR_QUEUE_H
#define SAVORYFLOW_FAIR_QUEUE_H

#include "savoryflow/arbiter/arbiter_defs.h"

/*
 * Queue of batch requests: weighted fair sharing between teams, earliest due
 * time first within a team. Urgent requests precede all others. Operations
 * take logarithmic time.
 */
struct fair_queue;

struct fair_queue *fair_queue_new(void);
void fair_queue_free(struct fair_queue *fq);

int32_t fair_queue_length(const struct fair_queue *fq);

/** Adds a request; its id must not be queued already. */
void fair_queue_push(
    struct fair_queue *fq, const struct admission_request *req);

/**
 * Removes the next request and returns it in req.
 * @param urgent_us requests due before this time are urgent
 * @return false if the queue is empty
 */
bool fair_queue_pop(
    struct fair_queue *fq, int64_t urgent_us, struct admission_request *req);

/** Copies the next request without removing it. @return false if empty */
bool fair_queue_peek(const struct fair_queue *fq, int64_t urgent_us,
    struct admission_request *req);

/** Removes a request. @return false if it is not queued */
bool fair_queue_remove(struct fair_queue *fq, uint64_t id);

void fair_queue_remove_holder(struct fair_queue *fq, uint32_t holder);

#endif

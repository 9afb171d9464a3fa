#ifndef SAVORYFLOW_FAIR_QUEUE_H
#define SAVORYFLOW_FAIR_QUEUE_H

#include "savoryflow/arbiter/arbiter_defs.h"

/*
 * Batch requests by fair share of team, a team's own by due time. A request
 * that is nearly due goes before all others. Every operation is logarithmic.
 */
struct fair_queue;

struct fair_queue *fair_queue_new(void);
void fair_queue_free(struct fair_queue *fq);

int32_t fair_queue_length(const struct fair_queue *fq);

/** Adds a request; its id must not be queued. */
void fair_queue_push(
    struct fair_queue *fq, const struct admission_request *ask);

/**
 * Takes the next request.
 * @param urgent_us requests due before this time go first
 * @return false if the queue is empty
 */
bool fair_queue_pop(
    struct fair_queue *fq, int64_t urgent_us, struct admission_request *ask);

/** Copies the next request without taking it. @return false if empty */
bool fair_queue_peek(const struct fair_queue *fq, int64_t urgent_us,
    struct admission_request *ask);

/** Removes a request. @return false if it is not queued */
bool fair_queue_remove(struct fair_queue *fq, uint64_t id);

/** Removes all requests of a holder. */
void fair_queue_remove_holder(struct fair_queue *fq, uint32_t holder);

#endif

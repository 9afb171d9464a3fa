#ifndef SAVORYFLOW_TAIL_TRACKER_H
#define SAVORYFLOW_TAIL_TRACKER_H

#include "savoryflow/arbiter/engine_cost.h"

/*
 * Estimates the tail of online's time to first token without batch. A virtual
 * prefill queue receives the online prompts only and drains at the engine's
 * rate without batch; its waiting times are the samples.
 */
struct tail_tracker;

struct tail_tracker *tail_tracker_new(void);
void tail_tracker_free(struct tail_tracker *tt);

/**
 * Records the arrival of an online prompt.
 * @param online_streams online streams running
 */
void tail_tracker_record_arrival(struct tail_tracker *tt,
    const struct engine_cost *cost, int32_t online_streams,
    int32_t prompt_tokens, int64_t now_us);

/** 99th percentile of the samples; 0 before the first. */
int64_t tail_tracker_p99_us(const struct tail_tracker *tt);

#endif

#ifndef SAVORYFLOW_ENGINE_COST_H
#define SAVORYFLOW_ENGINE_COST_H

#include "savoryflow/arbiter/arbiter_defs.h"

/** Duration of one step with the given streams and prompt tokens. */
int64_t engine_cost_step_us(
    const struct engine_cost *cost, int32_t streams, int32_t prompt_tokens);

/**
 * Time to prefill a backlog of prompt tokens while the given streams run,
 * including the step in progress.
 */
int64_t engine_cost_prefill_us(
    const struct engine_cost *cost, int32_t streams, int64_t prompt_tokens);

/** Maximum streams that keep a full step within the interval, at least 1. */
int32_t engine_cost_capacity(
    const struct engine_cost *cost, int64_t token_interval_us);

#endif

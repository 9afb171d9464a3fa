#ifndef SAVORYFLOW_ENGINE_COST_H
#define SAVORYFLOW_ENGINE_COST_H

#include "savoryflow/arbiter/arbiter_defs.h"

/** Time of one step with so many streams and prompt tokens. */
int64_t engine_cost_step_us(
    const struct engine_cost *cost, int32_t streams, int32_t prompt_tokens);

/**
 * Time to prefill a backlog of prompts beside so many running streams, the
 * step that is under way included.
 */
int64_t engine_cost_prefill_us(
    const struct engine_cost *cost, int32_t streams, int64_t prompt_tokens);

/** Most streams that keep a full step within the interval, at least 1. */
int32_t engine_cost_capacity(
    const struct engine_cost *cost, int64_t token_interval_us);

#endif

#ifndef SAVORYFLOW_FORECAST_H
#define SAVORYFLOW_FORECAST_H

#include "savoryflow/arbiter/arbiter_internal.h"
#include "savoryflow/arbiter/engine_cost.h"

/* What the arbiter expects of its engine; for the arbiter's own files only. */

/** Streams that the engine runs, revoked ones included. */
int32_t forecast_streams(const struct arbiter *arb);

/** The cost model, corrected by the measured steps. */
struct engine_cost forecast_cost(const struct arbiter *arb);

/** Brings the count of prompt tokens in the engine to the present. */
void forecast_update_prefill(struct arbiter *arb, int64_t now_us);

/**
 * Time to first token of an online request that comes now, with so many more
 * batch streams (or fewer, if negative) and prompt tokens.
 */
int64_t forecast_first_token_us(
    const struct arbiter *arb, int32_t more_streams, int64_t more_tokens);

/** Longest time to first token that batch may bring about. */
int64_t forecast_limit_us(const struct arbiter *arb);

/** Time to first token up to which batch is admitted. */
int64_t forecast_admission_limit_us(const struct arbiter *arb);

/** Delay that so many batch streams cause if a burst starts now. */
int64_t forecast_burst_delay_us(
    const struct arbiter *arb, int32_t batch_streams);

/** Prompt tokens that the backlog grows by in the next second. */
int64_t forecast_backlog_growth(
    const struct arbiter *arb, int32_t more_streams, int64_t now_us);

/** Takes the arrival of an online request into the rates and the tail. */
void forecast_record_arrival(
    struct arbiter *arb, const struct admission_request *ask, int64_t now_us);

#endif

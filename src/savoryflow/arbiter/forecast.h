#ifndef SAVORYFLOW_FORECAST_H
#define SAVORYFLOW_FORECAST_H

#include "savoryflow/arbiter/arbiter_internal.h"
#include "savoryflow/arbiter/engine_cost.h"

/* Forecasts of the engine's behaviour; private to the arbiter. */

/** Streams that the engine runs, including revoked ones. */
int32_t forecast_streams(const struct arbiter *arb);

/** The cost model, corrected by measured step times. */
struct engine_cost forecast_cost(const struct arbiter *arb);

/** Updates the estimate of prompt tokens still to be prefilled to now_us. */
void forecast_update_prefill(struct arbiter *arb, int64_t now_us);

/**
 * Time to first token of an online request that arrives now, with extra_streams
 * more batch streams (fewer if negative) and extra_tokens more prompt tokens.
 */
int64_t forecast_first_token_us(
    const struct arbiter *arb, int32_t extra_streams, int64_t extra_tokens);

/** Time to first token above which batch is shed. */
int64_t forecast_limit_us(const struct arbiter *arb);

/** Time to first token up to which batch is admitted. */
int64_t forecast_admission_limit_us(const struct arbiter *arb);

/**
 * Delay of online caused by batch_streams if a burst at the recent peak rate
 * starts now.
 */
int64_t forecast_burst_delay_us(
    const struct arbiter *arb, int32_t batch_streams);

/**
 * Prompt tokens by which the backlog grows within the forecast horizon at the
 * present arrival rate, with extra_streams more batch streams.
 */
int64_t forecast_backlog_growth(
    const struct arbiter *arb, int32_t extra_streams, int64_t now_us);

/** Updates the arrival rates and the tail with an online request. */
void forecast_record_arrival(
    struct arbiter *arb, const struct admission_request *req, int64_t now_us);

#endif

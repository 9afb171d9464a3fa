/* Cost model of a continuously batching engine. */
#include "savoryflow/arbiter/engine_cost.h"

int64_t
engine_cost_step_us(
    const struct engine_cost *cost, int32_t streams, int32_t prompt_tokens)
{
	return cost->step_base_us + cost->step_per_stream_us * streams +
	    cost->step_per_prompt_token_ns * prompt_tokens / 1000;
}

int64_t
engine_cost_prefill_us(
    const struct engine_cost *cost, int32_t streams, int64_t prompt_tokens)
{
	int64_t full = cost->prompt_tokens_per_step;
	int64_t steps = (prompt_tokens + full - 1) / full;
	int64_t last_tokens = prompt_tokens - (steps - 1) * full;
	int64_t step_us = engine_cost_step_us(cost, streams, (int32_t)full);

	if (prompt_tokens <= 0)
		return 0;
	/* Worst case: the step in progress has only just started. */
	return step_us + (steps - 1) * step_us +
	    engine_cost_step_us(cost, streams, (int32_t)last_tokens);
}

int32_t
engine_cost_capacity(const struct engine_cost *cost, int64_t token_interval_us)
{
	int64_t prefill_step_us =
	    engine_cost_step_us(cost, 0, cost->prompt_tokens_per_step);
	int64_t streams = cost->streams_max;

	if (cost->step_per_stream_us > 0)
		streams = MIN(streams,
		    (token_interval_us - prefill_step_us) /
			cost->step_per_stream_us);
	return (int32_t)MAX(streams, 1);
}

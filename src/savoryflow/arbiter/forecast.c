/* Forecasts of an engine's time to first token, backlog and bursts. */
#include "savoryflow/arbiter/forecast.h"

#include "savoryflow/arbiter/decay.h"
#include "savoryflow/arbiter/engine_cost.h"
#include "savoryflow/arbiter/tail_tracker.h"

enum {
	/* Time constant of the mean arrival rate. */
	kRateWindowUs = 5 * kUsPerSecond,
	/* Time constant of the short-term rate that indicates a burst. */
	kBurstWindowUs = 300000,
	/* Time constant of the peak rate's decay. */
	kPeakWindowUs = 120 * kUsPerSecond,
	/* Time from the start of a burst until batch is shed. */
	kBurstDetectUs = 400000,
	/* Expected further duration of a burst. */
	kForecastHorizonUs = 1000000,
	/* Share of the room below the limit that admission may use. */
	kAdmitRoomPercent = 40,
};

int32_t
forecast_streams(const struct arbiter *arb)
{
	return arb->online + arb->batch + arb->revoked;
}

struct engine_cost
forecast_cost(const struct arbiter *arb)
{
	struct engine_cost cost = arb->opt.cost;

	cost.step_base_us = cost.step_base_us * arb->cost_scale / kScaleOne;
	cost.step_per_stream_us =
	    cost.step_per_stream_us * arb->cost_scale / kScaleOne;
	cost.step_per_prompt_token_ns =
	    cost.step_per_prompt_token_ns * arb->cost_scale / kScaleOne;
	return cost;
}

/* Prompt tokens still to be prefilled, from the engine's prefill rate. */
static int64_t
prefill_remaining(const struct arbiter *arb, int64_t now_us)
{
	struct engine_cost cost = forecast_cost(arb);
	int64_t step_us = engine_cost_step_us(
	    &cost, forecast_streams(arb), cost.prompt_tokens_per_step);
	int64_t drained = (now_us - arb->prefill_updated_us) *
	    cost.prompt_tokens_per_step / MAX(step_us, 1);

	return MAX(arb->prefill_tokens - drained, 0);
}

void
forecast_update_prefill(struct arbiter *arb, int64_t now_us)
{
	int64_t outstanding =
	    arb->online_prefill_tokens + arb->batch_prefill_tokens;

	arb->prefill_tokens = MIN(prefill_remaining(arb, now_us), outstanding);
	arb->prefill_updated_us = now_us;
}

int64_t
forecast_first_token_us(
    const struct arbiter *arb, int32_t extra_streams, int64_t extra_tokens)
{
	struct engine_cost cost = forecast_cost(arb);

	return engine_cost_prefill_us(&cost,
	    arb->online + arb->batch + extra_streams,
	    arb->prefill_tokens + arb->mean_prompt_tokens + extra_tokens);
}

/*
 * Online's own tail is at least that of one prompt in an empty engine, which
 * also covers the time before the first online request.
 */
int64_t
forecast_limit_us(const struct arbiter *arb)
{
	struct engine_cost cost = forecast_cost(arb);
	int64_t min_us =
	    engine_cost_prefill_us(&cost, 0, arb->mean_prompt_tokens);

	return MAX(tail_tracker_p99_us(arb->tail), min_us) +
	    arb->opt.tail_budget_us;
}

/*
 * The admission limit lies below the limit at which batch is shed, so that the
 * next online arrivals do not immediately shed what was just admitted.
 */
int64_t
forecast_admission_limit_us(const struct arbiter *arb)
{
	int64_t alone_us = forecast_first_token_us(arb, -arb->batch, 0);
	int64_t room_us = forecast_limit_us(arb) - alone_us;

	return alone_us + room_us * kAdmitRoomPercent / 100;
}

static double
prompt_rate_now(const struct arbiter *arb, int64_t now_us)
{
	int64_t elapsed_us = MAX(now_us - arb->prompt_rate_updated_us, 0);

	return arb->prompt_rate * decay((double)elapsed_us / kBurstWindowUs);
}

static double
prefill_capacity(const struct arbiter *arb, int32_t streams)
{
	struct engine_cost cost = forecast_cost(arb);
	int32_t tokens = cost.prompt_tokens_per_step;

	return (double)tokens * kUsPerSecond /
	    (double)engine_cost_step_us(&cost, streams, tokens);
}

/*
 * Until the burst is detected and batch is shed, the engine prefills less than
 * it would without batch; the delay is the time to catch up on the difference.
 */
int64_t
forecast_burst_delay_us(const struct arbiter *arb, int32_t batch_streams)
{
	double alone = prefill_capacity(arb, arb->online);
	double shared = prefill_capacity(arb, arb->online + batch_streams);
	double lag_shared = MAX(arb->peak_rate - shared, 0);
	double lag_alone = MAX(arb->peak_rate - alone, 0);

	return (int64_t)((lag_shared - lag_alone) * kBurstDetectUs / alone);
}

int64_t
forecast_backlog_growth(
    const struct arbiter *arb, int32_t extra_streams, int64_t now_us)
{
	double capacity =
	    prefill_capacity(arb, arb->online + arb->batch + extra_streams);
	double excess = prompt_rate_now(arb, now_us) - capacity;

	return (int64_t)(MAX(excess, 0) * kForecastHorizonUs / kUsPerSecond);
}

/*
 * Adds an arrival to the online streams that would run without batch and
 * returns their number. They end at the rate of the real streams, scaled by
 * the ratio of the step times with and without batch.
 */
static int32_t
online_without_batch(struct arbiter *arb, int64_t now_us)
{
	struct engine_cost cost = forecast_cost(arb);
	int64_t elapsed_us = now_us - arb->virtual_updated_us;
	int64_t alone_us =
	    engine_cost_step_us(&cost, (int32_t)arb->virtual_online, 0);
	int64_t shared_us =
	    engine_cost_step_us(&cost, forecast_streams(arb), 0);
	double speed = (double)shared_us / (double)MAX(alone_us, 1);

	arb->virtual_online *= decay(
	    (double)elapsed_us * speed / (double)MAX(arb->mean_hold_us, 1));
	arb->virtual_online += 1;
	arb->virtual_updated_us = now_us;
	return (int32_t)arb->virtual_online;
}

void
forecast_record_arrival(
    struct arbiter *arb, const struct admission_request *req, int64_t now_us)
{
	struct engine_cost cost = forecast_cost(arb);
	int64_t elapsed_us = MAX(now_us - arb->rate_updated_us, 0);

	arb->rate_scaled = (int64_t)((double)arb->rate_scaled *
			       decay((double)elapsed_us / kRateWindowUs)) +
	    (int64_t)kScaleOne * kUsPerSecond / kRateWindowUs;
	arb->rate_updated_us = now_us;
	arb->prompt_rate = prompt_rate_now(arb, now_us) +
	    (double)req->prompt_tokens * kUsPerSecond / kBurstWindowUs;
	arb->prompt_rate_updated_us = now_us;
	arb->peak_rate = MAX(arb->prompt_rate,
	    arb->peak_rate * decay((double)elapsed_us / kPeakWindowUs));
	arb->mean_prompt_tokens +=
	    (req->prompt_tokens - arb->mean_prompt_tokens) / (1 << kMeanShift);
	tail_tracker_record_arrival(arb->tail, &cost,
	    online_without_batch(arb, now_us), req->prompt_tokens, now_us);
}

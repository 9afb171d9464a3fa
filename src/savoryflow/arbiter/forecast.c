/* What the engine will do: time to first token, backlog, bursts. */
#include "savoryflow/arbiter/forecast.h"

#include "savoryflow/arbiter/decay.h"
#include "savoryflow/arbiter/engine_cost.h"
#include "savoryflow/arbiter/tail_tracker.h"

enum {
	/* Time constant of the mean arrival rate. */
	kRateWindowUs = 5 * kUsPerSecond,
	/* Time constant of the short rate that shows a burst. */
	kBurstWindowUs = 300000,
	/* Time constant with which the highest rate is forgotten. */
	kPeakWindowUs = 120 * kUsPerSecond,
	/* Time from the start of a burst until batch is shed. */
	kBurstNoticeUs = 400000,
	/* Time ahead for which a burst is expected to go on. */
	kLookAheadUs = 1000000,
	/* Part of the room up to the limit that batch is admitted to. */
	kAdmitPercent = 40,
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

/* Prompt tokens that the engine has still to prefill, by its rate since. */
static int64_t
prefill_left(const struct arbiter *arb, int64_t now_us)
{
	struct engine_cost cost = forecast_cost(arb);
	int64_t step_us = engine_cost_step_us(
	    &cost, forecast_streams(arb), cost.prompt_tokens_per_step);
	int64_t drained = (now_us - arb->prefill_counted_us) *
	    cost.prompt_tokens_per_step / MAX(step_us, 1);

	return MAX(arb->prefill_tokens - drained, 0);
}

/* Brings the count of prompt tokens in the engine to the present. */
void
forecast_update_prefill(struct arbiter *arb, int64_t now_us)
{
	int64_t known = arb->online_prefill_tokens + arb->batch_prefill_tokens;

	arb->prefill_tokens = MIN(prefill_left(arb, now_us), known);
	arb->prefill_counted_us = now_us;
}

/*
 * Time to first token of an online request that comes now, if so many more
 * batch streams run with so many more prompt tokens.
 */
int64_t
forecast_first_token_us(
    const struct arbiter *arb, int32_t more_streams, int64_t more_tokens)
{
	struct engine_cost cost = forecast_cost(arb);

	return engine_cost_prefill_us(&cost,
	    arb->online + arb->batch + more_streams,
	    arb->prefill_tokens + arb->mean_prompt_tokens + more_tokens);
}

/*
 * Longest time to first token that batch may bring about. Online's own tail is
 * at least that of one prompt in an empty engine, also before any has come.
 */
int64_t
forecast_limit_us(const struct arbiter *arb)
{
	struct engine_cost cost = forecast_cost(arb);
	int64_t least_us =
	    engine_cost_prefill_us(&cost, 0, arb->mean_prompt_tokens);

	return MAX(tail_tracker_p99_us(arb->tail), least_us) +
	    arb->opt.tail_budget_us;
}

/*
 * Batch is admitted up to a part of what lies between online alone and the
 * limit at which it is shed, so that the next arrivals do not shed it again.
 */
int64_t
forecast_admission_limit_us(const struct arbiter *arb)
{
	int64_t alone_us = forecast_first_token_us(arb, -arb->batch, 0);
	int64_t room_us = forecast_limit_us(arb) - alone_us;

	return alone_us + room_us * kAdmitPercent / 100;
}

static double
prompt_rate_now(const struct arbiter *arb, int64_t now_us)
{
	int64_t passed = MAX(now_us - arb->prompt_rate_us, 0);

	return arb->prompt_rate * decay((double)passed / kBurstWindowUs);
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
 * Delay that so many batch streams bring about if a burst like the last ones
 * starts now: what the engine cannot prefill until they are shed is still to
 * be done afterwards.
 */
int64_t
forecast_burst_delay_us(const struct arbiter *arb, int32_t batch_streams)
{
	double alone = prefill_capacity(arb, arb->online);
	double shared = prefill_capacity(arb, arb->online + batch_streams);
	double left_shared = MAX(arb->peak_rate - shared, 0);
	double left_alone = MAX(arb->peak_rate - alone, 0);

	return (int64_t)((left_shared - left_alone) * kBurstNoticeUs / alone);
}

/*
 * Prompt tokens by which the engine's backlog grows in the time ahead, beside
 * so many more batch streams, if prompts go on to come as at present.
 */
int64_t
forecast_backlog_growth(
    const struct arbiter *arb, int32_t more_streams, int64_t now_us)
{
	double capacity =
	    prefill_capacity(arb, arb->online + arb->batch + more_streams);
	double excess = prompt_rate_now(arb, now_us) - capacity;

	return (int64_t)(MAX(excess, 0) * kLookAheadUs / kUsPerSecond);
}

/*
 * Counts an arrival among the online streams that would run without batch.
 * They end at the rate of the real ones, but sooner by the ratio of the steps.
 */
static int32_t
online_without_batch(struct arbiter *arb, int64_t now_us)
{
	struct engine_cost cost = forecast_cost(arb);
	int64_t passed_us = now_us - arb->alone_counted_us;
	int64_t alone_us =
	    engine_cost_step_us(&cost, (int32_t)arb->online_alone, 0);
	int64_t shared_us =
	    engine_cost_step_us(&cost, forecast_streams(arb), 0);
	double speed = (double)shared_us / (double)MAX(alone_us, 1);

	arb->online_alone *= decay(
	    (double)passed_us * speed / (double)MAX(arb->mean_hold_us, 1));
	arb->online_alone += 1;
	arb->alone_counted_us = now_us;
	return (int32_t)arb->online_alone;
}

void
forecast_record_arrival(
    struct arbiter *arb, const struct admission_request *ask, int64_t now_us)
{
	struct engine_cost cost = forecast_cost(arb);
	int64_t passed = MAX(now_us - arb->rate_at_us, 0);

	arb->rate_scaled = (int64_t)((double)arb->rate_scaled *
			       decay((double)passed / kRateWindowUs)) +
	    (int64_t)kScaleOne * kUsPerSecond / kRateWindowUs;
	arb->rate_at_us = now_us;
	arb->prompt_rate = prompt_rate_now(arb, now_us) +
	    (double)ask->prompt_tokens * kUsPerSecond / kBurstWindowUs;
	arb->prompt_rate_us = now_us;
	arb->peak_rate = MAX(arb->prompt_rate,
	    arb->peak_rate * decay((double)passed / kPeakWindowUs));
	arb->mean_prompt_tokens +=
	    (ask->prompt_tokens - arb->mean_prompt_tokens) / (1 << kMeanShift);
	tail_tracker_record_arrival(arb->tail, &cost,
	    online_without_batch(arb, now_us), ask->prompt_tokens, now_us);
}

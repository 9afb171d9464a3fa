/* Online's first-token tail without batch, from a virtual prefill queue. */
#include "savoryflow/arbiter/tail_tracker.h"

#include <stdlib.h>
#include <string.h>

enum {
	/* Samples kept; the oldest is replaced. */
	kSamples = 1024,
	/* Arrivals between two updates of the percentile. */
	kSortPeriod = 32,
	kPercentile = 99,
};

struct tail_tracker {
	int64_t samples_us[kSamples];
	int32_t count;
	int32_t next;
	int32_t since_sort;
	int64_t p99_us;
	/** Prompt tokens in the virtual queue at updated_us. */
	int64_t tokens;
	int64_t updated_us;
};

struct tail_tracker *
tail_tracker_new(void)
{
	return g_new0(struct tail_tracker, 1);
}

void
tail_tracker_free(struct tail_tracker *tt)
{
	g_free(tt);
}

static int
compare_samples(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static void
update_percentile(struct tail_tracker *tt)
{
	int64_t sorted[kSamples];
	size_t n = (size_t)tt->count;

	memcpy(sorted, tt->samples_us, n * sizeof(sorted[0]));
	qsort(sorted, n, sizeof(sorted[0]), compare_samples);
	tt->p99_us = sorted[(n - 1) * kPercentile / 100];
	tt->since_sort = 0;
}

static void
drain(struct tail_tracker *tt, const struct engine_cost *cost,
    int32_t online_streams, int64_t now_us)
{
	int64_t step_us = engine_cost_step_us(
	    cost, online_streams, cost->prompt_tokens_per_step);
	int64_t drained = (now_us - tt->updated_us) *
	    cost->prompt_tokens_per_step / MAX(step_us, 1);

	tt->tokens = MAX(tt->tokens - drained, 0);
	tt->updated_us = now_us;
}

void
tail_tracker_record_arrival(struct tail_tracker *tt,
    const struct engine_cost *cost, int32_t online_streams,
    int32_t prompt_tokens, int64_t now_us)
{
	drain(tt, cost, online_streams, now_us);
	tt->tokens += prompt_tokens;
	/* On average half of the step in progress remains, not all of it. */
	tt->samples_us[tt->next] =
	    engine_cost_prefill_us(cost, online_streams, tt->tokens) -
	    engine_cost_step_us(cost, online_streams, 0) / 2;
	tt->next = (tt->next + 1) % kSamples;
	tt->count = MIN(tt->count + 1, kSamples);
	if (++tt->since_sort >= kSortPeriod || tt->count < kSortPeriod)
		update_percentile(tt);
}

int64_t
tail_tracker_p99_us(const struct tail_tracker *tt)
{
	return tt->p99_us;
}

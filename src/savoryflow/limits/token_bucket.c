#include "savoryflow/limits/token_bucket.h"

#include <glib.h>

enum {
	kUsPerSecond = 1000000,
};

void
token_bucket_empty(struct token_bucket *tb, int64_t now_us)
{
	tb->micro = 0;
	tb->filled_us = now_us;
}

/* Time in which an amount flows in, rounded up. */
static int64_t
fill_time_us(const struct token_rate *rate, int64_t micro)
{
	__int128 product = (__int128)micro * kUsPerSecond;

	return (int64_t)((product + rate->micro_per_s - 1) / rate->micro_per_s);
}

int64_t
token_bucket_level(const struct token_bucket *tb, const struct token_rate *rate,
    int64_t now_us)
{
	int64_t elapsed_us = now_us - tb->filled_us;

	if (rate->micro_per_s <= 0 || elapsed_us <= 0)
		return MIN(tb->micro, rate->micro_max);
	if (tb->micro >= rate->micro_max ||
	    elapsed_us >= fill_time_us(rate, rate->micro_max - tb->micro))
		return rate->micro_max;
	return tb->micro + rate->micro_per_s * elapsed_us / kUsPerSecond;
}

void
token_bucket_take(struct token_bucket *tb, const struct token_rate *rate,
    int64_t micro, int64_t now_us)
{
	int64_t level = token_bucket_level(tb, rate, now_us);

	tb->micro = MIN(level - micro, rate->micro_max);
	tb->filled_us = now_us;
}

int64_t
token_bucket_wait_us(const struct token_bucket *tb,
    const struct token_rate *rate, int64_t micro, int64_t now_us)
{
	int64_t missing = micro - token_bucket_level(tb, rate, now_us);

	if (missing <= 0)
		return 0;
	if (rate->micro_per_s <= 0 || micro > rate->micro_max)
		return INT64_MAX;
	return fill_time_us(rate, missing);
}

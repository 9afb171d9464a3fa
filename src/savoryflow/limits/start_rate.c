#include "savoryflow/limits/start_rate.h"

#include <glib.h>

enum {
	kMicroPerMilli = 1000,
	/* Microseconds of a second, times a thousand. */
	kMilliUsPerS = 1000 * 1000000,
	/* One request each 4 s. */
	kRateMinMilli = 250,
	/* The bucket holds what flows in during 1/kBurstDivisor of a second,
	 * and one request. */
	kBurstDivisor = 2,
	kPauseMaxUs = 10 * 1000000,
	/* Older rates are asked for again with an ordinary request. */
	kFreshUs = 3 * 1000000,
};

static struct token_rate
bucket_rate(const struct start_rate *sr)
{
	return (struct token_rate){
	    .micro_per_s = MAX(sr->milli_per_s, kRateMinMilli) * kMicroPerMilli,
	    .micro_max =
		kTokenOne + sr->milli_per_s * kMicroPerMilli / kBurstDivisor,
	};
}

void
start_rate_name(struct start_rate *sr, int64_t milli_per_s, int64_t now_us)
{
	struct token_rate before = bucket_rate(sr);

	sr->named_us = now_us;
	if (sr->is_limited && sr->milli_per_s == milli_per_s)
		return;
	/* What has flowed in so far did so at the old rate. */
	if (sr->is_limited)
		token_bucket_take(&sr->bucket, &before, 0, now_us);
	else
		token_bucket_empty(&sr->bucket, now_us);
	sr->is_limited = true;
	sr->milli_per_s = milli_per_s;
}

bool
start_rate_end(struct start_rate *sr, int64_t started_us)
{
	if (!sr->is_limited || started_us <= sr->named_us)
		return false;
	sr->is_limited = false;
	return true;
}

void
start_rate_pause(struct start_rate *sr, int64_t pause_us, int64_t now_us)
{
	sr->paused_until_us = now_us + CLAMP(pause_us, 0, kPauseMaxUs);
}

void
start_rate_empty(struct start_rate *sr, int64_t now_us)
{
	token_bucket_empty(&sr->bucket, now_us);
}

int32_t
start_rate_available(const struct start_rate *sr, int64_t now_us)
{
	struct token_rate rate = bucket_rate(sr);

	if (now_us < sr->paused_until_us)
		return 0;
	if (!sr->is_limited)
		return INT32_MAX;
	return (
	    int32_t)(MAX(token_bucket_level(&sr->bucket, &rate, now_us), 0) /
	    kTokenOne);
}

bool
start_rate_allows(const struct start_rate *sr, bool is_batch, int64_t now_us)
{
	struct token_rate rate = bucket_rate(sr);

	if (!is_batch || !sr->is_limited)
		return start_rate_available(sr, now_us) > 0;
	return now_us >= sr->paused_until_us &&
	    token_bucket_level(&sr->bucket, &rate, now_us) >= rate.micro_max;
}

void
start_rate_record(struct start_rate *sr, int64_t now_us)
{
	struct token_rate rate = bucket_rate(sr);

	if (sr->is_limited)
		token_bucket_take(&sr->bucket, &rate, kTokenOne, now_us);
}

void
start_rate_refund(struct start_rate *sr, int64_t now_us)
{
	struct token_rate rate = bucket_rate(sr);

	if (sr->is_limited)
		token_bucket_take(&sr->bucket, &rate, -kTokenOne, now_us);
}

int64_t
start_rate_wait_us(const struct start_rate *sr, int64_t now_us)
{
	struct token_rate rate = bucket_rate(sr);
	int64_t pause_us = MAX(sr->paused_until_us - now_us, 0);

	if (!sr->is_limited)
		return pause_us;
	return MAX(pause_us,
	    token_bucket_wait_us(&sr->bucket, &rate, kTokenOne, now_us));
}

int64_t
start_rate_interval_us(const struct start_rate *sr)
{
	return sr->is_limited
	    ? kMilliUsPerS / MAX(sr->milli_per_s, kRateMinMilli)
	    : 0;
}

bool
start_rate_is_fresh(const struct start_rate *sr, int64_t now_us)
{
	return sr->is_limited && now_us - sr->named_us < kFreshUs;
}

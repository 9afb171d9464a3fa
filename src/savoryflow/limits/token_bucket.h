#ifndef SAVORYFLOW_TOKEN_BUCKET_H
#define SAVORYFLOW_TOKEN_BUCKET_H

#include <stdint.h>

enum {
	/** One request, in the bucket's unit of a millionth. */
	kTokenOne = 1000000,
};

/** A token bucket, in millionths of a request. */
struct token_bucket {
	int64_t micro;
	int64_t filled_us;
};

struct token_rate {
	int64_t micro_per_s;
	int64_t micro_max;
};

/** Empties the bucket; it fills from now on. */
void token_bucket_empty(struct token_bucket *tb, int64_t now_us);

/** Content of the bucket at a time. */
int64_t token_bucket_level(const struct token_bucket *tb,
    const struct token_rate *rate, int64_t now_us);

/** Takes from the bucket what it must have been checked to contain; negative
 * amounts are given back. */
void token_bucket_take(struct token_bucket *tb, const struct token_rate *rate,
    int64_t micro, int64_t now_us);

/** Time until the bucket contains an amount; INT64_MAX if it never will. */
int64_t token_bucket_wait_us(const struct token_bucket *tb,
    const struct token_rate *rate, int64_t micro, int64_t now_us);

#endif

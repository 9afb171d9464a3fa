#ifndef STANDIN_RATE_H
#define STANDIN_RATE_H

#include <jansson.h>
#include <stdint.h>

/** Requests that a worker got, and the rate that its answers name. */
struct worker_rate {
	/** Value of the field in all answers; NULL: none. */
	char *named;
	/** Time of the first answer that named it, microseconds; 0: none. */
	int64_t named_us;
	/** Times of the requests, microseconds. */
	json_t *arrivals;
};

void worker_rate_init(struct worker_rate *wr);

/** Sets the value that answers name from now on, a string or null. */
void worker_rate_set(struct worker_rate *wr, const json_t *value);

void worker_rate_record_arrival(struct worker_rate *wr);

/** @return the value to send with an answer, or NULL */
const char *worker_rate_of_answer(struct worker_rate *wr);

#endif

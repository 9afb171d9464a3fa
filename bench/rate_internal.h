#ifndef BENCH_RATE_INTERNAL_H
#define BENCH_RATE_INTERNAL_H

#include "gateway/slots.h"
#include "rate_fleet.h"

/* State of a play; internal to rate_fleet.c and rate_targets.c. */

enum {
	kMsUs = 1000,
	kSecondUs = 1000 * kMsUs,
	/** When rates are first named, when they end, and the end of a play. */
	kNamedFromUs = 5 * kSecondUs,
	kNamedUntilUs = 35 * kSecondUs,
	kPlayUs = 50 * kSecondUs,
	kPauseUs = 3 * kSecondUs,
};

struct rate_target {
	char id[16];
	int32_t data_center;
	int64_t milli_per_s;
	/** Times of the requests that it got, int64_t. */
	GArray *arrivals;
	/** When its rate was last forgotten by all. */
	int64_t forgotten_us;
};

/** The rate that a target names at a time; -1: none. */
int64_t rate_target_named(const struct rate_scenario *sc,
    const struct rate_target *t, int64_t now_us);

/** Adds what a target got to the result. */
void rate_target_judge(const struct rate_scenario *sc,
    const struct rate_target *t, struct rate_result *res);

/**
 * Share of the rates that was used.
 * @param is_refusing for each second, whether a caller was refused in it
 */
double rate_targets_used(const struct rate_scenario *sc,
    const struct rate_target *targets, const bool *is_refusing);

#endif

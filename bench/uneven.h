#ifndef BENCH_UNEVEN_H
#define BENCH_UNEVEN_H

#include <stdbool.h>
#include <stdint.h>

#include "savoryflow/slotpool/slotpool.h"

/*
 * A pool of uneven targets in virtual time: the pool's own module decides, the
 * targets are engines with continuous batching whose speeds differ and change,
 * and whose memory keeps shared parts of prompts.
 */

struct uneven_scenario {
	const char *name;
	int32_t targets;
	int32_t seconds;
	/** Mean online requests a second. */
	int32_t online_per_s;
	/** Batch items that wait for a slot at any time. */
	int32_t items_waiting;
	/** All targets have the same speed, and none gets slower. */
	bool is_even;
};

struct uneven_result {
	int64_t online;
	/** First event within the objective. */
	int64_t online_in_time;
	int64_t refused;
	int64_t items_done;
	int64_t parts_sent;
	int64_t parts_kept;
	double pause_p99_ms;
	double first_p50_ms;
	/** Time-averaged requests of the busiest target over the mean. */
	double busiest_over_mean;
};

/** Plays the scenario under one policy; the same seed gives the same demand and
 * the same targets. */
struct uneven_result uneven_play(
    const struct uneven_scenario *sc, enum slot_choice choice, uint32_t seed);

#endif

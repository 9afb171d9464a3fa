#ifndef SAVORYFLOW_TARGET_PACE_H
#define SAVORYFLOW_TARGET_PACE_H

#include <stdbool.h>
#include <stdint.h>

#include "savoryflow/slotpool/slotpool_defs.h"

/*
 * What is learned of a target's speed from the answers of its runs: the mean
 * time between events, and its spread. No I/O, no clock.
 */
struct target_pace {
	/** 0: none was reported. */
	int32_t samples;
	int64_t mean_us;
	/** Mean distance of a sample from the mean. */
	int64_t spread_us;
	int64_t learned_us;
};

enum {
	/** Factor of a target of the usual speed. */
	kPaceUsual = 1000,
};

/** Adds one run's mean time between events. */
void target_pace_record(
    struct target_pace *tp, const struct slot_run_times *run, int64_t now_us);

/**
 * How much longer than usual the target takes, in thousandths.
 * @param usual_us mean time between events over all targets of the pool
 * @return kPaceUsual if nothing recent is known, or the difference is within
 *         the spread
 */
int64_t target_pace_factor(
    const struct target_pace *tp, int64_t usual_us, int64_t now_us);

#endif

#ifndef SAVORYFLOW_DRAIN_PLAN_H
#define SAVORYFLOW_DRAIN_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include "os/clock.h"

/*
 * What a daemon that stops may still begin. Times are monotonic, in
 * microseconds. Nothing here waits or sends.
 */

enum {
	/** Another daemon can serve a refused request at once. */
	kDrainRetryUs = 10 * kUsPerMs,
};

struct drain_plan {
	/** Later requests are refused: the load balancer has noticed. */
	int64_t accept_until_us;
	/** Running requests are answered with a failure; the rest of the grace
	 * is for sending answers. */
	int64_t give_up_us;
	/** The process exits, whatever it still waits for; later, it may be
	 * killed. */
	int64_t exit_us;
};

/** A request that is to begin. */
struct drain_work {
	/** It has a final answer by then; 0: no limit. */
	int64_t deadline_us;
	/** Usual time to its answer, or to the first event of a stream; 0:
	 * unknown. */
	int64_t expected_us;
	/** Its caller may send it again, or resume it, after a failure. */
	bool may_repeat;
};

/**
 * @param grace_us time from the signal to the end of the process
 * @param detect_us time in which the load balancer notices that the daemon is
 *        not ready
 */
struct drain_plan drain_plan_make(
    int64_t started_us, int64_t grace_us, int64_t detect_us);

/**
 * Latest time at which the work may begin and still end before the plan gives
 * it up. Work that may not be repeated has to end in any case, other work if it
 * takes twice its usual time.
 * @return INT64_MIN: never; INT64_MAX: at any time
 */
int64_t drain_plan_latest_start_us(
    const struct drain_plan *plan, const struct drain_work *work);

/** Whether a new request is taken. */
bool drain_plan_accepts(const struct drain_plan *plan,
    const struct drain_work *work, int64_t now_us);

/** Time left for running requests, for the log; at least 0. */
int64_t drain_plan_left_us(const struct drain_plan *plan, int64_t now_us);

#endif

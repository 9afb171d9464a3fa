/* Time limits of a stop: what a daemon may still begin, and when it gives up.
 */
#include "savoryflow/drain/drain_plan.h"

#include <glib.h>

enum {
	/* Running requests are given up this long before the end of the grace,
	 * but keep at least half of it. */
	kReserveMinUs = 200 * kUsPerMs,
	kReserveMaxUs = 1200 * kUsPerMs,
	kReservePercent = 15,
	kHalf = 2,
	/* Work takes at most this many times its usual time. */
	kExpectedFactor = 2,
	kPercent = 100,
};

static int64_t
reserve_us_of(int64_t grace_us)
{
	int64_t part_us = grace_us * kReservePercent / kPercent;

	return MIN(
	    CLAMP(part_us, kReserveMinUs, kReserveMaxUs), grace_us / kHalf);
}

struct drain_plan
drain_plan_make(int64_t started_us, int64_t grace_us, int64_t detect_us)
{
	int64_t reserve_us = reserve_us_of(grace_us);
	struct drain_plan plan = {
	    .give_up_us = started_us + grace_us - reserve_us,
	    .exit_us = started_us + grace_us - reserve_us / kHalf,
	};

	plan.accept_until_us = MIN(started_us + detect_us, plan.give_up_us);
	return plan;
}

int64_t
drain_plan_latest_start_us(
    const struct drain_plan *plan, const struct drain_work *work)
{
	if (work->deadline_us > 0 && work->deadline_us <= plan->give_up_us)
		return INT64_MAX;
	if (!work->may_repeat || work->expected_us <= 0)
		return INT64_MIN;
	return plan->give_up_us - kExpectedFactor * work->expected_us;
}

bool
drain_plan_accepts(const struct drain_plan *plan, const struct drain_work *work,
    int64_t now_us)
{
	return now_us <= plan->accept_until_us &&
	    now_us <= drain_plan_latest_start_us(plan, work);
}

int64_t
drain_plan_left_us(const struct drain_plan *plan, int64_t now_us)
{
	return MAX(0, plan->give_up_us - now_us);
}

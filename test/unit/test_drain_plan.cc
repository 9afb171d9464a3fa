/* What a daemon that stops may still begin. */
#include <gtest/gtest.h>

extern "C" {
#include "savoryflow/drain/drain_plan.h"
}

namespace
{

const int64_t kMs = 1000;
const int64_t kStart = 7000000;

TEST(DrainPlan, RunningRequestsKeepMostOfTheGrace)
{
	const struct {
		int64_t grace_ms, detect_ms, accept_ms, give_up_ms;
	} cases[] = {
	    {0, 2500, 0, 0},
	    {300, 2500, 150, 150},
	    {500, 2500, 300, 300},
	    {1000, 2500, 800, 800},
	    {2000, 2500, 1700, 1700},
	    {3000, 2500, 2500, 2550},
	    {6000, 2500, 2500, 5100},
	    {8000, 2500, 2500, 6800},
	    {120000, 3000, 3000, 118800},
	    {8000, 0, 0, 6800},
	};

	for (const auto &c : cases) {
		drain_plan plan = drain_plan_make(
		    kStart, c.grace_ms * kMs, c.detect_ms * kMs);

		EXPECT_EQ(c.accept_ms * kMs, plan.accept_until_us - kStart)
		    << c.grace_ms;
		EXPECT_EQ(c.give_up_ms * kMs, plan.give_up_us - kStart)
		    << c.grace_ms;
		EXPECT_LE(plan.exit_us - kStart, c.grace_ms * kMs);
		EXPECT_GE(plan.exit_us, plan.give_up_us);
		/* Five sixths, but for the shortest ones. */
		if (c.grace_ms >= 2000) {
			EXPECT_GE(6 * (plan.give_up_us - kStart),
			    5 * c.grace_ms * kMs);
		}
	}
}

TEST(DrainPlan, WorkThatCannotEndBeforeTheStopIsRefused)
{
	const struct {
		const char *name;
		int64_t grace_ms, now_ms, limit_ms, expected_ms;
		bool may_repeat, is_accepted;
	} cases[] = {
	    {"ends before", 8000, 1000, 5000, 400, false, true},
	    {"ends just before", 8000, 1800, 5000, 400, false, true},
	    {"may end too late", 8000, 1801, 5000, 400, false, false},
	    {"the same, repeatable", 8000, 1801, 5000, 400, true, true},
	    {"the balancer has noticed", 8000, 2501, 100, 400, true, false},
	    {"the balancer may not have", 8000, 2500, 100, 400, true, true},
	    {"limit beyond the grace", 8000, 0, 60000, 400, false, false},
	    {"the same, repeatable", 8000, 0, 60000, 400, true, true},
	    {"no limit", 8000, 0, 0, 400, false, false},
	    {"no limit, repeatable", 8000, 0, 0, 400, true, true},
	    {"repeatable, usual time unknown", 8000, 0, 60000, 0, true, false},
	    {"repeatable, usually too long", 8000, 0, 60000, 3401, true, false},
	    {"short grace", 500, 0, 5000, 400, true, false},
	    {"short grace, short limit", 500, 0, 300, 400, false, true},
	    {"short grace, at its end", 500, 300, 400, 1, true, false},
	    {"no grace", 0, 0, 100, 100, true, false},
	};

	for (const auto &c : cases) {
		drain_plan plan =
		    drain_plan_make(kStart, c.grace_ms * kMs, 2500 * kMs);
		int64_t now = kStart + c.now_ms * kMs;
		drain_work work = {c.limit_ms > 0 ? now + c.limit_ms * kMs : 0,
		    c.expected_ms * kMs, c.may_repeat};

		EXPECT_EQ(c.is_accepted, drain_plan_accepts(&plan, &work, now))
		    << c.name;
	}
}

TEST(DrainPlan, TheTimeLeftIsNeverNegative)
{
	drain_plan plan = drain_plan_make(kStart, 8000 * kMs, 2500 * kMs);

	EXPECT_EQ(6800 * kMs, drain_plan_left_us(&plan, kStart));
	EXPECT_EQ(0, drain_plan_left_us(&plan, kStart + 9000 * kMs));
}

} // namespace

#ifndef TEST_UNIT_DAEMON_FIXTURE_H
#define TEST_UNIT_DAEMON_FIXTURE_H

#include <gtest/gtest.h>

#include <functional>
#include <vector>

extern "C" {
#include "gateway/loop.h"
#include "gateway/roster.h"
}

/* Daemon d0 on a loop of its own, with the roster of d0 to d3. */
struct DaemonFixture : ::testing::Test {
	static constexpr int64_t kSec = 1000000;
	static constexpr int kDaemons = 4;

	int64_t now_us = kSec;
	struct clock_source clk = {&FakeClock(), &now_us};
	struct loop *lp = loop_new(&clk);
	struct roster *ro = nullptr;
	/* One is run in each iteration of the loop: what a step sends or
	 * delivers is done before the next. */
	std::vector<std::function<void()>> steps;
	size_t step = 0;

	~DaemonFixture() override
	{
		roster_free(ro);
		loop_free(lp);
	}

	void
	MakeRoster(roster_row (*row)(int))
	{
		roster_options opt = {row(0), 60 * kSec, kSec};
		GArray *rows = g_array_new(FALSE, TRUE, sizeof(roster_row));
		roster_changes changes = {
		    g_ptr_array_new_with_free_func(g_free),
		    g_ptr_array_new_with_free_func(g_free)};

		ro = roster_new(&opt);
		for (int i = 1; i < kDaemons; i++) {
			roster_row other = row(i);

			g_array_append_val(rows, other);
		}
		roster_apply_rows(ro, rows, kSec, &changes);
		g_array_unref(rows);
		g_ptr_array_unref(changes.joined);
		g_ptr_array_unref(changes.removed);
	}

	/* Row of daemon i; the caller sets its data centre and capacity. */
	static roster_row
	BaseRow(int i)
	{
		roster_row row = {};

		g_snprintf(row.address, sizeof(row.address), "d%d", i);
		g_snprintf(row.session, sizeof(row.session), "s%d", i);
		g_strlcpy(row.region, "r", sizeof(row.region));
		row.version = i + 1;
		return row;
	}

	void
	Run()
	{
		loop_post(lp, NextStep, this);
		loop_run(lp);
	}

      private:
	static timespec
	FakeNow(void *ctx)
	{
		int64_t us = *(int64_t *)ctx;

		return {(time_t)(us / kSec), (long)(us % kSec * 1000)};
	}

	static const clock_ops &
	FakeClock()
	{
		static const clock_ops ops = {FakeNow, FakeNow, FakeNow};

		return ops;
	}

	static void
	NextStep(void *ctx)
	{
		auto *t = (DaemonFixture *)ctx;

		if (t->step == t->steps.size()) {
			loop_stop(t->lp);
			return;
		}
		t->steps[t->step++]();
		loop_post(t->lp, NextStep, t);
	}
};

#endif

#include <gtest/gtest.h>

#include <deque>

extern "C" {
#include "savoryflow/limits/start_rate.h"
}

namespace
{

const int64_t kMs = 1000;
const int64_t kSec = 1000 * kMs;
/* The users' window, and half of what they allow beyond the rate in it. */
const int64_t kWindowUs = 4 * kSec;

double
HalfSlackBound(double per_s)
{
	return 5 * per_s + 2.5;
}

TEST(StartRate, NoRateIsNoLimit)
{
	start_rate sr = {};

	for (int i = 0; i < 1000; i++) {
		EXPECT_TRUE(start_rate_allows(&sr, i % 2 == 0, 0));
		start_rate_record(&sr, 0);
	}
	EXPECT_EQ(0, start_rate_wait_us(&sr, 0));
}

/* Callers that wait all the time: in no window are more started than half of
 * the slack allows, and the rate is used. */
TEST(StartRate, StartsFollowTheRateWhileCallersWait)
{
	const struct {
		int64_t milli_per_s;
		/* Starts in 60 s: 59 s at the rate, or one each 4 s. */
		int starts_min;
	} cases[] = {
	    {0, 14},
	    {20, 14},
	    {1000, 59},
	    {3200, 188},
	    {40000, 2360},
	};
	const int64_t end_us = 60 * kSec;

	for (const auto &c : cases) {
		for (bool is_batch : {false, true}) {
			start_rate sr = {};
			std::deque<int64_t> window;
			int starts = 0;
			size_t most = 0;

			start_rate_name(&sr, c.milli_per_s, 0);
			for (int64_t now = 0; now <= end_us; now += kMs) {
				if (!start_rate_allows(&sr, is_batch, now))
					continue;
				start_rate_record(&sr, now);
				starts++;
				window.push_back(now);
				while (now - window.front() >= kWindowUs)
					window.pop_front();
				most = std::max(most, window.size());
			}
			EXPECT_LE(most, HalfSlackBound(c.milli_per_s / 1000.0))
			    << c.milli_per_s << is_batch;
			EXPECT_GE(starts, c.starts_min)
			    << c.milli_per_s << is_batch;
		}
	}
}

TEST(StartRate, ItemsLeaveAStartForOnlineRequests)
{
	start_rate sr = {};

	start_rate_name(&sr, 2000, 0);
	EXPECT_FALSE(start_rate_allows(&sr, false, 499 * kMs))
	    << "starts empty";
	EXPECT_TRUE(start_rate_allows(&sr, false, 500 * kMs));
	EXPECT_FALSE(start_rate_allows(&sr, true, 500 * kMs));
	EXPECT_TRUE(start_rate_allows(&sr, true, kSec));
	start_rate_record(&sr, kSec);
	EXPECT_FALSE(start_rate_allows(&sr, true, kSec));
	EXPECT_TRUE(start_rate_allows(&sr, false, kSec));
}

TEST(StartRate, OnlyACertainlyNewerAnswerEndsIt)
{
	start_rate sr = {};

	start_rate_name(&sr, 1000, 10 * kSec);
	EXPECT_FALSE(start_rate_end(&sr, 9 * kSec)) << "sent before";
	EXPECT_FALSE(start_rate_end(&sr, 10 * kSec));
	start_rate_name(&sr, 1000, 12 * kSec);
	EXPECT_FALSE(start_rate_end(&sr, 11 * kSec)) << "named again since";
	EXPECT_TRUE(start_rate_end(&sr, 13 * kSec));
	EXPECT_FALSE(start_rate_end(&sr, 14 * kSec)) << "ended before";
	EXPECT_EQ(INT32_MAX, start_rate_available(&sr, 14 * kSec));
}

TEST(StartRate, ARateThatFallsKeepsWhatWasStarted)
{
	start_rate sr = {};

	start_rate_name(&sr, 8000, 0);
	EXPECT_EQ(5, start_rate_available(&sr, 10 * kSec)) << "a full bucket";
	start_rate_name(&sr, 1000, 10 * kSec);
	EXPECT_EQ(1, start_rate_available(&sr, 10 * kSec));
	start_rate_record(&sr, 10 * kSec);
	EXPECT_EQ(500 * kMs, start_rate_wait_us(&sr, 10 * kSec));
}

TEST(StartRate, AStartThatWasNotUsedIsGivenBack)
{
	start_rate sr = {};

	start_rate_name(&sr, 1000, 0);
	start_rate_record(&sr, kSec);
	EXPECT_EQ(0, start_rate_available(&sr, kSec));
	start_rate_refund(&sr, kSec);
	EXPECT_EQ(1, start_rate_available(&sr, kSec));
	for (int i = 0; i < 9; i++)
		start_rate_refund(&sr, kSec);
	EXPECT_EQ(1, start_rate_available(&sr, kSec))
	    << "no more than it holds";
}

TEST(StartRate, APauseStopsAllStarts)
{
	start_rate sr = {};

	start_rate_pause(&sr, 300 * kMs, kSec);
	EXPECT_FALSE(start_rate_allows(&sr, false, kSec));
	EXPECT_FALSE(start_rate_allows(&sr, true, 1299 * kMs));
	EXPECT_EQ(300 * kMs, start_rate_wait_us(&sr, kSec));
	EXPECT_TRUE(start_rate_allows(&sr, false, 1300 * kMs));
	start_rate_pause(&sr, 3600 * kSec, 2 * kSec);
	EXPECT_LE(start_rate_wait_us(&sr, 2 * kSec), 10 * kSec) << "bounded";
}

} // namespace

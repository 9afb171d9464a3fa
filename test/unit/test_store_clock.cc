#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "store/store_clock.h"
}

namespace
{

struct Answer {
	int64_t store_ms;
	int64_t received_ms;
};

TEST(StoreClock, ALateAnswerDoesNotSetTheTimeBack)
{
	const struct {
		const char *name;
		std::vector<Answer> answers;
		int64_t now_ms;
		int64_t expected_ms;
	} cases[] = {
	    {"one answer", {{500, 100}}, 150, 550},
	    {"a later answer took less time", {{500, 140}, {600, 205}}, 205,
		600},
	    {"an answer is read 4 s late", {{500, 100}, {600, 4200}}, 4200,
		4600},
	    {"an answer is overtaken", {{700, 305}, {500, 310}}, 310, 705},
	};

	for (const auto &c : cases) {
		struct store_clock sc = {};
		int64_t store_ms = -1;

		SCOPED_TRACE(c.name);
		for (const auto &a : c.answers)
			store_clock_record(
			    &sc, a.store_ms, a.received_ms * 1000);
		ASSERT_TRUE(store_clock_now(&sc, c.now_ms * 1000, &store_ms));
		EXPECT_EQ(c.expected_ms, store_ms);
	}
}

TEST(StoreClock, AWrongTimeDoesNotLast)
{
	const struct {
		const char *name;
		/** Rate of the daemon's clock over the store's, and a jump of
		 * it after the first answer. */
		double rate;
		int64_t jump_ms;
	} cases[] = {
	    {"daemon's clock 100 ppm fast", 1.0001, 0},
	    {"daemon's clock 100 ppm slow", 0.9999, 0},
	    {"daemon's clock jumps forward by 30 s", 1.0, 30000},
	    {"daemon's clock was stopped for 30 s", 1.0, -30000},
	};
	constexpr int64_t kDays = 10;
	constexpr int64_t kToleranceMs = 50;

	for (const auto &c : cases) {
		struct store_clock sc = {};
		int64_t mono_us = 1000000;
		int64_t store_ms = 100000;
		int64_t told_ms = 0;

		SCOPED_TRACE(c.name);
		store_clock_record(&sc, store_ms, mono_us);
		mono_us += c.jump_ms * 1000;
		for (int64_t s = 0; s < kDays * 86400; s++) {
			store_ms += 1000;
			mono_us += (int64_t)(1e6 * c.rate);
			store_clock_record(&sc, store_ms, mono_us);
		}
		ASSERT_TRUE(store_clock_now(&sc, mono_us, &told_ms));
		EXPECT_NEAR(store_ms, told_ms, kToleranceMs);
	}
}

TEST(StoreClock, TheTimeIsUnknownBeforeTheFirstAnswer)
{
	struct store_clock sc = {};
	int64_t store_ms = 7;

	EXPECT_FALSE(store_clock_now(&sc, 1000, &store_ms));
	EXPECT_EQ(7, store_ms);
}

} // namespace

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

TEST(StoreClock, TheTimeIsUnknownBeforeTheFirstAnswer)
{
	struct store_clock sc = {};
	int64_t store_ms = 7;

	EXPECT_FALSE(store_clock_now(&sc, 1000, &store_ms));
	EXPECT_EQ(7, store_ms);
}

} // namespace

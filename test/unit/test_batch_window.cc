#include <gtest/gtest.h>

#include <set>
#include <vector>

extern "C" {
#include "savoryflow/batch/batch_window.h"
}

namespace
{

/* Guards against jobs that no poll looks at, and against polls that look at
 * all. */
TEST(BatchWindow, EachJobIsLookedAtWithinAFewPolls)
{
	const struct {
		uint32_t jobs;
		uint32_t polls;
	} cases[] = {{0, 1}, {1, 1}, {200, 1}, {201, 2}, {400, 2}, {999, 5}};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.jobs);
		struct batch_window window = {};
		std::set<uint32_t> seen;
		uint32_t count;

		for (uint32_t i = 0; i < c.polls; i++) {
			uint32_t first =
			    batch_window_next(&window, c.jobs, 200, &count);

			EXPECT_GE(200u, count);
			for (uint32_t k = 0; k < count; k++)
				seen.insert((first + k) % c.jobs);
		}
		EXPECT_EQ(c.jobs, seen.size());
	}
}

TEST(BatchWindow, TheMostUrgentJobIsFirstAfterWorkAndAfterJobsHaveEnded)
{
	struct batch_window window = {};
	uint32_t count;

	EXPECT_EQ(0u, batch_window_next(&window, 999, 200, &count));
	EXPECT_EQ(200u, batch_window_next(&window, 999, 200, &count));
	batch_window_reset(&window);
	EXPECT_EQ(0u, batch_window_next(&window, 999, 200, &count));
	EXPECT_EQ(0u, batch_window_next(&window, 100, 200, &count));
	EXPECT_EQ(100u, count);
}

} // namespace

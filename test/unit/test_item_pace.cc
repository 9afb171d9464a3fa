#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "savoryflow/job/item_pace.h"
}

namespace
{

TEST(ItemPace, Table)
{
	const struct {
		const char *name;
		std::vector<item_pace_run> runs;
		int64_t tokens;
		int64_t done;
		int64_t expected_run_us;
	} cases[] = {
	    {"no finished item", {}, 500, 0, 0},
	    {"an item of the same size", {{500, 100, 100, 2000000}}, 500, 0,
		2000000},
	    {"a larger item", {{500, 100, 100, 2000000}}, 1000, 0, 4000000},
	    {"half of it is done", {{500, 100, 100, 2000000}}, 500, 50,
		1000000},
	    {"more than expected is done", {{500, 100, 100, 2000000}}, 500, 120,
		0},
	    {"the run was the rest of an item", {{500, 100, 20, 400000}}, 500,
		0, 2000000},
	    {"a run without events is ignored", {{500, 100, 0, 400000}}, 500, 0,
		0},
	    {"an item without a size is ignored", {{0, 100, 100, 400000}}, 500,
		0, 0},
	    {"one slow item has a weight of 1/8",
		{{500, 100, 100, 2000000}, {500, 100, 100, 3600000}}, 500, 0,
		2200000},
	};

	for (const auto &c : cases) {
		item_pace pace = {};

		for (const auto &run : c.runs)
			item_pace_record(&pace, &run);
		EXPECT_EQ(c.expected_run_us,
		    item_pace_expected_run_us(&pace, c.tokens, c.done))
		    << c.name;
	}
}

} // namespace

#include <gtest/gtest.h>

#include <set>
#include <string>

extern "C" {
#include "log/events.h"
}

namespace
{

TEST(Events, NoNumberOrNameIsUsedTwice)
{
	std::set<int> numbers;
	std::set<std::string> names;

#define CHECK_EVENT(id, number, level, name, meaning)           \
	EXPECT_TRUE(numbers.insert(number).second) << (number); \
	EXPECT_TRUE(names.insert(name).second) << (name);
	SF_EVENTS(CHECK_EVENT)
#undef CHECK_EVENT
}

} // namespace

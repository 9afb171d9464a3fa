#include <gtest/gtest.h>

extern "C" {
#include "savoryflow/retry/retry_table.h"
}

namespace
{

TEST(RetryTable, WaitsAreDoubledUpToTheLongest)
{
	struct retry_table *rt = retry_table_new(10, 70);
	const int64_t waits[] = {10, 20, 40, 70, 70};
	int64_t now_us = 5;
	int32_t count = 0;

	EXPECT_TRUE(retry_table_is_due(rt, "a", now_us));
	for (int64_t wait_us : waits) {
		int32_t before = count;

		EXPECT_EQ(
		    wait_us, retry_table_fail(rt, "a", true, now_us, &count));
		EXPECT_EQ(before + 1, count);
		EXPECT_FALSE(retry_table_is_due(rt, "a", now_us + wait_us - 1));
		EXPECT_TRUE(retry_table_is_due(rt, "b", now_us));
		now_us += wait_us;
		EXPECT_TRUE(retry_table_is_due(rt, "a", now_us));
	}
	EXPECT_EQ(0, retry_table_fail(rt, "a", false, now_us, &count));
	EXPECT_TRUE(retry_table_is_due(rt, "a", now_us));
	for (int i = 0; i < 99; i++)
		EXPECT_EQ(70, retry_table_fail(rt, "a", true, now_us, &count));
	retry_table_free(rt);
}

TEST(RetryTable, AStepThatIsForgottenBeginsAnew)
{
	struct retry_table *rt = retry_table_new(10, 70);
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	int32_t count;

	for (const char *name : {"a", "a", "b", "b", "c", "c"})
		retry_table_fail(rt, name, true, 0, &count);
	retry_table_remove(rt, "a");
	g_hash_table_add(names, (void *)"c");
	retry_table_keep(rt, names);
	EXPECT_EQ(10, retry_table_fail(rt, "a", true, 0, &count));
	EXPECT_EQ(10, retry_table_fail(rt, "b", true, 0, &count));
	EXPECT_EQ(40, retry_table_fail(rt, "c", true, 0, &count));
	EXPECT_EQ(3, count);
	g_hash_table_unref(names);
	retry_table_free(rt);
}

} // namespace

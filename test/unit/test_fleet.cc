#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "savoryflow/fleet/fleet.h"
}

namespace
{

struct Fleet : ::testing::Test {
	struct fleet *fl = fleet_new();

	~Fleet() override
	{
		fleet_free(fl);
	}

	static fleet_target
	Target(const char *id, int64_t version, bool is_draining = false)
	{
		fleet_target t = {};

		g_strlcpy(t.id, id, sizeof(t.id));
		g_strlcpy(t.service, "llm", sizeof(t.service));
		g_strlcpy(t.data_center, "dc1", sizeof(t.data_center));
		t.slots = 8;
		t.version = version;
		t.is_draining = is_draining;
		return t;
	}

	bool
	Apply(const char *id, int64_t version, bool is_draining = false)
	{
		fleet_target t = Target(id, version, is_draining);

		return fleet_apply(fl, &t);
	}

	bool
	Replace(std::vector<fleet_target> list, int64_t version,
	    int64_t expires_at_us)
	{
		GArray *array = g_array_new(FALSE, TRUE, sizeof(fleet_target));
		bool changed;

		g_array_append_vals(array, list.data(), (guint)list.size());
		changed = fleet_replace(fl, array, version, expires_at_us);
		g_array_unref(array);
		return changed;
	}
};

/* A target's own word outlives its rows, which may be older or never change. */
TEST_F(Fleet, ATargetThatSaidItLeavesDrainsUntilItsNextStart)
{
	const struct {
		int64_t version, started_ms;
		bool is_draining;
	} rows[] = {
	    {2, 100, true},
	    {3, 100, true},
	    {4, 200, false},
	    {5, 200, false},
	};
	fleet_target t = Target("a", 1);

	t.started_ms = 100;
	fleet_apply(fl, &t);
	EXPECT_FALSE(fleet_record_leaving(fl, "a", 99)) << "another start";
	EXPECT_FALSE(fleet_record_leaving(fl, "none", 100));
	EXPECT_TRUE(fleet_record_leaving(fl, "a", 100));
	EXPECT_FALSE(fleet_record_leaving(fl, "a", 100)) << "known";
	EXPECT_TRUE(fleet_find(fl, "a")->is_draining);
	for (const auto &row : rows) {
		t.version = row.version;
		t.started_ms = row.started_ms;
		fleet_apply(fl, &t);
		EXPECT_EQ(row.is_draining, fleet_find(fl, "a")->is_draining)
		    << row.version;
	}
}

/* An entry that was lost with the store comes back for the same start. */
TEST_F(Fleet, ATargetThatLeavesStaysSoWhenItsRowReturns)
{
	fleet_target t = Target("a", 1);

	t.started_ms = 100;
	fleet_apply(fl, &t);
	fleet_record_leaving(fl, "a", 100);
	fleet_remove(fl, "a", 2, 5);
	fleet_tick(fl, 6);
	t.version = 3;
	fleet_apply(fl, &t);
	EXPECT_TRUE(fleet_find(fl, "a")->is_draining);
}

TEST_F(Fleet, IgnoresAnOlderRow)
{
	EXPECT_TRUE(Apply("a", 5, true));
	EXPECT_FALSE(Apply("a", 4, false));
	EXPECT_TRUE(fleet_find(fl, "a")->is_draining);
	EXPECT_TRUE(Apply("a", 6, false));
	EXPECT_FALSE(Apply("a", 7, false)) << "only the version is new";
}

TEST_F(Fleet, OldRowDoesNotRestoreARemovedTarget)
{
	Apply("a", 5);
	EXPECT_TRUE(fleet_remove(fl, "a", 6, 100));
	EXPECT_TRUE(fleet_tick(fl, 100));
	EXPECT_EQ(nullptr, fleet_find(fl, "a"));
	EXPECT_FALSE(Apply("a", 6));
	EXPECT_TRUE(Apply("a", 7));
	EXPECT_NE(nullptr, fleet_find(fl, "a"));
}

TEST_F(Fleet, IgnoresAnOlderRemoval)
{
	Apply("a", 5);
	EXPECT_FALSE(fleet_remove(fl, "a", 4, 100));
	EXPECT_FALSE(fleet_remove(fl, "b", 4, 100));
	EXPECT_EQ(0, fleet_find(fl, "a")->expires_at_us);
}

TEST_F(Fleet, KeepsAnUnlistedTargetUntilItExpires)
{
	Apply("a", 5);
	fleet_remove(fl, "a", 6, 1000);
	EXPECT_FALSE(fleet_tick(fl, 999));
	EXPECT_EQ(1000, fleet_find(fl, "a")->expires_at_us);
	EXPECT_TRUE(Apply("a", 7)) << "it is listed again";
	EXPECT_FALSE(fleet_tick(fl, 2000));
}

TEST_F(Fleet, ReplaceRemovesTargetsNotListed)
{
	Apply("a", 5);
	Apply("b", 6);
	Apply("new", 20);
	EXPECT_TRUE(Replace({Target("a", 5)}, 10, 50));
	fleet_tick(fl, 50);
	EXPECT_NE(nullptr, fleet_find(fl, "a"));
	EXPECT_EQ(nullptr, fleet_find(fl, "b"));
	EXPECT_NE(nullptr, fleet_find(fl, "new")) << "the list is older";
	EXPECT_FALSE(Replace({Target("a", 5), Target("new", 20)}, 21, 50));
}

} // namespace

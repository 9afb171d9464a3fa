// Submissions of several teams with one job id: an acknowledgement for another
// team's job would tell a caller that its own job runs.
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "savoryflow/job/itemjob_store.h"
#include "standin/memstore.h"
}

namespace
{

struct ItemjobTeams : ::testing::Test {
	struct memstore *ms = memstore_new();
	struct store *st = memstore_store(ms);
	int submissions = 0;

	~ItemjobTeams() override
	{
		memstore_free(ms);
	}

	store_result
	Submit(const std::string &id, const char *team, size_t body_bytes,
	    bool *is_new, bool *is_id_taken)
	{
		std::string token = "t" + std::to_string(++submissions);
		std::string body(body_bytes, 'x');
		itemjob *job = itemjob_new(id.c_str());
		GPtrArray *items = itemjob_items_new();
		itemjob_item *item = itemjob_item_new("i", "/p/x");
		store_result res;

		job->host = g_strdup("h.example");
		job->path = g_strdup("/p/1");
		job->team = g_strdup(team);
		item->body = g_bytes_new(body.data(), body.size());
		g_ptr_array_add(items, item);
		res =
		    itemjob_submit(st, job, items, token.c_str(), "s1", is_new);
		*is_id_taken = job->is_id_taken;
		g_ptr_array_unref(items);
		itemjob_free(job);
		return res;
	}
};

TEST_F(ItemjobTeams, AnIdOfAnotherTeamsJobIsAConflict)
{
	struct {
		const char *of_first;
		const char *of_second;
		bool is_taken;
	} cases[] = {
	    {"alpha", "alpha", false},
	    {"alpha", "beta", true},
	    {"alpha", nullptr, true},
	    {nullptr, "alpha", true},
	    {nullptr, nullptr, false},
	};

	for (size_t bytes : {(size_t)4, (size_t)kItemjobTextRowBytes})
		for (const auto &c : cases) {
			std::string id = "j" + std::to_string(submissions);
			bool is_new = false;
			bool is_taken = true;

			EXPECT_EQ(kStoreOk,
			    Submit(id, c.of_first, bytes, &is_new, &is_taken));
			EXPECT_TRUE(is_new);
			EXPECT_FALSE(is_taken);
			EXPECT_EQ(c.is_taken ? kStoreConflict : kStoreOk,
			    Submit(id, c.of_second, bytes, &is_new, &is_taken));
			EXPECT_FALSE(is_new);
			EXPECT_EQ(c.is_taken, is_taken);
		}
}

/* Guards against a conflict with a submission's own copy whose answer was
 * lost. */
TEST_F(ItemjobTeams, ASubmissionWhoseAnswerIsLostIsItsTeams)
{
	for (const char *team : {"alpha", (const char *)nullptr}) {
		memstore_faults f = {false, 1, 0};
		std::string id = "l" + std::to_string(submissions);
		bool is_new = false;
		bool is_taken = true;

		memstore_set_faults(ms, &f);
		EXPECT_EQ(kStoreOk, Submit(id, team, 4, &is_new, &is_taken));
		EXPECT_TRUE(is_new);
		EXPECT_FALSE(is_taken);
	}
}

} // namespace

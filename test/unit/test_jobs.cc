#include <set>

#include "unit/jobs_fixture.h"

namespace
{

struct Jobs : JobsFixture {
};

/* Guards against two submissions of a job that share their token: each takes
 * the stored job for its own, and one deletes the items of the other. */
TEST_F(Jobs, SubmissionsWithinAMicrosecondHaveDifferentTokens)
{
	std::set<std::string> tokens;

	for (int i = 0; i < 3; i++) {
		struct job_task *task = job_task_new(js, nullptr, "j");

		jobs_set_token(task);
		EXPECT_TRUE(tokens.insert(task->token).second) << task->token;
		job_task_free(task);
	}
}

/* Guards against a run that is freed while its result is being written. */
TEST_F(Jobs, AJobThatRunsIsNotStartedAgain)
{
	jobs_run_start(js, Job("j"), Items(4), nullptr, nullptr, 0);
	const struct job_run *first = Running("j");
	int64_t started_us = first->started_us;

	now_us += kSec;
	jobs_run_start(js, Job("j"), Items(4), nullptr, nullptr, 0);
	EXPECT_EQ(first, Running("j"));
	EXPECT_EQ(started_us, Running("j")->started_us);
}

/* Guards against a takeover that fails for ever, every second. */
TEST_F(Jobs, ATakeoverThatCannotSucceedIsTriedSeldom)
{
	const struct {
		const char *name;
		bool is_lost;
		bool is_out;
		int tries_min;
		int tries_max;
	} cases[] = {
	    {"the items are gone", true, false, 4, 7},
	    {"the store is out", false, true, 60, 60},
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		memstore_faults faults = {};
		int tries = 0;

		Submit(c.name, kItemjobTextRowBytes, 0);
		if (c.is_lost)
			st->ops->delete_object(st->ctx, kCauseBatch,
			    ("input/" + std::string(c.name) + "/t").c_str());
		faults.outage = c.is_out;
		memstore_set_faults(ms, &faults);
		for (int i = 0; i < 60; i++) {
			int64_t reads = memstore_get_counts(ms).reads;

			now_us += kSec;
			TakeOver(c.name);
			tries +=
			    memstore_get_counts(ms).reads > reads || c.is_out;
		}
		EXPECT_LE(c.tries_min, tries);
		EXPECT_GE(c.tries_max, tries);
		EXPECT_EQ(nullptr, Running(c.name));
		faults.outage = false;
		memstore_set_faults(ms, &faults);
		if (!c.is_out)
			continue;
		TakeOver(c.name);
		EXPECT_NE(nullptr, Running(c.name)) << "at once";
	}
}

/* Guards against items of an accepted job that never end, as their contents are
 * gone. */
TEST_F(Jobs, ItemsWithoutContentsEndWithTheirTimeToLive)
{
	const struct {
		const char *name;
		const char *object;
		const char *prefix;
		int64_t age_ms;
		bool ends;
	} cases[] = {
	    {"missing", nullptr, "/p/", 31000, true},
	    {"unreadable", "[{]", "/p/", 31000, true},
	    {"of fewer items", "[]", "/p/", 31000, true},
	    {"missing, still owed", nullptr, "/p/", 29000, false},
	    {"missing, without a route", nullptr, "/q/", 61000, true},
	    {"missing, without a route, still owed", nullptr, "/q/", 59000,
		false},
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		std::string object = "input/" + std::string(c.name) + "/t";
		GPtrArray *results = nullptr;

		book = routebook_new(1);
		struct routebook_route *route = routebook_add_route(book);
		route->name = g_strdup("r");
		route->host = g_strdup("h.example");
		route->prefix = g_strdup(c.prefix);
		route->item_ttl_us = 30 * kSec;
		Submit(c.name, kItemjobTextRowBytes, c.age_ms);
		st->ops->delete_object(st->ctx, kCauseBatch, object.c_str());
		if (c.object != nullptr)
			st->ops->put_object(st->ctx, kCauseBatch,
			    object.c_str(), c.object, strlen(c.object));
		TakeOver(c.name);
		EXPECT_EQ(c.ends, Running(c.name) != nullptr);
		EXPECT_TRUE(Await([&] { return !Running(c.name); }, kSec / 50));
		ASSERT_EQ(
		    kStoreOk, itemjob_read_results(st, c.name, 0, &results));
		EXPECT_EQ(c.ends ? 3u : 0u, results->len);
		for (guint i = 0; i < results->len; i++) {
			auto *res = (struct itemjob_result *)results->pdata[i];

			EXPECT_EQ("item-" + std::to_string(i),
			    std::string(res->item_id));
			EXPECT_FALSE(res->is_completed);
		}
		g_ptr_array_unref(results);
		routebook_unref(book);
		book = nullptr;
	}
}

TEST_F(Jobs, AListReadBeforeTheStartDropsNoRun)
{
	const struct {
		const char *name;
		int64_t read_us;
		const char *owner;
		bool runs;
	} cases[] = {
	    {"read before the start", -kSec, nullptr, true},
	    {"read before the claim", -kSec, "s1", true},
	    {"own", kSec, "s0", true},
	    {"closed", kSec, nullptr, false},
	    {"claimed by another daemon", kSec, "s1", false},
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		struct itemjob_open open = {};
		GPtrArray *list = g_ptr_array_new();

		now_us += 10 * kSec;
		jobs_run_start(js, Job(c.name), Items(4), nullptr, nullptr, 0);
		open.id = (char *)c.name;
		open.owner = (char *)c.owner;
		if (c.owner != nullptr)
			g_ptr_array_add(list, &open);
		jobs_on_open_list(js, list, now_us + c.read_us);
		EXPECT_EQ(c.runs, Running(c.name) != nullptr);
		g_ptr_array_unref(list);
	}
}

/* Guards against a job whose items are all listed and that stays open. */
TEST_F(Jobs, AJobWhoseClosingFailedIsClosedLater)
{
	struct itemjob_open open = {};
	GPtrArray *list = g_ptr_array_new();
	memstore_faults faults = {};
	GPtrArray *left = nullptr;

	Submit("j", 4, 0);
	for (int i = 0; i < 3; i++) {
		std::string item = "item-" + std::to_string(i);
		struct itemjob_result result = {};

		result.position = i;
		result.item_id = (char *)item.c_str();
		result.text = (char *)"";
		ASSERT_EQ(kStoreOk, itemjob_commit(st, "j", i, &result));
	}
	open.id = (char *)"j";
	open.owner = (char *)"s0";
	g_ptr_array_add(list, &open);
	faults.lose_requests = 1;
	memstore_set_faults(ms, &faults);
	for (int polls = 0; polls < 2; polls++) {
		int64_t writes = memstore_get_counts(ms).writes;

		now_us += kSec;
		jobs_on_open_list(js, list, now_us);
		EXPECT_TRUE(Await(
		    [&] { return memstore_get_counts(ms).writes > writes; }));
		EXPECT_EQ(nullptr, Running("j"));
	}
	ASSERT_EQ(kStoreOk, itemjob_read_open(st, &left));
	EXPECT_EQ(0u, left->len);
	g_ptr_array_unref(left);
	g_ptr_array_unref(list);
}

} // namespace

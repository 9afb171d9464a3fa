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

} // namespace

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

} // namespace

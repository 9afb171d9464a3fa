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

} // namespace

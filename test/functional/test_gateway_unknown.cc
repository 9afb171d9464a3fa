/* Submissions whose outcome at the store is unknown. */
#include "functional/gateway_fixture.h"

namespace
{

struct Unknown : Gateway {
	/* A job of one item whose body takes more than a row, or not. */
	static std::string
	Job(const std::string &job, bool is_large)
	{
		std::string body = RequestBody(2);

		body.insert(body.size() - 1,
		    ",\"pad\":\"" + std::string(is_large ? 90000 : 1, 'x') +
			"\"");
		return JobBody(job, 1, body);
	}

	void
	SetWay(size_t daemon, const std::string &mode, int delay_ms = 0)
	{
		PostToStore("/way",
		    "{\"daemon\":\"d" + std::to_string(daemon) +
			"\",\"mode\":\"" + mode +
			"\",\"delay_ms\":" + std::to_string(delay_ms) + "}");
	}

	long
	Submit(size_t daemon, const std::string &job, bool is_large)
	{
		return Send(
		    daemon, "POST", "/b/" + job, Job(job, is_large), job)
		    .status;
	}

	void
	SetUp() override
	{
		body_bytes_max = 1000000;
		Gateway::SetUp();
	}
};

/* Guards against a 503 for a job that is stored, and against its items being
 * deleted: the transaction is made, all later calls of the store are refused.
 */
TEST_F(Unknown, AJobOfUnknownOutcomeIsNeitherRefusedNorDeleted)
{
	const struct {
		const char *job;
		bool is_large;
		/* The store refuses the first copy, a peer makes the change. */
		bool is_lost_by_peer;
	} cases[] = {
	    {"small", false, false},
	    {"large", true, false},
	    {"small-by-peer", false, true},
	    {"large-by-peer", true, true},
	};

	int down_count = 0;

	StartReadyFleet(1, 3);
	for (const auto &c : cases) {
		std::string job = c.job;

		Send(0, "GET", "/api/lots/none", "", "r");
		/* A daemon that is turned away asks a peer at once. */
		if (c.is_lost_by_peer) {
			PostToStore("/fault", "{\"turned_away\":\"d0\"}");
			ASSERT_TRUE(daemons[0]->WaitLine(
			    "\"name\":\"store_down\"", ++down_count));
		}
		PostToStore("/fault",
		    std::string("{\"lose_answers\":1,\"lose_table\":\"open\","
				"\"out_after_loss\":true") +
			(c.is_lost_by_peer ? ",\"turned_away\":\"d0\"" : "") +
			"}");
		long status =
		    Send(0, "POST", "/b/" + job, Job(job, c.is_large), job)
			.status;
		EXPECT_EQ(500, status) << job;
		PostToStore("/fault", "{}");
		EXPECT_TRUE(Eventually([&] {
			return Send(1, "POST", "/b/" + job,
				   Job(job, c.is_large), job)
				   .status == 202;
		})) << job;
		EXPECT_TRUE(Eventually([&] { return HasResults(1, job, 1); }))
		    << job;
		EXPECT_EQ("completed " + ExpectedText("/b/" + job + "0", 2),
		    OnlyResult(1, job));
	}
}

/* Guards against a job that runs after it was refused at each attempt: the
 * first daemon loses the store's answer, then the store refuses all. */
TEST_F(Unknown, AJobWhoseAnswerIsLostBeforeRefusalsIsNotRefusedAtEachDaemon)
{
	const struct {
		const char *job;
		const char *mode;
		bool is_large;
	} cases[] = {
	    {"lost-small", "lose_refuse", false},
	    {"lost-large", "lose_refuse", true},
	    {"later-small", "later_refuse", false},
	    {"later-large", "later_refuse", true},
	};

	StartReadyFleet(1, 3);
	for (const auto &c : cases) {
		long first;

		SetWay(0, c.mode, 700);
		SetWay(1, "refuse");
		SetWay(2, "turn_away");
		first = Submit(0, c.job, c.is_large);
		EXPECT_TRUE(first == 500 || first == 0) << first;
		EXPECT_EQ(503, Submit(1, c.job, c.is_large));
		EXPECT_EQ(503, Submit(2, c.job, c.is_large));
		for (size_t i = 0; i < 3; i++)
			SetWay(i, "pass");
		EXPECT_TRUE(Eventually([&] { return HasResults(0, c.job, 1); }))
		    << c.job;
	}
}

} // namespace

/* Submissions whose outcome at the store is unknown. */
#include <atomic>
#include <thread>

#include "functional/gateway_fixture.h"

namespace
{

const char kStoreDown[] = "\"name\":\"store_down\"";
const char kStoreUp[] = "\"name\":\"store_up\"";

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

	/* The daemons reach the store, and know it. */
	bool
	AreUp()
	{
		return Eventually([&] {
			return std::all_of(daemons.begin(), daemons.end(),
			    [](const std::unique_ptr<Process> &d) {
				    return d->Count(kStoreUp) >=
					d->Count(kStoreDown);
			    });
		});
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

	StartReadyFleet(1, 3);
	for (const auto &c : cases) {
		std::string job = c.job;

		ASSERT_TRUE(AreUp());
		Send(0, "GET", "/api/lots/none", "", "r");
		/* A daemon that is turned away asks a peer at once. */
		if (c.is_lost_by_peer) {
			int down_count = daemons[0]->Count(kStoreDown);

			PostToStore("/fault", "{\"turned_away\":\"d0\"}");
			ASSERT_TRUE(
			    daemons[0]->WaitLine(kStoreDown, down_count + 1));
			/* By a peer that is known to reach the store. */
			ASSERT_TRUE(Eventually([&] {
				return Send(0, "GET", "/api/lots/none", "", "r")
					   .status == 404;
			}));
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

		ASSERT_TRUE(AreUp());
		Send(0, "GET", "/api/lots/none", "", "r");
		SetWay(0, c.mode, 700);
		SetWay(1, "refuse");
		SetWay(2, "turn_away");
		first = Submit(0, c.job, c.is_large);
		EXPECT_EQ(500, first) << c.job;
		EXPECT_TRUE(
		    daemons[0]->WaitLine("\"job\":\"" + std::string(c.job) +
			"\",\"status\":\"500\",\"may_be_applied\":\"yes\""));
		EXPECT_TRUE(daemons[0]->WaitLine("\"row\":\"job/jobs/" +
		    std::string(c.job) + "\",\"store\":\"ambiguous\""));
		EXPECT_EQ(503, Submit(1, c.job, c.is_large));
		EXPECT_EQ(503, Submit(2, c.job, c.is_large));
		for (size_t i = 0; i < 3; i++)
			SetWay(i, "pass");
		EXPECT_TRUE(Eventually([&] { return HasResults(0, c.job, 1); }))
		    << c.job;
		EXPECT_TRUE(daemons[0]->WaitLine(
		    "\"name\":\"job_done\",\"daemon\":\"d0\",\"job\":\"" +
		    std::string(c.job) + "\""));
	}
}

/* Guards against a run that is replaced, and freed, while it is in use: the
 * daemon has found the job in the store before its own submission ends. */
TEST_F(Unknown, AJobSubmittedTwiceAtOnceIsStartedOnce)
{
	const std::string started =
	    "\"name\":\"job_started\",\"daemon\":\"d0\",\"job\":\"";

	StartReadyFleet(1, 1);
	/* The open jobs are read each second while one runs. */
	ASSERT_EQ(202,
	    Send(0, "POST", "/b/other",
		JobBody("other", 1, RequestBody(400, 50)), "other")
		.status);
	SetWay(0, "hold", 3000);
	std::atomic<long> status{-1};
	std::thread first([&] { status = Submit(0, "twice", false); });

	EXPECT_TRUE(Eventually([&] {
		return Http("GET",
			   "http://" + LoopbackAddress(store_port) +
			       "/api/"
			       "rows-get?table_name=open&part=jobs&from=twice")
			   .body.find("twice") != std::string::npos;
	}));
	SetWay(0, "refuse");
	EXPECT_LE(500, Submit(0, "twice", false));
	SetWay(0, "hold", 3000);
	EXPECT_TRUE(Eventually([&] {
		return status >= 0 ||
		    daemons[0]->Count(started + "twice\"") > 0;
	}));
	SetWay(0, "pass");
	first.join();
	EXPECT_TRUE(status == 202 || status == 500) << status;
	EXPECT_TRUE(daemons[0]->WaitLine(started + "twice\""));
	EXPECT_EQ(202, Submit(0, "twice", false));
	EXPECT_EQ(1, daemons[0]->Count(started + "twice\""));
	EXPECT_TRUE(Eventually([&] { return HasResults(0, "twice", 1); }));
}

} // namespace

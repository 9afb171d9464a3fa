#include "functional/gateway_fixture.h"

namespace
{

TEST_F(Gateway, AJobIsAcceptedOnceAndReadableAtEveryDaemon)
{
	StartReadyFleet(2, 2);
	std::string doc = JobBody("it", 5, RequestBody(4));

	EXPECT_EQ(202, Send(0, "POST", "/b/j1", doc, "j1").status);
	EXPECT_EQ(202, Send(1, "POST", "/b/j1", doc, "j1").status);
	ASSERT_TRUE(Eventually([&] { return HasResults(0, "j1", 5); }));
	EXPECT_TRUE(HasResults(1, "j1", 5));
	json_t *doc0 = FetchResults(0, "j1", 2);
	json_t *result = json_array_get(json_object_get(doc0, "results"), 0);
	std::string id = json_string_value(json_object_get(result, "id"));
	std::string path = "/b/" + id;

	EXPECT_EQ(5, json_integer_value(json_object_get(doc0, "total_count")));
	EXPECT_EQ(5, json_integer_value(json_object_get(doc0, "next")));
	EXPECT_STREQ(
	    "completed", json_string_value(json_object_get(result, "state")));
	EXPECT_EQ(path + "-1\n" + path + "-2\n" + path + "-3\n" + path + "-4",
	    json_string_value(json_object_get(result, "output_text")));
	json_decref(doc0);
	for (int i = 0; i < 5; i++)
		EXPECT_EQ(1, CountRuns("it" + std::to_string(i)));
	EXPECT_EQ(404, Send(0, "GET", "/api/lots/none", "", "r").status);
}

TEST_F(Gateway, ItemBodiesAreReadableAtEveryDaemon)
{
	StartReadyFleet(1, 2);
	std::string body = RequestBody(200, 20);

	Send(0, "POST", "/b/j1", JobBody("it", 2, body), "j1");
	for (size_t i = 0; i < 2; i++) {
		EXPECT_EQ(
		    body, Send(i, "GET", "/api/items/j1?id=it1", "", "r").body);
		EXPECT_EQ(404,
		    Send(i, "GET", "/api/items/j1?id=none", "", "r").status);
	}
}

TEST_F(Gateway, ItemsThatCannotCompleteAreDeadLettered)
{
	const struct {
		const char *job;
		const char *body;
		int runs;
	} cases[] = {
	    {"failing", "{\"status\":500}", 2},
	    {"impossible", "{\"status\":422}", 1},
	};

	StartReadyFleet(1, 1);
	for (const auto &c : cases) {
		Send(0, "POST", std::string("/b/") + c.job,
		    JobBody(c.job, 1, c.body), c.job);
		ASSERT_TRUE(
		    Eventually([&] { return HasResults(0, c.job, 1); }));
		json_t *doc = FetchResults(0, c.job);
		json_t *result =
		    json_array_get(json_object_get(doc, "results"), 0);

		EXPECT_STREQ("dead_letter",
		    json_string_value(json_object_get(result, "state")));
		EXPECT_EQ(c.runs, CountRuns(std::string(c.job) + "0"));
		json_decref(doc);
	}
}

TEST_F(Gateway, ACutItemIsResumedAndComplete)
{
	StartReadyFleet(1, 1);
	InjectFault(0, "{\"cut_after\":2}");
	Send(0, "POST", "/b/j1", JobBody("it", 1, RequestBody(12)), "j1");
	ASSERT_TRUE(Eventually([&] { return HasResults(0, "j1", 1); }));
	json_t *doc = FetchResults(0, "j1");
	std::string text = json_string_value(json_object_get(
	    json_array_get(json_object_get(doc, "results"), 0), "output_text"));
	std::string expected;

	for (int n = 1; n <= 12; n++)
		expected += (n > 1 ? "\n" : "") + std::string("/b/it0-") +
		    std::to_string(n);
	EXPECT_EQ(expected, text);
	json_decref(doc);
}

TEST_F(Gateway, AnEndedJobStops)
{
	StartReadyFleet(1, 2);
	Send(0, "POST", "/b/j1", JobBody("it", 6, RequestBody(2000, 10)), "j1");
	ASSERT_TRUE(Eventually([&] { return CountRuns("it0") == 1; }));
	EXPECT_EQ(200, Send(1, "DELETE", "/api/lots/j1", "", "r").status);
	EXPECT_TRUE(daemons[0]->WaitLine("\"why\":\"ended\""));
	EXPECT_EQ(200, Send(0, "DELETE", "/api/lots/j1", "", "r").status);
}

TEST_F(Gateway, AJobSurvivesItsDaemon)
{
	StartReadyFleet(2, 2);
	Send(0, "POST", "/b/j1", JobBody("it", 6, RequestBody(40, 20)), "j1");
	ASSERT_TRUE(Eventually([&] { return CountRuns("it0") > 0; }));
	daemons[0]->Signal(SIGKILL);
	daemons[0]->Wait();
	EXPECT_TRUE(daemons[1]->WaitLine("\"name\":\"job_orphaned\""));
	EXPECT_TRUE(Eventually([&] { return HasResults(1, "j1", 6); }));
}

/* The daemon that takes over an ended job runs none of its items. */
TEST_F(Gateway, AnEndedJobIsNotTakenOver)
{
	StartReadyFleet(1, 2);
	Send(0, "POST", "/b/j1", JobBody("it", 6, RequestBody(2000, 10)), "j1");
	ASSERT_TRUE(Eventually([&] { return CountRuns("it0") == 1; }));
	daemons[0]->Signal(SIGSTOP);
	EXPECT_EQ(200, Send(1, "DELETE", "/api/lots/j1", "", "r").status);
	daemons[0]->Signal(SIGKILL);
	daemons[0]->Wait();
	EXPECT_TRUE(daemons[1]->WaitLine("\"call\":\"close\""));
	EXPECT_EQ(0, daemons[1]->Count("\"name\":\"job_started\""));
}

TEST_F(Gateway, ADrainingDaemonHandsOverItsItems)
{
	StartReadyFleet(1, 2);
	Send(0, "POST", "/b/j1", JobBody("it", 2, RequestBody(150, 20)), "j1");
	ASSERT_TRUE(Eventually(
	    [&] { return CountRuns("it0") + CountRuns("it1") == 2; }));
	daemons[0]->Signal(SIGTERM);
	EXPECT_TRUE(daemons[1]->WaitLine("\"name\":\"job_started\""));
	EXPECT_TRUE(Eventually([&] { return HasResults(1, "j1", 2); }));
	json_t *doc = FetchResults(1, "j1");
	std::string text = json_string_value(json_object_get(
	    json_array_get(json_object_get(doc, "results"), 0), "output_text"));

	EXPECT_EQ(149, std::count(text.begin(), text.end(), '\n'));
	json_decref(doc);
	EXPECT_TRUE(daemons[0]->WaitLine("\"call\":\"hand_over\""));
	EXPECT_EQ(0, daemons[0]->Wait());
}

/* Neither the progress nor the end of the daemon's session is stored. */
TEST_F(Gateway, AJobOfADaemonThatStopsDuringAnOutageIsTakenOver)
{
	StartReadyFleet(1, 2);
	Send(0, "POST", "/b/j1", JobBody("it", 2, RequestBody(150, 20)), "j1");
	ASSERT_TRUE(Eventually(
	    [&] { return CountRuns("it0") + CountRuns("it1") == 2; }));
	PostToStore("/fault", "{\"outage\":true}");
	daemons[0]->Signal(SIGTERM);
	EXPECT_TRUE(daemons[0]->WaitLine("\"call\":\"hand_over\""));
	EXPECT_EQ(0, daemons[0]->Wait());
	EXPECT_EQ(0, daemons[1]->Count("\"name\":\"job_started\""));
	PostToStore("/fault", "{}");
	EXPECT_TRUE(daemons[1]->WaitLine("\"name\":\"job_orphaned\""));
	EXPECT_TRUE(Eventually([&] { return HasResults(1, "j1", 2); }));
}

TEST_F(Gateway, AJobSurvivesARestartOfItsOnlyDaemon)
{
	StartReadyFleet(1, 1);
	Send(0, "POST", "/b/j1", JobBody("it", 3, RequestBody(30, 20)), "j1");
	daemons[0]->Signal(SIGKILL);
	daemons[0]->Wait();
	StartDaemon(0);
	EXPECT_TRUE(Eventually([&] { return HasResults(0, "j1", 3); }));
}

TEST_F(Gateway, AJobAcceptedBeforeTheStoreToldTheTimeIsNotExpiredAtATakeOver)
{
	StartReadyFleet(2, 1);
	PostToStore("/fault", "{\"timeless\":\"d1\"}");
	AddDaemon();
	ASSERT_TRUE(Eventually([&] {
		return ReadyStatus(1) == 200 &&
		    Call(1, "/q/warm", "w", 1).status == 200;
	}));
	EXPECT_EQ(202,
	    Send(
		1, "POST", "/b/j1", JobBody("it", 3, RequestBody(40, 20)), "j1")
		.status);
	ASSERT_TRUE(Eventually([&] { return CountRuns("it0") > 0; }));
	daemons[1]->Signal(SIGKILL);
	daemons[1]->Wait();
	ASSERT_TRUE(Eventually([&] { return HasResults(0, "j1", 3); }));
	EXPECT_EQ(0, daemons[0]->Count("\"why\":\"expired\""));
}

/* The store rejects one daemon and serves its peer. */
TEST_F(Gateway, APeerServesJobsForADaemonThatTheStoreRejects)
{
	StartReadyFleet(1, 2);
	/* Daemon 1 has lost the store but knows its peer. */
	ASSERT_TRUE(daemons[1]->WaitLine("\"name\":\"member_up\""));
	PostToStore("/fault", "{\"turned_away\":\"d1\"}");
	ASSERT_TRUE(daemons[1]->WaitLine("\"name\":\"store_down\""));
	EXPECT_EQ(202,
	    Send(1, "POST", "/b/j1", JobBody("it", 2, RequestBody(3)), "j1")
		.status);
	EXPECT_TRUE(Eventually([&] { return HasResults(1, "j1", 2); }));
	EXPECT_EQ(RequestBody(3),
	    Send(1, "GET", "/api/items/j1?id=it0", "", "r").body);
	EXPECT_EQ(200, Send(1, "DELETE", "/api/lots/j1", "", "r").status);
	EXPECT_EQ(404, Send(1, "GET", "/api/lots/none", "", "r").status);
	EXPECT_GT(daemons[1]->Count("\"name\":\"job_forwarded\""), 0);
}

TEST_F(Gateway, ADaemonThatNeverReachedTheStoreServesJobsThroughItsSeed)
{
	StartReadyFleet(1, 1);
	PostToStore("/fault", "{\"turned_away\":\"d1\"}");
	AddDaemon();
	EXPECT_TRUE(
	    Eventually([&] { return Call(1, "/q/x", "w", 1).status == 200; }));
	EXPECT_TRUE(Eventually([&] {
		return Send(1, "POST", "/b/j1",
			   JobBody("it", 1, RequestBody(1)), "j1")
			   .status == 202;
	}));
}

TEST_F(Gateway, ADaemonThatNeverReachedTheStoreTriesAllItsSeeds)
{
	StartReadyFleet(1, 1);
	PostToStore("/fault", "{\"turned_away\":\"d1\"}");
	first_seed = LoopbackAddress(FreePort()) + ",";
	AddDaemon();
	EXPECT_TRUE(
	    Eventually([&] { return Call(1, "/q/x", "w", 1).status == 200; }));
}

/* If the peer that gets the forwarded job is killed or frozen, the job goes to
 * another one. */
TEST_F(Gateway, ASecondPeerAnswersWhenTheFirstDoesNot)
{
	const struct {
		int signal;
		size_t peer;
	} cases[] = {{SIGSTOP, 0}, {SIGSTOP, 2}, {SIGKILL, 0}, {SIGKILL, 2}};

	StartReadyFleet(1, 3);
	ASSERT_TRUE(daemons[1]->WaitLine("\"name\":\"member_up\"", 2));
	PostToStore("/fault", "{\"turned_away\":\"d1\"}");
	ASSERT_TRUE(daemons[1]->WaitLine("\"name\":\"store_down\""));
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		std::string job = "j" + std::to_string(i);
		size_t peer = cases[i].peer;

		daemons[peer]->Signal(cases[i].signal);
		EXPECT_EQ(202,
		    Send(1, "POST", "/b/" + job,
			JobBody(job, 1, RequestBody(1)), job)
			.status)
		    << "case " << i;
		if (cases[i].signal == SIGSTOP) {
			daemons[peer]->Signal(SIGCONT);
		} else {
			daemons[peer]->Wait();
			StartDaemon(peer);
		}
		ASSERT_TRUE(Eventually([&] {
			return ReadyStatus(peer) == 200 &&
			    Call(peer, "/q/x", "w", 1).status == 200;
		}));
	}
}

/* A refusal guarantees that nothing runs, but a frozen peer may already have
 * read the job. */
TEST_F(Gateway, AJobThatAPeerMayHaveAcceptedIsNotRefused)
{
	StartReadyFleet(1, 2);
	ASSERT_TRUE(daemons[1]->WaitLine("\"name\":\"member_up\""));
	PostToStore("/fault", "{\"turned_away\":\"d1\"}");
	ASSERT_TRUE(daemons[1]->WaitLine("\"name\":\"store_down\""));
	daemons[0]->Signal(SIGSTOP);
	Reply r =
	    Send(1, "POST", "/b/j1", JobBody("it", 1, RequestBody(1)), "j1");
	EXPECT_EQ(500, r.status);
	EXPECT_NE(std::string::npos, r.body.find("store_outcome_unknown"));
	daemons[0]->Signal(SIGCONT);
}

TEST_F(Gateway, AStoreOutageRefusesJobsAndServesTheRest)
{
	StartReadyFleet(1, 1);
	PostToStore("/fault", "{\"outage\":true}");
	ASSERT_TRUE(daemons[0]->WaitLine("\"name\":\"store_down\""));
	Reply r =
	    Send(0, "POST", "/b/j1", JobBody("it", 1, RequestBody(1)), "j1");
	EXPECT_EQ(503, r.status);
	EXPECT_NE("", r.headers["retry-after"]);
	EXPECT_EQ(200, Call(0, "/q/x", "a1", 2).status);
	PostToStore("/fault", "{}");
	EXPECT_TRUE(Eventually([&] {
		return Send(0, "POST", "/b/j1",
			   JobBody("it", 1, RequestBody(1)), "j1")
			   .status == 202;
	}));
	EXPECT_TRUE(Eventually([&] { return HasResults(0, "j1", 1); }));
	EXPECT_EQ(1, CountRuns("it0"));
}

} // namespace

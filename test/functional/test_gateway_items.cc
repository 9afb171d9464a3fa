/* Items whose runs go wrong: when they are placed again, and when given up. */
#include "functional/gateway_fixture.h"

namespace
{

/* An item is completed this long after its workers are sound again: the longest
 * ejection of a worker, the longest wait of an item, and a run. */
constexpr int64_t kAfterCalmUs = 5000000;

struct Items : Gateway {
	std::string
	ItemState(size_t daemon, const std::string &job, size_t index = 0)
	{
		json_t *doc = FetchResults(daemon, job);
		const char *state = json_string_value(json_object_get(
		    json_array_get(json_object_get(doc, "results"), index),
		    "state"));
		std::string text = state != nullptr ? state : "";

		json_decref(doc);
		return text;
	}

	/* Finds the daemon that runs or ran the only job and goes on. */
	bool
	FindHolder(size_t *holder)
	{
		for (size_t i = 0; i < daemons.size(); i++) {
			if (daemons[i]->Count("\"name\":\"job_started\"") ==
				0 ||
			    daemons[i]->Count("drain_started") > 0 ||
			    daemons[i]->HasExited())
				continue;
			*holder = i;
			return true;
		}
		return false;
	}

	/* Each daemon that holds the job gets a signal after a few runs. */
	int
	CountRunsOfAFailingItem(int signal, int attempts_max)
	{
		const int runs_each = 4;
		const size_t daemon_count = 7;
		size_t holder = 0;

		StartReadyFleet(6, daemon_count);
		Configure(2, "," + JobRoute("c", attempts_max));
		for (auto &d : daemons)
			EXPECT_TRUE(d->WaitLine("\"version\":\"2\""));
		Send(0, "POST", "/c/j1", JobBody("it", 1, "{\"status\":500}"),
		    "j1");
		for (size_t n = 1; n < daemon_count; n++) {
			EXPECT_TRUE(
			    Eventually([&] { return FindHolder(&holder); }));
			int runs = CountRuns("it0");

			EXPECT_TRUE(Eventually([&] {
				return CountRuns("it0") >= runs + runs_each ||
				    daemons[holder]->Count("item_given_up") > 0;
			}));
			if (daemons[holder]->Count("item_given_up") > 0)
				break;
			daemons[holder]->Signal(signal);
			if (signal == SIGKILL)
				daemons[holder]->Wait();
			else
				EXPECT_TRUE(
				    daemons[holder]->WaitLine("drain_started"));
		}
		EXPECT_TRUE(Eventually([&] { return FindHolder(&holder); }));
		EXPECT_TRUE(
		    Eventually([&] { return HasResults(holder, "j1", 1); }));
		return CountRuns("it0");
	}

	void
	InjectFaultEverywhere(const std::string &doc)
	{
		for (size_t w = 0; w < workers.size(); w++)
			InjectFault(w, doc);
	}
};

TEST_F(Items, AnItemWhoseWorkersFailedIsPlacedAgainOnceTheyAreSound)
{
	const struct {
		const char *job;
		const char *fault;
	} cases[] = {
	    {"crashed", "{\"crashes\":1000}"},
	    {"stalled", "{\"silent\":1000}"},
	};
	const int runs = 6;

	StartReadyFleet(3, 1);
	for (const auto &c : cases) {
		std::string job = c.job;

		InjectFaultEverywhere(c.fault);
		Send(0, "POST", "/b/" + job, JobBody(job, 1, RequestBody(3)),
		    job);
		EXPECT_TRUE(Eventually([&] {
			return CountRuns(job + "0") >= runs;
		})) << job;
		InjectFaultEverywhere("{}");
		int64_t calm_us = NowUs();

		EXPECT_TRUE(Eventually([&] { return HasResults(0, job, 1); }))
		    << job;
		EXPECT_LT(NowUs() - calm_us, kAfterCalmUs) << job;
		EXPECT_EQ("completed", ItemState(0, job)) << job;
	}
}

TEST_F(Items, ItemsOfAStepAreAllPlacedAgainAfterABurstOfCrashes)
{
	const int items = 6;

	StartReadyFleet(6, 1);
	InjectFaultEverywhere("{\"crashes\":1000}");
	Send(0, "POST", "/b/step", JobBody("step", items, RequestBody(3)),
	    "step");
	EXPECT_TRUE(Eventually([&] { return CountRuns("step0") >= 7; }));
	InjectFaultEverywhere("{}");
	int64_t calm_us = NowUs();

	EXPECT_TRUE(Eventually([&] { return HasResults(0, "step", items); }));
	EXPECT_LT(NowUs() - calm_us, kAfterCalmUs);
	for (size_t i = 0; i < (size_t)items; i++)
		EXPECT_EQ("completed", ItemState(0, "step", i)) << i;
}

/* Guards against items that wait for ever, as the only worker of their zone
 * has turned them away. */
TEST_F(Items, AnItemThatItsOnlyWorkerTurnedAwayRunsAgain)
{
	const struct {
		const char *job;
		int workers;
		int items;
		int sheds;
	} cases[] = {
	    {"one-of-ten", 1, 10, 1},
	    {"six-of-ten", 1, 10, 6},
	    {"all-of-four", 3, 4, 4},
	};
	int workers_started = 1;

	StartReadyFleet(1, 1);
	for (const auto &c : cases) {
		for (; workers_started < c.workers; workers_started++)
			AddWorker("dc" + std::to_string(workers_started + 1));
		for (size_t w = 0; w < workers.size(); w++)
			InjectFault(
			    w, "{\"shed\":" + std::to_string(c.sheds) + "}");
		Send(0, "POST", std::string("/b/") + c.job,
		    JobBody(c.job, c.items, RequestBody(3)), c.job);
		int64_t start_us = NowUs();
		EXPECT_TRUE(Eventually([&] {
			return HasResults(0, c.job, (size_t)c.items);
		})) << c.job;
		EXPECT_LT(NowUs() - start_us, kAfterCalmUs) << c.job;
		InjectFaultEverywhere("{}");
	}
}

/* Guards against an item without a timer: no worker is left to run it. */
TEST_F(Items, AnItemThatNoWorkerMayRunIsGivenUpInTime)
{
	StartReadyFleet(1, 1);
	ConfigureRoutes(2, "," + JobRoute("b", 2, 3));
	EXPECT_TRUE(daemons[0]->WaitLine("\"version\":\"2\""));
	workers[0]->Signal(SIGSTOP);
	Send(0, "POST", "/b/j1", JobBody("it", 8, RequestBody(3)), "j1");
	EXPECT_TRUE(Eventually([&] { return HasResults(0, "j1", 8); }));
	EXPECT_EQ("dead_letter", ItemState(0, "j1", 7));
	workers[0]->Signal(SIGCONT);
}

TEST_F(Items, OnlyAnswersOf500And422EndAnItem)
{
	const struct {
		const char *job;
		const char *statuses;
		const char *state;
		int runs;
	} cases[] = {
	    {"unavailable-first", "[503,503,503,500]", "completed", 5},
	    {"timeouts-first", "[504,504,500,504]", "completed", 5},
	    {"bad-gateway-only", "[502,502,502,502]", "completed", 5},
	    {"one-500", "[500]", "completed", 2},
	    {"two-500", "[500,500]", "dead_letter", 2},
	    {"two-500-apart", "[500,503,500]", "dead_letter", 3},
	    {"one-422", "[422]", "dead_letter", 1},
	    {"late-422", "[503,422]", "dead_letter", 2},
	};

	StartReadyFleet(1, 1);
	for (const auto &c : cases) {
		std::string job = c.job;

		InjectFault(
		    0, std::string("{\"statuses\":") + c.statuses + "}");
		Send(0, "POST", "/b/" + job, JobBody(job, 1, RequestBody(3)),
		    job);
		EXPECT_TRUE(Eventually([&] { return HasResults(0, job, 1); }))
		    << job;
		EXPECT_EQ(c.state, ItemState(0, job)) << job;
		EXPECT_EQ(c.runs, CountRuns(job + "0")) << job;
	}
}

TEST_F(Items, AnItemIsNotEndedByOne500WhileItsRouteIsUnknown)
{
	StartReadyFleet(1, 1);
	workers[0]->Signal(SIGSTOP);
	Send(0, "POST", "/b/j1", JobBody("it", 1, "{\"status\":500}"), "j1");
	ConfigureRoutes(2, "");
	EXPECT_TRUE(daemons[0]->WaitLine("\"version\":\"2\""));
	workers[0]->Signal(SIGCONT);
	EXPECT_TRUE(Eventually([&] { return CountRuns("it0") == 1; }));
	Configure(3);
	EXPECT_TRUE(Eventually([&] { return HasResults(0, "j1", 1); }));
	EXPECT_EQ("dead_letter", ItemState(0, "j1"));
	EXPECT_GE(CountRuns("it0"), 2);
}

TEST_F(Items, AnItemThatAlwaysFailsIsNotRunAnewAfterEachHandOver)
{
	const int attempts_max = 10;

	EXPECT_LE(
	    CountRunsOfAFailingItem(SIGTERM, attempts_max), 3 * attempts_max);
}

TEST_F(Items, AnItemThatAlwaysFailsIsNotRunAnewAfterEachKill)
{
	const int attempts_max = 10;

	EXPECT_LE(
	    CountRunsOfAFailingItem(SIGKILL, attempts_max), 3 * attempts_max);
}

/* Online requests of the same path and body crash workers and are blocked. */
TEST_F(Items, AnItemIsOwedThoughOnlineRequestsLikeItAreBlocked)
{
	std::string body = RequestBody(3);

	StartReadyFleet(3, 1);
	InjectFaultEverywhere("{\"crashes\":1000}");
	EXPECT_TRUE(Eventually([&] {
		Send(0, "POST", "/q/it0", body, "online");
		return daemons[0]->Count("\"name\":\"request_condemned\"") > 0;
	}));
	InjectFaultEverywhere("{}");
	std::string doc = JobBody("it", 1, body);

	doc.replace(doc.find("/b/it0"), 6, "/q/it0");
	Send(0, "POST", "/b/j1", doc, "j1");
	EXPECT_TRUE(Eventually([&] { return HasResults(0, "j1", 1); }));
	EXPECT_EQ("completed", ItemState(0, "j1"));
}

} // namespace

/* Guarantees under killed or frozen daemons, cut answers, outages, races. */
#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <chrono>
#include <thread>

#include "functional/harness.h"

namespace
{

/* Sends chat requests from several threads until it is stopped. */
class Load
{
      public:
	Load(Fleet &fleet, std::vector<size_t> daemons, int threads = 4)
	    : fleet_(fleet), daemons_(daemons)
	{
		for (int i = 0; i < threads; i++)
			threads_.emplace_back(&Load::Run, this, i);
	}

	~Load()
	{
		Stop();
	}

	void
	Stop()
	{
		stop_ = true;
		for (auto &t : threads_)
			if (t.joinable())
				t.join();
	}

	bool
	WaitAnswered(int more)
	{
		int goal = answered + more;

		return Eventually([&] { return answered >= goal; });
	}

	std::atomic<int> answered{0};
	std::atomic<int> failed{0};

      private:
	void
	Run(int thread)
	{
		for (int n = 0; !stop_; n++) {
			size_t d =
			    daemons_[(size_t)(n + thread) % daemons_.size()];
			Reply r = fleet_.Chat(d,
			    "question " + std::to_string(thread) + "." +
				std::to_string(n),
			    n % 2 == 0);

			(r.status == 200 ? answered : failed)++;
			if (r.status != 200)
				fprintf(stderr,
				    "chat request failed: status %ld, %s\n",
				    r.status, r.body.c_str());
		}
	}

	Fleet &fleet_;
	std::vector<size_t> daemons_;
	std::atomic<bool> stop_{false};
	std::vector<std::thread> threads_;
};

/* Index of the daemon that arbitrates the target, or -1. */
int
ArbiterOf(Fleet &f, const std::string &target)
{
	for (size_t i = 0; i < f.daemons.size(); i++) {
		Reply r = Http("GET", f.DaemonUrl(i) + "/v1/status", "",
		    {"Authorization: Bearer operators-key"});

		if (r.body.find("\"target\":\"" + target + "\"") !=
		    std::string::npos)
			return (int)i;
	}
	return -1;
}

TEST(Failures, CutSilentAndMismatchedAnswersAreCompleted)
{
	for (const char *fault :
	    {"{\"cut\":1}", "{\"stall\":1}", "{\"cross\":1}",
		"{\"cut\":1,\"cross\":1}", "{\"cut\":1,\"stall\":1}"}) {
		FleetOptions o;

		o.engines = 2;
		Fleet f(o);
		for (size_t e = 0; e < 2; e++)
			f.InjectFault(f.EngineUrl(e), fault);
		EXPECT_EQ(200, f.Chat(0, "plain", false).status) << fault;
		for (size_t e = 0; e < 2; e++)
			f.InjectFault(f.EngineUrl(e), fault);
		EXPECT_EQ(200, f.Chat(1, "streamed", true).status) << fault;
		f.ExpectHistoryValid();
	}
}

TEST(Failures, ARequestThatCrashesTargetsIsBlockedAfterTwo)
{
	FleetOptions o;

	o.engines = 4;
	Fleet f(o);
	Load load(f, {0, 1});
	ASSERT_TRUE(load.WaitAnswered(8));
	Reply r = f.Chat(0, "CRASH now", false);
	EXPECT_EQ(422, r.status) << r.body;
	EXPECT_NE(std::string::npos, r.body.find("request_crashes_targets"));
	EXPECT_TRUE(f.daemons[1]->WaitLine("request_condemned"));
	Reply again = f.Chat(1, "CRASH now", false);
	EXPECT_EQ(422, again.status) << again.body;
	ASSERT_TRUE(load.WaitAnswered(8)) << "unrelated requests continue";
	load.Stop();
	int crashed = 0;
	for (auto &e : f.engines)
		crashed +=
		    Http("GET",
			f.EngineUrl((size_t)(&e - &f.engines[0])) + "/load")
			.status != 200;
	EXPECT_EQ(2, crashed);
	EXPECT_EQ(0, load.failed);
	f.ExpectHistoryValid();
}

TEST(Failures, KilledDaemonIsDetectedByItsOnlyPeer)
{
	FleetOptions o;

	o.daemons = 2;
	Fleet f(o);
	f.daemons[0]->Signal(SIGKILL);
	EXPECT_TRUE(f.daemons[1]->WaitLine("member_down"))
	    << f.daemons[1]->Output();
}

/* The connection to a daemon that was away is not left waiting for its next
 * attempt, at intervals of up to 2 s, once the daemon is up. */
TEST(Failures, ADaemonThatWasAwayIsAskedForGrantsAtOnce)
{
	FleetOptions o;

	o.engines = 8;
	o.flags = {"--grant-timeout-ms=500"};
	Fleet f(o);
	for (int round = 1; round <= 2; round++) {
		f.daemons[1]->Signal(SIGKILL);
		f.daemons[1]->Wait();
		ASSERT_TRUE(f.daemons[0]->WaitLine("member_down", round));
		/* The intervals grow meanwhile. */
		std::this_thread::sleep_for(std::chrono::seconds(2));
		f.StartDaemon(1);
		ASSERT_TRUE(f.daemons[0]->WaitLine("member_up", round + 1));
		/* Without a configuration it knows no targets. */
		ASSERT_TRUE(f.daemons[1]->WaitLine("daemon_ready"));
		int before = f.daemons[0]->Count("arbiter_fallback");
		/* Some engines have their arbiter at the other daemon. */
		std::vector<std::thread> callers;
		for (int i = 0; i < 16; i++)
			callers.emplace_back([&f, i] {
				std::string prompt = "q" + std::to_string(i);

				EXPECT_EQ(200, f.Chat(0, prompt, false).status);
			});
		for (auto &caller : callers)
			caller.join();
		EXPECT_EQ(before, f.daemons[0]->Count("arbiter_fallback"));
	}
}

/* Online requests continue at the other daemons when the arbiter's daemon is
 * killed (SIGKILL) or frozen (SIGSTOP). */
void
TestArbiterFailure(int signal)
{
	FleetOptions o;

	o.daemons = 3;
	Fleet f(o);
	f.Chat(0, "first", false);
	int arbiter = ArbiterOf(f, "engine-0");
	ASSERT_GE(arbiter, 0);
	std::vector<size_t> survivors;
	for (size_t i = 0; i < 3; i++)
		if ((int)i != arbiter)
			survivors.push_back(i);
	Load load(f, survivors);
	ASSERT_TRUE(load.WaitAnswered(8));
	f.daemons[(size_t)arbiter]->Signal(signal);
	ASSERT_TRUE(load.WaitAnswered(16));
	if (signal == SIGSTOP) {
		f.daemons[(size_t)arbiter]->Signal(SIGCONT);
		ASSERT_TRUE(load.WaitAnswered(16));
	}
	load.Stop();
	EXPECT_EQ(0, load.failed);
	EXPECT_GT(f.Metric(survivors[0], "savoryflow_arbiter_fallbacks_total") +
		f.Metric(survivors[1], "savoryflow_arbiter_fallbacks_total"),
	    0);
	f.ExpectHistoryValid();
}

TEST(Failures, KilledArbiterDoesNotStopOnlineRequests)
{
	TestArbiterFailure(SIGKILL);
}

TEST(Failures, FrozenArbiterDoesNotStopOnlineRequests)
{
	TestArbiterFailure(SIGSTOP);
}

TEST(Failures, LeavingTargetGetsNoNewWork)
{
	for (const char *source : {"report", "list"}) {
		FleetOptions o;

		o.engines = 2;
		o.daemons = 2;
		Fleet f(o);
		Load load(f, {0, 1});
		ASSERT_TRUE(load.WaitAnswered(8));
		f.RecordEvent({"target_leaving", {{"target", "engine-0"}}});
		if (std::string(source) == "report")
			Http("POST", f.EngineUrl(0) + "/leave");
		else
			Http("POST", f.PlatformUrl() + "/vm",
			    "{\"address\":\"" + f.EngineUrl(0) +
				"\",\"state\":\"leaving\"}");
		for (auto &d : f.daemons)
			EXPECT_TRUE(d->WaitLine("target_leaving")) << source;
		ASSERT_TRUE(load.WaitAnswered(16));
		load.Stop();
		EXPECT_EQ(0, load.failed) << source;
		f.ExpectHistoryValid();
	}
}

TEST(Failures, BodyOfATargetsRefusalIsNotPartOfAnAnswer)
{
	FleetOptions o;

	o.engines = 2;
	o.daemons = 1;
	o.flags = {"--report-period-ms=60000"};
	Fleet f(o);
	Http("POST", f.EngineUrl(0) + "/leave");
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(200,
		    f.Chat(0, "question " + std::to_string(i), true).status);
	EXPECT_EQ(1, f.daemons[0]->Count("target_leaving"));
	f.ExpectHistoryValid();
}

TEST(Failures, GracefulShutdownCutsNothing)
{
	FleetOptions o;

	o.daemons = 3;
	/* Streams take longer than the drain notice. */
	o.engine_speed = "0.5";
	Fleet f(o);
	/* The load balancer uses the draining daemon until it is unready. */
	Load staying(f, {1, 2}), leaving(f, {0}, 2);
	ASSERT_TRUE(leaving.WaitAnswered(4));
	f.daemons[0]->Signal(SIGTERM);
	ASSERT_TRUE(Eventually([&] {
		return Http("GET", f.DaemonUrl(0) + "/readyz").status != 200;
	}));
	leaving.Stop();
	EXPECT_EQ(0, f.daemons[0]->Wait());
	ASSERT_TRUE(staying.WaitAnswered(8));
	staying.Stop();
	EXPECT_EQ(0, staying.failed);
	EXPECT_EQ(0, leaving.failed);
	f.ExpectHistoryValid();
}

TEST(Failures, RacingOperatorsOneWins)
{
	FleetOptions o;

	o.daemons = 2;
	Fleet f(o);
	for (int from = 1; from <= 5; from++) {
		Reply a, b;
		std::thread other(
		    [&] { a = f.SubmitConfig(0, 100 + from, from); });

		b = f.SubmitConfig(1, 200 + from, from);
		other.join();
		EXPECT_EQ(609, a.status + b.status)
		    << a.body << " / " << b.body;
		const Reply &rejected = a.status == 409 ? a : b;
		EXPECT_NE(std::string::npos,
		    rejected.body.find(
			"generation " + std::to_string(from + 1)))
		    << rejected.body;
	}
}

/* Records the configuration that each daemon uses. */
void
RecordGenerations(Fleet &f)
{
	for (size_t i = 0; i < f.daemons.size(); i++) {
		Reply r = Http("GET", f.DaemonUrl(i) + "/v1/config", "",
		    {"Authorization: Bearer operators-key"});
		size_t at = r.body.find("\"generation\":");
		size_t digest = r.body.find("\"digest\":\"");

		if (r.status != 200)
			continue;
		f.RecordEvent({"config_seen",
		    {{"daemon", std::to_string(i)},
			{"generation",
			    std::to_string(std::stoi(r.body.substr(at + 13)))},
			{"digest", r.body.substr(digest + 10, 64)}}});
	}
}

TEST(Failures, ConfigurationIsAppliedEverywhereAndNeverReverts)
{
	FleetOptions o;

	o.daemons = 4;
	Fleet f(o);
	for (int g = 1; g < 6; g++) {
		Reply r = f.SubmitConfig((size_t)g % 4, g + 1, g);

		ASSERT_EQ(200, r.status) << r.body;
		size_t digest = r.body.find("\"digest\":\"");
		f.RecordEvent({"config_accepted",
		    {{"generation", std::to_string(g + 1)},
			{"digest", r.body.substr(digest + 10, 64)}}});
		/* The daemon that acknowledged it is killed at once. */
		if (g == 3) {
			f.daemons[3]->Signal(SIGKILL);
			f.daemons[3]->Wait();
			f.StartDaemon(3);
		}
		RecordGenerations(f);
		for (size_t i = 0; i < 4; i++)
			EXPECT_TRUE(Eventually([&] {
				return f.Metric(
					   i, "savoryflow_config_generation") ==
				    g + 1;
			}));
		RecordGenerations(f);
	}
	Reply h = Http("GET", f.DaemonUrl(2) + "/v1/config/history", "",
	    {"Authorization: Bearer operators-key"});
	EXPECT_NE(std::string::npos, h.body.find("\"who\":\"operators\""));
	f.ExpectHistoryValid();
}

TEST(Failures, DaemonStartedDuringAnOutageUsesThePeersConfiguration)
{
	FleetOptions o;

	o.daemons = 3;
	Fleet f(o);
	ASSERT_EQ(200, f.SubmitConfig(0, 2, 1).status);
	for (size_t i = 0; i < 3; i++)
		EXPECT_TRUE(Eventually([&] {
			return f.Metric(i, "savoryflow_config_generation") == 2;
		}));
	f.daemons[2]->Signal(SIGKILL);
	f.daemons[2]->Wait();
	f.InjectFault(f.PlatformUrl(), "{\"outage\":true}");
	f.StartDaemon(2);
	EXPECT_TRUE(f.daemons[2]->WaitLine("daemon_ready"));
	EXPECT_EQ(2, f.Metric(2, "savoryflow_config_generation"));
	EXPECT_EQ(200, f.Chat(2, "from the new one", false).status);
	f.ExpectHistoryValid();
}

TEST(Failures, OnlineRequestsOvertakeABatchThatFillsAllSlots)
{
	FleetOptions o;

	o.daemons = 2;
	o.slots = 4;
	o.engine_speed = "5";
	Fleet f(o);
	EXPECT_EQ(202, f.SubmitJob(0, "lot", 400).status);
	ASSERT_TRUE(f.WaitChunkCommitted());
	for (int i = 0; i < 10; i++)
		EXPECT_EQ(200,
		    f.Chat((size_t)i % 2, "urgent " + std::to_string(i), true)
			.status);
	EXPECT_EQ("running", f.JobState(0, "lot"))
	    << "online requests waited for the end of the job";
	EXPECT_TRUE(f.WaitJob(0, "lot"));
	f.ReadResults(0, "lot");
	f.ExpectHistoryValid();
}

} // namespace

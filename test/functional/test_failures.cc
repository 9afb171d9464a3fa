/* The promises under kills, cuts, freezes, outages and races. */
#include <gtest/gtest.h>
#include <signal.h>

#include <atomic>
#include <thread>

#include "functional/harness.h"

namespace
{

/* Sends questions from several threads until told to stop. */
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
	WaitAnswers(int more)
	{
		int goal = answers + more;

		return Eventually([&] { return answers >= goal; });
	}

	std::atomic<int> answers{0};
	std::atomic<int> others{0};

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

			(r.status == 200 ? answers : others)++;
			if (r.status != 200)
				fprintf(stderr, "not answered: %ld %s\n",
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

TEST(Failures, CutSilentAndCrossedAnswersAreMadeWhole)
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

TEST(Failures, ARequestThatCrashesTargetsIsStoppedAfterTwo)
{
	FleetOptions o;

	o.engines = 4;
	Fleet f(o);
	Load load(f, {0, 1});
	ASSERT_TRUE(load.WaitAnswers(8));
	Reply r = f.Chat(0, "CRASH now", false);
	EXPECT_EQ(422, r.status) << r.body;
	EXPECT_NE(std::string::npos, r.body.find("request_crashes_targets"));
	EXPECT_TRUE(f.daemons[1]->WaitLine("request_condemned"));
	Reply again = f.Chat(1, "CRASH now", false);
	EXPECT_EQ(422, again.status) << again.body;
	ASSERT_TRUE(load.WaitAnswers(8)) << "innocents go on";
	load.Stop();
	int lost = 0;
	for (auto &e : f.engines)
		lost += Http("GET",
			    f.EngineUrl((size_t)(&e - &f.engines[0])) + "/load")
			    .status != 200;
	EXPECT_EQ(2, lost);
	EXPECT_EQ(0, load.others);
	f.ExpectHistoryValid();
}

TEST(Failures, KilledDaemonIsNoticedByTheOnlyOther)
{
	FleetOptions o;

	o.daemons = 2;
	Fleet f(o);
	f.daemons[0]->Signal(SIGKILL);
	EXPECT_TRUE(f.daemons[1]->WaitLine("member_down"))
	    << f.daemons[1]->Output();
}

/* Online goes on at the others when the arbiter's daemon is lost so. */
void
LoseArbiter(int signal)
{
	FleetOptions o;

	o.daemons = 3;
	Fleet f(o);
	f.Chat(0, "first", false);
	int arbiter = ArbiterOf(f, "engine-0");
	ASSERT_GE(arbiter, 0);
	std::vector<size_t> others;
	for (size_t i = 0; i < 3; i++)
		if ((int)i != arbiter)
			others.push_back(i);
	Load load(f, others);
	ASSERT_TRUE(load.WaitAnswers(8));
	f.daemons[(size_t)arbiter]->Signal(signal);
	ASSERT_TRUE(load.WaitAnswers(16));
	if (signal == SIGSTOP) {
		f.daemons[(size_t)arbiter]->Signal(SIGCONT);
		ASSERT_TRUE(load.WaitAnswers(16));
	}
	load.Stop();
	EXPECT_EQ(0, load.others);
	EXPECT_GT(f.Metric(others[0], "savoryflow_arbiter_fallbacks_total") +
		f.Metric(others[1], "savoryflow_arbiter_fallbacks_total"),
	    0);
	f.ExpectHistoryValid();
}

TEST(Failures, KilledArbiterDoesNotStopOnline)
{
	LoseArbiter(SIGKILL);
}

TEST(Failures, FrozenArbiterDoesNotStopOnline)
{
	LoseArbiter(SIGSTOP);
}

TEST(Failures, LeavingTargetGetsNoNewWork)
{
	for (const char *sign : {"report", "list"}) {
		FleetOptions o;

		o.engines = 2;
		o.daemons = 2;
		Fleet f(o);
		Load load(f, {0, 1});
		ASSERT_TRUE(load.WaitAnswers(8));
		f.RecordEvent({"target_leaving", {{"target", "engine-0"}}});
		if (std::string(sign) == "report")
			Http("POST", f.EngineUrl(0) + "/leave");
		else
			Http("POST", f.PlatformUrl() + "/vm",
			    "{\"address\":\"" + f.EngineUrl(0) +
				"\",\"state\":\"leaving\"}");
		for (auto &d : f.daemons)
			EXPECT_TRUE(d->WaitLine("target_leaving")) << sign;
		ASSERT_TRUE(load.WaitAnswers(16));
		load.Stop();
		EXPECT_EQ(0, load.others) << sign;
		f.ExpectHistoryValid();
	}
}

TEST(Failures, WhatATargetSaysWhenItTurnsAwayIsNoPartOfAnAnswer)
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
	/* Streams take longer than the notice of the shutdown. */
	o.engine_speed = "0.5";
	Fleet f(o);
	/* The balancer sends to the daemon that leaves until it is unready. */
	Load stays(f, {1, 2}), leaves(f, {0}, 2);
	ASSERT_TRUE(leaves.WaitAnswers(4));
	f.daemons[0]->Signal(SIGTERM);
	ASSERT_TRUE(Eventually([&] {
		return Http("GET", f.DaemonUrl(0) + "/readyz").status != 200;
	}));
	leaves.Stop();
	EXPECT_EQ(0, f.daemons[0]->Wait());
	ASSERT_TRUE(stays.WaitAnswers(8));
	stays.Stop();
	EXPECT_EQ(0, stays.others);
	EXPECT_EQ(0, leaves.others);
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
		const Reply &loser = a.status == 409 ? a : b;
		EXPECT_NE(std::string::npos,
		    loser.body.find("generation " + std::to_string(from + 1)))
		    << loser.body;
	}
}

/* Notes what each daemon has in force. */
void
NoteGenerations(Fleet &f)
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

TEST(Failures, ConfigurationIsInForceEverywhereAndNeverReverts)
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
		/* The daemon that acknowledged is lost at once. */
		if (g == 3) {
			f.daemons[3]->Signal(SIGKILL);
			f.daemons[3]->Wait();
			f.StartDaemon(3);
		}
		NoteGenerations(f);
		for (size_t i = 0; i < 4; i++)
			EXPECT_TRUE(Eventually([&] {
				return f.Metric(
					   i, "savoryflow_config_generation") ==
				    g + 1;
			}));
		NoteGenerations(f);
	}
	Reply h = Http("GET", f.DaemonUrl(2) + "/v1/config/history", "",
	    {"Authorization: Bearer operators-key"});
	EXPECT_NE(std::string::npos, h.body.find("\"who\":\"operators\""));
	f.ExpectHistoryValid();
}

TEST(Failures, DaemonStartedDuringAnOutageTakesThePeersConfiguration)
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

TEST(Failures, OnlinePassesBatchThatFillsEverything)
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
	    << "online did not wait for the job's end";
	EXPECT_TRUE(f.WaitJob(0, "lot"));
	f.ReadResults(0, "lot");
	f.ExpectHistoryValid();
}

} // namespace

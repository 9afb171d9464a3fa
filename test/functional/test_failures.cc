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
		Reply r = Http("GET", f.Url(i) + "/v1/status", "",
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
			f.Fault(f.Engine(e), fault);
		EXPECT_EQ(200, f.Chat(0, "plain", false).status) << fault;
		for (size_t e = 0; e < 2; e++)
			f.Fault(f.Engine(e), fault);
		EXPECT_EQ(200, f.Chat(1, "streamed", true).status) << fault;
		f.ExpectHistoryHolds();
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
			    f.Engine((size_t)(&e - &f.engines[0])) + "/load")
			    .status != 200;
	EXPECT_EQ(2, lost);
	EXPECT_EQ(0, load.others);
	f.ExpectHistoryHolds();
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
	f.ExpectHistoryHolds();
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
		f.Note({"target_leaving", {{"target", "engine-0"}}});
		if (std::string(sign) == "report")
			Http("POST", f.Engine(0) + "/leave");
		else
			Http("POST", f.Platform() + "/vm",
			    "{\"address\":\"" + f.Engine(0) +
				"\",\"state\":\"leaving\"}");
		for (auto &d : f.daemons)
			EXPECT_TRUE(d->WaitLine("target_leaving")) << sign;
		ASSERT_TRUE(load.WaitAnswers(16));
		load.Stop();
		EXPECT_EQ(0, load.others) << sign;
		f.ExpectHistoryHolds();
	}
}

TEST(Failures, WhatATargetSaysWhenItTurnsAwayIsNoPartOfAnAnswer)
{
	FleetOptions o;

	o.engines = 2;
	o.daemons = 1;
	o.flags = {"--report-period-ms=60000"};
	Fleet f(o);
	Http("POST", f.Engine(0) + "/leave");
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(200,
		    f.Chat(0, "question " + std::to_string(i), true).status);
	EXPECT_EQ(1, f.daemons[0]->Count("target_leaving"));
	f.ExpectHistoryHolds();
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
	ASSERT_TRUE(Eventually(
	    [&] { return Http("GET", f.Url(0) + "/readyz").status != 200; }));
	leaves.Stop();
	EXPECT_EQ(0, f.daemons[0]->Wait());
	ASSERT_TRUE(stays.WaitAnswers(8));
	stays.Stop();
	EXPECT_EQ(0, stays.others);
	EXPECT_EQ(0, leaves.others);
	f.ExpectHistoryHolds();
}

TEST(Failures, JobOfADaemonKilledAfterItsAcknowledgementIsDone)
{
	FleetOptions o;

	o.daemons = 3;
	Fleet f(o);
	EXPECT_EQ(202, f.SubmitJob(0, "lot", 100).status);
	f.daemons[0]->Signal(SIGKILL);
	EXPECT_EQ(202, f.SubmitJob(1, "lot", 100).status) << "resent";
	EXPECT_TRUE(f.WaitJob(1, "lot"));
	f.ReadResults(2, "lot");
	f.ReadResults(1, "lot");
	f.ExpectHistoryHolds();
}

TEST(Failures, ResentJobWithOtherContentConflicts)
{
	FleetOptions o;
	Fleet f(o);

	EXPECT_EQ(202, f.SubmitJob(0, "lot", 20).status);
	Reply r = f.SubmitJob(1, "lot", 21);
	EXPECT_EQ(409, r.status);
	EXPECT_NE(std::string::npos, r.body.find("job_content_conflict"));
	EXPECT_TRUE(f.WaitJob(1, "lot"));
	f.ReadResults(0, "lot");
	f.ExpectHistoryHolds();
}

TEST(Failures, HolderFrozenPastItsLeaseDoublesNothing)
{
	FleetOptions o;

	o.daemons = 2;
	o.engine_speed = "2";
	o.flags = {"--batch-inflight-items=8"};
	Fleet f(o);
	EXPECT_EQ(202, f.SubmitJob(0, "lot", 200).status);
	ASSERT_TRUE(f.WaitSomeChunk());
	/* Frozen while it holds a lease, not between two. */
	ASSERT_TRUE(Eventually([&] {
		f.daemons[0]->Signal(SIGSTOP);
		if (f.HoldsLease(0))
			return true;
		f.daemons[0]->Signal(SIGCONT);
		return false;
	}));
	EXPECT_TRUE(f.daemons[1]->WaitLine("session_ended"));
	f.daemons[0]->Signal(SIGCONT);
	EXPECT_TRUE(f.daemons[0]->WaitLine("session_lost"));
	EXPECT_TRUE(f.WaitJob(1, "lot"));
	f.ReadResults(0, "lot");
	f.ReadResults(1, "lot");
	f.ExpectHistoryHolds();
}

TEST(Failures, LostAnswersOfTheStoreLoseAndDoubleNothing)
{
	FleetOptions o;
	Fleet f(o);

	for (const char *fault :
	    {"{\"lose_answers\":1}", "{\"lose_requests\":1}",
		"{\"lose_answers\":2,\"lose_requests\":2}"}) {
		std::string id = std::string("lot-") +
		    std::to_string(fault[2]) + std::to_string(fault[8]) +
		    std::to_string(fault[17]);

		f.Fault(f.Platform(), fault);
		EXPECT_EQ(202, f.SubmitJob(0, id, 40).status) << fault;
		f.Fault(f.Platform(), fault);
		EXPECT_TRUE(f.WaitJob(1, id)) << fault;
		f.ReadResults(1, id);
	}
	f.ExpectHistoryHolds();
}

TEST(Failures, OutageOfTheStore)
{
	FleetOptions o;

	o.daemons = 2;
	o.engine_speed = "5";
	Fleet f(o);
	EXPECT_EQ(202, f.SubmitJob(0, "before", 64).status);
	ASSERT_TRUE(f.WaitSomeChunk());
	f.Fault(f.Platform(), "{\"outage\":true}");
	ASSERT_TRUE(f.daemons[0]->WaitLine("store_down"));
	EXPECT_EQ(200, f.Chat(0, "online goes on", true).status);
	Reply job = f.SubmitJob(1, "during", 5);
	EXPECT_EQ(503, job.status) << job.body;
	EXPECT_EQ("no", job.headers["savoryflow-ran"]);
	EXPECT_NE("", job.headers["retry-after"]);
	Reply call = f.Book(1, "in-outage");
	EXPECT_EQ(503, call.status) << call.body;
	EXPECT_EQ("no", call.headers["savoryflow-ran"]);
	Reply conf = f.SubmitConfig(0, 2, 1);
	EXPECT_EQ(503, conf.status) << conf.body;
	f.Fault(f.Platform(), "{}");
	EXPECT_TRUE(f.WaitJob(0, "before"));
	f.ReadResults(0, "before");
	EXPECT_EQ(202, f.SubmitJob(1, "during", 5).status);
	EXPECT_TRUE(f.WaitJob(0, "during"));
	f.ReadResults(1, "during");
	f.ExpectHistoryHolds();
}

TEST(Failures, OutageAndAKilledHolderAtOnce)
{
	FleetOptions o;

	o.daemons = 3;
	o.engine_speed = "5";
	Fleet f(o);
	EXPECT_EQ(202, f.SubmitJob(0, "lot", 96).status);
	ASSERT_TRUE(f.WaitSomeChunk());
	f.Fault(f.Platform(), "{\"outage\":true}");
	f.daemons[0]->Signal(SIGKILL);
	ASSERT_TRUE(f.daemons[1]->WaitLine("store_down"));
	f.Fault(f.Platform(), "{\"lose_answers\":2}");
	EXPECT_TRUE(f.WaitJob(1, "lot"));
	f.ReadResults(2, "lot");
	f.ExpectHistoryHolds();
}

TEST(Failures, CancelledJobStops)
{
	FleetOptions o;

	o.daemons = 2;
	o.engine_speed = "2";
	o.flags = {"--batch-inflight-items=8"};
	Fleet f(o);
	EXPECT_EQ(202, f.SubmitJob(0, "lot", 200).status);
	ASSERT_TRUE(f.WaitSomeChunk());
	EXPECT_EQ(200,
	    Http("POST", f.Url(1) + "/v1/batches/lot/cancel", "",
		{"Authorization: Bearer studios-key"})
		.status);
	f.Note({"job_cancelled", {{"job", "lot"}}});
	f.ReadResults(0, "lot");
	/* In-flight items stop: the engine is idle. */
	EXPECT_TRUE(Eventually([&] {
		return f.Metric(0, "savoryflow_active_calls") == 0 &&
		    f.Metric(1, "savoryflow_active_calls") == 0;
	}));
	int runs = f.EngineRuns();
	EXPECT_EQ(200, f.Chat(0, "after", false).status);
	f.ReadResults(1, "lot");
	EXPECT_EQ(runs + 1, f.EngineRuns());
	EXPECT_EQ("cancelled", f.JobState(1, "lot"));
	f.ExpectHistoryHolds();
}

TEST(Failures, JobsCancelledWhileTheirItemsStart)
{
	FleetOptions o;

	o.daemons = 1;
	o.slots = 500;
	o.engine_speed = "500";
	o.flags = {"--chunk-items=500", "--batch-inflight-items=500"};
	Fleet f(o);
	for (int i = 0; i < 60; i++) {
		std::string id = "lot-" + std::to_string(i);

		ASSERT_EQ(202, f.SubmitJob(0, id, 3000).status);
		ASSERT_EQ(200,
		    Http("POST", f.Url(0) + "/v1/batches/" + id + "/cancel", "",
			{"Authorization: Bearer studios-key"})
			.status);
		ASSERT_EQ("cancelled", f.JobState(0, id));
	}
}

TEST(Failures, ItemsThatCanNeverBeDoneEndAsFailures)
{
	FleetOptions o;

	o.engines = 4;
	Fleet f(o);
	std::string body = ItemLine("lot", 0) +
	    "{\"id\":\"bad\",\"body\":{\"messages\":[{\"role\":\"user\","
	    "\"content\":\"CRASH\"}]}}\n" +
	    ItemLine("lot", 2);
	EXPECT_EQ(202,
	    Http("POST", f.Url(0) + "/v1/batches?service=assistant", body,
		{"Authorization: Bearer studios-key", "Savoryflow-Job-Id: lot"})
		.status);
	f.Note({"job_accepted", {{"job", "lot"}, {"items", "3"}}});
	EXPECT_TRUE(f.WaitJob(0, "lot"));
	f.ReadResults(1, "lot");
	Reply r = Http("GET", f.Url(0) + "/v1/batches/lot/results", "",
	    {"Authorization: Bearer studios-key"});
	EXPECT_NE(std::string::npos,
	    r.body.find("\"error\":\"request_crashes_targets\""))
	    << r.body;
	f.ExpectHistoryHolds();
}

TEST(Failures, AKeyedCallRunsOnceWhoeverResendsItAndWhereTo)
{
	FleetOptions o;

	o.daemons = 3;
	Fleet f(o);
	EXPECT_EQ(200, f.Book(0, "whole").status);
	EXPECT_TRUE(
	    Eventually([&] { return f.Book(1, "whole").status == 200; }));
	/* It ran and its answer was lost: never again. */
	f.Fault(f.Plain(), "{\"cut\":1}");
	Reply lost = f.Book(0, "lost");
	EXPECT_EQ(502, lost.status) << lost.body;
	EXPECT_EQ("unknown", lost.headers["savoryflow-ran"]);
	EXPECT_EQ(409, f.Book(1, "lost").status);
	EXPECT_TRUE(Eventually([&] {
		return f.Book(1, "lost").body.find("outcome_unknown") !=
		    std::string::npos;
	})) << "also while the daemon that ran it lives";
	EXPECT_EQ(409, f.Book(2, "lost", "{\"other\":1}").status);
	/* The daemon that began it is lost: the outcome is unknown. */
	f.daemons[0]->Signal(SIGKILL);
	EXPECT_TRUE(Eventually([&] {
		return f.Book(1, "lost").body.find("outcome_unknown") !=
		    std::string::npos;
	}));
	f.ExpectHistoryHolds();
}

TEST(Failures, DaemonKilledWhileAKeyedCallRuns)
{
	FleetOptions o;

	o.daemons = 2;
	Fleet f(o);
	f.Fault(f.Plain(), "{\"delay_ms\":1500}");
	std::thread caller([&] { f.Book(0, "slow"); });
	/* Daemon 0 has begun it: its run is in the plain service's history. */
	ASSERT_TRUE(Eventually([&] { return f.PlainRuns() == 1; }));
	EXPECT_EQ(409, f.Book(1, "slow").status);
	f.daemons[0]->Signal(SIGKILL);
	caller.join();
	Reply last;
	EXPECT_TRUE(Eventually([&] {
		last = f.Book(1, "slow");
		return last.body.find("outcome_unknown") != std::string::npos;
	})) << last.status
	    << " " << last.body << f.daemons[1]->Output();
	f.ExpectHistoryHolds();
}

TEST(Failures, LostAnswersOfTheStoreAroundAKeyedCall)
{
	FleetOptions o;
	Fleet f(o);
	int n = 0;

	for (const char *fault : {"{\"lose_answers\":1}",
		 "{\"lose_requests\":1}", "{\"lose_requests\":30}"}) {
		std::string key = "key-" + std::to_string(n++);

		f.Fault(f.Platform(), fault);
		f.Book(0, key);
		f.Book(1, key);
		f.Fault(f.Platform(), "{}");
		f.Book(1, key);
	}
	f.ExpectHistoryHolds();
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
		Reply r = Http("GET", f.Url(i) + "/v1/config", "",
		    {"Authorization: Bearer operators-key"});
		size_t at = r.body.find("\"generation\":");
		size_t digest = r.body.find("\"digest\":\"");

		if (r.status != 200)
			continue;
		f.Note({"config_seen",
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
		f.Note({"config_accepted",
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
	Reply h = Http("GET", f.Url(2) + "/v1/config/history", "",
	    {"Authorization: Bearer operators-key"});
	EXPECT_NE(std::string::npos, h.body.find("\"who\":\"operators\""));
	f.ExpectHistoryHolds();
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
	f.Fault(f.Platform(), "{\"outage\":true}");
	f.StartDaemon(2);
	EXPECT_TRUE(f.daemons[2]->WaitLine("daemon_ready"));
	EXPECT_EQ(2, f.Metric(2, "savoryflow_config_generation"));
	EXPECT_EQ(200, f.Chat(2, "from the new one", false).status);
	f.ExpectHistoryHolds();
}

TEST(Failures, OnlinePassesBatchThatFillsEverything)
{
	FleetOptions o;

	o.daemons = 2;
	o.slots = 4;
	o.engine_speed = "5";
	Fleet f(o);
	EXPECT_EQ(202, f.SubmitJob(0, "lot", 400).status);
	ASSERT_TRUE(f.WaitSomeChunk());
	for (int i = 0; i < 10; i++)
		EXPECT_EQ(200,
		    f.Chat((size_t)i % 2, "urgent " + std::to_string(i), true)
			.status);
	EXPECT_EQ("running", f.JobState(0, "lot"))
	    << "online did not wait for the job's end";
	EXPECT_TRUE(f.WaitJob(0, "lot"));
	f.ReadResults(0, "lot");
	f.ExpectHistoryHolds();
}

} // namespace

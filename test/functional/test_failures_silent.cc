/* Servers that are silent for a while and go on, and targets that are removed.
 */
#include <gtest/gtest.h>

#include <chrono>
#include <cstring>
#include <thread>

#include "functional/harness.h"

namespace
{

/* All streams of all engines are silent for 1 s, five stall timeouts. */
Fleet &
SilenceEngines(Fleet &f, int after_tokens)
{
	for (size_t e = 0; e < f.engines.size(); e++)
		f.InjectFault(f.EngineUrl(e),
		    "{\"pause\":1000,\"pause_ms\":1000,\"pause_at\":" +
			std::to_string(after_tokens) + "}");
	return f;
}

FleetOptions
ShortStallTimeout(int engines, int slots)
{
	FleetOptions o;

	o.engines = engines;
	o.slots = slots;
	o.flags = {"--stall-timeout-ms=200"};
	return o;
}

/* True if no arbiter counts a running or queued request. */
bool
AreSlotsFree(Fleet &f)
{
	std::string text;

	for (size_t d = 0; d < f.daemons.size(); d++)
		text += Http("GET", f.DaemonUrl(d) + "/v1/status", "",
		    {"Authorization: Bearer operators-key"})
			    .body;
	for (const char *field : {"\"online\":", "\"batch\":",
		 "\"online_queued\":", "\"batch_queued\":"})
		for (size_t at = text.find(field); at != std::string::npos;
		     at = text.find(field, at + 1))
			if (text[at + strlen(field)] != '0')
				return false;
	return true;
}

/* Without another engine a silent one keeps its request. */
TEST(Failures, AStreamOfASilentEngineIsNotGivenUp)
{
	for (int after_tokens : {0, 3}) {
		for (bool is_streamed : {false, true}) {
			Fleet f(ShortStallTimeout(1, 64));

			SilenceEngines(f, after_tokens);
			Reply r = f.Chat(0, "question", is_streamed);
			EXPECT_EQ(200, r.status) << r.body;
			EXPECT_EQ(std::string::npos, r.body.find("error"))
			    << r.body;
			EXPECT_EQ(1, f.EngineRuns()) << after_tokens;
			EXPECT_TRUE(
			    Eventually([&] { return AreSlotsFree(f); }));
			f.ExpectHistoryValid();
		}
	}
}

/* With one slot each, the requests wait for each other's engines. */
TEST(Failures, RequestsOfEnginesThatAreAllSilentAreAnswered)
{
	for (int after_tokens : {0, 3}) {
		Fleet f(ShortStallTimeout(2, 1));
		std::vector<std::thread> callers;

		SilenceEngines(f, after_tokens);
		for (int i = 0; i < 4; i++)
			callers.emplace_back([&f, i] {
				Reply r = f.Chat((size_t)i % 2,
				    "q" + std::to_string(i), i % 2 == 0);

				EXPECT_EQ(200, r.status) << r.body;
				EXPECT_EQ(
				    std::string::npos, r.body.find("error"))
				    << r.body;
			});
		for (auto &caller : callers)
			caller.join();
		EXPECT_TRUE(Eventually([&] { return AreSlotsFree(f); }));
		f.ExpectHistoryValid();
	}
}

/* Engines that were all silent at once are not out of use after it. */
TEST(Failures, RequestsAfterASilenceOfAllEnginesAreAnswered)
{
	Fleet f(ShortStallTimeout(2, 64));
	std::vector<std::thread> callers;

	SilenceEngines(f, 0);
	for (int i = 0; i < 8; i++)
		callers.emplace_back([&f, i] {
			EXPECT_EQ(200,
			    f.Chat(0, "q" + std::to_string(i), false).status);
		});
	EXPECT_TRUE(f.daemons[0]->WaitLine("target_ejected"));
	for (size_t e = 0; e < 2; e++)
		f.InjectFault(f.EngineUrl(e), "{}");
	for (int i = 0; i < 4; i++) {
		Reply r = f.Chat(0, "later" + std::to_string(i), false);
		EXPECT_EQ(200, r.status) << r.body;
	}
	for (auto &caller : callers)
		caller.join();
	f.ExpectHistoryValid();
}

/* A stream that never goes on still moves, and its slot is free again. */
TEST(Failures, AStreamOfAHungEngineMovesToAnotherOne)
{
	Fleet f(ShortStallTimeout(2, 1));

	for (int i = 0; i < 4; i++) {
		for (size_t e = 0; e < 2; e++)
			f.InjectFault(f.EngineUrl(e),
			    "{\"stall\":" + std::to_string(i % 2) + "}");
		Reply r = f.Chat((size_t)i % 2, "q" + std::to_string(i), true);
		EXPECT_EQ(200, r.status) << r.body;
		EXPECT_TRUE(Eventually([&] { return AreSlotsFree(f); })) << i;
	}
	f.ExpectHistoryValid();
}

/* A call that may run once only is neither repeated nor given up. */
TEST(Failures, ASlowBookingIsNotGivenUp)
{
	Fleet f(ShortStallTimeout(1, 64));

	f.InjectFault(f.PlainServiceUrl(), "{\"delay_ms\":1000}");
	Reply r = f.CallBooking(0, "table-1");
	EXPECT_EQ(200, r.status) << r.body;
	EXPECT_EQ(1, f.PlainRuns());
	EXPECT_TRUE(Eventually([&] { return AreSlotsFree(f); }));
	f.ExpectHistoryValid();
}

/* Items of a job keep the runs that they have on a silent engine. */
TEST(Failures, ItemsOfASilentEngineAreNotGivenUp)
{
	Fleet f(ShortStallTimeout(1, 64));

	SilenceEngines(f, 3);
	EXPECT_EQ(202, f.SubmitJob(0, "lot", 8).status);
	EXPECT_TRUE(f.WaitJob(0, "lot"));
	f.ReadResults(0, "lot");
	EXPECT_EQ(8, f.EngineRuns());
	f.ExpectHistoryValid();
}

/* Nobody can write a heartbeat while the store is away or silent. */
TEST(Failures, SessionsOutliveAnOutageOfTheStore)
{
	for (const char *fault : {"{\"outage\":true}", "{\"slow_ms\":1500}"}) {
		FleetOptions o;

		o.engine_speed = "0.03";
		o.flags = {"--stall-timeout-ms=10000",
		    "--session-period-ms=500", "--session-lease-ms=1000"};
		Fleet f(o);
		EXPECT_EQ(202, f.SubmitJob(0, "lot", 8).status);
		ASSERT_TRUE(Eventually(
		    [&] { return f.HasChunkLease(0) || f.HasChunkLease(1); }));
		for (int i = 0; i < 3; i++) {
			/* The other daemon reads the heartbeats meanwhile. */
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(1200));
			f.InjectFault(f.PlatformUrl(), fault);
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(1500));
			f.InjectFault(f.PlatformUrl(), "{}");
		}
		EXPECT_TRUE(f.WaitJob(0, "lot"));
		for (auto &d : f.daemons)
			EXPECT_EQ(0, d->Count("session_ended")) << fault;
		EXPECT_EQ(8, f.EngineRuns()) << fault;
		f.ReadResults(0, "lot");
		f.ExpectHistoryValid();
	}
}

/* The configuration without the engine of this number. */
std::string
WithoutEngine(const Fleet &f, const std::string &number)
{
	std::string doc = f.ConfigDocument(2);
	size_t at = doc.find(",\"engine-" + number + "\":");
	size_t end = doc.find('}', at);

	return doc.erase(at, end + 1 - at);
}

Reply
RemoveEngine(Fleet &f, const std::string &number)
{
	return Http("PUT", f.DaemonUrl(0) + "/v1/config?from=1",
	    WithoutEngine(f, number), {"Authorization: Bearer operators-key"});
}

/* What waits for a slot of a target that is removed runs elsewhere. */
TEST(Failures, RequestsThatWaitForARemovedTargetAreAnswered)
{
	for (int daemons : {1, 2}) {
		FleetOptions o;

		o.engines = 2;
		o.daemons = daemons;
		o.slots = 1;
		o.engine_speed = "1";
		o.flags = {"--online-deadline-ms=20000"};
		Fleet f(o);
		std::vector<std::thread> callers;

		for (int i = 0; i < 12; i++)
			callers.emplace_back([&f, i] {
				Reply r =
				    f.Chat(0, "q" + std::to_string(i), false);

				EXPECT_EQ(200, r.status) << r.body;
			});
		ASSERT_TRUE(Eventually([&] { return f.EngineRuns() >= 3; }));
		Reply r = RemoveEngine(f, "1");
		EXPECT_EQ(200, r.status) << r.body;
		for (auto &caller : callers)
			caller.join();
		f.ExpectHistoryValid();
	}
}

TEST(Failures, ItemsThatWaitForARemovedTargetAreRun)
{
	for (int daemons : {1, 2}) {
		FleetOptions o;

		o.engines = 2;
		o.daemons = daemons;
		o.slots = 1;
		o.engine_speed = "2";
		Fleet f(o);
		EXPECT_EQ(202, f.SubmitJob(0, "lot", 16).status);
		ASSERT_TRUE(Eventually([&] { return f.EngineRuns() >= 3; }));
		Reply r = RemoveEngine(f, "1");
		EXPECT_EQ(200, r.status) << r.body;
		EXPECT_TRUE(f.WaitJob(0, "lot")) << daemons;
		f.ReadResults(0, "lot");
		f.ExpectHistoryValid();
	}
}

} // namespace

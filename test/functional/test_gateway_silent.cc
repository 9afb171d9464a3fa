/* Workers that fall silent and go on, or do not. */
#include <thread>

#include "functional/gateway_fixture.h"

namespace
{

constexpr int kSlots = 4;

struct Silent : Gateway {
	/* As many calls at once as the workers have slots. */
	void
	CallOnAllSlots(const std::string &prefix, int events, int pace_ms)
	{
		size_t calls = workers.size() * kSlots;
		std::vector<std::thread> callers;

		for (size_t i = 0; i < calls; i++)
			callers.emplace_back([=] {
				std::string id = prefix + std::to_string(i);
				Reply r =
				    Call(0, "/q/" + id, id, events, pace_ms);

				EXPECT_EQ(200, r.status) << id;
				EXPECT_EQ(
				    ExpectedStream("/q/" + id, events), r.body)
				    << id;
			});
		for (auto &caller : callers)
			caller.join();
	}
};

TEST_F(Silent, AStreamIsNotCutBecauseNoOtherWorkerHasASlot)
{
	StartReadyFleet(1, 1);
	Reply r = Call(0, "/q/sil", "sil1", 3, 1200);

	EXPECT_EQ(200, r.status);
	EXPECT_EQ(ExpectedStream("/q/sil", 3), r.body);
	EXPECT_EQ(1, CountRuns("sil1"));
}

TEST_F(Silent, CallsStayAtAPausedWorkerWhileAllOthersAreFull)
{
	const struct {
		const char *name;
		const char *fault;
	} cases[] = {
	    {"first", R"({"pauses":4,"pause_ms":1000,"pause_after":0})"},
	    {"middle", R"({"pauses":4,"pause_ms":1000,"pause_after":5})"},
	};

	RaiseLimits();
	StartReadyFleet(2, 1);
	for (const auto &c : cases) {
		InjectFault(0, c.fault);
		CallOnAllSlots(c.name, 60, 60);
		EXPECT_EQ(kSlots, CountRunsAt(0, c.name)) << c.name;
		EXPECT_EQ(kSlots, CountRunsAt(1, c.name)) << c.name;
	}
}

TEST_F(Silent, ACallMovesToAnotherWorkerIfThereIsOne)
{
	const struct {
		const char *name;
		const char *faults[2];
		int runs_max;
	} cases[] = {
	    {"one-for-good", {R"({"silent":1000})", "{}"}, 2},
	    {"both-once", {R"({"silent":1})", R"({"silent":1})"}, 3},
	    {"both-paused",
		{R"({"pauses":1,"pause_ms":1000,"pause_after":1})",
		    R"({"pauses":1,"pause_ms":1000,"pause_after":1})"},
		3},
	};

	StartReadyFleet(2, 1);
	for (const auto &c : cases) {
		std::string path = std::string("/q/") + c.name;

		for (size_t w = 0; w < 2; w++)
			InjectFault(w, c.faults[w]);
		Reply r = Call(0, path, c.name, 4);

		EXPECT_EQ(ExpectedStream(path, 4), r.body) << c.name;
		EXPECT_LE(CountRuns(c.name), c.runs_max) << c.name;
	}
}

TEST_F(Silent, ACallThatMayNotBeRepeatedStaysAtItsWorker)
{
	StartReadyFleet(2, 1);
	for (size_t w = 0; w < 2; w++)
		InjectFault(
		    w, R"({"pauses":1,"pause_ms":1000,"pause_after":1})");
	Reply r = Call(0, "/f/x", "once", 4);

	EXPECT_EQ(ExpectedStream("/f/x", 4), r.body);
	EXPECT_EQ(1, CountRuns("once"));
}

TEST_F(Silent, AnItemIsNotRunAnewBecauseItsOnlyWorkerPauses)
{
	const struct {
		const char *job;
		const char *fault;
	} cases[] = {
	    {"first", R"({"pauses":1,"pause_ms":1500,"pause_after":0})"},
	    {"middle", R"({"pauses":1,"pause_ms":1500,"pause_after":1})"},
	};

	StartReadyFleet(1, 1);
	for (const auto &c : cases) {
		std::string job = c.job;

		InjectFault(0, c.fault);
		Send(0, "POST", "/b/" + job, JobBody(job, 1, RequestBody(3)),
		    job);
		EXPECT_TRUE(Eventually([&] { return HasResults(0, job, 1); }))
		    << job;
		EXPECT_EQ(1, CountRuns(job + "0")) << job;
	}
}

} // namespace

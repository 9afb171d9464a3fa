/* Own API: what "Savoryflow-Ran: no" promises. */
#include "functional/connection.h"

namespace
{

void
SleepMs(int ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/* Cancels a job at a store that answers reads in time, and changes late. */
Reply
CancelAtALateStore(Fleet &f, const std::string &job)
{
	f.InjectFault(f.PlatformUrl(), "{\"slow_ms\":1000}");
	std::thread slower([&] {
		SleepMs(500);
		f.InjectFault(f.PlatformUrl(), "{\"slow_ms\":4000}");
	});
	Reply r =
	    Http("POST", f.DaemonUrl(0) + "/v1/batches/" + job + "/cancel", "",
		{"Authorization: Bearer studios-key"});
	slower.join();
	f.InjectFault(f.PlatformUrl(), "{}");
	SleepMs(4500);
	return r;
}

TEST(ApiRan, ACancellationThatTheStoreDoesLateIsNotToldAsNotRun)
{
	bool is_done_late = false;

	for (int i = 0; i < 5 && !is_done_late; i++) {
		FleetOptions o;

		o.daemons = 1;
		o.engine_speed = "1";
		Fleet f(o);
		ASSERT_EQ(202, f.SubmitJob(0, "lot", 400).status);
		Reply r = CancelAtALateStore(f, "lot");
		is_done_late = f.JobState(0, "lot") == "cancelled";
		/* Otherwise the read was late, too. */
		if (!is_done_late)
			continue;
		EXPECT_EQ(503, r.status) << r.body;
		EXPECT_EQ("unknown", r.headers["savoryflow-ran"]) << r.body;
	}
	EXPECT_TRUE(is_done_late);
}

/* One slot, at a plain service that answers after the end of a drain. */
FleetOptions
OneSlotAndAShortDrain()
{
	FleetOptions o;

	o.daemons = 1;
	o.slots = 1;
	o.flags = {"--drain-notice-ms=0", "--drain-timeout-ms=1000"};
	return o;
}

Reply
CallPlain(const Fleet &f, const std::string &path, const Headers &more = {})
{
	Headers headers = {"Authorization: Bearer students-key"};

	headers.insert(headers.end(), more.begin(), more.end());
	return Http(
	    "POST", f.DaemonUrl(0) + "/v1/call/booking/" + path, "{}", headers);
}

TEST(ApiRan, AKeyedCallThatAStopRefusesDoesNotRunAfterwards)
{
	for (int round = 0; round < 5; round++) {
		Fleet f(OneSlotAndAShortDrain());
		Reply plain, keyed;

		f.InjectFault(f.PlainServiceUrl(), "{\"delay_ms\":4000}");
		std::thread one([&] { plain = CallPlain(f, "plain"); });
		ASSERT_TRUE(Eventually([&] { return f.PlainRuns() == 1; }));
		std::thread two([&] {
			keyed =
			    CallPlain(f, "keyed", {"Idempotency-Key: keyed"});
		});
		SleepMs(400);
		f.daemons[0]->Signal(SIGTERM);
		one.join();
		two.join();
		SleepMs(1500);
		EXPECT_EQ(503, plain.status) << plain.body;
		EXPECT_EQ("unknown", plain.headers["savoryflow-ran"]);
		EXPECT_EQ(503, keyed.status) << keyed.body;
		EXPECT_EQ("no", keyed.headers["savoryflow-ran"]);
		EXPECT_EQ(1, f.PlainRuns());
	}
}

TEST(ApiRan, WaitingCallsThatAStopRefusesDoNotRunAfterwards)
{
	const int n = 12;

	for (int round = 0; round < 5; round++) {
		Fleet f(OneSlotAndAShortDrain());
		std::vector<std::thread> threads;
		std::atomic<int> unknown{0}, no{0};

		f.InjectFault(f.PlainServiceUrl(), "{\"delay_ms\":4000}");
		for (int i = 0; i < n; i++)
			threads.emplace_back([&, i] {
				Reply r = CallPlain(f, "p" + std::to_string(i));
				std::string ran = r.headers["savoryflow-ran"];

				unknown += ran == "unknown";
				no += ran == "no";
				EXPECT_EQ(503, r.status) << r.body;
			});
		ASSERT_TRUE(Eventually([&] { return f.PlainRuns() >= 1; }));
		SleepMs(400);
		f.daemons[0]->Signal(SIGTERM);
		for (auto &t : threads)
			t.join();
		SleepMs(1500);
		EXPECT_EQ(n, unknown + no);
		EXPECT_LE(f.PlainRuns(), unknown);
	}
}

} // namespace

/* Own API: what "Savoryflow-Ran: no" promises. */
#include "functional/connection.h"
#include "platform/late_copies.h"

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

/* libcurl repeats a request whose kept connection ends without an answer. */
TEST(ApiRan, ACallWhoseSecondCopyIsRefusedIsNotToldAsNotRun)
{
	FleetOptions o;

	o.daemons = 1;
	Fleet f(o);
	std::string url = f.PlainServiceUrl();
	std::atomic<int> runs{0};

	ASSERT_EQ(200, f.CallBooking(0, "before").status);
	f.plain->Signal(SIGKILL);
	f.plain->Wait();
	CopyingServer server(
	    [&](const std::string &r) -> std::string {
		    size_t at = r.find("Savoryflow-Attempt: ");
		    std::string id = at != std::string::npos
			? r.substr(at, r.find("\r\n", at) + 2 - at)
			: "";

		    if (r.find("/again") == std::string::npos)
			    return "HTTP/1.1 200 OK\r\n" + id +
				"Content-Length: 2\r\n\r\n{}";
		    if (runs++ == 0)
			    return "";
		    return "HTTP/1.1 503 No\r\n" + id +
			"Savoryflow-Ran: no\r\nContent-Length: 0\r\n\r\n";
	    },
	    atoi(url.c_str() + url.rfind(':') + 1));
	auto get = [&](const char *path) {
		return Http("GET", f.DaemonUrl(0) + "/v1/call/booking/" + path,
		    "", {"Authorization: Bearer students-key"});
	};
	ASSERT_TRUE(Eventually([&] { return get("warm").status == 200; }));
	Reply r = get("again");
	EXPECT_LE(2, runs);
	EXPECT_EQ("unknown", r.headers["savoryflow-ran"])
	    << r.status << " " << r.body;
}

} // namespace

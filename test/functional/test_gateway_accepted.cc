/* Callers of jobs beside a store or peers that are silent, and accepted jobs
 * beside changes of the configuration. */
#include <atomic>
#include <thread>

#include "functional/gateway_fixture.h"

namespace
{

/* Callers read twice a second and give up 1.5 s after what they allow. */
const int64_t kReaderWaitUs = 1500000;
const int64_t kSubmitterWaitUs = 4000000;
/* Some submitters leave earlier. */
const int64_t kEarlySubmitterWaitUs = 1000000;
/* Results of an open job are due this long after the traffic has ended. */
const int64_t kListedUs = 18000000;

void
RaiseTo(std::atomic<int64_t> &longest_us, int64_t took_us)
{
	int64_t seen_us = longest_us.load();

	while (took_us > seen_us &&
	    !longest_us.compare_exchange_weak(seen_us, took_us))
		;
}

/* More submissions than threads that call the store. */
TEST_F(Gateway, CallersThatLeaveDuringTheirSubmissionsAreLogged)
{
	std::vector<std::thread> callers;

	StartReadyFleet(1, 1);
	store->Signal(SIGSTOP);
	for (int i = 0; i < 12; i++)
		callers.emplace_back([&, i] {
			std::string id = "gone" + std::to_string(i);

			Http("POST",
			    "http://" + LoopbackAddress(front_ports[0]) +
				"/b/" + id,
			    JobBody(id, 1, RequestBody(1)),
			    {"Host: a.example", "X-Attempt-Id: " + id}, 1);
		});
	for (auto &t : callers)
		t.join();
	EXPECT_TRUE(daemons[0]->WaitLine(
	    "\"name\":\"job_caller_left\",\"daemon\":\"d0\",\"job\":\"gone"));
	store->Signal(SIGCONT);
}

/* The items of a job whose route is gone are listed: nothing runs them. */
TEST_F(Gateway, ItemsOfARouteThatIsGoneAreListed)
{
	ConfigureRoutes(1, "," + JobRoute("b", 2));
	AddDaemon();
	ASSERT_TRUE(Eventually([&] { return ReadyStatus(0) == 200; }));
	EXPECT_EQ(202,
	    Send(0, "POST", "/b/j1", JobBody("it", 3, RequestBody(1)), "j1")
		.status);
	ConfigureRoutes(2, "");
	ASSERT_TRUE(daemons[0]->WaitLine("\"name\":\"config_in_force\"", 2));
	int64_t start_us = NowUs();

	EXPECT_TRUE(Eventually([&] { return HasResults(0, "j1", 3); }));
	EXPECT_LT(NowUs() - start_us, kListedUs);
}

/* A daemon that drains accepts jobs until it is out of rotation; by then its
 * session may have ended. */
TEST_F(Gateway, AJobAcceptedByADrainingDaemonIsTakenOver)
{
	StartReadyFleet(2, 2);
	ASSERT_TRUE(daemons[1]->WaitLine("\"name\":\"member_up\""));
	daemons[0]->Signal(SIGTERM);
	ASSERT_TRUE(daemons[0]->WaitLine("\"name\":\"drain_started\""));
	for (int i = 0; i < 3; i++) {
		std::string job = "j" + std::to_string(i);
		long status = Send(0, "POST", "/b/" + job,
		    JobBody(job, 2, RequestBody(2)), job)
				  .status;

		EXPECT_EQ(202, status) << i;
		/* After the first one, its row is gone. */
		ASSERT_TRUE(daemons[1]->WaitLine("\"name\":\"member_down\""));
	}
	EXPECT_EQ(0, daemons[0]->Wait());
	for (int i = 0; i < 3; i++)
		EXPECT_TRUE(Eventually([&] {
			return HasResults(1, "j" + std::to_string(i), 2);
		})) << i;
}

/* More callers than threads that call the store. */
TEST_F(Gateway, ReadersAreAnsweredWhileTheStoreIsSilent)
{
	const int kReaders = 48;
	std::vector<std::thread> readers;
	std::atomic<int64_t> longest_us{0};
	std::atomic<int> unanswered{0};

	StartReadyFleet(1, 1);
	Send(0, "POST", "/b/j1", JobBody("it", 1, RequestBody(1)), "j1");
	ASSERT_TRUE(Eventually([&] { return HasResults(0, "j1", 1); }));
	store->Signal(SIGSTOP);
	for (int i = 0; i < kReaders; i++)
		readers.emplace_back([&] {
			int64_t start_us = NowUs();
			long status =
			    Send(0, "GET", "/api/items/j1?id=it0", "", "r")
				.status;
			int64_t took_us = NowUs() - start_us;

			unanswered += status != 503 && status != 200;
			RaiseTo(longest_us, took_us);
		});
	for (auto &t : readers)
		t.join();
	store->Signal(SIGCONT);
	EXPECT_EQ(0, unanswered.load());
	EXPECT_LT(longest_us.load(), kReaderWaitUs);
}

/* What was refused does not exist, whatever the store does when it goes on. */
TEST_F(Gateway, SubmissionsAreAnsweredWhileTheStoreIsSilent)
{
	std::vector<std::thread> callers;
	std::vector<long> status(24);
	std::atomic<int64_t> longest_us{0}, longest_refused_us{0};

	StartReadyFleet(1, 1);
	store->Signal(SIGSTOP);
	for (size_t i = 0; i < status.size(); i++)
		callers.emplace_back([&, i] {
			int64_t start_us = NowUs();
			std::string id = "j" + std::to_string(i);

			status[i] = Send(0, "POST", "/b/" + id,
			    JobBody(id, 1, RequestBody(1)), id)
					.status;
			int64_t took_us = NowUs() - start_us;

			RaiseTo(longest_us, took_us);
			if (status[i] == 503)
				RaiseTo(longest_refused_us, took_us);
		});
	for (auto &t : callers)
		t.join();
	store->Signal(SIGCONT);
	EXPECT_LT(longest_us.load(), kSubmitterWaitUs);
	EXPECT_LT(longest_refused_us.load(), kEarlySubmitterWaitUs);
	for (size_t i = 0; i < status.size(); i++) {
		std::string path = "/api/lots/j" + std::to_string(i);
		Reply r;

		EXPECT_TRUE(status[i] == 503 || status[i] == 500) << status[i];
		ASSERT_TRUE(Eventually([&] {
			r = Send(0, "GET", path, "", "r");
			return r.status == 200 || r.status == 404;
		}));
		EXPECT_TRUE(status[i] != 503 || r.status == 404) << i;
	}
}

/* The store rejects daemon 0, and its peers stand still. */
TEST_F(Gateway, AReaderIsAnsweredWhileThePeersAskedAreSilent)
{
	StartReadyFleet(1, 3);
	Send(0, "POST", "/b/j1", JobBody("it", 1, RequestBody(1)), "j1");
	ASSERT_TRUE(Eventually([&] { return HasResults(0, "j1", 1); }));
	ASSERT_TRUE(daemons[0]->WaitLine("\"name\":\"member_up\"", 2));
	PostToStore("/fault", "{\"turned_away\":\"d0\"}");
	ASSERT_TRUE(daemons[0]->WaitLine("\"name\":\"store_down\""));
	daemons[1]->Signal(SIGSTOP);
	daemons[2]->Signal(SIGSTOP);
	int64_t start_us = NowUs();
	Reply r = Send(0, "GET", "/api/lots/j1", "", "r");

	EXPECT_EQ(503, r.status);
	EXPECT_LT(NowUs() - start_us, kReaderWaitUs);
	daemons[1]->Signal(SIGCONT);
	daemons[2]->Signal(SIGCONT);
}

} // namespace

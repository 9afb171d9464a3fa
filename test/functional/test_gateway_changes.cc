/* Requests beside changes of the configuration: each gets an answer. */
#include <thread>

#include "functional/gateway_fixture.h"

namespace
{

struct GatewayChanges : Gateway {
	int version = 1;

	/* A configuration with this route of online requests, if not empty. */
	void
	Put(const std::string &route)
	{
		std::string doc = "{\"version\":" + std::to_string(++version) +
		    ",\"routes\":[" + route + JobRoute("b", 2) +
		    "],\"services\":[{\"name\":\"llm\"},{\"name\":\"none\"}],"
		    "\"limits\":{\"body_bytes\":100000}}";

		PutRow("op", "config", doc.c_str());
		ASSERT_TRUE(daemons[0]->WaitLine("\"version\":\"" +
		    std::to_string(version) + "\",\"from\""));
	}

	static std::string
	Route(const std::string &service, int timeout_ms)
	{
		return R"({"name":"q","host":"a.example","path_prefix":"/q/",
		    "kind":"streaming","target_latency_ms":1000,
		    "max_attempts":3,"resumable":true,"target_gap_ms":300,)" +
		    service + ",\"timeout_ms\":" + std::to_string(timeout_ms) +
		    "},";
	}
};

const char kLlm[] = "\"service\":\"llm\"";

TEST_F(GatewayChanges, StreamsAndWaitingCallsAreAnsweredBesideAChange)
{
	const struct {
		const char *name;
		std::string route;
	} cases[] = {
	    {"removed", ""},
	    {"moved", Route("\"service\":\"none\"", 5000)},
	    {"split",
		Route("\"traffic_split\":[{\"service\":\"llm\",\"weight\":50},"
		      "{\"service\":\"none\",\"weight\":50}]",
		    5000)},
	    {"timeout", Route(kLlm, 300)},
	};

	StartReadyFleet(1, 1);
	for (const auto &c : cases) {
		const int kRunning = 4, kWaiting = 3;
		std::vector<Reply> replies(kRunning + kWaiting);
		std::vector<std::thread> callers;
		std::string id = c.name;

		Put(Route(kLlm, 5000));
		for (int i = 0; i < kRunning + kWaiting; i++) {
			callers.emplace_back([&, i] {
				replies[i] = Call(0, "/q/" + id,
				    id + std::to_string(i) + "x", 30, 40);
			});
			if (i != kRunning - 1)
				continue;
			ASSERT_TRUE(Eventually(
			    [&] { return CountRunsAt(0, id) == kRunning; }));
		}
		Put(c.route);
		for (auto &t : callers)
			t.join();
		for (int i = 0; i < kRunning + kWaiting; i++) {
			if (replies[i].status == 200)
				EXPECT_EQ(ExpectedStream("/q/" + id, 30),
				    replies[i].body)
				    << id << i;
			else if (c.route.empty() && replies[i].status == 404)
				/* Read after the change. */
				EXPECT_GE(i, kRunning) << id;
			else
				EXPECT_EQ(503, replies[i].status) << id << i;
			EXPECT_TRUE(i >= kRunning || replies[i].status == 200)
			    << id << i;
		}
	}
}

/* The targets of the only service leave while calls wait for them. */
TEST_F(GatewayChanges, CallsThatWaitForAServiceWithoutTargetsAreRefused)
{
	std::vector<Reply> replies(6);
	std::vector<std::thread> callers;

	StartReadyFleet(1, 1);
	Put(Route(kLlm, 5000));
	for (size_t i = 0; i < replies.size(); i++)
		callers.emplace_back([&, i] {
			replies[i] =
			    Call(0, "/q/gone", "g" + std::to_string(i), 30, 40);
		});
	ASSERT_TRUE(Eventually([&] { return CountRunsAt(0, "g") == 4; }));
	PutRow("servers", "i-0", nullptr);
	Put("");
	for (auto &t : callers)
		t.join();
	for (const Reply &r : replies)
		EXPECT_TRUE(r.status == 503 ||
		    (r.status == 200 &&
			r.body == ExpectedStream("/q/gone", 30)))
		    << r.status << r.body;
}

/* A route that a version adds, with a time limit shorter than its objective:
 * a call that finds no slot is refused while its caller waits. */
TEST_F(GatewayChanges, ACallThatCannotRunIsRefusedBeforeItsCallerLeaves)
{
	const int kRunning = 4;
	std::vector<std::thread> callers;

	StartReadyFleet(1, 1);
	Put(Route(kLlm, 5000) +
	    R"({"name":"p","host":"a.example","path_prefix":"/p/",
	    "kind":"idempotent","target_latency_ms":4000,"service":"llm",
	    "max_attempts":2,"timeout_ms":1000},)");
	for (int i = 0; i < kRunning; i++)
		callers.emplace_back([&, i] {
			Call(0, "/q/run", "run" + std::to_string(i), 60, 50);
		});
	ASSERT_TRUE(
	    Eventually([&] { return CountRunsAt(0, "run") == kRunning; }));
	Reply r = Http("POST",
	    "http://" + LoopbackAddress(front_ports[0]) + "/p/new",
	    RequestBody(1),
	    {"Host: a.example", "X-Attempt-Id: p1", "X-Deadline-Ms: 1000"}, 1);

	EXPECT_EQ(503, r.status);
	for (auto &t : callers)
		t.join();
}

/* Some versions a second, while streams run. */
TEST_F(GatewayChanges, AStormOfVersionsCutsNoStream)
{
	std::vector<Reply> replies(8);
	std::vector<std::thread> callers;

	StartReadyFleet(2, 1);
	Put(Route(kLlm, 5000));
	for (size_t i = 0; i < replies.size(); i++)
		callers.emplace_back([&, i] {
			replies[i] = Call(
			    0, "/q/storm", "s" + std::to_string(i), 40, 40);
		});
	for (int i = 0; i < 20; i++) {
		Put(i % 2 == 0 ? "" : Route(kLlm, 300 + i));
		daemons[0]->Signal(SIGHUP);
	}
	for (auto &t : callers)
		t.join();
	for (const Reply &r : replies)
		EXPECT_TRUE(r.status == 503 || r.status == 404 ||
		    (r.status == 200 &&
			r.body == ExpectedStream("/q/storm", 40)))
		    << r.status << r.body;
}

} // namespace

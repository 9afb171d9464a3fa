/* Keys that are revoked: no request with one may run after the bound. */
#include <thread>

#include "functional/gateway_fixture.h"

namespace
{

const int kBoundMs = 3000;
const int64_t kBoundUs = kBoundMs * 1000;

struct GatewayRevocation : Gateway {
	int version = 1;
	int next_id = 0;

	/* Publishes a configuration in which these keys are valid. @return when
	 * it was acknowledged */
	int64_t
	Publish(const std::string &keys)
	{
		more_config = ",\"" + TeamsName() +
		    "\":[{\"name\":\"t\",\"api_keys\":[" + keys + "]}]";
		ConfigureRoutes(version++,
		    R"(,{"name":"p","host":"a.example","path_prefix":"/p/",
		    "kind":"idempotent","target_latency_ms":20000,
		    "service":"llm","max_attempts":2,"timeout_ms":30000},)" +
			JobRoute("b", 2));
		return NowUs();
	}

	static std::string
	TeamsName()
	{
		return "tenants";
	}

	void
	Start(int worker_count, int daemon_count)
	{
		daemon_flags = {
		    "--revocation-bound-ms=" + std::to_string(kBoundMs)};
		timeout_ms = 20000;
		Publish(R"("good","bad")");
		for (int i = 0; i < worker_count; i++)
			AddWorker();
		for (int i = 0; i < daemon_count; i++)
			AddDaemon();
		for (int i = 0; i < daemon_count; i++)
			ASSERT_TRUE(Eventually([&] {
				return ReadyStatus(i) == 200 &&
				    Ask(i, "good").status == 200;
			}));
	}

	Reply
	Ask(size_t i, const std::string &key, const std::string &id,
	    const std::string &path = "/q/x", int events = 1, int pace_ms = 0)
	{
		return Http("POST",
		    "http://" + LoopbackAddress(front_ports[i]) + path,
		    RequestBody(events, pace_ms),
		    {"Host: a.example", "X-Attempt-Id: " + id,
			"X-Deadline-Ms: " + std::to_string(timeout_ms),
			"Authorization: Bearer " + key});
	}

	Reply
	Ask(size_t i, const std::string &key)
	{
		return Ask(i, key, "k" + std::to_string(next_id++) + "x");
	}

	void
	TurnAway(const std::string &daemon, bool is_turned_away)
	{
		PostToStore("/way",
		    "{\"daemon\":\"" + daemon + "\",\"mode\":\"" +
			(is_turned_away ? "refuse" : "pass") + "\"}");
	}

	/* Whether calls about jobs, and submissions, are refused for lack of a
	 * proof. */
	void
	ExpectJobsRefused(size_t i)
	{
		const struct {
			const char *method;
			const char *path;
			std::string body;
		} cases[] = {
		    {"POST", "/b/", JobBody("j", 1, RequestBody(1))},
		    {"GET", "/api/lots/j1?after=0", ""},
		};

		for (const auto &c : cases) {
			Reply r = Http(c.method,
			    "http://" + LoopbackAddress(front_ports[i]) +
				c.path,
			    c.body,
			    {"Host: a.example", "X-Attempt-Id: j1",
				"Authorization: Bearer good"});

			EXPECT_EQ(503, r.status) << c.path;
			EXPECT_NE(std::string::npos,
			    r.body.find("not certain that the key"))
			    << c.path << r.body;
		}
	}

	/* Asks with a key until a time. Counts replies by status; none that
	 * was asked for after the bound may be 200. */
	std::map<long, int>
	AskUntil(size_t i, const std::string &key, int64_t until_us,
	    int64_t bound_end_us)
	{
		std::map<long, int> counts;

		while (NowUs() < until_us) {
			int64_t sent_us = NowUs();
			Reply r = Ask(i, key);

			counts[r.status]++;
			EXPECT_TRUE(r.status != 200 || sent_us <= bound_end_us)
			    << "ran " << sent_us - bound_end_us
			    << " us after the bound";
			EXPECT_TRUE(r.status != 503 ||
			    !r.headers["retry-after"].empty());
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(30));
		}
		return counts;
	}
};

/* Guards against a daemon without the store that lets a revoked key in for
 * ever, that answers 401 although it cannot know, or that does not return to
 * service. */
TEST_F(GatewayRevocation, ADaemonThatTheStoreTurnsAwayStopsWithinTheBound)
{
	Start(1, 1);
	TurnAway("d0", true);
	/* The open call of the feed would still show the change. */
	ASSERT_TRUE(daemons[0]->WaitLine("\"name\":\"watch_down\""));
	int64_t revoked_us = Publish("\"good\"");
	auto counts = AskUntil(
	    0, "bad", revoked_us + 2 * kBoundUs, revoked_us + kBoundUs);

	EXPECT_GT(counts[200], 0) << "service is owed for 0.6 of the bound";
	EXPECT_GT(counts[503], 0);
	EXPECT_EQ(0, counts[401]);
	EXPECT_EQ(503, Ask(0, "good").status);
	EXPECT_EQ(503, Ask(0, "never").status);
	EXPECT_TRUE(daemons[0]->WaitLine("\"name\":\"proof_stale\""));
	ExpectJobsRefused(0);
	TurnAway("d0", false);
	EXPECT_TRUE(Eventually([&] { return Ask(0, "good").status == 200; }));
	EXPECT_TRUE(daemons[0]->WaitLine("\"name\":\"proof_fresh\""));
	EXPECT_EQ(401, Ask(0, "bad").status);
	EXPECT_EQ(401, Ask(0, "never").status);
}

/* Guards against a daemon that goes by what it knew before it was stopped, and
 * against refusals although the store answers. */
TEST_F(GatewayRevocation, ADaemonThatWasStoppedReadsBeforeItLetsIn)
{
	Reply good, bad;

	Start(1, 1);
	daemons[0]->Signal(SIGSTOP);
	int64_t revoked_us = Publish("\"good\"");
	while (NowUs() < revoked_us + kBoundUs + 500000)
		std::this_thread::sleep_for(std::chrono::milliseconds(50));
	std::thread bad_caller([&] { bad = Ask(0, "bad", "bad1"); });
	std::thread good_caller([&] { good = Ask(0, "good", "good1"); });

	std::this_thread::sleep_for(std::chrono::milliseconds(200));
	daemons[0]->Signal(SIGCONT);
	bad_caller.join();
	good_caller.join();
	EXPECT_EQ(0, CountRuns("bad1"));
	EXPECT_EQ(401, bad.status) << bad.body;
	EXPECT_EQ(200, good.status) << good.body;
}

/* Guards against a key that is checked only on arrival. */
TEST_F(GatewayRevocation, AQueuedRequestWhoseKeyIsRevokedDoesNotRun)
{
	std::vector<std::thread> callers;
	Reply bad, good;

	Start(1, 1);
	for (int i = 0; i < 4; i++)
		callers.emplace_back([&, i] {
			Ask(0, "good", "run" + std::to_string(i), "/q/run", 60,
			    50);
		});
	ASSERT_TRUE(Eventually([&] { return CountRunsAt(0, "run") == 4; }));
	callers.emplace_back([&] { bad = Ask(0, "bad", "bad1", "/p/x"); });
	callers.emplace_back([&] { good = Ask(0, "good", "good1", "/p/x"); });
	std::this_thread::sleep_for(std::chrono::milliseconds(300));
	Publish("\"good\"");
	ASSERT_TRUE(daemons[0]->WaitLine(
	    "\"version\":\"" + std::to_string(version - 1) + "\",\"from\""));
	for (auto &t : callers)
		t.join();
	EXPECT_EQ(401, bad.status) << bad.body;
	EXPECT_EQ("no", bad.headers["savoryflow-ran"]);
	EXPECT_EQ(0, CountRuns("bad1"));
	EXPECT_EQ(200, good.status) << good.body;
}

/* Guards against refusals by half of a data centre that the store turns away,
 * against proofs that keep each other alive without the store, and against a
 * revocation that does not reach the daemon cut off. */
TEST_F(GatewayRevocation, ADaemonCutOffFromTheStoreServesByItsPeersProofs)
{
	Start(1, 2);
	TurnAway("d1", true);
	int64_t from_us = NowUs();
	auto counts =
	    AskUntil(1, "good", from_us + 3 * kBoundUs, from_us + 3 * kBoundUs);

	EXPECT_EQ(0, counts[503]) << "of " << counts[200];
	int64_t revoked_us = Publish("\"good\"");
	auto bad =
	    AskUntil(1, "bad", revoked_us + kBoundUs, revoked_us + kBoundUs);

	EXPECT_GT(bad[401], 0);
	EXPECT_EQ(200, Ask(1, "good").status);
	PostToStore("/fault", "{\"outage\":true}");
	int64_t out_us = NowUs();
	auto out = AskUntil(
	    1, "good", out_us + 2 * kBoundUs, out_us + kBoundUs + 20000);

	EXPECT_GT(out[503], 0);
	EXPECT_EQ(503, Ask(0, "good").status);
	EXPECT_EQ(503, Ask(1, "good").status);
	PostToStore("/fault", "{}");
	EXPECT_TRUE(Eventually([&] { return Ask(1, "good").status == 200; }));
}

/* Guards against refusals of requests that had waited for a slot when their
 * daemon was stopped. */
TEST_F(GatewayRevocation, AWaitingRequestOutlivesAStopOfItsDaemon)
{
	std::vector<std::thread> callers;
	std::map<std::string, Reply> replies;

	Start(1, 1);
	for (int i = 0; i < 4; i++)
		callers.emplace_back([&, i] {
			Ask(0, "good", "run" + std::to_string(i), "/q/run", 60,
			    50);
		});
	ASSERT_TRUE(Eventually([&] { return CountRunsAt(0, "run") == 4; }));
	for (const char *key : {"good", "bad"}) {
		Reply *reply = &replies[key];

		callers.emplace_back([this, key, reply] {
			*reply = Ask(0, key, std::string(key) + "1", "/p/x");
		});
	}
	std::this_thread::sleep_for(std::chrono::milliseconds(300));
	daemons[0]->Signal(SIGSTOP);
	int64_t revoked_us = Publish("\"good\"");
	while (NowUs() < revoked_us + kBoundUs + 500000)
		std::this_thread::sleep_for(std::chrono::milliseconds(50));
	daemons[0]->Signal(SIGCONT);
	for (auto &t : callers)
		t.join();
	EXPECT_EQ(0, CountRuns("bad1"));
	EXPECT_EQ(401, replies["bad"].status) << replies["bad"].body;
	EXPECT_EQ(200, replies["good"].status) << replies["good"].body;
}

/* Guards against refusals while the feed and the store are only slow. */
TEST_F(GatewayRevocation, ASlowStoreRefusesNobody)
{
	Start(1, 1);
	PostToStore("/way", R"({"daemon":"d0","mode":"slow","delay_ms":600})");
	int64_t from_us = NowUs();
	auto counts =
	    AskUntil(0, "good", from_us + 3 * kBoundUs, from_us + 3 * kBoundUs);

	EXPECT_EQ(0, counts[503]) << "of " << counts[200];
}

} // namespace

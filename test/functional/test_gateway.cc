#include <arpa/inet.h>
#include <glib.h>
#include <gtest/gtest.h>
#include <jansson.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <string>

#include "functional/harness.h"

namespace
{

std::string
Env(const char *name)
{
	const char *val = getenv(name);

	return val != nullptr ? val : "";
}

std::string
Local(int port)
{
	return "127.0.0.1:" + std::to_string(port);
}

/* The gateway with the users' platform played by stand-ins. */
struct Gateway : ::testing::Test {
	int store_port = FreePort();
	std::unique_ptr<Process> store;
	std::vector<std::unique_ptr<Process>> workers;
	std::vector<int> worker_ports;
	std::vector<std::unique_ptr<Process>> daemons;
	std::vector<int> fronts, readies, peers;

	void
	SetUp() override
	{
		store.reset(new Process({Env("SF_STANDIN"), "rows",
		    "--port=" + std::to_string(store_port)}));
		ASSERT_TRUE(store->WaitLine("listening"));
	}

	void
	Store(const std::string &path, const std::string &body)
	{
		EXPECT_EQ(200,
		    Http("POST", "http://" + Local(store_port) + path, body)
			.status);
	}

	void
	Put(const char *table, const std::string &key, const char *value)
	{
		json_t *doc =
		    json_pack("{s:s,s:s}", "table", table, "key", key.c_str());

		if (value != nullptr)
			json_object_set_new(doc, "value", json_string(value));
		char *out = json_dumps(doc, 0);
		Store("/put", out);
		free(out);
		json_decref(doc);
	}

	void
	Configure(int version, const std::string &more_routes = "")
	{
		std::string routes =
		    R"({"name":"q","host":"a.example","path_prefix":"/q/",
		    "kind":"streaming","timeout_ms":5000,
		    "target_latency_ms":400,"service":"llm","max_attempts":3,
		    "resumable":true,"target_gap_ms":300},
		    {"name":"f","host":"a.example","path_prefix":"/f/",
		    "kind":"streaming","timeout_ms":5000,
		    "target_latency_ms":400,"service":"llm","max_attempts":1,
		    "resumable":false,"target_gap_ms":300},
		    {"name":"b","host":"a.example","path_prefix":"/b/",
		    "kind":"batch","timeout_ms":15000,
		    "target_latency_ms":500,"service":"llm","max_attempts":2,
		    "target_done_ms":18000,"item_ttl_s":60})" +
		    more_routes;
		std::string doc = "{\"version\":" + std::to_string(version) +
		    ",\"routes\":[" + routes +
		    "],\"services\":[{\"name\":\"llm\"}],\"limits\":"
		    "{\"body_bytes\":100000}}";

		Put("op", "config", doc.c_str());
	}

	void
	ListWorker(size_t i, const char *state)
	{
		std::string doc = "{\"service\":\"llm\",\"addr\":\"" +
		    Local(worker_ports[i]) +
		    "\",\"zone\":\"dc1\",\"version\":\"v1\",\"slot_count\":4,"
		    "\"state\":\"" +
		    state + "\",\"cold_left_ms\":0,\"sequence\":1,\"born\":1}";

		Put("servers", "i-" + std::to_string(i), doc.c_str());
	}

	void
	AddWorker()
	{
		size_t i = workers.size();

		worker_ports.push_back(FreePort());
		workers.emplace_back(new Process(
		    {Env("SF_STANDIN"), "worker", "--id=i-" + std::to_string(i),
			"--port=" + std::to_string(worker_ports[i])}));
		ASSERT_TRUE(workers[i]->WaitLine("listening"));
		ListWorker(i, "ready");
	}

	void
	Start(size_t i)
	{
		daemons[i].reset(new Process({Env("SF_BIN"), "serve",
		    "--adapter=platform", "--name=d" + std::to_string(i),
		    "--front-listen=" + Local(fronts[i]),
		    "--ready-listen=" + Local(readies[i]),
		    "--peer-listen=" + Local(peers[i]),
		    "--platform-url=http://" + Local(store_port) + "/d" +
			std::to_string(i),
		    "--peers=" + Local(peers[0]), "--drain-timeout-ms=6000"}));
	}

	void
	AddDaemon()
	{
		fronts.push_back(FreePort());
		readies.push_back(FreePort());
		peers.push_back(FreePort());
		daemons.emplace_back(nullptr);
		Start(daemons.size() - 1);
		ASSERT_TRUE(
		    daemons.back()->WaitLine("\"name\":\"daemon_started\""));
	}

	/* Routes, workers and daemons, all ready. */
	void
	Calm(int worker_count, int daemon_count)
	{
		Configure(1);
		for (int i = 0; i < worker_count; i++)
			AddWorker();
		for (int i = 0; i < daemon_count; i++)
			AddDaemon();
		for (size_t i = 0; i < daemons.size(); i++)
			ASSERT_TRUE(Eventually([&] {
				return Ready(i) == 200 &&
				    Call(i, "/q/warm", "w", 1).status == 200;
			}));
	}

	long
	Ready(size_t i)
	{
		return Http("GET", "http://" + Local(readies[i]) + "/api/ready")
		    .status;
	}

	static std::string
	Body(int events, int pace_ms = 0)
	{
		return "{\"events\":" + std::to_string(events) +
		    ",\"pace_ms\":" + std::to_string(pace_ms) + "}";
	}

	Reply
	Send(size_t i, const std::string &method, const std::string &path,
	    const std::string &body, const std::string &id)
	{
		return Http(method, "http://" + Local(fronts[i]) + path, body,
		    {"Host: a.example", "X-Attempt-Id: " + id,
			"X-Deadline-Ms: 5000"});
	}

	Reply
	Call(size_t i, const std::string &path, const std::string &id,
	    int events, int pace_ms = 0)
	{
		return Send(i, "POST", path, Body(events, pace_ms), id);
	}

	static std::string
	Whole(const std::string &path, int events)
	{
		std::string all;

		for (int n = 1; n <= events; n++) {
			std::string id = std::to_string(n);

			all +=
			    "id: " + id + "\ndata: " + path + "-" + id + "\n\n";
		}
		return all;
	}

	void
	Fault(size_t worker, const std::string &doc)
	{
		EXPECT_EQ(200,
		    Http("POST",
			"http://" + Local(worker_ports[worker]) + "/fault", doc)
			.status);
	}

	/* How often the workers ran an attempt or item. */
	int
	Ran(const std::string &id)
	{
		int n = 0;

		for (int port : worker_ports) {
			std::string body =
			    Http("GET", "http://" + Local(port) + "/seen").body;
			size_t at = 0;

			while ((at = body.find("\"" + id + "\"", at)) !=
			    std::string::npos) {
				n++;
				at++;
			}
		}
		return n;
	}

	static std::string
	Job(const std::string &prefix, int items, const std::string &body)
	{
		std::string doc = "{\"requests\":[";
		char *b64 =
		    g_base64_encode((const guchar *)body.data(), body.size());

		for (int i = 0; i < items; i++)
			doc += std::string(i > 0 ? "," : "") + "{\"id\":\"" +
			    prefix + std::to_string(i) +
			    "\",\"target_path\":\"/b/" + prefix +
			    std::to_string(i) +
			    "\",\"headers\":{\"X-Model\":\"m\"},\"body\":\"" +
			    b64 + "\",\"tokens\":9}";
		g_free(b64);
		return doc + "]}";
	}

	/* Results of a job at a daemon, from a position on. */
	json_t *
	Results(size_t i, const std::string &job, int from = 0)
	{
		Reply r = Send(i, "GET",
		    "/api/lots/" + job + "?after=" + std::to_string(from), "",
		    "r");

		return r.status == 200 ? json_loads(r.body.c_str(), 0, nullptr)
				       : nullptr;
	}

	bool
	HasResults(size_t i, const std::string &job, size_t count)
	{
		json_t *doc = Results(i, job);
		size_t n = json_array_size(json_object_get(doc, "results"));

		json_decref(doc);
		return n == count;
	}
};

TEST_F(Gateway, AStreamIsPassedOnAsItIs)
{
	Calm(2, 1);
	Reply r = Call(0, "/q/one?x=%20y", "a1", 5);

	EXPECT_EQ(200, r.status);
	EXPECT_EQ(Whole("/q/one", 5), r.body);
	EXPECT_EQ("a1", r.headers["x-attempt-id"]);
	EXPECT_NE("", r.headers["x-response-seal"]);
	EXPECT_EQ(1, Ran("a1"));
}

TEST_F(Gateway, WhatNoRouteAllowsIsNotFound)
{
	Calm(1, 1);
	EXPECT_EQ(404, Call(0, "/nothing/1", "a1", 5).status);
	EXPECT_EQ(404,
	    Http("POST", "http://" + Local(fronts[0]) + "/q/1", Body(1),
		{"Host: b.example", "X-Attempt-Id: a2"})
		.status);
	EXPECT_EQ(0, Ran("a1") + Ran("a2"));
}

TEST_F(Gateway, ADaemonWithoutAConfigurationIsNotReady)
{
	AddDaemon();
	EXPECT_EQ(503, Ready(0));
	Reply r = Call(0, "/q/1", "a1", 1);
	EXPECT_EQ(503, r.status);
	EXPECT_NE("", r.headers["retry-after"]);
	Configure(1);
	AddWorker();
	EXPECT_TRUE(Eventually([&] { return Ready(0) == 200; }));
}

TEST_F(Gateway, ANewConfigurationIsInForceAndAnOldOneNeverComesBack)
{
	Calm(1, 2);
	Configure(5, R"(,{"name":"n","host":"a.example","path_prefix":"/n/",
	    "kind":"idempotent","timeout_ms":5000,"target_latency_ms":400,
	    "service":"llm","max_attempts":2})");
	for (size_t i = 0; i < 2; i++)
		EXPECT_TRUE(Eventually(
		    [&] { return Call(i, "/n/1", "n", 1).status == 200; }));
	Configure(4);
	ListWorker(0, "draining");
	for (size_t i = 0; i < 2; i++) {
		ASSERT_TRUE(daemons[i]->WaitLine("\"state\":\"draining\""));
		EXPECT_NE(404, Call(i, "/n/1", "n", 1).status);
	}
}

TEST_F(Gateway, BadRowsHarmNothingElse)
{
	Calm(1, 1);
	Put("servers", "i-odd", "{\"service\":7}");
	Put("servers", "i-none", "no JSON");
	Put("op", "config", "{\"version\":9}");
	EXPECT_TRUE(daemons[0]->WaitLine("\"name\":\"row_unreadable\"", 3));
	EXPECT_EQ(200, Call(0, "/q/1", "a1", 2).status);
}

TEST_F(Gateway, ACutStreamGoesOnAtAnotherWorker)
{
	Calm(2, 1);
	Fault(0, "{\"cut_after\":1}");
	Fault(1, "{\"cut_after\":1}");
	Reply r = Call(0, "/q/cut", "a1", 8);

	EXPECT_EQ(200, r.status);
	EXPECT_EQ(Whole("/q/cut", 8), r.body) << "whole, each event once";
	EXPECT_EQ(3, Ran("a1"));
}

TEST_F(Gateway, AStreamThatMayNotBeResumedRunsOnce)
{
	Calm(2, 1);
	Fault(0, "{\"cut_after\":1}");
	Fault(1, "{\"cut_after\":1}");
	Reply r = Call(0, "/f/cut", "a1", 8);

	EXPECT_NE(Whole("/f/cut", 8), r.body);
	EXPECT_EQ(1, Ran("a1"));
}

TEST_F(Gateway, AWorkersFaultIsMadeUpFor)
{
	const struct {
		const char *name;
		const char *fault;
		const char *path;
	} cases[] = {
	    {"full", "{\"shed\":1}", "/f/x"},
	    {"crossed", "{\"cross\":1}", "/q/x"},
	    {"unsigned", "{\"unsigned\":1}", "/q/x"},
	    {"silent", "{\"silent\":1}", "/q/x"},
	};

	Calm(2, 1);
	for (const auto &c : cases) {
		Fault(0, c.fault);
		Fault(1, c.fault);
		Reply r = Call(0, c.path, c.name, 4);

		EXPECT_EQ(200, r.status) << c.name;
		EXPECT_EQ(Whole(c.path, 4), r.body) << c.name;
		Fault(0, "{}");
		Fault(1, "{}");
	}
}

/* Its caller sends it again, at any daemon: it is not run for ever. */
TEST_F(Gateway, ARequestWhoseRunsAllBreakOffIsStopped)
{
	const std::string bad = "{\"events\":5,\"crash\":true}";
	int runs = 0;

	Calm(2, 2);
	for (auto &daemon : daemons)
		ASSERT_TRUE(daemon->WaitLine("\"name\":\"member_up\""));
	for (int i = 0; i < 8; i++) {
		std::string id = "bad" + std::to_string(i);
		Reply r = Send((size_t)i % 2, "POST", "/q/bad", bad, id);

		EXPECT_EQ(502, r.status);
		runs += Ran(id);
	}
	EXPECT_GE(runs, 3);
	/* Each daemon may learn of the cuts only from its own. */
	EXPECT_LE(runs, 6);
	EXPECT_EQ(200, Call(0, "/q/good", "good", 2).status);
}

TEST_F(Gateway, ADeadWorkerIsPassedOver)
{
	Calm(2, 1);
	workers[0]->Signal(SIGKILL);
	workers[0]->Wait();
	for (int i = 0; i < 10; i++)
		EXPECT_EQ(
		    200, Call(0, "/f/x", "a" + std::to_string(i), 2).status);
}

TEST_F(Gateway, ALeavingWorkerGetsNoNewWork)
{
	Calm(2, 1);
	ListWorker(0, "draining");
	ASSERT_TRUE(daemons[0]->WaitLine("\"state\":\"draining\""));
	std::string before =
	    Http("GET", "http://" + Local(worker_ports[0]) + "/seen").body;
	for (int i = 0; i < 6; i++)
		EXPECT_EQ(200, Call(0, "/q/x", "a", 1).status);
	EXPECT_EQ(before,
	    Http("GET", "http://" + Local(worker_ports[0]) + "/seen").body);
}

TEST_F(Gateway, NoWorkerIsRefusedAtOnceWithATimeToComeBack)
{
	Calm(1, 1);
	Put("servers", "i-0", nullptr);
	ASSERT_TRUE(daemons[0]->WaitLine("\"name\":\"target_gone\""));
	ASSERT_TRUE(
	    Eventually([&] { return Call(0, "/q/x", "a", 1).status == 503; }));
	Reply r = Call(0, "/q/x", "refused", 1);
	EXPECT_EQ(503, r.status);
	EXPECT_EQ("no", r.headers["savoryflow-ran"]);
	EXPECT_GT(atof(r.headers["retry-after"].c_str()), 0.0);
	EXPECT_EQ(0, Ran("refused"));
}

TEST_F(Gateway, ACallerThatLeavesStopsItsWorker)
{
	Calm(1, 1);
	struct sockaddr_in addr = {};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	std::string body = Body(1000, 20);
	std::string head = "POST /q/long HTTP/1.1\r\nHost: a.example\r\n"
			   "X-Attempt-Id: gone\r\nContent-Length: " +
	    std::to_string(body.size()) + "\r\n\r\n" + body;

	addr.sin_family = AF_INET;
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	addr.sin_port = htons((uint16_t)fronts[0]);
	ASSERT_EQ(0, connect(fd, (struct sockaddr *)&addr, sizeof(addr)));
	ASSERT_EQ((ssize_t)head.size(),
	    send(fd, head.data(), head.size(), MSG_NOSIGNAL));
	ASSERT_TRUE(Eventually([&] { return Ran("gone") == 1; }));
	close(fd);
	EXPECT_TRUE(daemons[0]->WaitLine("\"name\":\"caller_left\""));
	EXPECT_TRUE(Eventually([&] {
		return Http("GET", "http://" + Local(worker_ports[0]) + "/seen")
			   .body.find("\"left_early\":1") != std::string::npos;
	}));
}

TEST_F(Gateway, AJobIsAcceptedOnceAndReadAtEveryDaemon)
{
	Calm(2, 2);
	std::string doc = Job("it", 5, Body(4));

	EXPECT_EQ(202, Send(0, "POST", "/b/j1", doc, "j1").status);
	EXPECT_EQ(202, Send(1, "POST", "/b/j1", doc, "j1").status);
	ASSERT_TRUE(Eventually([&] { return HasResults(0, "j1", 5); }));
	EXPECT_TRUE(HasResults(1, "j1", 5));
	json_t *doc0 = Results(0, "j1", 2);
	json_t *first = json_array_get(json_object_get(doc0, "results"), 0);
	std::string id = json_string_value(json_object_get(first, "id"));
	std::string path = "/b/" + id;

	EXPECT_EQ(5, json_integer_value(json_object_get(doc0, "total_count")));
	EXPECT_EQ(5, json_integer_value(json_object_get(doc0, "next")));
	EXPECT_STREQ(
	    "completed", json_string_value(json_object_get(first, "state")));
	EXPECT_EQ(path + "-1\n" + path + "-2\n" + path + "-3\n" + path + "-4",
	    json_string_value(json_object_get(first, "output_text")));
	json_decref(doc0);
	for (int i = 0; i < 5; i++)
		EXPECT_EQ(1, Ran("it" + std::to_string(i)));
	EXPECT_EQ(404, Send(0, "GET", "/api/lots/none", "", "r").status);
}

TEST_F(Gateway, ItemBodiesAreReadBack)
{
	Calm(1, 2);
	std::string body = Body(200, 20);

	Send(0, "POST", "/b/j1", Job("it", 2, body), "j1");
	for (size_t i = 0; i < 2; i++) {
		EXPECT_EQ(
		    body, Send(i, "GET", "/api/items/j1?id=it1", "", "r").body);
		EXPECT_EQ(404,
		    Send(i, "GET", "/api/items/j1?id=none", "", "r").status);
	}
}

TEST_F(Gateway, ItemsThatCannotBeDoneAreGivenUp)
{
	const struct {
		const char *job;
		const char *body;
		int runs;
	} cases[] = {
	    {"failing", "{\"status\":500}", 2},
	    {"impossible", "{\"status\":422}", 1},
	};

	Calm(1, 1);
	for (const auto &c : cases) {
		Send(0, "POST", std::string("/b/") + c.job,
		    Job(c.job, 1, c.body), c.job);
		ASSERT_TRUE(
		    Eventually([&] { return HasResults(0, c.job, 1); }));
		json_t *doc = Results(0, c.job);
		json_t *first =
		    json_array_get(json_object_get(doc, "results"), 0);

		EXPECT_STREQ("dead_letter",
		    json_string_value(json_object_get(first, "state")));
		EXPECT_EQ(c.runs, Ran(std::string(c.job) + "0"));
		json_decref(doc);
	}
}

TEST_F(Gateway, ACutItemGoesOnAndIsWhole)
{
	Calm(1, 1);
	Fault(0, "{\"cut_after\":2}");
	Send(0, "POST", "/b/j1", Job("it", 1, Body(12)), "j1");
	ASSERT_TRUE(Eventually([&] { return HasResults(0, "j1", 1); }));
	json_t *doc = Results(0, "j1");
	std::string text = json_string_value(json_object_get(
	    json_array_get(json_object_get(doc, "results"), 0), "output_text"));
	std::string wanted;

	for (int n = 1; n <= 12; n++)
		wanted += (n > 1 ? "\n" : "") + std::string("/b/it0-") +
		    std::to_string(n);
	EXPECT_EQ(wanted, text);
	json_decref(doc);
}

TEST_F(Gateway, AnEndedJobStops)
{
	Calm(1, 2);
	Send(0, "POST", "/b/j1", Job("it", 6, Body(2000, 10)), "j1");
	ASSERT_TRUE(Eventually([&] { return Ran("it0") == 1; }));
	EXPECT_EQ(200, Send(1, "DELETE", "/api/lots/j1", "", "r").status);
	EXPECT_TRUE(daemons[0]->WaitLine("\"why\":\"ended\""));
	EXPECT_EQ(200, Send(0, "DELETE", "/api/lots/j1", "", "r").status);
}

TEST_F(Gateway, AJobOutlivesItsDaemon)
{
	Calm(2, 2);
	Send(0, "POST", "/b/j1", Job("it", 6, Body(40, 20)), "j1");
	ASSERT_TRUE(Eventually([&] { return Ran("it0") > 0; }));
	daemons[0]->Signal(SIGKILL);
	daemons[0]->Wait();
	EXPECT_TRUE(daemons[1]->WaitLine("\"name\":\"job_orphaned\""));
	EXPECT_TRUE(Eventually([&] { return HasResults(1, "j1", 6); }));
}

/* Whoever takes over a job that was ended runs nothing of it. */
TEST_F(Gateway, AnEndedJobIsNotTakenOver)
{
	Calm(1, 2);
	Send(0, "POST", "/b/j1", Job("it", 6, Body(2000, 10)), "j1");
	ASSERT_TRUE(Eventually([&] { return Ran("it0") == 1; }));
	daemons[0]->Signal(SIGSTOP);
	EXPECT_EQ(200, Send(1, "DELETE", "/api/lots/j1", "", "r").status);
	daemons[0]->Signal(SIGKILL);
	daemons[0]->Wait();
	EXPECT_TRUE(daemons[1]->WaitLine("\"call\":\"close\""));
	EXPECT_EQ(0, daemons[1]->Count("\"name\":\"job_started\""));
}

TEST_F(Gateway, ALeavingDaemonHandsItsItemsOver)
{
	Calm(1, 2);
	Send(0, "POST", "/b/j1", Job("it", 2, Body(150, 20)), "j1");
	ASSERT_TRUE(Eventually([&] { return Ran("it0") + Ran("it1") == 2; }));
	daemons[0]->Signal(SIGTERM);
	EXPECT_TRUE(daemons[1]->WaitLine("\"name\":\"job_started\""));
	EXPECT_TRUE(Eventually([&] { return HasResults(1, "j1", 2); }));
	json_t *doc = Results(1, "j1");
	std::string text = json_string_value(json_object_get(
	    json_array_get(json_object_get(doc, "results"), 0), "output_text"));

	EXPECT_EQ(149, std::count(text.begin(), text.end(), '\n'));
	json_decref(doc);
	EXPECT_TRUE(daemons[0]->WaitLine("\"call\":\"hand_over\""));
	EXPECT_EQ(0, daemons[0]->Wait());
}

TEST_F(Gateway, AJobOutlivesAllDaemons)
{
	Calm(1, 1);
	Send(0, "POST", "/b/j1", Job("it", 3, Body(30, 20)), "j1");
	daemons[0]->Signal(SIGKILL);
	daemons[0]->Wait();
	Start(0);
	EXPECT_TRUE(Eventually([&] { return HasResults(0, "j1", 3); }));
}

/* The store turns one daemon away and serves its neighbour. */
TEST_F(Gateway, APeerAnswersForADaemonThatTheStoreTurnsAway)
{
	Calm(1, 2);
	/* Daemon 1 has no store any more, but knows its neighbour. */
	Store("/fault", "{\"turned_away\":\"d1\"}");
	ASSERT_TRUE(daemons[1]->WaitLine("\"name\":\"store_down\""));
	EXPECT_EQ(
	    202, Send(1, "POST", "/b/j1", Job("it", 2, Body(3)), "j1").status);
	EXPECT_TRUE(Eventually([&] { return HasResults(1, "j1", 2); }));
	EXPECT_EQ(
	    Body(3), Send(1, "GET", "/api/items/j1?id=it0", "", "r").body);
	EXPECT_EQ(200, Send(1, "DELETE", "/api/lots/j1", "", "r").status);
	EXPECT_EQ(404, Send(1, "GET", "/api/lots/none", "", "r").status);
	EXPECT_GT(daemons[1]->Count("\"name\":\"job_forwarded\""), 0);
}

TEST_F(Gateway, AnOutageOfTheStoreRefusesJobsAndServesTheRest)
{
	Calm(1, 1);
	Store("/fault", "{\"outage\":true}");
	ASSERT_TRUE(daemons[0]->WaitLine("\"name\":\"store_down\""));
	Reply r = Send(0, "POST", "/b/j1", Job("it", 1, Body(1)), "j1");
	EXPECT_EQ(503, r.status);
	EXPECT_NE("", r.headers["retry-after"]);
	EXPECT_EQ(200, Call(0, "/q/x", "a1", 2).status);
	Store("/fault", "{}");
	EXPECT_TRUE(Eventually([&] {
		return Send(0, "POST", "/b/j1", Job("it", 1, Body(1)), "j1")
			   .status == 202;
	}));
	EXPECT_TRUE(Eventually([&] { return HasResults(0, "j1", 1); }));
	EXPECT_EQ(1, Ran("it0"));
}

/* Also with no store a daemon that starts learns what its peers know. */
TEST_F(Gateway, ADaemonWithoutTheStoreTakesTheViewOfItsPeers)
{
	Calm(1, 2);
	daemons[1]->Signal(SIGKILL);
	daemons[1]->Wait();
	Store("/fault", "{\"outage\":true}");
	Start(1);
	EXPECT_TRUE(Eventually([&] { return Ready(1) == 200; }));
	EXPECT_TRUE(
	    Eventually([&] { return Call(1, "/q/x", "a1", 2).status == 200; }));
}

TEST_F(Gateway, AHistoryThatIsForgottenIsReadAgain)
{
	Calm(1, 1);
	Store("/fault", "{\"forget\":true}");
	AddWorker();
	EXPECT_TRUE(daemons[0]->WaitLine("\"target\":\"i-1\""));
}

TEST_F(Gateway, AStopCutsNoAnswer)
{
	Calm(1, 2);
	Reply r;
	std::thread caller([&] { r = Call(0, "/q/long", "a1", 60, 20); });

	ASSERT_TRUE(Eventually([&] { return Ran("a1") == 1; }));
	daemons[0]->Signal(SIGTERM);
	EXPECT_TRUE(Eventually([&] { return Ready(0) == 503; }));
	Reply late = Call(0, "/q/late", "a2", 1);
	EXPECT_EQ(200, late.status) << "the balancer still sends";
	EXPECT_EQ("close", late.headers["connection"]);
	caller.join();
	EXPECT_EQ(Whole("/q/long", 60), r.body);
	EXPECT_EQ(0, daemons[0]->Wait());
	EXPECT_EQ(200, Call(1, "/q/x", "a3", 1).status);
}

/* All that was taken is answered: later on nothing new is. */
TEST_F(Gateway, ALeavingDaemonTurnsLateRequestsAway)
{
	Calm(1, 1);
	Reply r;
	std::thread caller([&] { r = Call(0, "/q/long", "a1", 200, 20); });

	ASSERT_TRUE(Eventually([&] { return Ran("a1") == 1; }));
	daemons[0]->Signal(SIGTERM);
	EXPECT_TRUE(Eventually(
	    [&] { return Call(0, "/q/late", "a2", 1).status == 503; }));
	Reply late = Call(0, "/q/late", "a3", 1);
	EXPECT_EQ(503, late.status);
	EXPECT_EQ("no", late.headers["savoryflow-ran"]);
	EXPECT_NE("", late.headers["retry-after"]);
	caller.join();
	EXPECT_EQ(Whole("/q/long", 200), r.body);
	EXPECT_EQ(0, daemons[0]->Wait());
	EXPECT_EQ(0, Ran("a3"));
}

TEST_F(Gateway, AHangupReadsTheSettingsAgain)
{
	Calm(1, 1);
	daemons[0]->Signal(SIGHUP);
	EXPECT_EQ(200, Call(0, "/q/x", "a1", 1).status);
}

} // namespace

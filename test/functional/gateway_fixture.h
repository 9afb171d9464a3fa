#ifndef TEST_FUNCTIONAL_GATEWAY_FIXTURE_H
#define TEST_FUNCTIONAL_GATEWAY_FIXTURE_H

#include <glib.h>
#include <gtest/gtest.h>
#include <jansson.h>
#include <signal.h>

#include <algorithm>
#include <string>

#include "functional/harness.h"

/* Gateway daemons with stand-ins for the platform's store and workers. */
struct Gateway : ::testing::Test {
	int store_port = FreePort();
	std::unique_ptr<Process> store;
	std::vector<std::unique_ptr<Process>> workers;
	std::vector<int> worker_ports;
	std::vector<std::unique_ptr<Process>> daemons;
	std::vector<int> front_ports, ready_ports, peer_ports;
	/* Seeds before the first daemon, each followed by a comma. */
	std::string first_seed;
	/* Limits of the online routes, of calls and of a drain. */
	int timeout_ms = 5000, gap_ms = 300, drain_timeout_ms = 6000;
	int body_bytes_max = 100000;
	/* Member of the configuration with its teams, and the key of the calls;
	 * empty: none. */
	std::string teams, key;
	/* How many ids RelistWorker has used. */
	int relisted = 0;
	/* More flags of each daemon, and members of the configuration. */
	std::vector<std::string> daemon_flags;
	std::string more_config;

	/* For tests of what ends before the limits, on a machine of any
	 * speed. */
	void
	RaiseLimits()
	{
		timeout_ms = drain_timeout_ms = 60000;
	}

	void
	SetUp() override
	{
		store.reset(new Process({Env("SF_STANDIN"), "rows",
		    "--port=" + std::to_string(store_port)}));
		ASSERT_TRUE(store->WaitLine("listening"));
	}

	void
	PostToStore(const std::string &path, const std::string &body)
	{
		EXPECT_EQ(200,
		    Http("POST", "http://" + LoopbackAddress(store_port) + path,
			body)
			.status);
	}

	/* Writes a row of the store, or deletes it if value is null. */
	void
	PutRow(const char *table, const std::string &key, const char *value)
	{
		PutRowIn("", table, key, value);
	}

	void
	PutRowIn(const std::string &part, const char *table,
	    const std::string &key, const char *value)
	{
		json_t *doc = json_pack("{s:s,s:s,s:s}", "table", table, "part",
		    part.c_str(), "key", key.c_str());

		if (value != nullptr)
			json_object_set_new(doc, "value", json_string(value));
		char *out = json_dumps(doc, 0);
		PostToStore("/put", out);
		free(out);
		json_decref(doc);
	}

	static std::string
	JobRoute(const std::string &name, int attempts_max, int ttl_s = 60)
	{
		return "{\"name\":\"" + name +
		    R"(","host":"a.example","path_prefix":"/)" + name +
		    R"(/","kind":"batch","timeout_ms":15000,
		    "target_latency_ms":500,"service":"llm","max_attempts":)" +
		    std::to_string(attempts_max) +
		    R"(,"target_done_ms":18000,"item_ttl_s":)" +
		    std::to_string(ttl_s) + "}";
	}

	/* Publishes the routes of online requests and the given ones. */
	void
	ConfigureRoutes(int version, const std::string &more_routes)
	{
		std::string limits =
		    ",\"timeout_ms\":" + std::to_string(timeout_ms) +
		    ",\"target_gap_ms\":" + std::to_string(gap_ms) + "}";
		std::string routes =
		    R"({"name":"q","host":"a.example","path_prefix":"/q/",
		    "kind":"streaming","target_latency_ms":400,
		    "service":"llm","max_attempts":3,"resumable":true)" +
		    limits + R"(,
		    {"name":"f","host":"a.example","path_prefix":"/f/",
		    "kind":"streaming","target_latency_ms":400,
		    "service":"llm","max_attempts":1,"resumable":false)" +
		    limits + more_routes;
		std::string doc = "{\"version\":" + std::to_string(version) +
		    ",\"routes\":[" + routes +
		    "],\"services\":[{\"name\":\"llm\"}],\"limits\":"
		    "{\"body_bytes\":" +
		    std::to_string(body_bytes_max) + "}" + teams + more_config +
		    "}";

		PutRow("op", "config", doc.c_str());
	}

	void
	Configure(int version, const std::string &more_routes = "")
	{
		ConfigureRoutes(version, "," + JobRoute("b", 2) + more_routes);
	}

	void
	SetWorkerState(
	    size_t i, const char *state, const std::string &zone = "dc1")
	{
		std::string doc = "{\"service\":\"llm\",\"addr\":\"" +
		    LoopbackAddress(worker_ports[i]) + "\",\"zone\":\"" + zone +
		    "\",\"version\":\"v1\",\"slot_count\":4,\"state\":\"" +
		    state + "\",\"cold_left_ms\":0,\"sequence\":1,\"born\":1}";

		PutRow("servers", "i-" + std::to_string(i), doc.c_str());
	}

	void
	AddWorker(const std::string &zone = "dc1")
	{
		size_t i = workers.size();

		worker_ports.push_back(FreePort());
		workers.emplace_back(new Process(
		    {Env("SF_STANDIN"), "worker", "--id=i-" + std::to_string(i),
			"--port=" + std::to_string(worker_ports[i])}));
		ASSERT_TRUE(workers[i]->WaitLine("listening"));
		SetWorkerState(i, "ready", zone);
	}

	void
	StartDaemon(size_t i)
	{
		std::vector<std::string> argv = {Env("SF_BIN"), "serve",
		    "--adapter=platform", "--name=d" + std::to_string(i),
		    "--front-listen=" + LoopbackAddress(front_ports[i]),
		    "--ready-listen=" + LoopbackAddress(ready_ports[i]),
		    "--peer-listen=" + LoopbackAddress(peer_ports[i]),
		    "--platform-url=http://" + LoopbackAddress(store_port) +
			"/d" + std::to_string(i),
		    "--peers=" + first_seed + LoopbackAddress(peer_ports[0]),
		    "--drain-timeout-ms=" + std::to_string(drain_timeout_ms)};

		argv.insert(
		    argv.end(), daemon_flags.begin(), daemon_flags.end());
		daemons[i].reset(new Process(argv));
	}

	void
	AddDaemon()
	{
		front_ports.push_back(FreePort());
		ready_ports.push_back(FreePort());
		peer_ports.push_back(FreePort());
		daemons.emplace_back(nullptr);
		StartDaemon(daemons.size() - 1);
		ASSERT_TRUE(
		    daemons.back()->WaitLine("\"name\":\"daemon_started\""));
	}

	/* Starts workers and daemons; waits until each daemon serves a call. */
	void
	StartReadyFleet(int worker_count, int daemon_count)
	{
		Configure(1);
		for (int i = 0; i < worker_count; i++)
			AddWorker();
		for (int i = 0; i < daemon_count; i++)
			AddDaemon();
		for (size_t i = 0; i < daemons.size(); i++)
			ASSERT_TRUE(Eventually([&] {
				return ReadyStatus(i) == 200 &&
				    Call(i, "/q/warm", "w", 1).status == 200;
			}));
	}

	/* Starts a fleet with one sound worker, and adds routes of another
	 * service: "n" may repeat a request, "o" may not, "w" is a stream. */
	void
	StartFleetWithService(const std::string &service, int latency_ms = 400)
	{
		const struct {
			const char *name, *kind;
			int attempts;
		} added[] = {
		    {"n", "idempotent", 3},
		    {"o", "non_idempotent", 1},
		    {"w", "streaming", 1},
		};
		std::string latency = std::to_string(latency_ms), routes;

		for (const auto &r : added)
			routes += std::string(",{\"name\":\"") + r.name +
			    "\",\"host\":\"a.example\",\"path_prefix\":\"/" +
			    r.name + "/\",\"kind\":\"" + r.kind +
			    "\",\"timeout_ms\":5000,\"target_latency_ms\":" +
			    latency + ",\"target_gap_ms\":" + latency +
			    ",\"service\":\"" + service +
			    "\",\"max_attempts\":" +
			    std::to_string(r.attempts) + "}";
		StartReadyFleet(1, 1);
		Configure(2, routes);
		ASSERT_TRUE(Eventually(
		    [&] { return Call(0, "/o/warm", "w", 1).status != 404; }));
	}

	/* Lists a worker that the test plays, and waits until the first daemon
	 * knows it. */
	void
	ListWorker(const std::string &id, const std::string &service,
	    const std::string &address, int slots = 4)
	{
		std::string doc = "{\"service\":\"" + service +
		    "\",\"addr\":\"" + address +
		    "\",\"zone\":\"dc1\",\"version\":\"v1\",\"slot_count\":" +
		    std::to_string(slots) +
		    ",\"state\":\"ready\",\"cold_left_ms\":0,"
		    "\"sequence\":1,\"born\":1}";

		PutRow("servers", id, doc.c_str());
		ASSERT_TRUE(daemons[0]->WaitLine("\"target\":\"" + id + "\""));
	}

	/* Lists the only worker of a service under a new id: what it did before
	 * does not count. */
	void
	RelistWorker(const std::string &service, const std::string &address)
	{
		if (relisted > 0)
			PutRow("servers",
			    service + "-" + std::to_string(relisted - 1),
			    nullptr);
		ListWorker(service + "-" + std::to_string(relisted++), service,
		    address);
	}

	long
	ReadyStatus(size_t i)
	{
		return Http("GET",
		    "http://" + LoopbackAddress(ready_ports[i]) + "/api/ready")
		    .status;
	}

	static std::string
	RequestBody(int events, int pace_ms = 0)
	{
		return "{\"events\":" + std::to_string(events) +
		    ",\"pace_ms\":" + std::to_string(pace_ms) + "}";
	}

	Reply
	Send(size_t i, const std::string &method, const std::string &path,
	    const std::string &body, const std::string &id)
	{
		return SendWith(i, method, path, body, id,
		    key.empty() ? Headers()
				: Headers{"Authorization: Bearer " + key});
	}

	Reply
	SendWith(size_t i, const std::string &method, const std::string &path,
	    const std::string &body, const std::string &id, Headers headers)
	{
		headers.insert(headers.end(),
		    {"Host: a.example", "X-Attempt-Id: " + id,
			"X-Deadline-Ms: " + std::to_string(timeout_ms)});
		return Http(method,
		    "http://" + LoopbackAddress(front_ports[i]) + path, body,
		    headers);
	}

	Reply
	Call(size_t i, const std::string &path, const std::string &id,
	    int events, int pace_ms = 0)
	{
		return Send(i, "POST", path, RequestBody(events, pace_ms), id);
	}

	static std::string
	ExpectedStream(const std::string &path, int events)
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
	InjectFault(size_t worker, const std::string &doc)
	{
		EXPECT_EQ(200,
		    Http("POST",
			"http://" + LoopbackAddress(worker_ports[worker]) +
			    "/fault",
			doc)
			.status);
	}

	/* The worker's next answers have these bytes in place of an event,
	 * counted from 0 in each run. */
	void
	InjectOddEvent(
	    size_t worker, int answers, int at, const std::string &event)
	{
		char *b64 =
		    g_base64_encode((const guchar *)event.data(), event.size());

		InjectFault(worker,
		    "{\"odd\":" + std::to_string(answers) + ",\"odd_at\":" +
			std::to_string(at) + ",\"odd_event\":\"" + b64 + "\"}");
		g_free(b64);
	}

	/* Text of an item of the given path when it is whole. */
	static std::string
	ExpectedText(const std::string &path, int events)
	{
		std::string text;

		for (int k = 1; k <= events; k++)
			text += (k > 1 ? "\n" : "") + path + "-" +
			    std::to_string(k);
		return text;
	}

	/* The only result of a job as "STATE TEXT"; empty on an error. */
	std::string
	OnlyResult(size_t daemon, const std::string &job)
	{
		json_t *doc = FetchResults(daemon, job);
		json_t *first =
		    json_array_get(json_object_get(doc, "results"), 0);
		const char *state =
		    json_string_value(json_object_get(first, "state"));
		const char *text =
		    json_string_value(json_object_get(first, "output_text"));
		std::string all;

		if (state != nullptr && text != nullptr)
			all = std::string(state) + " " + text;
		json_decref(doc);
		return all;
	}

	/* How many attempts whose ids begin so a worker ran. */
	int
	CountRunsAt(size_t worker, const std::string &prefix)
	{
		std::string body = Http("GET",
		    "http://" + LoopbackAddress(worker_ports[worker]) + "/seen")
				       .body;
		size_t pos = 0;
		int n = 0;

		while ((pos = body.find("\"" + prefix, pos)) !=
		    std::string::npos) {
			n++;
			pos++;
		}
		return n;
	}

	/* How many workers ran attempts whose ids begin so. */
	int
	CountWorkersUsed(const std::string &prefix)
	{
		int n = 0;

		for (size_t w = 0; w < worker_ports.size(); w++)
			n += CountRunsAt(w, prefix) > 0;
		return n;
	}

	/* How many times the workers ran an attempt or item. */
	int
	CountRuns(const std::string &id)
	{
		int n = 0;

		for (size_t w = 0; w < worker_ports.size(); w++)
			n += CountRunsAt(w, id + "\"");
		return n;
	}

	static std::string
	JobBody(const std::string &prefix, int items, const std::string &body)
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

	/* Fetches a job's results from a position on; null on an error. */
	json_t *
	FetchResults(size_t i, const std::string &job, int from = 0)
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
		json_t *doc = FetchResults(i, job);
		size_t n = json_array_size(json_object_get(doc, "results"));

		json_decref(doc);
		return n == count;
	}
};

#endif

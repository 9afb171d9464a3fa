#ifndef TEST_FUNCTIONAL_GATEWAY_FIXTURE_H
#define TEST_FUNCTIONAL_GATEWAY_FIXTURE_H

#include <glib.h>
#include <gtest/gtest.h>
#include <jansson.h>
#include <signal.h>

#include <algorithm>
#include <string>

#include "functional/harness.h"

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

#endif

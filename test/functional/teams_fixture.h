#ifndef TEST_FUNCTIONAL_TEAMS_FIXTURE_H
#define TEST_FUNCTIONAL_TEAMS_FIXTURE_H

#include <set>

#include "functional/gateway_fixture.h"

inline const char kAlpha[] = "sk-alpha-1";
inline const char kAlphaToo[] = "sk-alpha-2";
inline const char kBeta[] = "sk-beta-1";
inline const char kUnknown[] = "sk-unknown";

inline const char kTeamsDocument[] = R"(,"tenants":[
    {"name":"alpha","api_keys":["sk-alpha-1","sk-alpha-2"]},
    {"name":"beta","api_keys":["sk-beta-1"]}])";

inline const char kTeamRoutes[] =
    R"(,{"name":"p","host":"a.example","path_prefix":"/p/",
    "kind":"streaming","target_latency_ms":400,"service":"llm",
    "max_attempts":3,"resumable":true,"timeout_ms":5000,"public":true},
    {"name":"l","host":"a.example","path_prefix":"/l/",
    "kind":"batch","timeout_ms":15000,"target_latency_ms":500,
    "service":"llm","max_attempts":2,"target_done_ms":18000,
    "item_ttl_s":60,"max_count":100},
    {"name":"o","host":"a.example","path_prefix":"/o/",
    "kind":"batch","timeout_ms":15000,"target_latency_ms":500,
    "service":"llm","max_attempts":2,"target_done_ms":18000,
    "item_ttl_s":60,"public":true})";

inline std::string
Bearer(const std::string &key)
{
	return "Authorization: Bearer " + key;
}

/* Daemons whose configuration has teams. After each test, no byte that a
 * worker, the store or a log has seen may contain a key. */
struct Teams : Gateway {
	Teams()
	{
		teams = kTeamsDocument;
		body_bytes_max = 400000;
		key = kAlpha;
	}

	void
	Start(int worker_count, int daemon_count)
	{
		Configure(1, kTeamRoutes);
		for (int i = 0; i < worker_count; i++)
			AddWorker();
		for (int i = 0; i < daemon_count; i++)
			AddDaemon();
		for (size_t i = 0; i < daemons.size(); i++)
			ASSERT_TRUE(Eventually([&] {
				return ReadyStatus(i) == 200 &&
				    Call(i, "/q/warm", "w", 1).status == 200;
			}));
		for (auto &d : daemons)
			ASSERT_TRUE(daemon_count == 1 ||
			    d->WaitLine(
				"\"name\":\"member_up\"", daemon_count - 1));
	}

	std::string
	Heads(size_t worker)
	{
		return Http("GET",
		    "http://" + LoopbackAddress(worker_ports[worker]) +
			"/heads")
		    .body;
	}

	/* The teams that requests of a path carried, "" for none, and whatever
	 * named a key. */
	std::multiset<std::string>
	TeamsSeen(const std::string &path)
	{
		std::multiset<std::string> seen;

		for (size_t w = 0; w < worker_ports.size(); w++) {
			json_t *doc = json_loads(Heads(w).c_str(), 0, nullptr);
			json_t *head;
			size_t i;

			json_array_foreach(doc, i, head) if (path ==
			    json_string_value(json_object_get(head, "path")))
			    seen.insert(
				TeamIn(json_object_get(head, "headers")));
			json_decref(doc);
		}
		return seen;
	}

	static std::string
	TeamIn(const json_t *headers)
	{
		std::string team;
		json_t *field;
		size_t i;

		json_array_foreach(headers, i, field)
		{
			std::string text = json_string_value(field);

			if (g_ascii_strncasecmp(
				text.c_str(), "x-tenant: ", 10) == 0)
				team += text.substr(10);
			if (g_ascii_strncasecmp(
				text.c_str(), "authorization", 13) == 0)
				team += text;
		}
		return team;
	}

	Reply
	As(const std::string &caller_key, size_t i, const std::string &method,
	    const std::string &path, const std::string &body = "",
	    const std::string &id = "r")
	{
		return SendWith(i, method, path, body, id,
		    caller_key.empty() ? Headers()
				       : Headers{Bearer(caller_key)});
	}

	void
	TearDown() override
	{
		std::string rows = Http(
		    "GET", "http://" + LoopbackAddress(store_port) + "/dump")
				       .body;

		EXPECT_EQ(std::string::npos, rows.find("sk-")) << rows;
		for (size_t w = 0; w < worker_ports.size(); w++)
			EXPECT_EQ(std::string::npos, Heads(w).find("sk-"));
		for (auto &d : daemons)
			EXPECT_EQ(std::string::npos, d->Output().find("sk-"));
	}
};

#endif

// Teams and keys with real processes. After each test, no byte that a worker,
// the store or a log has seen contains a key.
#include <set>

#include "functional/gateway_fixture.h"
#include "platform/late_copies.h"

namespace
{

const char kAlpha[] = "sk-alpha-1";
const char kAlphaToo[] = "sk-alpha-2";
const char kBeta[] = "sk-beta-1";
const char kUnknown[] = "sk-unknown";

const char kTeams[] = R"(,"tenants":[
    {"name":"alpha","api_keys":["sk-alpha-1","sk-alpha-2"]},
    {"name":"beta","api_keys":["sk-beta-1"]}])";

const char kRoutes[] =
    R"(,{"name":"p","host":"a.example","path_prefix":"/p/",
    "kind":"streaming","target_latency_ms":400,"service":"llm",
    "max_attempts":3,"resumable":true,"timeout_ms":5000,"public":true},
    {"name":"l","host":"a.example","path_prefix":"/l/",
    "kind":"batch","timeout_ms":15000,"target_latency_ms":500,
    "service":"llm","max_attempts":2,"target_done_ms":18000,
    "item_ttl_s":60,"max_count":100})";

std::string
Bearer(const std::string &key)
{
	return "Authorization: Bearer " + key;
}

struct Teams : Gateway {
	Teams()
	{
		teams = kTeams;
		body_bytes_max = 400000;
		key = kAlpha;
	}

	void
	Start(int worker_count, int daemon_count)
	{
		Configure(1, kRoutes);
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

TEST_F(Teams, ACallIsServedForItsKeysTeamOnly)
{
	struct {
		const char *name;
		Headers headers;
		long status;
		/* Of the message, or of the team that the worker sees. */
		std::string text;
		bool is_public;
	} cases[] = {
	    {"key", {Bearer(kAlpha)}, 200, "alpha", false},
	    {"other key", {Bearer(kAlphaToo)}, 200, "alpha", false},
	    {"beta", {Bearer(kBeta)}, 200, "beta", false},
	    {"lower case", {"authorization: bearer sk-beta-1"}, 200, "beta",
		false},
	    {"forged team", {Bearer(kAlpha), "X-Tenant: beta"}, 200, "alpha",
		false},
	    {"forged teams",
		{"x-tenant: beta", Bearer(kAlpha), "X-TENANT: beta"}, 200,
		"alpha", false},
	    {"none", {}, 401, "no Authorization", false},
	    {"only a team", {"X-Tenant: alpha"}, 401, "no Authorization",
		false},
	    {"unknown", {Bearer(kUnknown)}, 401, "no team", false},
	    {"prefix", {Bearer("sk-alpha-")}, 401, "no team", false},
	    {"longer", {Bearer("sk-alpha-11")}, 401, "no team", false},
	    {"empty", {"Authorization;"}, 401, "has no key", false},
	    {"no key", {"Authorization: Bearer"}, 401, "has no key", false},
	    {"doubled", {Bearer(kAlpha), Bearer(kAlpha)}, 401, "more than one",
		false},
	    {"two teams", {Bearer(kAlpha), Bearer(kBeta)}, 401, "more than one",
		false},
	    {"list", {Bearer("sk-alpha-1, Bearer sk-beta-1")}, 401,
		"white space", false},
	    {"basic", {"Authorization: Basic sk-alpha-1"}, 401, "not Bearer",
		false},
	    {"bare", {"Authorization: sk-alpha-1"}, 401, "not Bearer", false},
	    {"long", {Bearer(std::string(513, 'k'))}, 401, "over 512", false},
	    {"longest", {Bearer(std::string(512, 'k'))}, 401, "no team", false},
	    {"public", {}, 200, "", true},
	    {"public, key", {Bearer(kBeta)}, 200, "beta", true},
	    {"public, unknown", {Bearer(kUnknown)}, 200, "", true},
	    {"public, team", {"X-Tenant: alpha"}, 200, "", true},
	    {"public, key and team", {"X-Tenant: alpha", Bearer(kBeta)}, 200,
		"beta", true},
	    {"public, doubled", {Bearer(kAlpha), Bearer(kBeta)}, 200, "", true},
	    {"public, basic", {"Authorization: Basic sk-alpha-1"}, 200, "",
		true},
	};

	Start(1, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		const auto &c = cases[i];
		std::string id = "c" + std::to_string(i) + "x";
		std::string path = (c.is_public ? "/p/" : "/q/") + id;
		Reply r =
		    SendWith(0, "POST", path, RequestBody(3), id, c.headers);

		EXPECT_EQ(c.status, r.status) << c.name << ": " << r.body;
		if (c.status == 200) {
			EXPECT_EQ(ExpectedStream(path, 3), r.body) << c.name;
			EXPECT_EQ(
			    std::multiset<std::string>{c.text}, TeamsSeen(path))
			    << c.name;
			continue;
		}
		EXPECT_NE(std::string::npos, r.body.find(c.text))
		    << c.name << ": " << r.body;
		EXPECT_EQ("no", r.headers["savoryflow-ran"]) << c.name;
		EXPECT_EQ(0, CountRuns(id)) << c.name;
		EXPECT_TRUE(TeamsSeen(path).empty()) << c.name;
	}
}

/* Guards against credentials that a repeat or a resume sends. */
TEST_F(Teams, EachAttemptOfAStreamHasTheTeamAndNoKey)
{
	struct {
		const char *path;
		const char *fault;
		const char *team;
	} cases[] = {
	    {"/q/cut", "{\"cut_after\":1}", "alpha"},
	    {"/q/shed", "{\"shed\":1}", "alpha"},
	    {"/p/cut", "{\"cut_after\":1}", "alpha"},
	};

	Start(2, 1);
	for (const auto &c : cases) {
		for (size_t w = 0; w < 2; w++)
			InjectFault(w, c.fault);
		Reply r = SendWith(0, "POST", c.path, RequestBody(12),
		    c.path + 1, {Bearer(kAlpha), "X-Tenant: beta"});

		EXPECT_EQ(200, r.status) << c.path << r.body;
		EXPECT_EQ(ExpectedStream(c.path, 12), r.body);
		auto seen = TeamsSeen(c.path);
		EXPECT_GE(seen.size(), 2u) << c.path << ": no repeat";
		EXPECT_EQ(seen.size(), seen.count(c.team)) << c.path;
		/* A caller that resumes its stream itself. */
		std::string path = std::string(c.path) + "-resumed";
		r = SendWith(0, "POST", path, RequestBody(12), path.substr(1),
		    {Bearer(kBeta), "X-Tenant: alpha", "Last-Event-Id: 5"});
		EXPECT_EQ(200, r.status);
		seen = TeamsSeen(path);
		EXPECT_GE(seen.size(), 1u);
		EXPECT_EQ(seen.size(), seen.count("beta")) << path;
		for (size_t w = 0; w < 2; w++)
			InjectFault(w, "{}");
	}
}

/* Guards against items that run for a team or with a key that their
 * submission's text names. */
TEST_F(Teams, ItemsRunForTheTeamOfTheirJob)
{
	const struct {
		const char *job;
		size_t body_bytes;
	} cases[] = {{"small", 0}, {"large", 60000}};

	Start(2, 2);
	for (const auto &c : cases) {
		std::string body =
		    RequestBody(2) + std::string(c.body_bytes, ' ');
		std::string doc = JobBody(c.job, 2, body);
		const std::string model = "\"X-Model\":\"m\"";

		for (size_t at = 0;
		     (at = doc.find(model, at)) != std::string::npos;)
			doc.replace(at, model.size(),
			    R"("authorization":"Bearer sk-beta-1",)"
			    R"("X-Tenant":"beta","\u0058-tenant":"gamma")");
		EXPECT_EQ(202,
		    As(kAlpha, 0, "POST", std::string("/b/") + c.job, doc,
			c.job)
			.status);
		ASSERT_TRUE(
		    Eventually([&] { return HasResults(1, c.job, 2); }));
		for (int i = 0; i < 2; i++) {
			auto seen = TeamsSeen(
			    std::string("/b/") + c.job + std::to_string(i));

			EXPECT_GE(seen.size(), 1u);
			EXPECT_EQ(seen.size(), seen.count("alpha")) << c.job;
		}
	}
}

TEST_F(Teams, AnotherTeamsJobDoesNotExist)
{
	const struct {
		const char *method;
		const char *path;
		long status;
	} calls[] = {
	    {"GET", "/api/lots/j1", 200},
	    {"GET", "/api/items/j1?id=it1", 200},
	    {"POST", "/b/j1", 202},
	    {"POST", "/l/j1", 202},
	    {"DELETE", "/api/lots/j1", 200},
	};
	std::string doc = JobBody("it", 2, RequestBody(200, 50));

	Start(1, 2);
	EXPECT_EQ(202, As(kAlpha, 0, "POST", "/b/j1", doc, "j1").status);
	Reply unknown = As(kBeta, 0, "GET", "/api/lots/none");
	EXPECT_EQ(404, unknown.status);
	for (const auto &c : calls)
		for (size_t i = 0; i < 2; i++) {
			bool is_post = c.method == std::string("POST");
			const std::string &body = is_post ? doc : "";

			Reply r = As(kBeta, i, c.method, c.path, body, "j1");
			EXPECT_EQ(is_post ? 409 : 404, r.status)
			    << c.method << c.path << r.body;
			EXPECT_TRUE(is_post || r.body == unknown.body)
			    << r.body;
			EXPECT_EQ(std::string::npos, r.body.find("alpha"));
			EXPECT_EQ(401,
			    As("", i, c.method, c.path, body, "j1").status);
			EXPECT_EQ(401,
			    As(kUnknown, i, c.method, c.path, body, "j1")
				.status);
		}
	EXPECT_FALSE(daemons[0]->Count("\"name\":\"job_cancelled\"") > 0);
	for (const auto &c : calls)
		for (size_t i = 0; i < 2; i++)
			EXPECT_EQ(c.status,
			    As(kAlphaToo, i, c.method, c.path,
				c.method == std::string("POST") ? doc : "",
				"j1")
				.status)
			    << c.method << c.path << i;
	/* beta's own submission with an id of its own. */
	EXPECT_EQ(202,
	    As(kBeta, 1, "POST", "/b/j2", JobBody("jt", 1, RequestBody(1)),
		"j2")
		.status);
}

TEST_F(Teams, AnAddedKeyIsKnownAndARemovedOneIsNot)
{
	Start(1, 2);
	teams = R"(,"tenants":[{"name":"alpha","api_keys":["sk-alpha-3"]},
	    {"name":"gamma","api_keys":["sk-beta-1"]}])";
	Configure(2, kRoutes);
	key = "sk-alpha-3";
	for (size_t i = 0; i < 2; i++) {
		std::string path = "/q/g" + std::to_string(i);

		ASSERT_TRUE(
		    daemons[i]->WaitLine("\"version\":\"2\",\"from\":\"1\""));
		EXPECT_EQ(200,
		    As("sk-alpha-3", i, "POST", "/q/1", RequestBody(1), "a")
			.status);
		EXPECT_EQ(401,
		    As(kAlpha, i, "POST", "/q/1", RequestBody(1), "b").status);
		EXPECT_EQ(200,
		    As(kBeta, i, "POST", path, RequestBody(1), "c").status);
		EXPECT_EQ(std::multiset<std::string>{"gamma"}, TeamsSeen(path));
	}
}

/* Guards against a final 401 for a key that the next version may have, and
 * against documents that peers cannot use. */
TEST_F(Teams, ADaemonThatCannotReadTheStoreKnowsTheKeysOfItsPeers)
{
	Start(1, 2);
	daemons[1]->Signal(SIGKILL);
	daemons[1]->Wait();
	PostToStore("/fault", "{\"turned_away\":\"d1\"}");
	StartDaemon(1);
	ASSERT_TRUE(Eventually([&] {
		return Call(1, "/q/1", "a", 1).status == 200;
	})) << daemons[1]->Output();
	EXPECT_EQ(
	    200, As(kBeta, 1, "POST", "/q/2", RequestBody(1), "b").status);
	Reply r = As(kUnknown, 1, "POST", "/q/3", RequestBody(1), "c");
	EXPECT_EQ(503, r.status) << r.body;
	EXPECT_TRUE(r.headers.count("retry-after"));
	EXPECT_EQ(401, As("", 1, "POST", "/q/3", RequestBody(1), "d").status);
	EXPECT_EQ(
	    401, As(kUnknown, 0, "POST", "/q/3", RequestBody(1), "e").status);
	/* A new key reaches it through its peer. */
	teams = R"(,"tenants":[{"name":"alpha","api_keys":["sk-alpha-3"]}])";
	Configure(2, kRoutes);
	EXPECT_TRUE(Eventually([&] {
		long status =
		    As("sk-alpha-3", 1, "POST", "/q/4", RequestBody(1), "f")
			.status;

		EXPECT_NE(401, status);
		return status == 200;
	}));
}

TEST_F(Teams, WithoutAConfigurationNobodyIsTurnedAwayForGood)
{
	const Headers cases[] = {{}, {Bearer(kAlpha)}, {Bearer(kUnknown)},
	    {"Authorization: Basic x"}, {Bearer(kAlpha), Bearer(kBeta)}};

	AddWorker();
	AddDaemon();
	for (const auto &headers : cases)
		for (const char *path : {"/q/1", "/p/1", "/api/lots/j1"}) {
			Reply r = SendWith(0, "GET", path, "", "a", headers);

			EXPECT_EQ(503, r.status) << path;
			EXPECT_TRUE(r.headers.count("retry-after")) << path;
		}
}

TEST_F(Teams, ABadConfigurationIsNotQuotedInTheLog)
{
	Start(1, 1);
	PutRow(
	    "op", "config", "{\"version\":9,\"tenants\":[\"sk-alpha-1\" x]}");
	ASSERT_TRUE(daemons[0]->WaitLine("\"name\":\"row_unreadable\""));
	PutRow("op", "config",
	    R"({"version":9,"routes":[],"tenants":{"sk-alpha-1":1}})");
	ASSERT_TRUE(daemons[0]->WaitLine("\"name\":\"row_unreadable\"", 2));
	EXPECT_EQ(200, Call(0, "/q/1", "a", 1).status) << "the last good one";
}

/* Guards against a team that fills the route for all others. */
TEST_F(Teams, WaitingTokensAreCountedForEachTeam)
{
	auto submit = [&](const char *caller_key, size_t daemon,
			  const std::string &id, int items) {
		return As(caller_key, daemon, "POST", "/l/" + id,
		    JobBody(id + "-", items, RequestBody(400, 20)), id)
		    .status;
	};

	Start(1, 2);
	EXPECT_EQ(202, submit(kAlpha, 0, "a", 10)) << "90 of 100 tokens";
	EXPECT_EQ(429, submit(kAlpha, 1, "b", 2));
	EXPECT_EQ(429, submit(kAlphaToo, 0, "c", 2)) << "the team's other key";
	EXPECT_EQ(202, submit(kBeta, 1, "d", 10));
	EXPECT_EQ(429, submit(kBeta, 0, "e", 2));
	EXPECT_EQ(202, submit(kAlpha, 1, "a", 10)) << "accepted before";
	EXPECT_EQ(409, submit(kBeta, 0, "a", 10)) << "refused, and not beta's";
	EXPECT_EQ(200, As(kAlpha, 1, "DELETE", "/api/lots/a").status);
	EXPECT_TRUE(
	    Eventually([&] { return submit(kAlpha, 1, "f", 10) == 202; }));
	EXPECT_EQ(429, submit(kBeta, 0, "g", 2)) << "beta's still wait";
	EXPECT_EQ(0, CountRuns("b-0") + CountRuns("e-0"));
}

struct TeamsForward : Teams {
	void
	TurnAway(size_t i)
	{
		PostToStore("/fault",
		    "{\"turned_away\":\"d" + std::to_string(i) + "\"}");
		ASSERT_TRUE(daemons[i]->WaitLine("\"name\":\"store_down\""));
	}
};

TEST_F(TeamsForward, ForwardedCallsActForTheTeamOfTheCaller)
{
	std::string doc = JobBody("it", 2, RequestBody(2));

	Start(1, 2);
	TurnAway(0);
	EXPECT_EQ(202, As(kAlpha, 0, "POST", "/b/j1", doc, "j1").status);
	ASSERT_TRUE(Eventually([&] { return HasResults(1, "j1", 2); }));
	EXPECT_EQ(std::multiset<std::string>{"alpha"}, TeamsSeen("/b/it0"));
	EXPECT_EQ(404, As(kBeta, 0, "GET", "/api/lots/j1").status);
	EXPECT_EQ(404, As(kBeta, 0, "DELETE", "/api/lots/j1").status);
	EXPECT_EQ(409, As(kBeta, 0, "POST", "/b/j1", doc, "j1").status);
	EXPECT_EQ(401, As("", 0, "GET", "/api/lots/j1").status);
	EXPECT_EQ(200, As(kAlphaToo, 0, "GET", "/api/lots/j1").status);
	EXPECT_EQ(200, As(kAlphaToo, 0, "DELETE", "/api/lots/j1").status);
}

/* Guards against a caller that acts for a team without its key. */
TEST_F(TeamsForward, AForgedForwardIsACallersOwnRequest)
{
	const std::string hex(64, 'a');
	const Headers forged = {"Savoryflow-Forwarded: 0011223344556677",
	    "Savoryflow-Forwarded-Team: 1 " + hex + " alpha"};
	const Headers other_version = {"Savoryflow-Forwarded: 0011223344556677",
	    "Savoryflow-Forwarded-Team: 2 " + hex + " alpha"};
	const Headers only_id = {"Savoryflow-Forwarded: 0011223344556677"};
	struct {
		const char *name;
		Headers headers;
		const char *caller_key;
		long status;
	} cases[] = {
	    {"forged", forged, "", 401},
	    {"forged, unknown key", forged, kUnknown, 401},
	    {"forged, key of another team", forged, kBeta, 404},
	    {"forged, key", forged, kAlpha, 200},
	    {"id", only_id, "", 401},
	    {"id, key", only_id, kAlpha, 200},
	    {"id, key of another team", only_id, kBeta, 404},
	    {"other version", other_version, "", 503},
	    {"other version, key", other_version, kAlpha, 200},
	    {"other version, key of another team", other_version, kBeta, 404},
	};
	std::string doc = JobBody("it", 1, RequestBody(2));

	Start(1, 2);
	EXPECT_EQ(202, As(kAlpha, 0, "POST", "/b/j1", doc, "j1").status);
	ASSERT_TRUE(Eventually([&] { return HasResults(1, "j1", 1); }));
	/* The second time, the daemon has to forward what it lets in. */
	for (bool is_away : {false, true}) {
		if (is_away)
			TurnAway(0);
		for (const auto &c : cases) {
			Headers headers = c.headers;

			if (*c.caller_key != '\0')
				headers.push_back(Bearer(c.caller_key));
			Reply r = SendWith(
			    0, "GET", "/api/lots/j1", "", "r", headers);
			/* Away from the store, it may lack a version. */
			long status = is_away && c.caller_key == kUnknown
			    ? 503
			    : c.status;

			EXPECT_EQ(status, r.status)
			    << c.name << is_away << ": " << r.status << r.body;
		}
	}
}

/* Guards against a key in a message to a peer, and against a peer's refusal
 * of a caller whom this daemon has identified. */
TEST_F(TeamsForward, APeerGetsAProofInPlaceOfTheKey)
{
	std::mutex lock;
	std::string seen;
	std::atomic<int> status{200};
	CopyingServer peer([&](const std::string &request) {
		std::string field = "Savoryflow-Forwarded: ";
		size_t at = request.find(field);
		std::lock_guard<std::mutex> guard(lock);

		seen += request;
		return "HTTP/1.1 " + std::to_string(status.load()) +
		    " Status\r\n" +
		    request.substr(at, request.find("\r\n", at) + 2 - at) +
		    "Content-Length: 2\r\n\r\n{}";
	});
	std::string row = "{\"front\":\"" + peer.Address() +
	    "\",\"region\":\"r\",\"data_center\":\"dc2\",\"session\":\"s1\","
	    "\"cpu\":1000,\"beat\":1,\"period_us\":30000000}";
	std::string doc = JobBody("it", 1, RequestBody(2));
	const std::string model = "\"X-Model\":\"m\"";

	doc.replace(doc.find(model), model.size(),
	    R"("Authorization":"Bearer sk-beta-1")");
	Start(1, 1);
	PutRow("daemon", "127.0.0.1:1", row.c_str());
	ASSERT_TRUE(daemons[0]->WaitLine(
	    "\"name\":\"member_up\",\"daemon\":\"d0\",\"member\":"
	    "\"127.0.0.1:1\""));
	TurnAway(0);
	EXPECT_EQ(200,
	    SendWith(0, "GET", "/api/lots/j1", "", "r",
		{Bearer(kAlpha), "X-Tenant: beta"})
		.status);
	status = 202;
	EXPECT_EQ(202, As(kAlpha, 0, "POST", "/b/j1", doc, "j1").status);
	/* What a peer with another version or without it says. */
	for (int s : {401, 503}) {
		status = s;
		EXPECT_EQ(503, As(kAlpha, 0, "GET", "/api/lots/j1").status)
		    << s;
		EXPECT_EQ(503, As(kAlpha, 0, "POST", "/b/j2", doc, "j2").status)
		    << s;
	}
	std::lock_guard<std::mutex> guard(lock);
	EXPECT_EQ(std::string::npos, seen.find("sk-")) << seen;
	EXPECT_EQ(std::string::npos, seen.find("Authorization")) << seen;
	EXPECT_EQ(std::string::npos, seen.find("X-Tenant")) << seen;
	EXPECT_NE(
	    std::string::npos, seen.find("Savoryflow-Forwarded-Team: 1 "));
	EXPECT_NE(std::string::npos, seen.find(" alpha\r\n"));
}

} // namespace

// Teams and keys with real processes: a request that runs for another team than
// that of its key, or a key that leaves its daemon.
#include "functional/teams_fixture.h"

namespace
{

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

/* Guards against items that lose their team with their daemon, and against a
 * removed key that ends a job. */
TEST_F(Teams, AJobOutlivesItsDaemonAndItsKeyWithItsTeam)
{
	std::string doc = JobBody("it", 2, RequestBody(100, 30));

	Start(2, 2);
	EXPECT_EQ(202, As(kAlpha, 0, "POST", "/b/j1", doc, "j1").status);
	ASSERT_TRUE(Eventually([&] { return CountRuns("it0") > 0; }));
	daemons[0]->Signal(SIGKILL);
	teams = R"(,"tenants":[{"name":"alpha","api_keys":["sk-alpha-3"]}])";
	Configure(2, kTeamRoutes);
	ASSERT_TRUE(daemons[1]->WaitLine("\"version\":\"2\",\"from\":\"1\""));
	key = "sk-alpha-3";
	ASSERT_TRUE(Eventually([&] { return HasResults(1, "j1", 2); }));
	EXPECT_EQ(401, As(kAlpha, 1, "GET", "/api/lots/j1").status);
	for (const char *path : {"/b/it0", "/b/it1"}) {
		auto seen = TeamsSeen(path);

		EXPECT_GE(seen.size(), 2u) << "not taken over";
		EXPECT_EQ(seen.size(), seen.count("alpha")) << path;
	}
}

/* Guards against a team, or a peer, that a public route asks for. */
TEST_F(Teams, AJobOfAPublicRouteNeedsNoTeam)
{
	std::string doc = JobBody("it", 1, RequestBody(2));

	Start(1, 2);
	EXPECT_EQ(202, As("", 1, "POST", "/o/j1", doc, "j1").status);
	EXPECT_EQ(202, As(kUnknown, 1, "POST", "/o/j1", doc, "j1").status);
	EXPECT_EQ(409, As(kAlpha, 1, "POST", "/o/j1", doc, "j1").status);
	EXPECT_EQ(404, As(kAlpha, 1, "GET", "/api/lots/j1").status);
	ASSERT_TRUE(Eventually([&] { return !TeamsSeen("/b/it0").empty(); }));
	EXPECT_EQ(std::multiset<std::string>{""}, TeamsSeen("/b/it0"));
	PostToStore("/fault", "{\"turned_away\":\"d0\"}");
	ASSERT_TRUE(daemons[0]->WaitLine("\"name\":\"store_down\""));
	EXPECT_EQ(202, As("", 0, "POST", "/o/j1", doc, "j1").status);
	EXPECT_EQ(202, As("", 0, "POST", "/o/j2", doc, "j2").status);
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
	Configure(2, kTeamRoutes);
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
	Configure(2, kTeamRoutes);
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

} // namespace

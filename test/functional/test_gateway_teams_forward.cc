// Calls about jobs of teams that a peer answers: a caller that passes for a
// peer would act for a team without its key.
#include <atomic>
#include <mutex>

#include "functional/teams_fixture.h"
#include "platform/late_copies.h"

namespace
{

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

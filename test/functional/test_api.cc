#include <gtest/gtest.h>
#include <signal.h>

#include "functional/harness.h"

namespace
{

const char *const kStudentAuth = "Authorization: Bearer students-key";

TEST(Api, BadInputGetsATypedErrorAndTheDaemonKeepsServing)
{
	FleetOptions o;

	o.daemons = 1;
	o.flags = {"--body-max-bytes=2000", "--job-max-items=20"};
	Fleet f(o);
	std::string chat = "/v1/chat/completions";
	std::string good = ChatBody("q", false);
	std::string lines = ItemLine("j", 0) + ItemLine("j", 1);
	std::string too_many;
	for (int i = 0; i < 21; i++)
		too_many += ItemLine("m", i);
	const struct {
		const char *method;
		std::string path;
		std::string body;
		Headers headers;
		long status;
		const char *type;
	} cases[] = {
	    {"POST", chat, good, {}, 401, "unauthorized"},
	    {"POST", chat, good, {"Authorization: Bearer nope"}, 401,
		"unauthorized"},
	    {"POST", chat, good, {"Authorization: Basic x"}, 401,
		"unauthorized"},
	    {"GET", chat, "", {kStudentAuth}, 405, "method_not_allowed"},
	    {"GET", "/nothing", "", {kStudentAuth}, 404, "not_found"},
	    {"POST", chat, "{", {kStudentAuth}, 400, "malformed_json"},
	    {"POST", chat, "[]", {kStudentAuth}, 400, "malformed_json"},
	    {"POST", chat, "{\"model\":\"assistant\"}", {kStudentAuth}, 400,
		"bad_request"},
	    {"POST", chat,
		"{\"model\":\"x\",\"messages\":[{\"role\":\"user\","
		"\"content\":\"q\"}]}",
		{kStudentAuth}, 404, "unknown_service"},
	    {"POST", chat, std::string(3000, ' '), {kStudentAuth}, 413,
		"body_too_large"},
	    {"POST", "/v1/call/assistant/x", "", {kStudentAuth}, 404,
		"unknown_service"},
	    {"GET", "/v1/config", "", {kStudentAuth}, 403, "forbidden"},
	    {"POST", "/v1/batches?service=none", lines, {kStudentAuth}, 404,
		"unknown_service"},
	    {"POST", "/v1/batches?service=assistant", "", {kStudentAuth}, 400,
		"bad_item"},
	    {"POST", "/v1/batches?service=assistant",
		lines + "{\"id\":1}\n" + lines, {kStudentAuth}, 400,
		"bad_item"},
	    {"POST", "/v1/batches?service=assistant", too_many, {kStudentAuth},
		413, "body_too_large"},
	    {"POST", "/v1/batches?service=assistant", lines,
		{kStudentAuth, "Savoryflow-Job-Id: a/b"}, 400, "bad_request"},
	    {"GET", "/v1/batches/none", "", {kStudentAuth}, 404, "not_found"},
	};

	for (const auto &c : cases) {
		Reply r =
		    Http(c.method, f.DaemonUrl(0) + c.path, c.body, c.headers);

		EXPECT_EQ(c.status, r.status) << c.path << ": " << r.body;
		EXPECT_NE(std::string::npos,
		    r.body.find(std::string("\"type\":\"") + c.type + "\""))
		    << c.path << ": " << r.body;
		EXPECT_EQ("no", r.headers["savoryflow-ran"]) << c.path;
	}
	Reply bad =
	    Http("POST", f.DaemonUrl(0) + "/v1/batches?service=assistant",
		lines + "{\"id\":1}\n", {kStudentAuth});
	EXPECT_NE(std::string::npos, bad.body.find("line 3")) << bad.body;
	EXPECT_EQ(200, f.Chat(0, "still there", true).status);
	f.ExpectHistoryValid();
}

TEST(Api, AnotherTeamsJobIsNotFound)
{
	FleetOptions o;

	o.daemons = 1;
	Fleet f(o);
	EXPECT_EQ(202, f.SubmitJob(0, "mine", 3).status);
	for (const char *path : {"", "/results"})
		EXPECT_EQ(404,
		    Http("GET", f.DaemonUrl(0) + "/v1/batches/mine" + path, "",
			{kStudentAuth})
			.status);
	EXPECT_EQ(404,
	    Http("POST", f.DaemonUrl(0) + "/v1/batches/mine/cancel", "",
		{kStudentAuth})
		.status);
}

TEST(Api, LargeJobIsAcceptedInParts)
{
	FleetOptions o;

	o.daemons = 1;
	o.engine_speed = "500";
	o.flags = {"--chunk-items=500", "--batch-inflight-items=500"};
	o.slots = 500;
	Fleet f(o);
	EXPECT_EQ(202, f.SubmitJob(0, "large", 12000).status);
	EXPECT_EQ("running", f.JobState(0, "large"));
	EXPECT_EQ(200,
	    Http("POST", f.DaemonUrl(0) + "/v1/batches/large/cancel", "",
		{"Authorization: Bearer studios-key"})
		.status);
	EXPECT_EQ("cancelled", f.JobState(0, "large"));
}

TEST(Api, ModelOrderCarriesItsFenceToTheTarget)
{
	FleetOptions o;

	o.daemons = 2;
	Fleet f(o);
	auto load_report = [&] {
		return Http("GET", f.EngineUrl(0) + "/load").body;
	};

	EXPECT_TRUE(Eventually([&] {
		return load_report().find("\"version\":\"v1\"") !=
		    std::string::npos;
	}));
	EXPECT_EQ(200, f.SubmitConfig(1, 2, 1).status);
	EXPECT_TRUE(Eventually([&] {
		return load_report().find("\"version\":\"v2\"") !=
		    std::string::npos;
	}));
	/* A target that checks fences refuses an order with an older one. */
	EXPECT_EQ(409,
	    Http("POST", f.EngineUrl(0) + "/order",
		"{\"fence\":1,\"model\":\"chat\",\"version\":\"v1\"}")
		.status);
}

TEST(Api, LateOrderToATargetThatIgnoresFencesIsUndone)
{
	FleetOptions o;

	o.fencing = false;
	Fleet f(o);
	auto has_version = [&](const char *version) {
		return Http("GET", f.EngineUrl(0) + "/load")
			   .body.find(version) != std::string::npos;
	};

	EXPECT_EQ(200, f.SubmitConfig(0, 2, 1).status);
	EXPECT_TRUE(Eventually([&] { return has_version("\"v2\""); }));
	/* They would undo the order before it is seen. */
	for (auto &daemon : f.daemons)
		daemon->Signal(SIGSTOP);
	EXPECT_EQ(200,
	    Http("POST", f.EngineUrl(0) + "/order",
		"{\"fence\":1,\"model\":\"chat\",\"version\":\"v1\"}")
		.status);
	EXPECT_TRUE(Eventually([&] { return has_version("\"v1\""); }));
	for (auto &daemon : f.daemons)
		daemon->Signal(SIGCONT);
	EXPECT_TRUE(Eventually([&] { return has_version("\"v2\""); }));
}

} // namespace

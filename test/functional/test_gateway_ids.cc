/* Ids of any length that fits into a request's head. */
#include <thread>

#include "functional/gateway_fixture.h"

namespace
{

/* Length of the ids that were cut before, without their last bytes. */
const size_t kSharedBytes = 127;

struct GatewayIds : Gateway {
	static std::string
	Id(size_t len, const std::string &end)
	{
		return std::string(len - end.size(), 'i') + end;
	}

	/* A job of one item; its path is short. */
	static std::string
	JobOf(const std::string &item)
	{
		return "{\"requests\":[{\"id\":\"" + item +
		    "\",\"target_path\":\"/b/p\",\"headers\":{\"X-Model\":"
		    "\"m\"},\"body\":\"eyJldmVudHMiOjJ9\",\"tokens\":9}]}";
	}

	long
	Submit(size_t daemon, const std::string &job, const std::string &item)
	{
		return Send(daemon, "POST", "/b/x", JobOf(item), job).status;
	}

	/* Starts a worker of a service and lists it. */
	void
	PlayWorker(const std::string &id, const std::string &service)
	{
		int port = FreePort();

		workers.emplace_back(new Process({Env("SF_STANDIN"), "worker",
		    "--id=" + id, "--port=" + std::to_string(port)}));
		ASSERT_TRUE(workers.back()->WaitLine("listening"));
		ListWorker(id, service, LoopbackAddress(port));
	}

	/* Id of the only result of a job; empty if it has none. */
	std::string
	OnlyItem(size_t daemon, const std::string &job)
	{
		json_t *doc = FetchResults(daemon, job);
		const char *id = json_string_value(json_object_get(
		    json_array_get(json_object_get(doc, "results"), 0), "id"));
		std::string text = id != nullptr ? id : "";

		json_decref(doc);
		return text;
	}
};

/* Guards against ids of over 127 bytes that were cut on their way to workers:
 * requests ran under ids that no caller had sent. */
TEST_F(GatewayIds, RequestsRunUnderTheIdsThatWereSent)
{
	StartReadyFleet(1, 1);
	for (size_t len : {8, 16, 126, 127, 128, 160, 1000, 8000, 8192}) {
		for (const char *path : {"/q/a", "/f/a"}) {
			std::string id = Id(len, path);
			Reply r = Call(0, path, id, 2);

			EXPECT_EQ(200, r.status) << len;
			EXPECT_EQ(id, r.headers["x-attempt-id"]) << len;
			EXPECT_EQ(1, CountRuns(id)) << len;
		}
	}
}

/* Guards against ids that share their first 127 bytes and were taken for each
 * other. */
TEST_F(GatewayIds, RequestsWithTheSameBeginningHaveTheirOwnAnswers)
{
	const int count = 12;
	Reply replies[count];
	std::vector<std::thread> callers;

	StartReadyFleet(4, 1);
	for (int i = 0; i < count; i++)
		callers.emplace_back([&, i] {
			replies[i] = Call(0, "/q/" + std::to_string(i),
			    Id(kSharedBytes, "") + std::to_string(i), 3, 20);
		});
	for (auto &caller : callers)
		caller.join();
	for (int i = 0; i < count; i++) {
		std::string path = "/q/" + std::to_string(i);

		EXPECT_EQ(200, replies[i].status);
		EXPECT_EQ(Id(kSharedBytes, "") + std::to_string(i),
		    replies[i].headers["x-attempt-id"]);
		EXPECT_EQ(ExpectedStream(path, 3), replies[i].body);
	}
}

/* Guards against a late copy of an answer on a kept connection that is taken
 * for the answer of a request whose id begins like the first one's. */
TEST_F(GatewayIds, ALateCopyIsNotTheAnswerOfAnIdWithTheSameBeginning)
{
	StartReadyFleet(1, 1);
	for (const char *form : {"", ",\"chunked\":true"}) {
		std::string shared = Id(kSharedBytes, form) + "-";

		InjectFault(0,
		    std::string("{\"surplus\":{\"count\":1,\"delay_ms\":200") +
			form + "}}");
		EXPECT_EQ(200, Call(0, "/q/first", shared + "1", 2).status);
		Reply r = Call(0, "/q/second", shared + "2", 9, 50);

		EXPECT_EQ(200, r.status) << form << r.body;
		EXPECT_EQ(shared + "2", r.headers["x-attempt-id"]) << form;
		EXPECT_EQ(ExpectedStream("/q/second", 9), r.body) << form;
	}
}

/* Guards against a 404 for the body of an item whose id has 127 bytes or more,
 * and against jobs whose ids are too long for a row of the store. */
TEST_F(GatewayIds, JobsAndItemsOfLongIdsAreKept)
{
	int n = 0;

	StartReadyFleet(1, 3);
	SetWorkerState(0, "draining");
	for (size_t len : {16, 126, 127, 160, 200, 1000, 7000}) {
		std::string job = Id(len, "j" + std::to_string(n));
		std::string item = Id(len, "t" + std::to_string(n++));
		std::string uri = "/api/items/" + job + "?id=" + item;

		ASSERT_EQ(202, Submit(0, job, item)) << len;
		EXPECT_EQ(202, Submit(1, job, item)) << len;
		for (size_t d = 0; d < daemons.size(); d++) {
			Reply r = Send(d, "GET", uri, "", "r");

			EXPECT_EQ(200, r.status) << len;
			EXPECT_EQ("{\"events\":2}", r.body) << len;
			EXPECT_EQ(
			    404, Send(d, "GET", uri + "x", "", "r").status)
			    << len;
		}
		SetWorkerState(0, "ready");
		for (size_t d = 0; d < daemons.size(); d++) {
			EXPECT_TRUE(Eventually([&] {
				return HasResults(d, job, 1);
			})) << len;
			EXPECT_EQ(item, OnlyItem(d, job)) << len;
		}
		EXPECT_EQ(1, CountRuns(item)) << len;
		SetWorkerState(0, "draining");
	}
}

/* Guards against two jobs that share their rows, also across a takeover. */
TEST_F(GatewayIds, JobsWithTheSameBeginningAreTwo)
{
	std::string shared = Id(1000, "");

	StartReadyFleet(1, 2);
	SetWorkerState(0, "draining");
	ASSERT_EQ(202, Submit(0, shared + "1", "one"));
	ASSERT_EQ(202, Submit(0, shared + "2", "two"));
	daemons[0]->Signal(SIGKILL);
	daemons[0]->Wait();
	SetWorkerState(0, "ready");
	EXPECT_TRUE(Eventually([&] { return HasResults(1, shared + "1", 1); }));
	EXPECT_TRUE(Eventually([&] { return HasResults(1, shared + "2", 1); }));
	EXPECT_EQ("one", OnlyItem(1, shared + "1"));
	EXPECT_EQ("two", OnlyItem(1, shared + "2"));
	EXPECT_EQ(
	    404, Send(1, "GET", "/api/lots/" + shared + "3", "", "r").status);
	EXPECT_EQ(200,
	    Send(1, "DELETE", "/api/lots/" + shared + "1", "", "r").status);
}

/* Guards against names of targets, services and zones that are cut: a request
 * then goes to the service, or loses the target, of the name's beginning. */
TEST_F(GatewayIds, LongNamesOfServicesAndTargetsAreToldApart)
{
	const std::string service(95, 's'), target(95, 't');
	std::string routes;

	for (const char *end : {"", "1"})
		routes += std::string(",{\"name\":\"n") + end +
		    "\",\"host\":\"a.example\",\"path_prefix\":\"/n" + end +
		    "/\",\"kind\":\"idempotent\",\"timeout_ms\":5000,"
		    "\"target_latency_ms\":400,\"max_attempts\":1,"
		    "\"service\":\"" +
		    service + end + "\"}";
	StartReadyFleet(2, 1);
	Configure(2, routes);
	PlayWorker(target, service);
	PlayWorker(target + "1", service + "1");
	ASSERT_TRUE(Eventually(
	    [&] { return Call(0, "/n1/a", "w1", 1).status == 200; }));
	ASSERT_TRUE(
	    Eventually([&] { return Call(0, "/n/a", "w2", 1).status == 200; }));
	/* The row of the longer name goes; the other target stays. */
	PutRow("servers", (target + "1").c_str(), nullptr);
	ASSERT_TRUE(daemons[0]->WaitLine("\"name\":\"target_gone\""));
	for (int i = 0; i < 20; i++)
		EXPECT_EQ(
		    200, Call(0, "/n/b", "b" + std::to_string(i), 1).status);
}

/* What cannot be sent to a target, or whose answer could not be passed on, is
 * refused before anything runs or is stored. */
TEST_F(GatewayIds, IdsOverTheLimitAreRefusedBeforeTheyRun)
{
	std::string field = ",\"X-A\":\"" + std::string(17000, 'a') + "\"}";
	std::string long_field = JobOf("t");

	long_field.replace(
	    long_field.find("}", long_field.find("X-Model")), 1, field);
	const struct {
		const char *name;
		std::string id, path, body, mentions;
	} cases[] = {
	    {"attempt", Id(8193, "t"), "/q/a", "{}", "8193 bytes"},
	    {"job", Id(8193, "t"), "/b/a", JobOf("t"), "8193 bytes"},
	    {"item", "t", "/b/a", JobOf(Id(8193, "t")), "item 0"},
	    {"fields of an item", "t", "/b/a", long_field, "item 0"},
	};

	StartReadyFleet(1, 1);
	for (const auto &c : cases) {
		Reply r = Send(0, "POST", c.path, c.body, c.id);

		EXPECT_EQ(400, r.status) << c.name;
		EXPECT_EQ("no", r.headers["savoryflow-ran"]) << c.name;
		EXPECT_NE(std::string::npos, r.body.find(c.mentions))
		    << c.name << r.body;
		EXPECT_EQ(0, CountRuns(c.id)) << c.name;
	}
	EXPECT_EQ(404, Send(0, "GET", "/api/lots/t", "", "r").status);
}

} // namespace

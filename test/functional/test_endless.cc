/* Servers that send bytes without end: heads, bodies and streams. */
#include <thread>

#include "functional/gateway_fixture.h"

namespace
{

/* Growth of a daemon's peak memory over a whole test, KiB. */
const long kGrowthMaxKib = 24 * 1024;
/* The same for the lists that are read from the store at once, each with the
 * size of the largest object. */
const long kStoreGrowthMaxKib = 64 * 1024;
/* The time limit of the routes below, and a generous guard for a busy
 * machine. */
const int64_t kTimeLimitUs = 3000000;
const int64_t kGuardUs = 5000000;
const int kEvents = 4;
const int kPaceMs = 20;
/* The endless server is one of two of equal rank: with this many at once, it
 * gets some. */
const int kCallsAtOnce = 4;

struct Case {
	const char *mode;
	bool is_slow;
};

struct Endless : Gateway {
	std::unique_ptr<Process> server;
	std::string server_id;
	int server_count = 0;
	long peak_kib = 0;

	void
	StartSoundFleet(int daemon_count = 1)
	{
		StartReadyFleet(1, daemon_count);
		Configure(2,
		    Route("n", "idempotent", 3) +
			Route("o", "non_idempotent", 1) +
			Route("w", "streaming", 1));
		ASSERT_TRUE(Eventually(
		    [&] { return Call(0, "/n/warm", "w2", 1).status == 200; }));
		peak_kib = daemons[0]->PeakMemoryKib();
	}

	static std::string
	Route(const std::string &name, const std::string &kind, int attempts)
	{
		return ",{\"name\":\"" + name +
		    "\",\"host\":\"a.example\",\"path_prefix\":\"/" + name +
		    "/\",\"kind\":\"" + kind +
		    "\",\"timeout_ms\":3000,\"target_latency_ms\":400,"
		    "\"service\":\"llm\",\"target_gap_ms\":300,"
		    "\"max_attempts\":" +
		    std::to_string(attempts) + "}";
	}

	int
	StartServer(const Case &c)
	{
		int port = FreePort();

		server.reset(new Process({Env("SF_STANDIN"), "endless",
		    "--port=" + std::to_string(port),
		    std::string("--mode=") + c.mode,
		    std::string("--slow=") + (c.is_slow ? "yes" : "no")}));
		EXPECT_TRUE(server->WaitLine("listening"));
		return port;
	}

	/* Lists an endless server beside the sound worker. */
	void
	ListServer(const Case &c)
	{
		int port = StartServer(c);

		server_id = "e-" + std::to_string(server_count++);
		std::string doc = "{\"service\":\"llm\",\"addr\":\"" +
		    LoopbackAddress(port) +
		    "\",\"zone\":\"dc1\",\"version\":\"v1\",\"slot_count\":4,"
		    "\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":1,"
		    "\"born\":1}";

		PutRow("servers", server_id, doc.c_str());
		ASSERT_TRUE(
		    daemons[0]->WaitLine("\"target\":\"" + server_id + "\""));
	}

	void
	RemoveServer()
	{
		PutRow("servers", server_id, nullptr);
		ASSERT_TRUE(daemons[0]->WaitLine(
		    "\"name\":\"target_gone\"", server_count));
	}

	static std::string
	WithoutComments(std::string body)
	{
		const std::string comment = ": filler\n\n";
		size_t pos;

		while ((pos = body.find(comment)) != std::string::npos)
			body.erase(pos, comment.size());
		return body;
	}

	/* Sends a call; checks that it ends in time, and with the whole answer
	 * or, if it ran at the endless server and must not run again, with an
	 * error. */
	void
	CallOnce(const std::string &path, bool may_repeat)
	{
		int64_t from_us = NowUs();
		Reply r = Http("POST",
		    "http://" + LoopbackAddress(front_ports[0]) + path,
		    RequestBody(kEvents, kPaceMs),
		    {"Host: a.example", "X-Attempt-Id: " + path},
		    (kTimeLimitUs + kGuardUs) / 1000000);

		EXPECT_LT(NowUs() - from_us, kTimeLimitUs + kGuardUs) << path;
		if (WithoutComments(r.body) == ExpectedStream(path, kEvents))
			return;
		EXPECT_FALSE(may_repeat) << path << " status " << r.status;
		EXPECT_NE(200, r.status) << path;
		EXPECT_TRUE(server->WaitLine("request " + path)) << path;
	}

	/* Sends calls at once, until the server has got one. */
	void
	CallServer(const Case &c, const std::string &route, bool may_repeat)
	{
		std::string prefix = "/" + route + "/" + c.mode +
		    (c.is_slow ? "-slow-" : "-fast-");
		int round = 0;

		EXPECT_TRUE(Eventually([&] {
			std::vector<std::thread> calls;

			round++;
			for (int i = 0; i < kCallsAtOnce; i++) {
				std::string path = prefix +
				    std::to_string(round) + "-" +
				    std::to_string(i);

				calls.emplace_back(
				    [=] { CallOnce(path, may_repeat); });
			}
			for (auto &call : calls)
				call.join();
			return server->Count("request " + prefix) > 0;
		})) << prefix;
	}

	/* Callers of another route while the server sends. */
	void
	ExpectOthersServed(const Case &c)
	{
		for (int i = 0; i < 5; i++) {
			std::string path =
			    std::string("/q/") + c.mode + std::to_string(i);
			Reply r = Call(0, path, path, kEvents);

			EXPECT_EQ(ExpectedStream(path, kEvents), r.body)
			    << c.mode << " beside others";
		}
	}

	void
	ExpectAllClosed(const Case &c)
	{
		EXPECT_TRUE(Eventually([&] {
			return server->Count("closed ") ==
			    server->Count("request ");
		})) << c.mode;
	}

	void
	ExpectBoundedMemory(const Case &c, long max_kib = kGrowthMaxKib)
	{
		EXPECT_LT(daemons[0]->PeakMemoryKib(), peak_kib + max_kib)
		    << c.mode << (c.is_slow ? " slow" : " fast");
	}

	void
	ExpectServedDespite(
	    const std::vector<Case> &cases, const char *repeating = "n")
	{
		StartSoundFleet();
		for (const auto &c : cases) {
			ListServer(c);
			CallServer(c, repeating, true);
			RemoveServer();
			ListServer(c);
			std::thread once([&] { CallServer(c, "o", false); });
			ExpectOthersServed(c);
			once.join();
			ExpectAllClosed(c);
			ExpectBoundedMemory(c);
			RemoveServer();
		}
	}
};

TEST_F(Endless, AHeadWithoutEndFailsOnlyItsAttempt)
{
	ExpectServedDespite({
	    {"head_lines", false},
	    {"head_lines", true},
	    {"lines_without_colon", false},
	    {"lines_without_colon", true},
	    {"header_line", false},
	    {"header_line", true},
	    {"garbage", false},
	    {"garbage", true},
	    {"status_line", false},
	    {"status_line", true},
	});
}

TEST_F(Endless, InterimHeadsWithoutEndFailOnlyTheirAttempt)
{
	ExpectServedDespite(
	    {{"interim_heads", false}, {"interim_heads", true}});
}

TEST_F(Endless, ABodyWithoutEndFailsOnlyItsAttempt)
{
	ExpectServedDespite({
	    {"body", false},
	    {"body", true},
	    {"chunks", false},
	    {"chunks", true},
	});
}

TEST_F(Endless, AChunkExtensionWithoutEndFailsOnlyItsAttempt)
{
	ExpectServedDespite({
	    {"chunk_extension", false},
	    {"chunk_extension", true},
	    {"stream_chunk_extension", false},
	    {"stream_chunk_extension", true},
	});
}

TEST_F(Endless, ATrailerWithoutEndFailsOnlyItsAttempt)
{
	ExpectServedDespite({{"trailer", false}, {"trailer", true}});
}

TEST_F(Endless, AnEventWithoutEndFailsOnlyItsAttempt)
{
	ExpectServedDespite({{"event", false}, {"event", true}});
}

TEST_F(Endless, EventsThatRepeatWithoutEndFailOnlyTheirAttempt)
{
	ExpectServedDespite({{"same_event", false}, {"same_event", true}}, "q");
}

TEST_F(Endless, CommentsWithoutEndFailOnlyTheirAttempt)
{
	ExpectServedDespite({{"comments", false}, {"comments", true}}, "q");
}

/* No caller can tell such a stream from a sound one. */
TEST_F(Endless, EventsWithoutEndEndWithinTheTimeLimit)
{
	const Case cases[] = {{"events", false}, {"events", true}};

	StartSoundFleet();
	for (const auto &c : cases) {
		ListServer(c);
		CallServer(c, "w", false);
		ExpectAllClosed(c);
		ExpectBoundedMemory(c);
		RemoveServer();
	}
}

TEST_F(Endless, AnItemsAnswerWithoutEndGoesOnElsewhere)
{
	const Case cases[] = {
	    {"body", false},
	    {"body", true},
	    {"event", false},
	    {"event", true},
	    {"same_event", false},
	    {"same_event", true},
	    {"comments", false},
	};
	const int items = 6;

	StartSoundFleet();
	for (const auto &c : cases) {
		std::string job =
		    std::string("job") + c.mode + (c.is_slow ? "slow" : "fast");

		ListServer(c);
		Send(0, "POST", "/b/" + job,
		    JobBody(job, items, RequestBody(kEvents)), job);
		EXPECT_TRUE(Eventually([&] {
			return HasResults(0, job, items);
		})) << job;
		json_t *doc = FetchResults(0, job);
		size_t i;
		json_t *result;

		json_array_foreach(json_object_get(doc, "results"), i, result)
		{
			std::string id =
			    json_string_value(json_object_get(result, "id"));
			std::string text;

			for (int n = 1; n <= kEvents; n++)
				text += (n > 1 ? "\n/b/" : "/b/") + id + "-" +
				    std::to_string(n);
			EXPECT_EQ(text,
			    json_string_value(
				json_object_get(result, "output_text")))
			    << job;
		}
		json_decref(doc);
		EXPECT_GT(server->Count("request "), 0) << job;
		ExpectAllClosed(c);
		ExpectBoundedMemory(c);
		RemoveServer();
	}
}

/* Each limit closes the connection by itself, long before the time limit of the
 * route, and is logged. */
TEST_F(Endless, EachLimitIsLogged)
{
	const struct {
		Case served;
		const char *limit;
	} cases[] = {
	    {{"head_lines", false}, "head_bytes"},
	    {{"interim_heads", false}, "head_bytes"},
	    {{"trailer", false}, "head_bytes"},
	    {{"body", false}, "body_bytes"},
	    {{"event", false}, "body_bytes"},
	    {{"chunk_extension", false}, "framing_bytes"},
	    {{"stream_chunk_extension", false}, "framing_bytes"},
	    {{"head_lines", true}, "head_time"},
	    {{"header_line", true}, "head_time"},
	    {{"status_line", true}, "head_time"},
	};

	StartSoundFleet();
	Configure(3,
	    R"(,{"name":"l","host":"a.example","path_prefix":"/l/",
	    "kind":"non_idempotent","timeout_ms":60000,
	    "target_latency_ms":400,"service":"llm","max_attempts":1})");
	ASSERT_TRUE(Eventually(
	    [&] { return Call(0, "/l/warm", "w3", 1).status == 200; }));
	for (const auto &c : cases) {
		std::string line = "\"limit\":\"" + std::string(c.limit);
		int before = daemons[0]->Count(line);

		ListServer(c.served);
		CallServer(c.served, "l", false);
		EXPECT_TRUE(daemons[0]->WaitLine(line, before + 1))
		    << c.served.mode;
		ExpectAllClosed(c.served);
		RemoveServer();
	}
}

/* Such events are not to be told from an answer: the item's text is bounded. */
TEST_F(Endless, AnItemsTextWithoutEndIsBounded)
{
	const Case c = {"events", false};

	StartSoundFleet();
	ListServer(c);
	Send(0, "POST", "/b/job", JobBody("job", 6, RequestBody(kEvents)),
	    "job");
	EXPECT_TRUE(server->WaitLine("closed ", 3));
	ExpectOthersServed(c);
	ExpectBoundedMemory(c);
}

/* The store's calls have a time limit; what they read within it must be
 * bounded as well. */
TEST_F(Endless, AStoresAnswerWithoutEndIsBounded)
{
	const Case cases[] = {
	    {"body", false},
	    {"chunks", false},
	    {"head_lines", false},
	    {"interim_heads", false},
	    {"trailer", false},
	    {"chunk_extension", false},
	};

	AddDaemon();
	peak_kib = daemons[0]->PeakMemoryKib();
	for (const auto &c : cases) {
		daemons[0].reset();
		store_port = StartServer(c);
		StartDaemon(0);
		EXPECT_TRUE(
		    daemons[0]->WaitLine("\"name\":\"daemon_started\""));
		EXPECT_TRUE(server->WaitLine("closed ", 8)) << c.mode;
		ExpectBoundedMemory(c, kStoreGrowthMaxKib);
		EXPECT_EQ(503, ReadyStatus(0)) << c.mode;
	}
}

/* The product's own API: an engine or a plain service without end. */
struct EndlessOwn : ::testing::Test {
	std::unique_ptr<Fleet> fleet;
	std::unique_ptr<Process> server;
	long peak_kib = 0;

	/* Starts a server without end at the address of an engine or service.
	 */
	void
	StartServer(const std::string &url, const Case &c)
	{
		std::string port = url.substr(url.rfind(':') + 1);

		peak_kib = fleet->daemons[0]->PeakMemoryKib();
		server.reset(new Process({Env("SF_STANDIN"), "endless",
		    "--port=" + port, std::string("--mode=") + c.mode,
		    std::string("--slow=") + (c.is_slow ? "yes" : "no")}));
		ASSERT_TRUE(server->WaitLine("listening"));
	}

	void
	ExpectBounded(const Case &c)
	{
		EXPECT_LT(fleet->daemons[0]->PeakMemoryKib(),
		    peak_kib + kGrowthMaxKib)
		    << c.mode << (c.is_slow ? " slow" : " fast");
		EXPECT_TRUE(server->WaitLine("closed ")) << c.mode;
		fleet->ExpectHistoryValid();
	}
};

TEST_F(EndlessOwn, AnEngineWithoutEndIsLeft)
{
	const Case cases[] = {
	    {"head_lines", false},
	    {"interim_heads", false},
	    {"trailer", false},
	    {"chunk_extension", false},
	    {"body", false},
	    {"body", true},
	    {"comments", false},
	    {"comments", true},
	};

	for (const auto &c : cases) {
		FleetOptions options;
		std::vector<std::thread> chats;

		options.engines = 2;
		options.daemons = 1;
		fleet.reset(new Fleet(options));
		fleet->engines[0].reset();
		StartServer(fleet->EngineUrl(0), c);
		EXPECT_EQ(202, fleet->SubmitJob(0, "job", 8).status);
		for (int i = 0; i < kCallsAtOnce; i++)
			chats.emplace_back([&, i] {
				Reply r = fleet->Chat(
				    0, "question " + std::to_string(i), true);

				EXPECT_EQ(200, r.status) << c.mode;
			});
		for (auto &chat : chats)
			chat.join();
		EXPECT_TRUE(fleet->WaitJob(0, "job"))
		    << c.mode << (c.is_slow ? " slow" : " fast");
		fleet->ReadResults(0, "job");
		EXPECT_TRUE(server->WaitLine("request /v1/chat")) << c.mode;
		ExpectBounded(c);
	}
}

/* Each report of a target's load must end, or their connections add up. */
TEST_F(EndlessOwn, LoadReportsWithoutEndDoNotAddUp)
{
	const Case c = {"body", true};
	FleetOptions options;

	options.engines = 2;
	options.daemons = 1;
	fleet.reset(new Fleet(options));
	fleet->engines[0].reset();
	StartServer(fleet->EngineUrl(0), c);
	EXPECT_TRUE(server->WaitLine("request /load", 30));
	EXPECT_TRUE(server->WaitLine("closed ", 10));
}

TEST_F(EndlessOwn, AServicesAnswerWithoutEndIsAnError)
{
	const Case cases[] = {
	    {"head_lines", false},
	    {"trailer", false},
	    {"chunk_extension", false},
	    {"body", false},
	    {"body", true},
	};

	for (const auto &c : cases) {
		FleetOptions options;

		options.daemons = 1;
		options.flags = {"--online-deadline-ms=4000"};
		fleet.reset(new Fleet(options));
		fleet->plain.reset();
		StartServer(fleet->PlainServiceUrl(), c);
		Reply r = fleet->CallBooking(0, "key");
		EXPECT_GE(r.status, 500) << c.mode;
		EXPECT_EQ("unknown", r.headers["savoryflow-ran"]) << c.mode;
		fleet->CallBooking(0, "key");
		EXPECT_EQ(1,
		    server->Count("request ") - server->Count("request /load"))
		    << c.mode << " ran once more";
		ExpectBounded(c);
	}
}

TEST_F(EndlessOwn, TheCommandLineReadsABoundedAnswer)
{
	const Case cases[] = {
	    {"head_lines", false}, {"trailer", false}, {"body", false}};

	for (const auto &c : cases) {
		int port = FreePort();

		server.reset(new Process({Env("SF_STANDIN"), "endless",
		    "--port=" + std::to_string(port),
		    std::string("--mode=") + c.mode}));
		ASSERT_TRUE(server->WaitLine("listening"));
		Process command({Env("SF_BIN"), "status",
		    "--url=http://" + LoopbackAddress(port)});
		EXPECT_TRUE(server->WaitLine("closed ")) << c.mode;
		EXPECT_GT(command.Wait(), 0) << c.mode;
	}
}

} // namespace

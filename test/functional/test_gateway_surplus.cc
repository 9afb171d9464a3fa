#include "functional/gateway_fixture.h"

namespace
{

struct Surplus {
	const char *name;
	/** Body of the request whose answer is followed by more bytes. */
	std::string body;
	/** The fault of the worker's answer. */
	const char *fault;
	/** Time until the next request is sent. */
	int pause_ms = 0;
};

/* Fresh connections apart, libcurl takes the oldest idle one: a request that
 * follows another uses the connection of that one. */
struct GatewaySurplus : Gateway {
	void
	StartFleet(int worker_count)
	{
		StartReadyFleet(worker_count, 1);
		/* Repeatable, with one attempt: failures reach the caller. */
		Configure(2,
		    R"(,{"name":"o","host":"a.example","path_prefix":"/o/",
		    "kind":"streaming","timeout_ms":5000,
		    "target_latency_ms":400,"service":"llm","max_attempts":1,
		    "resumable":true,"target_gap_ms":300})");
		ASSERT_TRUE(Eventually(
		    [&] { return Call(0, "/o/warm", "w2", 1).status == 200; }));
	}

	/* Sends a request whose answer is followed by more bytes. */
	Reply
	SendFirst(
	    const Surplus &c, const std::string &path, const std::string &id)
	{
		InjectFault(0, std::string("{\"surplus\":") + c.fault + "}");
		Reply r = Send(0, "POST", path, c.body, id);
		g_usleep((gulong)c.pause_ms * 1000);
		return r;
	}

	static void
	ExpectOwnOrError(const Reply &r, const std::string &path, int events,
	    const char *name)
	{
		if (r.headers.count("savoryflow-ran") > 0) {
			EXPECT_EQ(502, r.status) << name;
			return;
		}
		EXPECT_EQ(200, r.status) << name << ": " << r.body;
		EXPECT_EQ(ExpectedStream(path, events), r.body) << name;
	}

	/* Expects that a job's items are complete, each with its own text. */
	void
	ExpectOwnTexts(const std::string &job, int items, const char *name)
	{
		ASSERT_TRUE(Eventually(
		    [&] { return HasResults(0, job, (size_t)items); }));
		json_t *doc = FetchResults(0, job);
		json_t *result;
		size_t i;

		json_array_foreach(json_object_get(doc, "results"), i, result)
		{
			std::string path = std::string("/b/") +
			    json_string_value(json_object_get(result, "id"));

			EXPECT_STREQ("completed",
			    json_string_value(json_object_get(result, "state")))
			    << name;
			EXPECT_EQ(path + "-1\n" + path + "-2",
			    json_string_value(
				json_object_get(result, "output_text")))
			    << name;
		}
		json_decref(doc);
	}
};

const Surplus kFailures[] = {
    {"422, late", "{\"status\":422}",
	R"({"count":1,"delay_ms":200,"no_id":true})"},
    {"422, late, chunked", "{\"status\":422}",
	R"({"count":1,"delay_ms":200,"no_id":true,"chunked":true})"},
    {"422, late, in halves", "{\"status\":422}",
	R"({"count":1,"delay_ms":150,"split_ms":50,"no_id":true})"},
    {"422, at once", "{\"status\":422}", R"({"count":1,"no_id":true})", 50},
    {"422, soon", "{\"status\":422}",
	R"({"count":1,"delay_ms":20,"no_id":true})", 50},
    {"422, late, with its id", "{\"status\":422}",
	R"({"count":1,"delay_ms":200})"},
    {"500, late", "{\"status\":500}",
	R"({"count":1,"delay_ms":200,"no_id":true})"},
    {"500, late, chunked", "{\"status\":500}",
	R"({"count":1,"delay_ms":200,"no_id":true,"chunked":true})"},
    {"500, late, with its id", "{\"status\":500}",
	R"({"count":1,"delay_ms":200})"},
    {"504, late", "{\"status\":504}",
	R"({"count":1,"delay_ms":200,"no_id":true})"},
};

TEST_F(GatewaySurplus, AnItemIsNotDeadByAnothersFailure)
{
	int n = 0;

	StartFleet(1);
	for (const auto &c : kFailures) {
		std::string job = "j" + std::to_string(n++);

		SendFirst(c, "/o/a", "a" + job);
		Send(0, "POST", "/b/" + job, JobBody(job, 3, RequestBody(2)),
		    job);
		ExpectOwnTexts(job, 3, c.name);
	}
}

/* Guards against a copy of an earlier answer to the same id, late, on the
 * connection of the next run: it was taken for the answer of that run. */
TEST_F(GatewaySurplus, ACopyOfAnEarlierAnswerIsNotThatOfTheNextRun)
{
	const char *const faults[] = {
	    R"({"statuses":[500],"surplus":{"count":1,"delay_ms":200}})",
	    R"({"statuses":[500],"surplus":{"count":1,"delay_ms":150,
	    "split_ms":50,"chunked":true}})",
	    R"({"statuses":[503],"surplus":{"count":1,"delay_ms":200}})",
	    R"({"statuses":[504],"surplus":{"count":1,"delay_ms":200}})",
	};
	int n = 0;

	StartFleet(1);
	for (const char *fault : faults) {
		std::string job = "own" + std::to_string(n++);

		InjectFault(0, fault);
		Send(0, "POST", "/b/" + job,
		    JobBody(job, 1, RequestBody(9, 50)), job);
		ASSERT_TRUE(Eventually([&] { return HasResults(0, job, 1); }));
		EXPECT_EQ("completed " + ExpectedText("/b/" + job + "0", 9),
		    OnlyResult(0, job))
		    << fault;
		EXPECT_EQ(2, CountRuns(job + "0")) << fault;
		InjectFault(0, fault);
		Reply r = Call(0, "/q/" + job, "call" + job, 9, 50);
		EXPECT_EQ(200, r.status) << fault << r.body;
		EXPECT_EQ(ExpectedStream("/q/" + job, 9), r.body) << fault;
	}
}

TEST_F(GatewaySurplus, ACallerGetsNoFailureOfAnother)
{
	int n = 0;

	StartFleet(1);
	for (const auto &c : kFailures) {
		std::string id = std::to_string(n++);

		SendFirst(c, "/o/a", "a" + id);
		Reply r = Call(0, "/o/b" + id, "b" + id, 3);

		ExpectOwnOrError(r, "/o/b" + id, 3, c.name);
	}
}

/* Streams of equal length, and bytes that are no answer. */
TEST_F(GatewaySurplus, ACallerGetsNoStreamOfAnother)
{
	const Surplus cases[] = {
	    {"late", RequestBody(3), R"({"count":1,"delay_ms":200})"},
	    {"late, chunked", RequestBody(3),
		R"({"count":1,"delay_ms":200,"chunked":true})"},
	    {"late, without its id", RequestBody(3),
		R"({"count":1,"delay_ms":200,"no_id":true})"},
	    {"late, in halves", RequestBody(3),
		R"({"count":1,"delay_ms":100,"split_ms":100})"},
	    {"at once, the rest late", RequestBody(3),
		R"({"count":1,"split_ms":200})"},
	    {"at once", RequestBody(3), R"({"count":1})", 50},
	    {"soon", RequestBody(3), R"({"count":1,"delay_ms":20})", 50},
	    {"events alone", RequestBody(3),
		R"({"count":1,"delay_ms":200,"text":"id: 4\ndata: x\n\n"})"},
	    {"no answer", RequestBody(3),
		R"({"count":1,"delay_ms":200,"text":"surplus\r\n\r\n"})"},
	    {"empty lines", RequestBody(3),
		R"({"count":1,"delay_ms":200,"text":"\r\n\r\n"})"},
	};
	int n = 0;

	StartFleet(1);
	for (const auto &c : cases) {
		std::string id = std::to_string(n++);

		Reply a = SendFirst(c, "/o/a" + id, "a" + id);
		EXPECT_EQ(ExpectedStream("/o/a" + id, 3), a.body) << c.name;
		Reply r = Call(0, "/o/b" + id, "b" + id, 3);

		ExpectOwnOrError(r, "/o/b" + id, 3, c.name);
	}
}

/* The copy arrives while the callers' requests wait for their answers, on the
 * connection of the refused request. Without another worker none of them is
 * sent twice. */
TEST_F(GatewaySurplus, ACallerIsNotToldThatItDidNotRunByAnothersRefusal)
{
	const char *const cases[] = {
	    R"({"count":1,"delay_ms":100})",
	    R"({"count":1,"delay_ms":100,"chunked":true})",
	    R"({"count":1,"delay_ms":50,"split_ms":50})",
	};
	const int kCallers = 4;
	int n = 0;

	StartFleet(1);
	for (const char *fault : cases) {
		std::string prefix = "b" + std::to_string(n++);
		std::vector<std::thread> callers;
		Reply replies[kCallers];

		InjectFault(
		    0, std::string("{\"shed\":1,\"surplus\":") + fault + "}");
		callers.emplace_back([&] { Call(0, "/f/a", "a" + prefix, 1); });
		EXPECT_TRUE(daemons[0]->WaitLine("\"request\":\"a" + prefix +
		    "\",\"target\":\"i-0\",\"end\":\"turned_away\""));
		for (int i = 0; i < kCallers; i++)
			callers.emplace_back([&, i] {
				replies[i] = Call(0, "/q/b",
				    prefix + std::to_string(i), 3, 20);
			});
		for (auto &t : callers)
			t.join();
		for (int i = 0; i < kCallers; i++)
			EXPECT_FALSE(
			    CountRuns(prefix + std::to_string(i)) > 0 &&
			    replies[i].headers["savoryflow-ran"] == "no")
			    << fault << ", caller " << i;
		ASSERT_TRUE(daemons[0]->WaitLine(
		    "\"end\":\"turned_away_unproven\"", n));
	}
}

/* Each of the two workers has more than one of the callers' requests. */
TEST_F(GatewaySurplus, ACopyOfAnothersAnswerIsHiddenFromCallers)
{
	const int kCallers = 6;
	int n = 0;

	StartFleet(2);
	for (const auto &c : kFailures) {
		std::string prefix = "b" + std::to_string(n++);
		std::vector<std::thread> callers;
		Reply replies[kCallers];

		InjectFault(1, std::string("{\"surplus\":") + c.fault + "}");
		SendFirst(c, "/o/a", "a" + prefix);
		for (int i = 0; i < kCallers; i++)
			callers.emplace_back([&, i] {
				replies[i] = Call(0, "/q/b",
				    prefix + std::to_string(i), 3, 30);
			});
		for (auto &t : callers)
			t.join();
		for (int i = 0; i < kCallers; i++) {
			EXPECT_EQ(200, replies[i].status) << c.name;
			EXPECT_EQ(ExpectedStream("/q/b", 3), replies[i].body)
			    << c.name;
		}
	}
}

const Surplus kEarly[] = {
    {"422", "{\"status\":422}", R"({"count":1,"no_id":true})", 50},
    {"stream", Gateway::RequestBody(3), R"({"count":1})", 50},
    {"half a stream", Gateway::RequestBody(3), R"({"count":1,"split_ms":200})",
	50},
    {"no answer", Gateway::RequestBody(3),
	R"({"count":1,"delay_ms":10,"text":"surplus\r\n\r\n"})", 50},
    {"status line", Gateway::RequestBody(3),
	R"({"count":1,"delay_ms":10,"text":"HTTP/1.1 422 X\r\n"})", 50},
    {"part of a head", Gateway::RequestBody(3),
	R"({"count":1,"delay_ms":10,"text":"HTTP/1.1 422 X\r\nY: "})", 50},
};

TEST_F(GatewaySurplus, BytesThatAreThereBeforeARequestCostItNoAttempt)
{
	int n = 0;

	StartFleet(1);
	for (const auto &c : kEarly) {
		std::string path = "/o/b" + std::to_string(n++);

		SendFirst(c, "/o/a", "a" + path);
		Reply r = Call(0, path, path, 3);

		EXPECT_EQ(200, r.status) << c.name << ": " << r.body;
		EXPECT_EQ(ExpectedStream(path, 3), r.body) << c.name;
		EXPECT_EQ(1, CountRuns(path)) << c.name;
	}
}

/* The head of the request's own answer follows upon it. */
TEST_F(GatewaySurplus, ACallerGetsNoAnswerWithPartOfAnothersHead)
{
	const Surplus cases[] = {
	    {"status line", RequestBody(3),
		R"({"count":1,"delay_ms":200,"text":"HTTP/1.1 422 X\r\n"})"},
	    {"part of a field", RequestBody(3),
		R"({"count":1,"delay_ms":200,
		    "text":"HTTP/1.1 422 X\r\nY: "})"},
	    {"part of a name", RequestBody(3),
		R"({"count":1,"delay_ms":200,
		    "text":"HTTP/1.1 422 X\r\nX-Y"})"},
	    {"id", RequestBody(3),
		R"({"count":1,"delay_ms":200,
		    "text":"HTTP/1.1 422 X\r\nX-Attempt-Id: c\r\n"})"},
	};
	int n = 0;

	StartFleet(1);
	for (const auto &c : cases) {
		std::string path = "/o/b" + std::to_string(n++);

		SendFirst(c, "/o/a", "a" + path);
		ExpectOwnOrError(Call(0, path, path, 3), path, 3, c.name);
	}
}

TEST_F(GatewaySurplus, AForeignAnswerIsLoggedAndItsConnectionClosed)
{
	const Surplus late = {
	    "late", "{\"status\":422}", R"({"count":1,"delay_ms":200})"};
	const char kLine[] = "\"request\":\"b\",\"received\":\"a\","
			     "\"status\":\"422\"";

	StartFleet(1);
	SendFirst(late, "/o/a", "a");
	EXPECT_EQ(502, Call(0, "/o/b", "b", 3).status);
	EXPECT_TRUE(daemons[0]->WaitLine(kLine));
	for (int i = 0; i < 3; i++) {
		std::string path = "/o/c" + std::to_string(i);

		EXPECT_EQ(ExpectedStream(path, 3), Call(0, path, path, 3).body);
	}
	EXPECT_EQ(1, daemons[0]->Count("\"name\":\"answer_crossed\""));
}

/* As above; requests that may run only once have connections of their own. */
TEST_F(GatewaySurplus, ARequestThatRunsOnceIsNotSentAgain)
{
	const int kCallers = 4;

	StartFleet(1);
	for (int n = 0; n < 3; n++) {
		std::string prefix = "b" + std::to_string(n);
		std::vector<std::thread> callers;
		Reply replies[kCallers];

		InjectFault(0,
		    "{\"shed\":1,\"surplus\":{\"count\":1,\"delay_ms\":100}}");
		callers.emplace_back([&] { Call(0, "/f/a", "a" + prefix, 1); });
		EXPECT_TRUE(daemons[0]->WaitLine("\"request\":\"a" + prefix +
		    "\",\"target\":\"i-0\",\"end\":\"turned_away\""));
		for (int i = 0; i < kCallers; i++)
			callers.emplace_back([&, i] {
				replies[i] = Call(0, "/f/b",
				    prefix + std::to_string(i), 3, 20);
			});
		for (auto &t : callers)
			t.join();
		for (int i = 0; i < kCallers; i++) {
			EXPECT_EQ(ExpectedStream("/f/b", 3), replies[i].body);
			EXPECT_EQ(1, CountRuns(prefix + std::to_string(i)));
		}
	}
}

} // namespace

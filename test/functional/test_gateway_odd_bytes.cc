/* Bytes of workers that are no text, and rows that lack fields. */
#include "functional/gateway_fixture.h"

namespace
{

struct OddBytes : Gateway {
	/* Two of three workers send the event in place of the second one. */
	void
	ExpectSoundStreams(const std::string &name, const std::string &event,
	    const std::string &id)
	{
		for (size_t w = 0; w < 2; w++)
			InjectOddEvent(w, 1, 1, event);
		Reply r = Call(0, "/q/x", id, 4);
		EXPECT_EQ(200, r.status) << name;
		EXPECT_EQ(ExpectedStream("/q/x", 4), r.body) << name;
		/* Not repeatable: whole or broken off. */
		r = Call(0, "/f/x", id + "f", 4);
		EXPECT_TRUE(
		    r.status == 0 || r.body == ExpectedStream("/f/x", 4))
		    << name << r.body;
	}

	void
	ExpectAllAlive(const std::string &name)
	{
		for (auto &d : daemons)
			EXPECT_FALSE(d->HasExited()) << name;
	}
};

const struct {
	const char *name;
	std::string event;
} odd_events[] = {
    {"data", "id: 2\ndata: \xff\xfe\x80\x9c\n\n"},
    {"a byte of a character", "id: 2\ndata: caf\xc3\n\n"},
    {"surrogate", "id: 2\ndata: \xed\xa0\x80\n\n"},
    {"NUL", std::string("id: 2\ndata: a\0b\n\n", 17)},
    {"id", "id: \xff\xff\ndata: a\n\n"},
    {"field name", "id: 2\nd\xe4ta: a\n\n"},
    {"comment", ": \xff\nid: 2\ndata: a\n\n"},
};

/* Of another answer, or of no stream at all. */
const struct {
	const char *name;
	std::string event;
} other_events[] = {
    {"no id", "data: a\n\n"},
    {"later id", "id: 9\ndata: a\n\n"},
    {"same id", "id: 1\ndata: a\n\n"},
    {"lower id", "id: 0\ndata: a\n\n"},
};

/* An event that is no text was stored without its text: each daemon that was
 * asked for the results of its job ended, again after each start. */
TEST_F(OddBytes, AnItemIsRunOnAfterAnEventThatIsNoText)
{
	int n = 0;

	StartReadyFleet(1, 2);
	for (const auto &odd : odd_events) {
		std::string job = "j" + std::to_string(n++);

		InjectOddEvent(0, 1, 1, odd.event);
		Send(0, "POST", "/b/" + job, JobBody(job, 1, RequestBody(4)),
		    job);
		for (size_t d = 0; d < 2; d++)
			EXPECT_TRUE(Eventually([&] {
				return HasResults(d, job, 1);
			})) << odd.name;
		EXPECT_EQ("completed " + ExpectedText("/b/" + job + "0", 4),
		    OnlyResult(1, job))
		    << odd.name;
		ExpectAllAlive(odd.name);
	}
	EXPECT_GT(
	    daemons[0]->Count("\"cause\":\"not_text\",\"target\":\"i-0\""), 0);
}

/* A stream goes on elsewhere, or breaks off. */
TEST_F(OddBytes, ACallerGetsNoEventThatIsNoText)
{
	int n = 0;

	StartReadyFleet(3, 1);
	for (const auto &odd : odd_events) {
		std::string id = "s" + std::to_string(n++);

		ExpectSoundStreams(odd.name, odd.event, id);
	}
	EXPECT_GT(daemons[0]->Count("\"end\":\"not_text\""), 0);
	ExpectAllAlive("calls");
}

/* Guards against streams and texts in which an event is missing, stands twice
 * or is another answer's, and that end as complete. */
TEST_F(OddBytes, AStreamGoesOnOnlyWithItsNextEvent)
{
	int n = 0;

	StartReadyFleet(3, 1);
	for (const auto &other : other_events) {
		std::string id = "o" + std::to_string(n++);

		ExpectSoundStreams(other.name, other.event, id);
		for (size_t w = 0; w < 3; w++)
			InjectOddEvent(w, 1, 1, other.event);
		Send(0, "POST", "/b/" + id, JobBody(id, 1, RequestBody(4)), id);
		EXPECT_TRUE(Eventually([&] { return HasResults(0, id, 1); }))
		    << other.name;
		EXPECT_EQ("completed " + ExpectedText("/b/" + id + "0", 4),
		    OnlyResult(0, id))
		    << other.name;
	}
	EXPECT_GT(daemons[0]->Count("\"end\":\"event_"), 0);
}

/* Guards against a stream without a signature that is passed on as a success:
 * its head goes out with the first event. */
TEST_F(OddBytes, AStreamWithoutASignatureIsNoSuccess)
{
	StartReadyFleet(2, 1);
	for (size_t w = 0; w < 2; w++)
		InjectFault(w, "{\"unsigned\":1}");
	Reply r = Call(0, "/f/x", "u1", 4);
	EXPECT_EQ(502, r.status) << r.body;
	r = Call(0, "/q/x", "u2", 4);
	EXPECT_EQ(200, r.status);
	EXPECT_EQ(1u, r.headers.count("x-response-seal"));
	EXPECT_EQ(ExpectedStream("/q/x", 4), r.body);
}

/* Results stored by an earlier version without a text ended each daemon that
 * read them. */
TEST_F(OddBytes, AJobWithUnreadableRowsEndsNoDaemon)
{
	const struct {
		const char *name;
		const char *table;
		const char *key;
		const char *value;
		long status;
	} cases[] = {
	    {"result without text", "result", "000001",
		R"({"item":"it1","completed":true})", 200},
	    {"result of another type", "result", "000001", "[1]", 200},
	    {"result without item", "result", "000000",
		R"({"completed":true,"text":"x"})", 500},
	    {"job without input", "job", "",
		R"({"host":"a.example","path":"/b/x","total":1})", 500},
	    {"job that is no object", "job", "", "\"x\"", 500},
	    {"open row without owner", "open", "", "{}", 404},
	    {"open row that is no JSON", "open", "", "\x01{", 404},
	};
	int n = 0;

	StartReadyFleet(1, 2);
	for (const auto &c : cases) {
		std::string job = "j" + std::to_string(n++);
		bool is_result = std::string(c.table) == "result";

		if (is_result) {
			Send(0, "POST", "/b/" + job,
			    JobBody("it", 3, RequestBody(2)), job);
			ASSERT_TRUE(
			    Eventually([&] { return HasResults(0, job, 3); }));
		}
		PutRowIn(is_result ? job : "jobs", c.table,
		    is_result ? c.key : job, c.value);
		for (size_t d = 0; d < 2; d++)
			EXPECT_EQ(c.status,
			    Send(d, "GET", "/api/lots/" + job, "", "r").status)
			    << c.name;
		Send(1, "DELETE", "/api/lots/" + job, "", "d");
		Send(1, "GET", "/api/items/" + job + "?id=it1", "", "i");
		ExpectAllAlive(c.name);
	}
	EXPECT_EQ(200, Call(0, "/q/x", "after", 2).status);
}

/* Guards against entries of another writer that stand for targets: requests
 * failed at one after the other, though a sound target was idle. */
TEST_F(OddBytes, EntriesThatNobodyCanConnectToFailNoRequest)
{
	const char *const addresses[] = {"127.0.0.1:1", "127.0.0.1:65537",
	    "127.0.0.1:0", "127.0.0.1", "x", "", "127.0.0.1:99999"};
	int n = 0;

	Configure(1);
	for (int i = 0; i < 3; i++)
		for (const char *address : addresses) {
			std::string doc =
			    std::string(R"({"service":"llm","zone":"dc1",
			    "version":"v","slot_count":8,"state":"ready",
			    "cold_left_ms":0,"sequence":1,"born":1,"addr":")") +
			    address + "\"}";

			PutRow("servers", "odd-" + std::to_string(n++),
			    doc.c_str());
		}
	StartReadyFleet(1, 1);
	daemons[0]->Signal(SIGKILL);
	daemons[0]->Wait();
	StartDaemon(0);
	ASSERT_TRUE(Eventually([&] { return ReadyStatus(0) == 200; }));
	for (int i = 0; i < 30; i++) {
		Reply r = Call(0, "/q/x", "e" + std::to_string(i), 2);

		EXPECT_EQ(200, r.status) << i << r.body;
	}
}

/* An id that a row's key cannot hold must not be acknowledged. */
TEST_F(OddBytes, AJobWhoseIdIsNoTextIsRefused)
{
	const struct {
		const char *name;
		std::string id;
	} ids[] = {
	    {"no UTF-8", "a\xff"},
	    {"slash", "a/b"},
	};

	StartReadyFleet(1, 1);
	for (const auto &c : ids)
		EXPECT_EQ(400,
		    Send(0, "POST", "/b/x", JobBody("it", 1, RequestBody(2)),
			c.id)
			.status)
		    << c.name;
	EXPECT_EQ(404, Send(0, "GET", "/api/lots/%ff", "", "r").status);
	EXPECT_EQ(404, Send(0, "DELETE", "/api/lots/%ff", "", "r").status);
	EXPECT_EQ(200, Call(0, "/q/x", "after", 2).status);
}

} // namespace

/* Answers of workers and of peers that end within their heads. */
#include <set>
#include <thread>

#include "functional/connection.h"
#include "functional/gateway_fixture.h"
#include "platform/broken_answers.h"

namespace
{

const int kEvents = 4;
/* Replaced by the id of the request. */
const char kId[] = "ID";
const char kSigned[] = "X-Attempt-Id: ID\r\nX-Response-Seal: s\r\n";

struct Form {
	int status;
	std::string fields, body;
};

const Form kForms[] = {
    {200, "Content-Type: text/event-stream\r\n", "id: 1\ndata: a\n\n"},
    {200, "Content-Type: application/json\r\n", "{}"},
    {404, "", "{}"},
    {421, "X-Not-Executed: 1\r\n", "{}"},
    {429, "X-Not-Executed: 1\r\nRetry-After: 0.1\r\n", "{}"},
    {500, "", "{}"},
    {503, "X-Not-Executed: 1\r\n", "{}"},
};

struct GatewayBroken : Gateway {
	std::mutex lock;
	WholeAnswer whole;
	/* Part of the heads that is sent. */
	size_t percent = 0;
	std::set<std::string> seen;
	int server_count = 0;
	std::string server_id;

	std::string
	Answer(const std::string &request)
	{
		std::lock_guard<std::mutex> held(lock);
		std::string id = FieldOf(request, "X-Attempt-Id");
		std::string text = whole.bytes.substr(0, whole.head_bytes);
		size_t at = text.find(std::string(": ") + kId);

		seen.insert(id);
		if (at != std::string::npos)
			text.replace(at + 2, strlen(kId), id);
		return text.substr(
		    0, std::max<size_t>(1, (text.size() - 1) * percent / 100));
	}

	CopyingServer server{
	    [this](const std::string &r) { return Answer(r); }};

	bool
	HasSeen(const std::string &id)
	{
		std::lock_guard<std::mutex> held(lock);

		return seen.count(id) > 0;
	}

	size_t
	CountSeen()
	{
		std::lock_guard<std::mutex> held(lock);

		return seen.size();
	}

	void
	BreakOff(const WholeAnswer &a, size_t part, End end)
	{
		std::lock_guard<std::mutex> held(lock);

		whole = a;
		percent = part;
		server.EndAfterAnswers(end);
	}

	static std::string
	Route(const std::string &name, const std::string &kind, int attempts)
	{
		return ",{\"name\":\"" + name +
		    "\",\"host\":\"a.example\",\"path_prefix\":\"/" + name +
		    "/\",\"kind\":\"" + kind +
		    "\",\"timeout_ms\":5000,\"target_latency_ms\":400,"
		    "\"service\":\"llm\",\"target_gap_ms\":300,"
		    "\"max_attempts\":" +
		    std::to_string(attempts) + "}";
	}

	/* One sound worker, and the server under a new id. */
	void
	List()
	{
		std::string doc = "{\"service\":\"llm\",\"addr\":\"" +
		    server.Address() +
		    "\",\"zone\":\"dc1\",\"version\":\"v1\",\"slot_count\":4,"
		    "\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":1,"
		    "\"born\":1}";

		if (!server_id.empty())
			PutRow("servers", server_id, nullptr);
		server_id = "e-" + std::to_string(server_count++);
		PutRow("servers", server_id, doc.c_str());
		ASSERT_TRUE(
		    daemons[0]->WaitLine("\"target\":\"" + server_id + "\""));
	}

	void
	StartSoundFleet()
	{
		StartReadyFleet(1, 1);
		Configure(2,
		    Route("n", "idempotent", 3) +
			Route("o", "non_idempotent", 1));
		ASSERT_TRUE(Eventually(
		    [&] { return Call(0, "/n/warm", "w2", 1).status == 200; }));
	}

	/* The whole answer; or if it must not run again and ran at the server,
	 * none, and no promise that it did not run. */
	void
	ExpectNoShortAnswer(const std::string &path, const std::string &name)
	{
		bool may_repeat = path[1] == 'n' || path[1] == 'q';
		Reply r = Call(0, path, path, kEvents);

		if (r.status == 200 && r.body == ExpectedStream(path, kEvents))
			return;
		EXPECT_FALSE(may_repeat)
		    << name << " " << path << " " << r.status << r.body;
		EXPECT_TRUE(HasSeen(path)) << name << " " << path;
		EXPECT_TRUE(r.status == 502 || r.status == 0)
		    << name << " " << path << " " << r.status << r.body;
	}

	void
	ExpectNoShortAnswers(const std::string &name, int round)
	{
		EXPECT_TRUE(Eventually([&] {
			std::vector<std::thread> calls;
			size_t before = CountSeen();

			for (const char *route : {"/n/", "/o/", "/f/", "/q/"})
				for (int i = 0; i < 2; i++)
					calls.emplace_back([&, route, i] {
						ExpectNoShortAnswer(route +
							std::to_string(round) +
							"-" + std::to_string(i),
						    name);
					});
			for (auto &call : calls)
				call.join();
			round += 100000;
			return CountSeen() > before;
		})) << name;
	}
};

/* Guards against a short success, and against "did not run" for what ran. */
TEST_F(GatewayBroken, AWorkersAnswerThatEndsWithinItsHeadIsNoAnswer)
{
	int n = 0;

	StartSoundFleet();
	for (const auto &form : kForms)
		for (const auto &a : AnswersInEachForm(
			 form.status, kSigned + form.fields, form.body)) {
			size_t part = (size_t)(n * 37 + 20) % 101;
			End end = n % 4 == 3 ? End::kReset : End::kClose;
			std::string name = a.name + " " + std::to_string(part);

			BreakOff(a, part, end);
			List();
			ExpectNoShortAnswers(name, n++);
		}
	EXPECT_GT(daemons[0]->Count("\"name\":\"answer_broken_off\""), 0);
}

TEST_F(GatewayBroken, AnItemGoesOnElsewhere)
{
	int n = 0;

	StartSoundFleet();
	for (const auto &form : kForms) {
		auto answers = AnswersInEachForm(
		    form.status, kSigned + form.fields, form.body);
		std::string job = "job" + std::to_string(n);
		const int items = 6;

		BreakOff(answers[(size_t)n % answers.size()],
		    (size_t)(n * 37 + 50) % 101, End::kClose);
		n++;
		List();
		Send(0, "POST", "/b/" + job,
		    JobBody(job, items, RequestBody(kEvents)), job);
		EXPECT_TRUE(Eventually([&] {
			return HasResults(0, job, items);
		})) << form.status;
		json_t *doc = FetchResults(0, job);
		size_t i;
		json_t *result;

		json_array_foreach(json_object_get(doc, "results"), i, result)
		{
			std::string id =
			    json_string_value(json_object_get(result, "id"));

			EXPECT_STREQ("completed",
			    json_string_value(json_object_get(result, "state")))
			    << form.status;
			EXPECT_EQ(ExpectedText("/b/" + id, kEvents),
			    json_string_value(
				json_object_get(result, "output_text")))
			    << form.status;
		}
		json_decref(doc);
	}
	EXPECT_GT(CountSeen(), 0u);
}

/* A submission that a peer may have stored is neither accepted nor refused. */
TEST_F(GatewayBroken, APeersAnswerThatEndsWithinItsHeadIsNoAnswer)
{
	const Form forms[] = {
	    {200, "", "{}"}, {202, "", ""}, {404, "", "{}"}, {503, "", "{}"}};
	std::string row = "{\"front\":\"" + server.Address() +
	    "\",\"region\":\"r\",\"data_center\":\"dc1\",\"session\":\"s1\","
	    "\"cpu\":1000,\"beat\":1,\"period_us\":30000000}";
	int n = 0;

	StartReadyFleet(1, 1);
	PutRow("daemon", "127.0.0.1:1", row.c_str());
	ASSERT_TRUE(daemons[0]->WaitLine("\"name\":\"member_up\""));
	PostToStore("/fault", "{\"turned_away\":\"d0\"}");
	ASSERT_TRUE(daemons[0]->WaitLine("\"name\":\"store_down\""));
	for (const auto &form : forms)
		for (const auto &a :
		    AnswersInEachForm(form.status, form.fields, form.body)) {
			std::string job = "p" + std::to_string(n);
			size_t part = (size_t)(n++ * 37 + 20) % 101;
			std::string name = a.name + " " + std::to_string(part);

			BreakOff(a, part, End::kClose);
			Reply r = Send(0, "POST", "/b/" + job,
			    JobBody(job, 1, RequestBody(1)), job);
			EXPECT_TRUE(r.status == 500 || r.status == 502 ||
			    r.status == 504 || r.status == 0)
			    << name << " " << r.status << r.body;
			EXPECT_TRUE(HasSeen(job)) << name;
			r = Send(0, "GET", "/api/lots/" + job, "", "r" + job);
			EXPECT_EQ(503, r.status) << name << r.body;
		}
}

/* Guards against accepted jobs whose items nobody runs, as a change counted as
 * made that the store had not made. */
TEST_F(Gateway, AStoresAnswersThatEndWithinTheirHeadsLoseNoJob)
{
	const int jobs = 16, items = 3;

	StartReadyFleet(2, 2);
	PostToStore("/fault", "{\"cut_every\":3}");
	for (int j = 0; j < jobs; j++) {
		std::string job = "h" + std::to_string(j);
		size_t daemon = (size_t)j % 2;

		EXPECT_TRUE(Eventually([&] {
			daemon = 1 - daemon;
			return Send(daemon, "POST", "/b/" + job,
				   JobBody(job, items, RequestBody(2)), job)
				   .status == 202;
		})) << job;
	}
	PostToStore("/fault", "{}");
	for (int j = 0; j < jobs; j++) {
		std::string job = "h" + std::to_string(j);

		for (size_t d = 0; d < 2; d++)
			EXPECT_TRUE(Eventually([&] {
				return HasResults(d, job, items);
			})) << job;
	}
	EXPECT_GT(daemons[0]->Count("\"name\":\"answer_broken_off\""), 0);
}

/* Guards against a stream that its worker broke off and that ends as if it were
 * whole for a caller who takes no chunks. */
TEST_F(Gateway, AStreamThatBreaksOffLooksWholeToNoCaller)
{
	const struct {
		const char *version;
		const char *field;
	} callers[] = {
	    {"1.1", ""},
	    {"1.1", "Connection: close\r\n"},
	    {"1.0", ""},
	    {"1.0", "Connection: keep-alive\r\n"},
	};
	std::string body = RequestBody(8);
	int n = 0;

	StartReadyFleet(1, 1);
	for (const auto &c : callers)
		for (const char *end : {"inside", "reset"}) {
			std::string name =
			    std::string(c.version) + " " + c.field + " " + end;
			Connection con(front_ports[0]);

			InjectFault(0,
			    std::string("{\"unframed\":1,") +
				"\"unframed_end\":\"" + end + "\"}");
			con.Send(std::string("POST /f/x HTTP/") + c.version +
			    "\r\nHost: a.example\r\nX-Attempt-Id: c" +
			    std::to_string(n++) +
			    "\r\nX-Deadline-Ms: 5000\r\n" + c.field +
			    "Content-Length: " + std::to_string(body.size()) +
			    "\r\n\r\n" + body);
			std::string text = con.Read();
			bool is_chunked =
			    text.find("Transfer-Encoding: chunked") !=
			    std::string::npos;

			EXPECT_FALSE(Connection::IsWhole(text)) << name << text;
			EXPECT_TRUE(is_chunked || con.WasReset())
			    << name << text;
		}
}

} // namespace

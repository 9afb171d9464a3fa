/* Statuses that tell callers that a request did not run. */
#include <map>
#include <mutex>

#include "functional/gateway_fixture.h"
#include "platform/broken_answers.h"

namespace
{

const int kRefusals[] = {408, 421, 429, 503};
/* Replaced by the id of the request, and by the worker that it is meant for. */
const char kId[] = "ID";
const char kInstance[] = "INSTANCE";
const char kOwn[] = "X-Attempt-Id: ID\r\n";
const char kSigned[] = "X-Attempt-Id: ID\r\nX-Response-Seal: s\r\n";

/* A service whose only worker, played here, answers all requests alike. */
struct GatewayRan : Gateway {
	std::mutex lock;
	std::string answer;
	std::map<std::string, int> runs;

	static void
	Replace(std::string *text, const char *value, const std::string &by)
	{
		size_t at = text->find(std::string(": ") + value);

		if (at != std::string::npos)
			text->replace(at + 2, strlen(value), by);
	}

	std::string
	Answer(const std::string &request)
	{
		std::lock_guard<std::mutex> held(lock);
		std::string id = FieldOf(request, "X-Attempt-Id");
		std::string text = answer;

		runs[id]++;
		Replace(&text, kId, id);
		Replace(
		    &text, kInstance, FieldOf(request, "X-Expect-Instance"));
		return text;
	}

	CopyingServer server{
	    [this](const std::string &r) { return Answer(r); }};

	void
	AnswerWith(const std::string &text)
	{
		{
			std::lock_guard<std::mutex> held(lock);

			answer = text;
		}
		RelistWorker("odd", server.Address());
	}

	int
	RunsOf(const std::string &id)
	{
		std::lock_guard<std::mutex> held(lock);

		return runs[id];
	}

	/* The caller is told that the request may have run. */
	void
	ExpectNoPromise(const std::string &path, const std::string &name)
	{
		bool may_repeat = path[1] == 'n';
		Reply r = Call(0, path, path, 1);

		EXPECT_EQ(502, r.status) << name << " " << path;
		EXPECT_EQ("unknown", r.headers["savoryflow-ran"])
		    << name << " " << path;
		EXPECT_EQ(0u, r.headers.count("retry-after")) << name;
		EXPECT_EQ(0u, r.headers.count("x-response-seal")) << name;
		EXPECT_GE(RunsOf(path), 1) << name << " " << path;
		EXPECT_LE(RunsOf(path), may_repeat ? 3 : 1)
		    << name << " " << path;
	}
};

/* Guards against a worker's 408, 421, 429 or 503 that reaches the caller of a
 * request which has run, and against a request that runs again after a 421. */
TEST_F(GatewayRan, AnUnconfirmedRefusalIsNotPassedOn)
{
	const struct {
		const char *name;
		std::string fields;
	} heads[] = {
	    {"signed", kSigned},
	    {"not signed", kOwn},
	    {"time to return", std::string(kSigned) + "Retry-After: 0.1\r\n"},
	    {"its own name",
		std::string(kSigned) + "X-Instance-Id: INSTANCE\r\n"},
	    {"event stream",
		std::string(kSigned) + "Content-Type: text/event-stream\r\n"},
	};
	int n = 0;

	StartFleetWithService("odd");
	server.EndAfterAnswers(End::kClose);
	for (int status : kRefusals)
		for (const auto &head : heads) {
			auto forms = AnswersInEachForm(
			    status, head.fields, "id: 1\ndata: a\n\n");
			const auto &form = forms[(size_t)n % forms.size()];
			std::string name = std::to_string(status) + " " +
			    head.name + ", " + form.name;

			for (const char *route : {"/o/", "/w/", "/n/"}) {
				AnswerWith(form.bytes);
				ExpectNoPromise(
				    route + std::to_string(n), name);
			}
			n++;
		}
	EXPECT_GT(daemons[0]->Count("\"end\":\"unconfirmed_refusal\""), 0);
}

/* What the worker states is passed on as a promise: the request did not run. */
TEST_F(GatewayRan, AConfirmedRefusalStaysOne)
{
	const std::string statements[] = {
	    std::string(kOwn) + "X-Not-Executed: 1\r\n",
	    "X-Not-Executed: 1\r\n"};
	int n = 0;

	StartFleetWithService("odd");
	server.EndAfterAnswers(End::kClose);
	for (int status : kRefusals)
		for (const auto &fields : statements)
			for (const char *route : {"/o/", "/w/", "/n/"}) {
				std::string path = route + std::to_string(n++);

				AnswerWith(
				    AnswersInEachForm(status, fields, "{}")[0]
					.bytes);
				Reply r = Call(0, path, path, 1);

				EXPECT_EQ(503, r.status) << status << path;
				EXPECT_EQ("no", r.headers["savoryflow-ran"])
				    << status << path;
			}
	AnswerWith("HTTP/1.1 421 X\r\nX-Instance-Id: another\r\n"
		   "Content-Length: 0\r\n\r\n");
	Reply r = Call(0, "/o/421", "o421", 1);
	EXPECT_EQ(503, r.status);
	EXPECT_EQ("no", r.headers["savoryflow-ran"]);
}

/* Guards against a connection that is closed without an answer, as the answer's
 * head does not fit into libmicrohttpd's buffer. */
TEST_F(GatewayRan, AnAnswerWhoseHeadIsTooLongIsToldAsAFailure)
{
	int n = 0;

	StartFleetWithService("odd");
	server.EndAfterAnswers(End::kClose);
	for (size_t len : {1000, 31000, 33000, 40000})
		for (const char *type : {"text/plain", "text/event-stream"}) {
			std::string path = "/o/" + std::to_string(n++);

			AnswerWith(AnswersInEachForm(200,
			    std::string(kSigned) +
				"X-A: " + std::string(len, 'a') +
				"\r\nContent-Type: " + type + "\r\n",
			    "id: 1\ndata: a\n\n")[0]
				       .bytes);
			Reply r = Call(0, path, path, 1);

			EXPECT_EQ(len < 32000 ? 200 : 502, r.status)
			    << len << type;
			EXPECT_EQ(1, RunsOf(path)) << len << type;
		}
	EXPECT_GT(daemons[0]->Count("\"end\":\"head_too_long\""), 0);
}

/* A long head of a request leaves room for the answers of usual targets. */
TEST_F(GatewayRan, LongHeadsOfManyFieldsAreAnswered)
{
	StartReadyFleet(1, 1);
	for (int fields : {1, 50, 150, 250}) {
		std::string id = "h" + std::to_string(fields);
		size_t len = (size_t)(16000 / fields) - 12;
		Headers headers;

		for (int i = 0; i < fields; i++)
			headers.push_back("X-F" + std::to_string(i) + ": " +
			    std::string(len, 'f'));
		Reply r = SendWith(
		    0, "POST", "/f/" + id, RequestBody(2), id, headers);

		EXPECT_EQ(200, r.status) << fields;
		EXPECT_EQ(ExpectedStream("/f/" + id, 2), r.body) << fields;
		EXPECT_EQ(1, CountRuns(id)) << fields;
	}
}

/* An item may run again: no caller is told of its runs. */
TEST_F(GatewayRan, AnItemRunsAgainAfterAnUnconfirmedRefusal)
{
	StartReadyFleet(1, 1);
	for (int status : kRefusals) {
		std::string job = "j" + std::to_string(status);

		InjectFault(
		    0, "{\"statuses\":[" + std::to_string(status) + "]}");
		ASSERT_EQ(202,
		    Send(0, "POST", "/b/" + job,
			JobBody(job, 1, RequestBody(2)), job)
			.status);
		EXPECT_TRUE(Eventually([&] { return HasResults(0, job, 1); }));
		EXPECT_EQ("completed " + ExpectedText("/b/" + job + "0", 2),
		    OnlyResult(0, job));
		EXPECT_EQ(2, CountRuns(job + "0"));
	}
}

} // namespace

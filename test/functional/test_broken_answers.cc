/* The product's own API and command line: answers that end within their heads.
 */
#include <gtest/gtest.h>

#include <thread>

#include "functional/harness.h"
#include "platform/broken_answers.h"

namespace
{

/* Replaced by the id of the request's attempt, if it is sent in full. */
const std::string kAttempt = "ATTEMPTATTEMPT00";
const std::string kNamesAttempt = "Savoryflow-Attempt: " + kAttempt + "\r\n";

struct Form {
	int status;
	std::string fields, body;
};

/* Every nth way in which the answers may break off, each time with its name. */
struct Broken {
	std::string bytes;
	End end;
	std::string name;
};

std::vector<Broken>
EveryNth(const Form &form, size_t n)
{
	std::vector<Broken> all;
	size_t i = 0;

	ForEachBrokenHead(AnswersInEachForm(form.status,
			      kNamesAttempt + form.fields, form.body),
	    [&](const std::string &bytes, End end, const std::string &name) {
		    if (i++ % n == 0)
			    all.push_back({bytes, end, name});
	    });
	return all;
}

/* At the address of an engine or a service: reports its load, and breaks off
 * its other answers. */
struct BrokenOwn : ::testing::Test {
	std::unique_ptr<Fleet> fleet;
	std::mutex lock;
	std::string answer;
	std::atomic<int> requests{0};
	std::unique_ptr<CopyingServer> server;

	std::string
	Answer(const std::string &request)
	{
		std::lock_guard<std::mutex> held(lock);
		size_t at = request.find("Savoryflow-Attempt: ");
		std::string text = answer;
		size_t to = text.find(kAttempt);

		if (request.find("GET /load ") == 0)
			return CopyingServer::Http(200, "{}");
		requests++;
		if (to != std::string::npos)
			text.replace(to, kAttempt.size(),
			    request.substr(at + 20, kAttempt.size()));
		return text;
	}

	void
	StartServer(const std::string &url)
	{
		server.reset(new CopyingServer(
		    [this](const std::string &r) { return Answer(r); },
		    atoi(url.c_str() + url.rfind(':') + 1)));
		server->EndAfterAnswers(End::kClose);
	}

	/* One daemon, and this server in place of the plain service. */
	void
	StartFleetWithPlainServer()
	{
		FleetOptions o;

		o.daemons = 1;
		fleet.reset(new Fleet(o));
		fleet->plain.reset();
		StartServer(fleet->PlainServiceUrl());
	}

	void
	BreakOff(const Broken &b)
	{
		std::lock_guard<std::mutex> held(lock);

		answer = b.bytes;
		server->EndAfterAnswers(b.end);
	}

	/* Sends chats at once, until the server has got one. */
	void
	ExpectChatsAnswered(const std::string &name)
	{
		int before = requests;

		EXPECT_TRUE(Eventually([&] {
			std::vector<std::thread> chats;

			for (int i = 0; i < 4; i++)
				chats.emplace_back([&, i] {
					Reply r = fleet->Chat(0,
					    name + std::to_string(i),
					    i % 2 == 0);

					EXPECT_EQ(200, r.status)
					    << name << r.body;
				});
			for (auto &chat : chats)
				chat.join();
			return requests > before;
		})) << name;
	}
};

/* Guards against an empty success, or "did not run" for a call that ran. */
TEST_F(BrokenOwn, ACallWhoseAnswerEndsWithinItsHeadMayHaveRun)
{
	const Form forms[] = {
	    {200, "", "{\"confirmed\":true}"},
	    {404, "", "{}"},
	    {503, "Savoryflow-Ran: no\r\n", "{}"},
	    {429, "Retry-After: 1\r\n", "{}"},
	};
	int n = 0;

	StartFleetWithPlainServer();
	for (const auto &form : forms)
		for (const auto &b : EveryNth(form, 23)) {
			std::string key = "key" + std::to_string(n++);

			BreakOff(b);
			Reply r = fleet->CallBooking(0, key);
			EXPECT_EQ(502, r.status) << b.name << " " << r.body;
			EXPECT_EQ("unknown", r.headers["savoryflow-ran"])
			    << b.name;
			EXPECT_EQ(2 * n - 1, requests) << b.name;
			r = fleet->CallBooking(0, key);
			EXPECT_GE(r.status, 400) << b.name;
			EXPECT_EQ(2 * n - 1, requests) << b.name << " again";
			/* A target that only fails would be left. */
			BreakOff({CopyingServer::Http(200, "whole"),
			    End::kClose, ""});
			r = fleet->CallBooking(0, key + "-whole");
			EXPECT_EQ("whole", r.body) << b.name << " " << r.status;
		}
	EXPECT_FALSE(fleet->daemons[0]->HasExited())
	    << fleet->daemons[0]->Output();
	EXPECT_GT(fleet->daemons[0]->Count("answer_broken_off"), 0);
}

/* Guards against a refusal, an error or a short text in place of an answer. */
TEST_F(BrokenOwn, AnEnginesAnswerThatEndsWithinItsHeadIsReplaced)
{
	const Form forms[] = {
	    {200, "Content-Type: text/event-stream\r\n", "data: [DONE]\n\n"},
	    {400, "", "{}"},
	    {503, "Savoryflow-Ran: no\r\n", "{}"},
	    {429, "Retry-After: 1\r\n", "{}"},
	};
	for (const auto &form : forms)
		for (const auto &b : EveryNth(form, 211)) {
			FleetOptions o;

			o.engines = 2;
			o.daemons = 1;
			server.reset();
			fleet.reset(new Fleet(o));
			fleet->engines[0].reset();
			StartServer(fleet->EngineUrl(0));
			BreakOff(b);
			ExpectChatsAnswered(b.name);
			EXPECT_EQ(202, fleet->SubmitJob(0, "job", 4).status);
			EXPECT_TRUE(fleet->WaitJob(0, "job")) << b.name;
			fleet->ReadResults(0, "job");
			EXPECT_EQ(0, fleet->daemons[0]->Count("target_leaving"))
			    << b.name;
			fleet->ExpectHistoryValid();
		}
}

/* Guards against a call that ran told as not run by its interim head, and one
 * whose answer is dropped for an id that its interim head names. */
TEST_F(BrokenOwn, AnInterimHeadSaysNothingOfTheAnswer)
{
	const struct {
		const char *interim;
		int status;
		long expected;
		const char *ran;
	} cases[] = {
	    {"Savoryflow-Attempt: 00000000000000aa\r\n", 200, 200, ""},
	    {"Content-Type: x\r\n", 200, 200, ""},
	    {"Savoryflow-Ran: no\r\n", 503, 502, "unknown"},
	};
	int n = 0;

	StartFleetWithPlainServer();
	for (const auto &c : cases) {
		BreakOff({std::string("HTTP/1.1 102 Wait\r\n") + c.interim +
			"\r\n" + CopyingServer::Http(c.status, "whole"),
		    End::kClose, c.interim});
		Reply r = fleet->CallBooking(0, "key" + std::to_string(n++));
		EXPECT_EQ(c.expected, r.status) << c.interim << r.body;
		EXPECT_EQ(c.ran, r.headers["savoryflow-ran"]) << c.interim;
		EXPECT_NE("x", r.headers["content-type"]);
		EXPECT_EQ(n, requests) << c.interim;
	}
}

/* Guards against exit code 0 and no output for a lost answer. */
/* Guards against the beginning of a field that is taken for the whole: a call
 * that ran told as not run, and a type of content that is cut. */
TEST_F(BrokenOwn, FieldsOfAnAnswerAreReadWhole)
{
	const std::string type = "a/b; c=" + std::string(120, 'd');
	const struct {
		std::string fields;
		int status;
		long expected;
		std::string ran, type;
	} cases[] = {
	    {"Content-Type: " + type + "\r\n", 200, 200, "", type},
	    {"Savoryflow-Ran: nobody knows\r\n", 503, 502, "unknown",
		"application/json"},
	};
	int n = 0;

	StartFleetWithPlainServer();
	for (const auto &c : cases) {
		BreakOff({"HTTP/1.1 " + std::to_string(c.status) + " X\r\n" +
			c.fields + "Content-Length: 2\r\n\r\n{}",
		    End::kClose, c.fields});
		Reply r = fleet->CallBooking(0, "whole" + std::to_string(n++));
		EXPECT_EQ(c.expected, r.status) << c.fields << r.body;
		EXPECT_EQ(c.ran, r.headers["savoryflow-ran"]) << c.fields;
		EXPECT_EQ(c.type, r.headers["content-type"]) << c.fields;
		EXPECT_EQ(n, requests) << c.fields;
	}
}

TEST_F(BrokenOwn, TheCommandLineTellsThatAnAnswerBrokeOff)
{
	const Form form = {200, "Savoryflow-Complete: yes\r\n", "{}"};
	const std::vector<std::vector<std::string>> commands = {{"status"},
	    {"config", "show"}, {"batch", "results", "job"},
	    {"batch", "cancel", "job"}, {"drain"}};
	int n = 0;

	StartServer(":0");
	std::string url = "--url=http://" + server->Address();
	for (const auto &b : EveryNth(form, 41)) {
		std::vector<std::string> argv =
		    commands[(size_t)n++ % commands.size()];

		BreakOff(b);
		argv.insert(argv.begin(), Env("SF_BIN"));
		argv.push_back(url);
		Process command(argv);
		EXPECT_EQ(3, command.Wait()) << b.name;
		bool has_line = b.bytes.find('\n') != std::string::npos;
		EXPECT_TRUE(command.WaitLine(has_line
			? "savoryflow: the answer of http://" +
			    server->Address() + " broke off"
			: "savoryflow: no daemon answers at "))
		    << b.name << command.Output();
	}
}

} // namespace

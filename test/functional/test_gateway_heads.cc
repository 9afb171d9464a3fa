/* Answers of workers whose heads are malformed. */
#include "functional/gateway_fixture.h"
#include "platform/late_copies.h"

namespace
{

const char kBody[] = "{\"a\":\"12345678\"}";
const char kType[] = "Content-Type: application/json\r\n";
const char kLength[] = "Content-Length: 16\r\n";
const char kOk[] = "HTTP/1.1 200 OK\r\n";

/* One of the answers; its head names the attempt and has a signature. */
struct Answer {
	std::string name;
	std::string status_line;
	std::string fields;
	std::string body;
	bool is_sound;
};

std::string
Line(const std::string &name, int byte, const std::string &rest)
{
	return name + (char)byte + rest + "\r\n";
}

const std::string kChunked = "Transfer-Encoding: chunked\r\n";
const std::string kChunks = std::string("10\r\n") + kBody + "\r\n0\r\n\r\n";

Answer
WithField(const std::string &name, const std::string &line, bool is_sound)
{
	return {name, kOk, line + kLength, kBody, is_sound};
}

Answer
WithStatus(const std::string &line, bool is_sound)
{
	return {line, line + "\r\n", kLength, kBody, is_sound};
}

Answer
WithTrailer(const std::string &name, const std::string &line, bool is_sound)
{
	return {name, kOk, kChunked,
	    std::string("10\r\n") + kBody + "\r\n0\r\n" + line + "\r\n",
	    is_sound};
}

const Answer kStatuses[] = {
    WithStatus("HTTP/1.1 200 OK", true),
    WithStatus("HTTP/1.1 200", true),
    WithStatus("HTTP/1.0 200 a\tb", true),
    WithStatus("HTTP/1.1 000 OK", false),
    WithStatus("HTTP/1.1 000", false),
    WithStatus("HTTP/1.1 001 OK", false),
    WithStatus("HTTP/1.1 099 OK", false),
    WithStatus("HTTP/1.1 00 OK", false),
    WithStatus("HTTP/1.1 0000 OK", false),
    WithStatus("HTTP/1.1 2000 OK", false),
    WithStatus("HTTP/1.1 101 OK", false),
    WithStatus("HTTP/1.1 600 OK", false),
    WithStatus("HTTP/1.1 999 OK", false),
    WithStatus("HTTP/1.1 200x", false),
    WithStatus("HTTP/1.1 200 O\x01K", false),
    WithStatus("HTTP/1.1 200 O\x7fK", false),
};

const Answer kFields[] = {
    WithField("sound", "X-A: 1\r\n", true),
    WithField("no value", "X-A:\r\n", true),
    WithField("bytes over 127 in a value", "X-A: \xe4\r\n", true),
    {"chunks", kOk, kChunked, kChunks, true},
    WithField("blank", "X A: 1\r\n", false),
    WithField("blank before the colon", "X-A : 1\r\n", false),
    WithField("tab", "X\tA: 1\r\n", false),
    WithField("control byte", Line("X", 1, "A: 1"), false),
    WithField("control byte alone", Line("", 2, ": 1"), false),
    WithField("0x7f", Line("X", 0x7f, "A: 1"), false),
    WithField("NUL", Line("X", 0, "A: 1"), false),
    WithField("bracket", "X(A): 1\r\n", false),
    WithField("bytes over 127", "X\xc3\xa4: 1\r\n", false),
    WithField("no name", ": 1\r\n", false),
    WithField("no colon", "X-A 1\r\n", false),
    WithField("continued", "X-A: 1\r\n more\r\n", false),
    WithField("continued with a colon", "X-A: 1\r\n\tmore: 2\r\n", false),
    WithField("control byte in a value", Line("X-A: ", 1, "1"), false),
    WithField("lone CR in a value", "X-A: 1\rX-B: 2\r\n", false),
    WithField("second length", "Content-Length: 5\r\n", false),
    WithField("chunks and a length", kChunked, false),
    {"length with a blank", kOk, "Content-Length : 16\r\n", kBody, false},
    {"length with a control byte", kOk, Line("Content-Length", 1, ": 16"),
	kBody, false},
    {"chunks with a blank", kOk, "Transfer-Encoding : chunked\r\n", kChunks,
	false},
    {"chunks with a control byte", kOk,
	Line("Transfer-Encoding", 1, ": chunked"), kChunks, false},
    {"chunks continued", kOk, "Transfer-Encoding:\r\n chunked\r\n", kChunks,
	false},
    {"another coding", kOk, "Transfer-Encoding: x\r\n", kChunks, false},
    {"length that is no number", kOk, "Content-Length: x\r\n", kBody, false},
    {"length with a sign", kOk, "Content-Length: +16\r\n", kBody, false},
    WithTrailer("trailer", "X-A: 1\r\n", true),
    WithTrailer("blank in a trailer", "X A: 1\r\n", false),
    WithTrailer("control byte in a trailer", Line("X", 1, "A: 1"), false),
    WithTrailer("trailer without a colon", "X-A\r\n", false),
};

struct GatewayHeads : Gateway {
	std::mutex lock;
	Answer answer;
	/* At the start of the fields, or at their end. */
	bool is_first = false;
	bool is_stream = false;
	int seen = 0;

	std::string
	Head(const std::string &request)
	{
		size_t at = request.find("X-Attempt-Id: ") + 14;
		std::string own = "X-Attempt-Id: " +
		    request.substr(at, request.find("\r\n", at) - at) +
		    "\r\nX-Response-Seal: s\r\n";

		own +=
		    is_stream ? "Content-Type: text/event-stream\r\n" : kType;
		return answer.status_line +
		    (is_first ? answer.fields + own : own + answer.fields) +
		    "\r\n";
	}

	CopyingServer server{[this](const std::string &request) {
		std::lock_guard<std::mutex> held(lock);

		seen++;
		return Head(request) + answer.body;
	}};

	void
	Serve(const Answer &a, bool first)
	{
		{
			std::lock_guard<std::mutex> held(lock);

			answer = a;
			is_first = first;
			seen = 0;
		}
		RelistWorker("odd", server.Address());
	}

	int
	Seen()
	{
		std::lock_guard<std::mutex> held(lock);

		return seen;
	}

	/* The whole answer if it is sound; otherwise none, and no promise that
	 * the request did not run. */
	void
	ExpectJudged(const Answer &a, const std::string &path)
	{
		Reply r = Call(0, path, path + a.name.substr(0, 1), 1);

		EXPECT_GT(Seen(), 0) << a.name << path;
		if (a.is_sound) {
			EXPECT_EQ(200, r.status) << a.name << path;
			EXPECT_EQ(kBody, r.body) << a.name << path;
		} else {
			EXPECT_EQ(502, r.status) << a.name << path << r.body;
			EXPECT_EQ(0u, r.headers.count("x-response-seal"))
			    << a.name;
		}
	}

	template <size_t N>
	void
	ExpectAllJudged(const Answer (&answers)[N])
	{
		int n = 0;

		StartFleetWithService("odd");
		for (const auto &a : answers)
			for (const char *route : {"/o/", "/n/"})
				for (bool first : {false, true}) {
					Serve(a, first);
					ExpectJudged(
					    a, route + std::to_string(n++));
				}
		EXPECT_EQ(200, Call(0, "/q/x", "after", 2).status);
	}
};

TEST_F(GatewayHeads, AStatusThatIsNoneIsNoAnswer)
{
	ExpectAllJudged(kStatuses);
}

/* Such answers were passed on as successes, some with the bytes of their
 * framing as the body. */
TEST_F(GatewayHeads, AFieldThatIsNoneIsNoAnswer)
{
	ExpectAllJudged(kFields);
}

/* The head of a stream is passed on before its end. */
TEST_F(GatewayHeads, AStreamWithAFieldThatIsNoneIsNotBegun)
{
	const std::string events = "id: 1\ndata: a\n\n";
	int n = 0;

	StartFleetWithService("odd");
	is_stream = true;
	for (const auto &a : kFields) {
		Answer stream = a;
		char size[16];

		if (a.name.find("trailer") != std::string::npos ||
		    a.name.find("length") == 0)
			continue;
		g_snprintf(size, sizeof(size), "%zx\r\n", events.size());
		if (a.fields.find(kLength) != std::string::npos)
			stream.fields.replace(stream.fields.find(kLength),
			    strlen(kLength),
			    "Content-Length: " + std::to_string(events.size()) +
				"\r\n");
		stream.body = a.fields.find(kLength) != std::string::npos
		    ? events
		    : size + events + "\r\n0\r\n\r\n";
		Serve(stream, true);
		Reply r = Call(0, "/w/" + std::to_string(n++), a.name, 1);
		EXPECT_GT(Seen(), 0) << a.name;
		EXPECT_EQ(a.is_sound ? 200 : 502, r.status) << a.name << r.body;
	}
}

} // namespace

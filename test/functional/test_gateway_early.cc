/* Workers that answer before they have read a request, and break off. */
#include "functional/connection.h"
#include "functional/gateway_fixture.h"

namespace
{

/* What a worker sends beside its answer's head. */
const char kPart[] = "{\"part\":1,";
const char kEvent[] = "id: 1\ndata: a\n\n";

enum class Ending {
	/* With a reset. */
	kReset,
	/* With a close, while bytes of the request are unread: the kernel
	 * sends a reset. */
	kUnread,
	/* Ends its side, and resets the connection later. */
	kEndThenReset,
	/* Reads the whole request before it answers, and ends its side. */
	kSound,
};

struct Early {
	const char *name;
	Ending ending;
	/* Bytes of the request that are read before the answer. */
	size_t read_bytes;
	int wait_ms;
	const char *fields;
};

const Early kEarly[] = {
    {"sound", Ending::kSound, 0, 0, ""},
    {"sound, close", Ending::kSound, 0, 0, "Connection: close\r\n"},
    {"reset at once", Ending::kReset, 100, 0, ""},
    {"reset", Ending::kReset, 100, 20, ""},
    {"reset late", Ending::kReset, 100, 200, ""},
    {"reset, more read", Ending::kReset, 30000, 20, ""},
    {"reset, close", Ending::kReset, 100, 20, "Connection: close\r\n"},
    {"unread at once", Ending::kUnread, 100, 0, ""},
    {"unread", Ending::kUnread, 100, 20, ""},
    {"unread late", Ending::kUnread, 30000, 200, ""},
    {"unread, close", Ending::kUnread, 100, 20, "Connection: close\r\n"},
    {"end, reset at once", Ending::kEndThenReset, 100, 0, ""},
    {"end, reset", Ending::kEndThenReset, 100, 20, ""},
    {"end, reset late", Ending::kEndThenReset, 100, 400, ""},
    {"end, reset, close", Ending::kEndThenReset, 100, 20,
	"Connection: close\r\n"},
};

/* Accepts connections one after the other. */
class EarlyServer
{
      public:
	EarlyServer()
	{
		struct sockaddr_in a = {};
		socklen_t len = sizeof(a);

		a.sin_family = AF_INET;
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		EXPECT_EQ(0, bind(fd_, (struct sockaddr *)&a, sizeof(a)));
		EXPECT_EQ(0, listen(fd_, 16));
		getsockname(fd_, (struct sockaddr *)&a, &len);
		port = ntohs(a.sin_port);
		thread_ = std::thread([this] { Accept(); });
	}

	~EarlyServer()
	{
		stop_ = true;
		thread_.join();
		close(fd_);
	}

	void
	Set(const Early &form, bool is_stream, size_t request_bytes)
	{
		std::lock_guard<std::mutex> held(lock_);

		form_ = form;
		if (form.ending == Ending::kSound)
			form_.read_bytes = request_bytes;
		is_stream_ = is_stream;
		seen = 0;
	}

	int port = 0;
	std::atomic<int> seen{0};

      private:
	void
	Accept()
	{
		struct pollfd p = {fd_, POLLIN, 0};

		while (!stop_)
			if (poll(&p, 1, 10) == 1)
				Serve(accept4(
				    fd_, nullptr, nullptr, SOCK_CLOEXEC));
	}

	/* @return the attempt's id; the head may come in parts */
	std::string
	ReadStart(int con, size_t bytes)
	{
		std::string text;
		char buf[512];
		size_t at;

		while (text.find("\r\n\r\n") == std::string::npos ||
		    text.size() < text.find("\r\n\r\n") + 4 + bytes) {
			ssize_t n = read(con, buf,
			    text.find("\r\n\r\n") == std::string::npos
				? 1
				: std::min(sizeof(buf), bytes));

			if (n <= 0)
				return "";
			text.append(buf, (size_t)n);
		}
		at = text.find("X-Attempt-Id: ") + 14;
		return text.substr(at, text.find("\r\n", at) - at);
	}

	void
	Serve(int con)
	{
		struct linger now = {1, 0};
		Early form;
		bool is_stream;

		{
			std::lock_guard<std::mutex> held(lock_);

			form = form_;
			is_stream = is_stream_;
		}
		std::string id = ReadStart(con, form.read_bytes);
		std::string text = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
		    "\r\nX-Response-Seal: s\r\n" + form.fields +
		    (is_stream ? "Content-Type: text/event-stream\r\n\r\n"
			       : "Content-Type: application/json\r\n\r\n") +
		    (is_stream ? kEvent : kPart);

		seen += !id.empty();
		send(con, text.data(), text.size(), MSG_NOSIGNAL);
		if (form.ending == Ending::kEndThenReset)
			shutdown(con, SHUT_WR);
		usleep((useconds_t)form.wait_ms * 1000);
		if (form.ending == Ending::kReset ||
		    form.ending == Ending::kEndThenReset)
			setsockopt(
			    con, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
		close(con);
	}

	int fd_;
	std::atomic<bool> stop_{false};
	std::mutex lock_;
	Early form_ = kEarly[0];
	bool is_stream_ = false;
	std::thread thread_;
};

struct GatewayEarly : Gateway {
	EarlyServer server;
};

/* A part of an answer that is told as a whole one. The answer has no length: it
 * ends with its connection, and only the transport tells a reset from an end.
 */
TEST_F(GatewayEarly, AnAnswerThatBreaksOffDuringTheUploadIsNotWhole)
{
	int n = 0;

	body_bytes_max = 5000000;
	StartFleetWithService("early");
	for (const auto &form : kEarly)
		for (const char *route : {"/o/", "/n/", "/w/"})
			for (size_t size : {150000, 3900000}) {
				std::string name = std::string(form.name) +
				    " " + route + std::to_string(size);

				/* No two alike: one that is broken off again
				 * and again is refused. */
				std::string id = "u" + std::to_string(n++);
				std::string body = id + std::string(size, 'x');
				bool is_sound = form.ending == Ending::kSound;

				server.Set(form, route[1] == 'w', body.size());
				RelistWorker(
				    "early", LoopbackAddress(server.port));
				Reply r = Send(0, "POST", route + id, body, id);
				EXPECT_GT(server.seen, 0) << name;
				EXPECT_EQ(is_sound, r.status == 200)
				    << name << r.body;
			}
	EXPECT_EQ(200, Call(0, "/q/x", "after", 2).status);
}

} // namespace

/* What callers see of a daemon that stops: raw connections. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <thread>

#include "functional/gateway_fixture.h"

namespace
{

/* Ends only a test that would hang. */
const int kWaitMs = 30000;

/* A caller's connection. */
class Connection
{
      public:
	explicit Connection(int port)
	{
		struct sockaddr_in addr = {};

		fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		addr.sin_family = AF_INET;
		addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		addr.sin_port = htons((uint16_t)port);
		is_open_ =
		    connect(fd_, (struct sockaddr *)&addr, sizeof(addr)) == 0;
	}

	~Connection()
	{
		close(fd_);
	}

	Connection(const Connection &) = delete;

	bool
	IsOpen() const
	{
		return is_open_;
	}

	void
	Send(const std::string &text)
	{
		send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
	}

	/* Reads one answer with a length, or until the connection closes.
	 * @return "" if nothing was received */
	std::string
	Read()
	{
		std::string text;
		char buf[4096];

		for (;;) {
			struct pollfd pfd = {fd_, POLLIN, 0};
			ssize_t n = poll(&pfd, 1, kWaitMs) > 0
			    ? recv(fd_, buf, sizeof(buf), 0)
			    : -1;

			was_reset_ = n < 0;
			if (n <= 0)
				return text;
			text.append(buf, (size_t)n);
			if (IsWhole(text))
				return text;
		}
	}

	/* The last read ended with a reset: the daemon had read nothing. */
	bool
	WasReset() const
	{
		return was_reset_;
	}

	static bool
	IsWhole(const std::string &text)
	{
		size_t end = text.find("\r\n\r\n");
		size_t len = text.find("Content-Length: ");

		if (end == std::string::npos)
			return false;
		if (len == std::string::npos)
			return text.find("\r\n0\r\n\r\n") != std::string::npos;
		return text.size() >=
		    end + 4 + strtoul(text.c_str() + len + 16, nullptr, 10);
	}

      private:
	int fd_;
	bool is_open_;
	bool was_reset_ = false;
};

std::string
Request(const std::string &id, const std::string &path = "/q/x",
    const std::string &body = "{\"events\":1,\"pace_ms\":0}")
{

	return "POST " + path +
	    " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id +
	    "\r\nX-Deadline-Ms: 60000\r\nContent-Length: " +
	    std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool
IsRefusal(const std::string &answer)
{
	return answer.find("HTTP/1.1 503 ") == 0 &&
	    answer.find("Savoryflow-Ran: no") != std::string::npos &&
	    answer.find("Connection: close") != std::string::npos &&
	    Connection::IsWhole(answer);
}

struct GatewayStop : Gateway {
	/* Sends SIGTERM and waits until new requests are refused; without open
	 * requests, the daemon may have stopped then. */
	void
	StopUntilRefusing()
	{
		daemons[0]->Signal(SIGTERM);
		EXPECT_TRUE(Eventually([&] {
			long status = Call(0, "/q/probe", "probe", 1).status;

			return status == 503 || status == 0;
		}));
		/* Longer than the daemon's period of checks. */
		std::this_thread::sleep_for(std::chrono::milliseconds(300));
	}
};

/* A daemon that was sent a part of a request waits for the rest. */
TEST_F(GatewayStop, ARequestThatArrivesInPartsIsAnswered)
{
	RaiseLimits();
	StartReadyFleet(1, 1);
	std::string text = Request("p");
	size_t head = text.find("\r\n\r\n") + 4;
	const struct {
		const char *name;
		size_t sent;
	} cases[] = {
	    {"a part of the head", head - 20},
	    {"the head", head},
	    {"a part of the body", head + 5},
	};

	for (const auto &c : cases) {
		Connection idle(front_ports[0]), piped(front_ports[0]);
		Connection parts(front_ports[0]);

		for (Connection *con : {&idle, &piped}) {
			con->Send(Request("kept"));
			EXPECT_EQ(0u, con->Read().find("HTTP/1.1 200 "));
		}
		parts.Send(text.substr(0, c.sent));
		StopUntilRefusing();
		idle.Send(Request("late"));
		EXPECT_TRUE(IsRefusal(idle.Read())) << c.name;
		piped.Send(Request("late") + Request("later"));
		EXPECT_TRUE(IsRefusal(piped.Read())) << c.name;
		parts.Send(text.substr(c.sent));
		EXPECT_TRUE(IsRefusal(parts.Read())) << c.name;
		EXPECT_EQ(0, daemons[0]->Wait());
		EXPECT_EQ(0, daemons[0]->Count("request_cut")) << c.name;
		EXPECT_EQ(0, CountRuns("late") + CountRuns("p"));
		StartDaemon(0);
		ASSERT_TRUE(Eventually([&] { return ReadyStatus(0) == 200; }));
	}
}

/* Connections and requests that arrive while the daemon is held up, until it
 * would stop. */
TEST_F(GatewayStop, ConnectionsThatWaitToBeAcceptedAreAnswered)
{
	RaiseLimits();
	StartReadyFleet(1, 1);
	std::vector<std::unique_ptr<Connection>> cons;
	size_t answered = 0;

	daemons[0]->Signal(SIGTERM);
	ASSERT_TRUE(daemons[0]->WaitLine("drain_started"));
	daemons[0]->Signal(SIGSTOP);
	for (int i = 0; i < 100; i++) {
		cons.emplace_back(new Connection(front_ports[0]));
		ASSERT_TRUE(cons.back()->IsOpen());
		cons.back()->Send(Request("w" + std::to_string(i)));
	}
	std::this_thread::sleep_for(std::chrono::milliseconds(3000));
	daemons[0]->Signal(SIGCONT);
	for (auto &con : cons)
		answered += IsRefusal(con->Read());
	EXPECT_EQ(cons.size(), answered);
	EXPECT_EQ(0, daemons[0]->Wait());
}

/* A caller connects and sends its request a little later. A reset is a
 * connection that was never accepted. */
TEST_F(GatewayStop, AConnectionThatWasAcceptedMaySendItsRequest)
{
	const int kCallers = 16;

	RaiseLimits();
	StartReadyFleet(1, 1);
	std::atomic<int> sent{0}, lost{0};
	std::atomic<bool> stop{false};
	std::vector<std::thread> callers;

	for (int i = 0; i < kCallers; i++)
		callers.emplace_back([&] {
			while (!stop) {
				Connection con(front_ports[0]);

				if (!con.IsOpen())
					return;
				std::this_thread::sleep_for(
				    std::chrono::milliseconds(20));
				con.Send(Request("c"));
				sent++;
				if (!Connection::IsWhole(con.Read()) &&
				    !con.WasReset())
					lost++;
			}
		});
	daemons[0]->Signal(SIGTERM);
	EXPECT_EQ(0, daemons[0]->Wait());
	stop = true;
	for (auto &t : callers)
		t.join();
	EXPECT_GE(sent, kCallers);
	EXPECT_EQ(0, lost) << "of " << sent;
}

/* The answer began before the drain, so that it does not ask to close; the next
 * request comes within the time that it names. */
TEST_F(GatewayStop, AKeptConnectionServesForTheTimeThatItsAnswerNames)
{
	RaiseLimits();
	gap_ms = 20000;
	StartReadyFleet(1, 1);
	Connection con(front_ports[0]);

	con.Send(Request("a", "/q/long", RequestBody(60, 50)));
	ASSERT_TRUE(Eventually([&] { return CountRuns("a") == 1; }));
	daemons[0]->Signal(SIGTERM);
	std::string answer = con.Read();
	EXPECT_TRUE(Connection::IsWhole(answer)) << answer;
	EXPECT_NE(std::string::npos, answer.find("Keep-Alive: timeout=2\r\n"));
	std::this_thread::sleep_for(std::chrono::milliseconds(1500));
	con.Send(Request("next"));
	EXPECT_TRUE(IsRefusal(con.Read()));
	EXPECT_EQ(0, daemons[0]->Wait());
}

/* A configuration lowers the limit of bodies while one arrives. */
TEST_F(GatewayStop, ABodyKeepsTheLimitOfItsBeginning)
{
	RaiseLimits();
	StartReadyFleet(1, 1);
	std::string pad(5000, ' ');
	std::string body = RequestBody(1) + pad;
	std::string head = "POST /q/x HTTP/1.1\r\nHost: a.example\r\n"
			   "X-Attempt-Id: b\r\nContent-Length: " +
	    std::to_string(body.size()) + "\r\n\r\n";
	Connection con(front_ports[0]);

	con.Send(head + body.substr(0, 3000));
	body_bytes_max = 1000;
	Configure(2);
	EXPECT_TRUE(Eventually([&] {
		return Send(0, "POST", "/q/x", body, "later").status == 413;
	}));
	con.Send(body.substr(3000));
	EXPECT_EQ(0u, con.Read().find("HTTP/1.1 200 "));
}

/* At the drain timeout, a request without any part of an answer gets one. */
TEST_F(GatewayStop, ARequestThatOutlastsTheDrainIsAnswered)
{
	timeout_ms = 60000;
	drain_timeout_ms = 5000;
	StartReadyFleet(1, 1);
	Connection con(front_ports[0]);

	/* Its system accepts the request; nobody reads it. */
	workers[0]->Signal(SIGSTOP);
	con.Send(Request("hang", "/f/hang"));
	daemons[0]->Signal(SIGTERM);
	std::string answer = con.Read();
	EXPECT_EQ(0u, answer.find("HTTP/1.1 502 ")) << answer;
	EXPECT_NE(std::string::npos, answer.find("Savoryflow-Ran: unknown"));
	EXPECT_NE(std::string::npos, answer.find("Connection: close"));
	EXPECT_EQ(0, daemons[0]->Wait());
	EXPECT_EQ(0, daemons[0]->Count("request_cut"));
}

} // namespace

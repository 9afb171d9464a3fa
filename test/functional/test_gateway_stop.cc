/* What callers see of a daemon that stops: raw connections. */
#include "functional/connection.h"
#include "functional/gateway_fixture.h"

namespace
{

std::string
Request(const std::string &id, const std::string &path = "/q/x",
    const std::string &body = "{\"events\":1,\"pace_ms\":0}")
{

	return "POST " + path +
	    " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id +
	    "\r\nX-Deadline-Ms: 60000\r\nContent-Length: " +
	    std::to_string(body.size()) + "\r\n\r\n" + body;
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
			std::string answer = con->Read();
			EXPECT_EQ(0u, answer.find("HTTP/1.1 200 "))
			    << c.name << ": " << answer;
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
		/* Ready before it has read the list of targets. */
		ASSERT_TRUE(Eventually([&] {
			return ReadyStatus(0) == 200 &&
			    Call(0, "/q/warm", "w", 1).status == 200;
		}));
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

TEST_F(GatewayStop, AConnectionThatWasAcceptedMaySendItsRequest)
{
	RaiseLimits();
	StartReadyFleet(1, 1);
	StoppedCallers res =
	    CallUntilStopped(*daemons[0], front_ports[0], Request("c"));

	EXPECT_EQ(0, res.lost) << "of " << res.sent;
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

	InjectFault(0, R"({"pauses":1,"pause_ms":60000,"pause_after":0})");
	con.Send(Request("hang", "/f/hang"));
	/* One that no worker has yet is refused. */
	ASSERT_TRUE(Eventually([&] { return CountRuns("hang") == 1; }));
	workers[0]->Signal(SIGSTOP);
	daemons[0]->Signal(SIGTERM);
	std::string answer = con.Read();
	EXPECT_EQ(0u, answer.find("HTTP/1.1 502 ")) << answer;
	EXPECT_NE(std::string::npos, answer.find("Savoryflow-Ran: unknown"));
	EXPECT_NE(std::string::npos, answer.find("Connection: close"));
	EXPECT_EQ(0, daemons[0]->Wait());
	EXPECT_EQ(0, daemons[0]->Count("request_cut"));
}

} // namespace

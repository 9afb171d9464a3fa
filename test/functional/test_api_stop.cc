/* What callers of the own API see of a daemon that stops: raw connections. */
#include "functional/connection.h"

namespace
{

std::string
Request(const std::string &prompt)
{
	std::string body = ChatBody(prompt, false);

	return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
	       "Authorization: Bearer students-key\r\nContent-Length: " +
	    std::to_string(body.size()) + "\r\n\r\n" + body;
}

FleetOptions
OneDaemon()
{
	FleetOptions o;

	o.daemons = 1;
	o.flags = {"--drain-notice-ms=1000", "--drain-timeout-ms=60000"};
	return o;
}

int
PortOf(const Fleet &f)
{
	std::string url = f.DaemonUrl(0);

	return atoi(url.c_str() + url.rfind(':') + 1);
}

TEST(ApiStop, ARequestThatArrivesInPartsIsAnswered)
{
	std::string text = Request("q");
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
		Fleet f(OneDaemon());
		Connection idle(PortOf(f)), parts(PortOf(f));

		idle.Send(text);
		EXPECT_EQ(0u, idle.Read().find("HTTP/1.1 200 ")) << c.name;
		parts.Send(text.substr(0, c.sent));
		f.daemons[0]->Signal(SIGTERM);
		EXPECT_TRUE(f.daemons[0]->WaitLine("drain_started"));
		/* Well past the drain notice. */
		std::this_thread::sleep_for(std::chrono::milliseconds(2000));
		/* More than one read takes. */
		idle.Send(Request(std::string(200000, 'x')));
		EXPECT_TRUE(IsRefusal(idle.Read())) << c.name;
		parts.Send(text.substr(c.sent));
		std::string answer = parts.Read();
		EXPECT_TRUE(Connection::IsWhole(answer)) << c.name;
		EXPECT_NE(std::string::npos, answer.find("Connection: close"))
		    << c.name;
		EXPECT_EQ(0, f.daemons[0]->Wait());
		EXPECT_EQ(0, f.daemons[0]->Count("request_cut")) << c.name;
		EXPECT_EQ(1, f.daemons[0]->Count("\"cut\":\"0\"")) << c.name;
	}
}

/* They arrive while the daemon is held up past its drain notice. */
TEST(ApiStop, ConnectionsThatWaitToBeAcceptedAreAnswered)
{
	Fleet f(OneDaemon());
	std::vector<std::unique_ptr<Connection>> cons;
	size_t answered = 0;

	f.daemons[0]->Signal(SIGTERM);
	ASSERT_TRUE(f.daemons[0]->WaitLine("drain_started"));
	f.daemons[0]->Signal(SIGSTOP);
	for (int i = 0; i < 30; i++) {
		cons.emplace_back(new Connection(PortOf(f)));
		ASSERT_TRUE(cons.back()->IsOpen());
		cons.back()->Send(Request("w"));
	}
	std::this_thread::sleep_for(std::chrono::milliseconds(1500));
	f.daemons[0]->Signal(SIGCONT);
	for (auto &con : cons)
		answered += Connection::IsWhole(con->Read());
	EXPECT_EQ(cons.size(), answered);
	EXPECT_EQ(0, f.daemons[0]->Wait());
}

TEST(ApiStop, AConnectionThatWasAcceptedMaySendItsRequest)
{
	Fleet f(OneDaemon());
	StoppedCallers res =
	    CallUntilStopped(*f.daemons[0], PortOf(f), Request("c"));

	EXPECT_EQ(0, res.lost) << "of " << res.sent;
}

/* Its thread of peers queries targets, up to its end. */
TEST(ApiStop, ADaemonThatQueriesItsTargetsOftenExits)
{
	FleetOptions o = OneDaemon();

	o.flags = {"--drain-notice-ms=0", "--report-period-ms=20"};
	for (int i = 0; i < 20; i++) {
		Fleet f(o);

		f.daemons[0]->Signal(SIGTERM);
		ASSERT_EQ(0, f.daemons[0]->Wait()) << "stop " << i;
	}
}

} // namespace

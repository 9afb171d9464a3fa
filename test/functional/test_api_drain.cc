/* What callers of the own API get from a daemon that stops, for any grace. */
#include "functional/connection.h"

namespace
{

enum { kCallers = 12 };

struct Sent {
	bool may_repeat;
	/** It was sent when the daemon had begun to stop. */
	bool is_late;
	std::string answer;
};

std::string
Request(const std::string &path, const std::string &body)
{
	return "POST " + path +
	    " HTTP/1.1\r\nHost: a\r\n"
	    "Authorization: Bearer students-key\r\nContent-Length: " +
	    std::to_string(body.size()) + "\r\n\r\n" + body;
}

int
PortOf(const Fleet &f)
{
	std::string url = f.DaemonUrl(0);

	return atoi(url.c_str() + url.rfind(':') + 1);
}

struct ApiDrainCase {
	const char *name;
	int grace_ms;
	int call_ms;
};

/* Callers on kept connections, until the daemon takes none. */
struct ApiDrainPlay {
	Fleet fleet;
	std::vector<Sent> sent;
	std::mutex lock;
	std::atomic<bool> is_stopping{false};

	explicit ApiDrainPlay(const FleetOptions &o) : fleet(o)
	{
	}

	void
	CallOn(int caller)
	{
		bool may_repeat = caller % 2 == 1;
		std::string text = may_repeat
		    ? Request("/v1/chat/completions", ChatBody("q", false))
		    : Request("/v1/call/booking/x", "{}");
		std::unique_ptr<Connection> con;

		for (;;) {
			if (con == nullptr)
				con.reset(new Connection(PortOf(fleet)));
			if (!con->IsOpen())
				return;
			Sent one = {may_repeat, is_stopping, ""};
			con->Send(text);
			one.answer = con->Read();
			/* It was never accepted. */
			if (one.answer.empty() && con->WasReset())
				return;
			bool is_closing = !Connection::IsWhole(one.answer) ||
			    one.answer.find("Connection: close") !=
				std::string::npos;
			std::lock_guard<std::mutex> guard(lock);
			sent.push_back(one);
			if (is_closing)
				con.reset();
		}
	}

	/* The operator ends the daemon when its grace is over. */
	void
	StopWithin(int grace_ms, const char *name)
	{
		Process &daemon = *fleet.daemons[0];
		int64_t end_us = NowUs() + grace_ms * 1000;

		daemon.Signal(SIGTERM);
		EXPECT_TRUE(daemon.WaitLine("drain_started"));
		is_stopping = true;
		/* Operators repeat it; the grace does not begin anew. */
		daemon.Signal(SIGTERM);
		while (!daemon.HasExited() && NowUs() < end_us)
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(5));
		if (!daemon.HasExited())
			daemon.Signal(SIGKILL);
		EXPECT_EQ(0, daemon.Wait()) << name << ": exits in its grace";
	}

	void
	Run(const ApiDrainCase &c)
	{
		std::vector<std::thread> callers;

		fleet.InjectFault(fleet.PlainServiceUrl(),
		    "{\"delay_ms\":" + std::to_string(c.call_ms) + "}");
		for (int i = 0; i < kCallers; i++)
			callers.emplace_back([this, i] { CallOn(i); });
		EXPECT_TRUE(Eventually([&] {
			std::lock_guard<std::mutex> guard(lock);

			return sent.size() >= kCallers;
		}));
		StopWithin(c.grace_ms, c.name);
		for (auto &t : callers)
			t.join();
		for (const auto &one : sent) {
			bool may_end = one.may_repeat || !one.is_late;

			EXPECT_TRUE(Connection::IsWhole(one.answer))
			    << c.name << ": " << one.answer;
			EXPECT_TRUE(may_end ||
			    one.answer.find("Savoryflow-Ran: unknown") ==
				std::string::npos)
			    << c.name << ", taken late and given up";
		}
	}
};

TEST(ApiDrain, CallsTakenLateAreNotCutWhenTheGraceEnds)
{
	const ApiDrainCase cases[] = {
	    {"far below the notice", 500, 700},
	    {"below the notice", 1000, 700},
	    {"just below the notice", 2000, 1200},
	    {"as long as the notice", 3000, 2000},
	    {"above the notice", 5000, 3000},
	};

	for (const auto &c : cases) {
		FleetOptions o;

		o.daemons = 1;
		o.flags = {"--drain-notice-ms=3000",
		    "--drain-timeout-ms=" + std::to_string(c.grace_ms)};
		ApiDrainPlay play(o);
		play.Run(c);
	}
}

} // namespace

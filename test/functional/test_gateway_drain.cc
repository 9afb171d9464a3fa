/* What callers get from a daemon that stops, for any grace. */
#include "functional/connection.h"
#include "functional/gateway_fixture.h"

namespace
{

enum { kCallers = 16 };

/* What one caller sent, and the answer. */
struct Sent {
	std::string id;
	bool may_repeat;
	/** It was sent when the daemon had begun to stop. */
	bool is_late;
	std::string answer;
};

struct GatewayDrain : Gateway {
	std::vector<Sent> sent;
	std::mutex lock;
	std::atomic<bool> is_stopping{false};
	std::string seen;
	int version = 1;

	static std::string
	OnlineRoute(const char *name, const char *kind, int timeout,
	    int objective_ms = 400)
	{
		return std::string(",{\"name\":\"") + name +
		    R"(","host":"a.example","path_prefix":"/)" + name +
		    R"(/","kind":")" + kind +
		    R"(","service":"llm","max_attempts":3,"target_latency_ms":)" +
		    std::to_string(objective_ms) +
		    ",\"timeout_ms\":" + std::to_string(timeout) + "}";
	}

	std::string
	Request(const std::string &id, const std::string &path, int events,
	    int pace_ms)
	{
		std::string body = RequestBody(events, pace_ms);

		return "POST " + path +
		    " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id +
		    "\r\nX-Deadline-Ms: " + std::to_string(timeout_ms) +
		    "\r\nContent-Length: " + std::to_string(body.size()) +
		    "\r\n\r\n" + body;
	}

	/* A daemon with this grace, and routes with this limit. */
	void
	Restart(int grace_ms, int limit_ms)
	{
		drain_timeout_ms = grace_ms;
		timeout_ms = limit_ms;
		Configure(++version,
		    OnlineRoute("once", "non_idempotent", limit_ms) +
			OnlineRoute("again", "idempotent", limit_ms));
		StartDaemon(0);
		ASSERT_TRUE(Eventually([&] {
			return ReadyStatus(0) == 200 &&
			    Call(0, "/once/x", "warm", 1).status == 200;
		}));
	}

	/* Sends on kept connections, until the daemon takes none. */
	void
	CallOn(int caller)
	{
		static const char *const paths[] = {
		    "/once/x", "/again/x", "/f/x", "/q/x"};
		static const int events[] = {2, 20, 45};
		std::unique_ptr<Connection> con;

		for (int n = 0;; n++) {
			if (con == nullptr)
				con.reset(new Connection(front_ports[0]));
			if (!con->IsOpen())
				return;
			Sent one;
			one.id = "v" + std::to_string(version) + "c" +
			    std::to_string(caller) + "n" + std::to_string(n);
			one.may_repeat = caller % 2 == 1;
			one.is_late = is_stopping;
			con->Send(Request(one.id, paths[caller % 4],
			    events[(caller + n) % 3], 50));
			one.answer = con->Read();
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
	StopWithin(int grace_ms)
	{
		int64_t end_us = NowUs() + grace_ms * 1000;

		daemons[0]->Signal(SIGTERM);
		EXPECT_TRUE(daemons[0]->WaitLine("drain_started"));
		is_stopping = true;
		/* Operators repeat it; the grace does not begin anew. */
		daemons[0]->Signal(SIGTERM);
		while (!daemons[0]->HasExited() && NowUs() < end_us)
			std::this_thread::sleep_for(
			    std::chrono::milliseconds(5));
		if (!daemons[0]->HasExited())
			daemons[0]->Signal(SIGKILL);
		EXPECT_EQ(0, daemons[0]->Wait()) << "exits in its grace";
	}

	bool
	HasRun(const std::string &id)
	{
		return seen.find("\"" + id + "\"") != std::string::npos;
	}

	/* @return what is wrong with the answer, or "" */
	std::string
	Fault(const Sent &one)
	{
		const std::string &text = one.answer;
		bool may_end = one.may_repeat || !one.is_late;

		if (text.empty())
			return HasRun(one.id) ? "no answer, and it ran" : "";
		if (text.find("HTTP/1.1 503 ") == 0 && HasRun(one.id))
			return "refused, and it ran";
		if (text.find("HTTP/1.1 502 ") == 0 && !may_end)
			return "taken late and given up";
		if (!Connection::IsWhole(text) && !may_end)
			return "taken late and cut";
		return "";
	}

	void
	ExpectAnswers(const char *name)
	{
		seen = "";
		for (int port : worker_ports)
			seen += Http(
			    "GET", "http://" + LoopbackAddress(port) + "/seen")
				    .body;
		for (const auto &one : sent)
			EXPECT_EQ("", Fault(one))
			    << name << " " << one.id << ": " << one.answer;
		EXPECT_GE(sent.size(), (size_t)kCallers) << name;
		sent.clear();
	}

	void
	StopUnderCalls(const char *name, int grace_ms)
	{
		std::vector<std::thread> callers;

		is_stopping = false;
		for (int i = 0; i < kCallers; i++)
			callers.emplace_back([this, i] { CallOn(i); });
		EXPECT_TRUE(Eventually([&] {
			std::lock_guard<std::mutex> guard(lock);

			return sent.size() >= kCallers;
		}));
		StopWithin(grace_ms);
		for (auto &t : callers)
			t.join();
		ExpectAnswers(name);
	}
};

TEST_F(GatewayDrain, CallsTakenLateAreNotCutWhenTheGraceEnds)
{
	const struct {
		const char *name;
		int grace_ms;
		int limit_ms;
	} cases[] = {
	    {"far below the balancer's time", 500, 5000},
	    {"below the reserve", 1000, 5000},
	    {"below the balancer's time", 2000, 5000},
	    {"just above it", 3000, 5000},
	    {"limits beyond the grace", 4000, 20000},
	    {"limits below the grace", 8000, 5000},
	    {"limits far beyond the grace", 8000, 60000},
	};

	RaiseLimits();
	StartReadyFleet(2, 1);
	daemons[0]->Signal(SIGKILL);
	daemons[0]->Wait();
	for (const auto &c : cases) {
		Restart(c.grace_ms, c.limit_ms);
		StopUnderCalls(c.name, c.grace_ms);
	}
}

TEST_F(GatewayDrain, ACallThatWaitsForASlotAtTheStopIsToldThatItDidNotRun)
{
	const struct {
		const char *name;
		const char *kind;
	} cases[] = {
	    {"at most once", "non_idempotent"},
	    {"repeatable", "idempotent"},
	};

	timeout_ms = 60000;
	gap_ms = 20000;
	drain_timeout_ms = 4000;
	StartReadyFleet(1, 1);
	for (const auto &c : cases) {
		std::vector<std::unique_ptr<Connection>> busy;
		std::string id = std::string("wait") + c.kind;

		Configure(
		    ++version, OnlineRoute("w", c.kind, timeout_ms, 20000));
		ASSERT_TRUE(Eventually(
		    [&] { return Call(0, "/w/x", "warm", 1).status == 200; }));
		for (int i = 0; i < 4; i++) {
			busy.emplace_back(new Connection(front_ports[0]));
			busy.back()->Send(Request(
			    id + "busy" + std::to_string(i), "/w/x", 400, 50));
		}
		ASSERT_TRUE(
		    Eventually([&] { return CountRunsAt(0, id) == 4; }));
		Connection waits(front_ports[0]);
		waits.Send(Request(id, "/w/x", 1, 0));
		/* It arrives after that one. */
		EXPECT_EQ(404, Send(0, "GET", "/none", "", "probe").status);
		daemons[0]->Signal(SIGTERM);
		std::string answer = waits.Read();
		EXPECT_TRUE(IsRefusal(answer)) << c.name << ": " << answer;
		EXPECT_EQ(0, daemons[0]->Wait());
		EXPECT_EQ(0, CountRuns(id)) << c.name;
		StartDaemon(0);
		ASSERT_TRUE(Eventually([&] { return ReadyStatus(0) == 200; }));
	}
}

TEST_F(GatewayDrain, JobsAreAnsweredAndHandedOverWhileTheStoreIsSilent)
{
	static const char *const submitted[] = {"late0", "late1"};

	RaiseLimits();
	StartReadyFleet(1, 2);
	for (int grace_ms : {1000, 3000, 6000}) {
		std::string job = "j" + std::to_string(grace_ms);
		std::vector<std::unique_ptr<Connection>> cons;

		daemons[0]->Signal(SIGKILL);
		daemons[0]->Wait();
		drain_timeout_ms = grace_ms;
		StartDaemon(0);
		ASSERT_TRUE(Eventually([&] {
			return ReadyStatus(0) == 200 &&
			    Send(0, "POST", "/b/" + job,
				JobBody(job + "i", 3, RequestBody(20, 50)), job)
				.status == 202;
		}));
		ASSERT_TRUE(
		    Eventually([&] { return CountRunsAt(0, job + "i") > 0; }));
		store->Signal(SIGSTOP);
		for (const char *id : submitted) {
			std::string body = JobBody(id + job, 1, RequestBody(1));

			cons.emplace_back(new Connection(front_ports[0]));
			cons.back()->Send("POST /b/" + job +
			    " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " +
			    id + job + "\r\nContent-Length: " +
			    std::to_string(body.size()) + "\r\n\r\n" + body);
		}
		for (const char *path : {"/api/items/", "/api/lots/"}) {
			cons.emplace_back(new Connection(front_ports[0]));
			cons.back()->Send(std::string("GET ") + path + job +
			    "?id=" + job +
			    "i0 HTTP/1.1\r\nHost: a.example\r\n"
			    "X-Attempt-Id: r\r\n\r\n");
		}
		/* Answered after those were read. */
		EXPECT_EQ(404, Send(0, "GET", "/none", "", "probe").status);
		StopWithin(grace_ms);
		std::vector<std::string> answers;
		for (auto &con : cons) {
			answers.push_back(con->Read());
			EXPECT_TRUE(Connection::IsWhole(answers.back()))
			    << grace_ms;
		}
		store->Signal(SIGCONT);
		EXPECT_TRUE(Eventually([&] { return HasResults(1, job, 3); }))
		    << grace_ms;
		for (int i = 0; i < 2; i++)
			EXPECT_FALSE(IsRefusal(answers[(size_t)i]) &&
			    CountRuns(submitted[i] + job + "0") > 0)
			    << answers[(size_t)i];
		StartDaemon(0);
		ASSERT_TRUE(Eventually([&] { return ReadyStatus(0) == 200; }));
	}
}

/* The daemon goes on when its grace is over, and nobody has ended it. */
TEST_F(GatewayDrain, ADaemonThatWasSuspendedPastItsGraceAnswers)
{
	std::vector<std::unique_ptr<Connection>> cons;
	size_t answered = 0;

	drain_timeout_ms = 2000;
	StartReadyFleet(1, 1);
	for (int i = 0; i < 20; i++) {
		cons.emplace_back(new Connection(front_ports[0]));
		cons.back()->Send(Request(
		    "k" + std::to_string(i), "/f/x", i % 2 == 0 ? 1 : 30, 50));
	}
	EXPECT_TRUE(Eventually([&] { return CountRunsAt(0, "k") >= 4; }));
	daemons[0]->Signal(SIGTERM);
	ASSERT_TRUE(daemons[0]->WaitLine("drain_started"));
	daemons[0]->Signal(SIGSTOP);
	for (int i = 0; i < 20; i++) {
		cons.emplace_back(new Connection(front_ports[0]));
		cons.back()->Send(
		    Request("l" + std::to_string(i), "/f/x", 1, 0));
	}
	/* Well past the grace. */
	std::this_thread::sleep_for(std::chrono::milliseconds(3000));
	daemons[0]->Signal(SIGCONT);
	for (auto &con : cons)
		answered += !con->Read().empty();
	EXPECT_EQ(cons.size(), answered);
	EXPECT_EQ(0, daemons[0]->Wait());
	EXPECT_EQ(0, CountRuns("l"));
}

TEST_F(GatewayDrain, ARequestThatIsStillBeingSentAtTheEndIsRefused)
{
	std::string text = Request("part", "/once/x", 1, 0);
	size_t head = text.find("\r\n\r\n") + 4;
	const struct {
		const char *name;
		size_t sent;
	} cases[] = {
	    {"a part of the head", head - 20},
	    {"the head", head},
	    {"a part of the body", head + 5},
	};
	std::vector<std::unique_ptr<Connection>> cons;

	drain_timeout_ms = 4000;
	StartReadyFleet(1, 1);
	for (const auto &c : cases) {
		cons.emplace_back(new Connection(front_ports[0]));
		cons.back()->Send(text.substr(0, c.sent));
	}
	/* Answered after those were read. */
	EXPECT_EQ(404, Send(0, "GET", "/none", "", "probe").status);
	daemons[0]->Signal(SIGTERM);
	for (size_t i = 0; i < cons.size(); i++) {
		std::string answer = cons[i]->Read();

		EXPECT_TRUE(IsRefusal(answer))
		    << cases[i].name << ": " << answer;
	}
	EXPECT_EQ(0, daemons[0]->Wait());
	EXPECT_EQ(0, daemons[0]->Count("request_cut"));
}

} // namespace

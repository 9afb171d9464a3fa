#include <thread>

#include "functional/gateway_fixture.h"

namespace
{

struct GatewayAllowance : Gateway {
	/* Publishes the routes with teams, as a JSON list. */
	void
	ConfigureTeams(int version, const std::string &teams)
	{
		std::string doc = "{\"version\":" + std::to_string(version) +
		    R"(,"tenants":[)" + teams + R"(],"routes":[
		    {"name":"q","host":"a.example","path_prefix":"/q/",
		    "kind":"streaming","target_latency_ms":400,
		    "service":"llm","max_attempts":3,"resumable":true,
		    "timeout_ms":5000,"target_gap_ms":300}],
		    "services":[{"name":"llm"}],
		    "limits":{"body_bytes":100000}})";

		PutRow("op", "config", doc.c_str());
	}

	/* A team that holds the key NAME-key. */
	static std::string
	Team(const std::string &name, const std::string &rate_per_s, int burst)
	{
		return "{\"name\":\"" + name + "\",\"api_keys\":[\"" + name +
		    "-key\"],\"priority\":0,\"rate_per_s\":" + rate_per_s +
		    ",\"burst_size\":" + std::to_string(burst) + "}";
	}

	/* Teams s0 to s7, which are divided among the owners. */
	static std::string
	SmallTeams()
	{
		std::string all;

		for (int i = 0; i < kSmallTeams; i++)
			all += "," + Team("s" + std::to_string(i), "3", 3);
		return all;
	}

	Reply
	CallAs(size_t daemon, const std::string &team)
	{
		std::string id = "a-" + std::to_string(next_id++);

		return Http("POST",
		    "http://" + LoopbackAddress(front_ports[daemon]) + "/q/" +
			id,
		    RequestBody(1),
		    {"Host: a.example", "X-Attempt-Id: " + id,
			"X-Deadline-Ms: 5000",
			"Authorization: Bearer " + team + "-key"});
	}

	void
	StartFleet(int worker_count, int daemon_count, const std::string &teams)
	{
		ConfigureTeams(1, teams);
		for (int i = 0; i < worker_count; i++)
			AddWorker();
		for (int i = 0; i < daemon_count; i++)
			AddDaemon();
		for (auto &d : daemons) {
			ASSERT_TRUE(
			    d->WaitLine("\"name\":\"config_in_force\""));
			ASSERT_TRUE(daemon_count == 1 ||
			    d->WaitLine(
				"\"name\":\"member_up\"", daemon_count - 1));
			ASSERT_TRUE(d->WaitLine("\"name\":\"allowance_tied\""));
		}
		for (size_t i = 0; worker_count > 0 && i < daemons.size(); i++)
			ASSERT_TRUE(Eventually(
			    [&] { return CallAs(i, "free").status == 200; }));
	}

	/* Calls at the given daemons in turn for a time; counts the answers. */
	struct Counts {
		int served = 0, limited = 0, other = 0;
	};

	Counts
	Flood(const std::vector<size_t> &at, const std::string &team,
	    int64_t duration_us)
	{
		int64_t until_us = NowUs() + duration_us;
		Counts n;

		for (size_t i = 0; NowUs() < until_us; i++) {
			long status = CallAs(at[i % at.size()], team).status;

			n.served += status == 200;
			n.limited += status == 429;
			n.other += status != 200 && status != 429;
		}
		return n;
	}

	/* Largest number in a time, see C of the requirements. */
	static double
	Bound(double rate, double burst, int64_t duration_us)
	{
		double windows = (double)duration_us / 5e6;

		return std::max(windows, 1.0) * ((rate * 5 + burst) * 1.1 + 20);
	}

	int
	CountEvents(const std::string &name)
	{
		int n = 0;

		for (auto &d : daemons)
			n += d->Count("\"name\":\"" + name);
		return n;
	}

	static constexpr int kSmallTeams = 8;
	int next_id = 0;
};

const char kUnlimited[] =
    R"({"name":"free","api_keys":["free-key"],"priority":0})";

/* Guards against requests beyond the allowance that are run, and against one
 * team's limit that applies to another. */
TEST_F(GatewayAllowance, AHotTeamIsLimitedAndAnotherIsNot)
{
	StartFleet(2, 3,
	    std::string(kUnlimited) + "," + Team("hot", "4", 4) + "," +
		Team("calm", "20000", 5000));
	int64_t started_us = NowUs();
	Counts hot = Flood({0, 1, 2}, "hot", 4000000);

	EXPECT_LE(hot.served, Bound(4, 4, NowUs() - started_us));
	EXPECT_GE(hot.served, 8) << "half of the rate";
	EXPECT_GT(hot.limited, 0);
	EXPECT_EQ(0, hot.other);
	Counts calm = Flood({0, 1, 2}, "calm", 1000000);
	EXPECT_EQ(0, calm.limited + calm.other);
	EXPECT_GT(calm.served, 0);

	Reply refused;
	ASSERT_TRUE(Eventually([&] {
		refused = CallAs(1, "hot");
		return refused.status == 429;
	}));
	EXPECT_GT(std::stod(refused.headers["retry-after"]), 0);
	EXPECT_EQ("no", refused.headers["savoryflow-ran"]);
	EXPECT_EQ(0, CountRuns("a-" + std::to_string(next_id - 1)));
}

/* Guards against an allowance that is lost with the daemon that leases it, and
 * against a replacement that grants it a second time. */
TEST_F(GatewayAllowance, AnotherDaemonTakesOverFromOneThatIsKilled)
{
	StartFleet(2, 3, std::string(kUnlimited) + SmallTeams());
	for (int i = 0; i < kSmallTeams; i++)
		ASSERT_TRUE(Eventually([&] {
			return CallAs(0, "s" + std::to_string(i)).status == 200;
		}));
	daemons[1]->Signal(SIGKILL);
	daemons[1]->Wait();
	int64_t killed_us = NowUs();
	Counts hot = Flood({0, 2}, "s0", 3000000);
	EXPECT_LE(hot.served, Bound(3, 3, NowUs() - killed_us));
	for (int i = 0; i < kSmallTeams; i++)
		for (size_t d : {0, 2})
			EXPECT_TRUE(Eventually([&] {
				return CallAs(d, "s" + std::to_string(i))
					   .status == 200;
			})) << "team "
			    << i << " at " << d;
}

/* Guards against a daemon without its peers that refuses everything, or that
 * admits the whole allowance at once. */
TEST_F(GatewayAllowance, ADaemonCutFromTheOthersAdmitsItsShare)
{
	StartFleet(2, 3, std::string(kUnlimited) + SmallTeams());
	daemons[0]->Signal(SIGSTOP);
	daemons[1]->Signal(SIGSTOP);
	int64_t cut_us = NowUs();
	Counts hot = Flood({2}, "s0", 3000000);
	EXPECT_LE(hot.served, Bound(3, 3, NowUs() - cut_us));
	for (int i = 0; i < kSmallTeams; i++)
		EXPECT_TRUE(Eventually([&] {
			return CallAs(2, "s" + std::to_string(i)).status == 200;
		})) << "team "
		    << i;
	daemons[0]->Signal(SIGCONT);
	daemons[1]->Signal(SIGCONT);
	EXPECT_TRUE(
	    Eventually([&] { return CallAs(0, "free").status == 200; }));
}

/* Guards against limits that stay in force after the configuration changed. */
TEST_F(GatewayAllowance, AChangedLimitTakesEffect)
{
	std::string free = std::string(kUnlimited) + ",";

	StartFleet(1, 2, free + Team("hot", "20000", 5000));
	Counts n = Flood({0, 1}, "hot", 500000);
	EXPECT_EQ(0, n.limited + n.other);
	ConfigureTeams(2, free + Team("hot", "0.5", 1));
	EXPECT_TRUE(Eventually([&] { return CallAs(0, "hot").status == 429; }));
	ConfigureTeams(3, free + Team("hot", "20000", 5000));
	for (auto &d : daemons)
		ASSERT_TRUE(d->WaitLine("\"name\":\"config_in_force\"", 3));
	ASSERT_TRUE(Eventually([&] {
		return Flood({0, 1}, "hot", 200000).limited == 0;
	}));
	ConfigureTeams(4, free + Team("hot", "0", 0));
	for (auto &d : daemons)
		ASSERT_TRUE(d->WaitLine("\"name\":\"config_in_force\"", 4));
	EXPECT_EQ(0, Flood({0, 1}, "hot", 500000).limited);
}

/* Guards against requests that are counted although they never ran: a team
 * would be refused for the lack of capacity, and then for its allowance. */
TEST_F(GatewayAllowance, RequestsThatDidNotRunAreGivenBack)
{
	StartFleet(
	    0, 2, std::string(kUnlimited) + "," + Team("slow", "0.1", 1));
	/* The lease of the owner holds 7 requests at most. */
	for (int i = 0; i < 14; i++)
		EXPECT_EQ(503, CallAs(i % 2, "slow").status) << "call " << i;
}

/* Guards against a single daemon that waits for peers for ever, and against a
 * refusal that blames the team while the daemon starts. */
TEST_F(GatewayAllowance, ADaemonWithoutPeersAdmitsTheAllowance)
{
	ConfigureTeams(1, Team("hot", "4", 4));
	AddWorker();
	AddDaemon();
	ASSERT_TRUE(daemons[0]->WaitLine("\"name\":\"config_in_force\""));
	Reply first = CallAs(0, "hot");
	EXPECT_TRUE(first.status == 200 ||
	    (first.status == 503 &&
		std::stod(first.headers["retry-after"]) <= 1))
	    << first.status;
	EXPECT_TRUE(Eventually([&] { return CallAs(0, "hot").status == 200; }));
	EXPECT_TRUE(Eventually([&] { return CallAs(0, "hot").status == 429; }));
}

/* Guards against messages and timers in deployments that have no teams. */
TEST_F(GatewayAllowance, NothingIsSentWithoutTeams)
{
	StartReadyFleet(1, 2);
	EXPECT_EQ(0, CountEvents("allowance_"));
}

} // namespace

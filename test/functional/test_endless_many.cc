/* Many answers at once, without end or large, in a VM with little memory. */
#include <atomic>
#include <thread>

#include "functional/gateway_fixture.h"
#include "platform/late_copies.h"

namespace
{

/* Memory of the smallest VM; the platform ends a process above it. */
const int kVmMib = 130;
const int kCallers = 64;
const int kServers = 4;
const int kSlots = 16;
/* Nobody is to be found silent while a body arrives. */
const int kLatencyMs = 2000;
const size_t kLargeBytes = 4000000;

struct EndlessMany : Gateway {
	std::unique_ptr<Process> server;
	int listed = 0;

	EndlessMany()
	{
		daemon_flags = {"--memory-mb=" + std::to_string(kVmMib)};
	}

	void
	StartEndless(const char *mode)
	{
		int port = FreePort();

		server.reset(new Process({Env("SF_STANDIN"), "endless",
		    "--port=" + std::to_string(port),
		    std::string("--mode=") + mode}));
		ASSERT_TRUE(server->WaitLine("listening"));
		for (int i = 0; i < kServers; i++)
			ListWorker("m-" + std::to_string(listed++), "many",
			    LoopbackAddress(port), kSlots);
	}

	/* No two requests alike: one that fails again and again is refused. */
	void
	CallAtOnce(const std::string &route, const std::string &name)
	{
		std::vector<std::thread> callers;

		for (int i = 0; i < kCallers; i++)
			callers.emplace_back([=] {
				std::string id = name + std::to_string(i);
				Reply r = Send(0, "POST", route + id,
				    "{\"n\":\"" + id + "\"}", id);

				EXPECT_NE(200, r.status) << id;
			});
		for (int i = 0; i < kCallers; i++) {
			std::string id = name + "q" + std::to_string(i);

			EXPECT_EQ(200, Call(0, "/q/x", id, 2).status) << id;
		}
		for (auto &c : callers)
			c.join();
	}
};

/* Each answer was bounded, and what all of them kept was not: the platform
 * ended the process, and with it the requests of others. */
TEST_F(EndlessMany, AnswersWithoutEndFitIntoTheVm)
{
	const struct {
		const char *mode;
		const char *route;
	} cases[] = {
	    {"body", "/n/"},
	    {"chunks", "/n/"},
	    {"body", "/o/"},
	    {"event", "/w/"},
	};

	for (const auto &c : cases) {
		std::string name = std::string(c.mode) + c.route[1];

		if (daemons.empty())
			StartFleetWithService("many", kLatencyMs);
		StartEndless(c.mode);
		CallAtOnce(c.route, name);
		EXPECT_GT(server->Count("request "), 0) << name;
		EXPECT_LT(daemons[0]->PeakMemoryKib(), kVmMib * 1024) << name;
		EXPECT_FALSE(daemons[0]->HasExited()) << name;
	}
}

/* As large as an answer may be; some of them at once find room. */
TEST_F(EndlessMany, LargeSoundAnswersPass)
{
	std::string body(kLargeBytes, 'x');
	CopyingServer sound([&](const std::string &request) {
		size_t at = request.find("X-Attempt-Id: ") + 14;

		return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " +
		    request.substr(at, request.find("\r\n", at) - at) +
		    "\r\nX-Response-Seal: s\r\nContent-Length: " +
		    std::to_string(body.size()) + "\r\n\r\n" + body;
	});
	std::atomic<int> whole{0};

	StartFleetWithService("many", kLatencyMs);
	ListWorker("sound", "many", sound.Address(), kSlots);
	for (const char *route : {"/n/", "/o/"})
		for (int i = 0; i < 5; i++) {
			std::string id =
			    std::string(route + 1, 1) + std::to_string(i);
			Reply r = Call(0, route + id, id, 1);

			EXPECT_EQ(200, r.status) << id;
			EXPECT_TRUE(r.body == body) << id;
		}
	std::vector<std::thread> callers;
	for (int i = 0; i < 8; i++)
		callers.emplace_back([&, i] {
			std::string id = "c" + std::to_string(i);

			whole += Call(0, "/o/" + id, id, 1).body == body;
		});
	for (auto &c : callers)
		c.join();
	EXPECT_EQ(8, whole);
	EXPECT_LT(daemons[0]->PeakMemoryKib(), kVmMib * 1024);
}

/* The product's own API: answers of a plain service. */
TEST(EndlessManyOwn, AnswersWithoutEndFitIntoTheVm)
{
	FleetOptions options;
	std::vector<std::thread> callers;

	options.daemons = 1;
	options.flags = {"--memory-mb=" + std::to_string(kVmMib),
	    "--online-deadline-ms=5000"};
	Fleet fleet(options);
	std::string url = fleet.PlainServiceUrl();
	fleet.plain.reset();
	Process server({Env("SF_STANDIN"), "endless",
	    "--port=" + url.substr(url.rfind(':') + 1), "--mode=body"});
	ASSERT_TRUE(server.WaitLine("listening"));
	for (int i = 0; i < kCallers; i++)
		callers.emplace_back([&, i] {
			EXPECT_GE(fleet.CallBooking(0, "k" + std::to_string(i))
				      .status,
			    500);
		});
	for (auto &c : callers)
		c.join();
	EXPECT_GT(server.Count("request "), 0);
	EXPECT_LT(fleet.daemons[0]->PeakMemoryKib(), kVmMib * 1024);
	EXPECT_FALSE(fleet.daemons[0]->HasExited());
}

} // namespace

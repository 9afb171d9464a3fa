/* Own interface: engines that name the requests a second that they take, or ask
 * for a pause. */
#include <atomic>

#include <glib.h>
#include <gtest/gtest.h>

#include "functional/harness.h"
#include "functional/rate_window.h"

namespace
{

constexpr int64_t kSecondUs = 1000000;

struct FailuresRates : ::testing::Test {
	std::unique_ptr<Fleet> fleet;
	std::atomic<int> sent{0}, served{0};

	void
	Start(int engines, int daemons)
	{
		FleetOptions o;

		o.engines = engines;
		o.daemons = daemons;
		o.engine_speed = "5";
		fleet.reset(new Fleet(o));
	}

	Reply
	Send()
	{
		int n = sent++;
		Reply r = Http("POST",
		    fleet->DaemonUrl((size_t)n % fleet->daemons.size()) +
			"/v1/chat/completions",
		    "{\"model\":\"assistant\",\"max_tokens\":2,\"messages\":["
		    "{\"role\":\"user\",\"content\":\"n" +
			std::to_string(n) + "\"}]}",
		    {"Authorization: Bearer students-key"});

		served += r.status == 200;
		return r;
	}

	/* Callers that send one request after the other. */
	void
	Load(int callers, int64_t duration_us)
	{
		std::vector<std::thread> threads;
		int64_t end_us = NowUs() + duration_us;

		for (int i = 0; i < callers; i++)
			threads.emplace_back([this, end_us] {
				while (NowUs() < end_us)
					if (Send().status != 200)
						g_usleep(50000);
			});
		for (auto &t : threads)
			t.join();
	}
};

TEST_F(FailuresRates, AnEngineGetsNoMoreThanTheRateThatItNames)
{
	Start(2, 3);
	fleet->InjectFault(fleet->EngineUrl(0), "{\"rate\":\"2\"}");
	Load(8, 12 * kSecondUs);
	RateSeen seen = FetchRateSeen(fleet->EngineUrl(0));

	EXPECT_GT(seen.named_us, 0);
	EXPECT_GT(RateBusiestWindow(seen), 0);
	EXPECT_LE(RateBusiestWindow(seen), RateAllowed(2));
	EXPECT_GT(served, 0);
}

/* Nobody is told that the request is invalid: another engine runs it. */
TEST_F(FailuresRates, AnEngineThatAsksForAPauseGetsNoRequestMeanwhile)
{
	Start(2, 2);
	fleet->InjectFault(
	    fleet->EngineUrl(0), "{\"busy\":1000,\"busy_after\":\"3600\"}");
	for (int i = 0; i < 60; i++)
		EXPECT_EQ(200, Send().status) << i;
	/* Each daemon may have met it before it heard of the pause. */
	EXPECT_LE(FetchRateSeen(fleet->EngineUrl(0)).arrivals_us.size(), 4u);
}

} // namespace

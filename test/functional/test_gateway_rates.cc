/* Workers that name the requests a second that they take. */
#include <atomic>

#include "functional/gateway_fixture.h"
#include "functional/rate_window.h"

namespace
{

constexpr int64_t kSecondUs = 1000000;

/* Callers that send one request after the other until they are stopped. */
class Load
{
      public:
	Load(Gateway *gateway, int callers) : gw_(gateway)
	{
		for (int i = 0; i < callers; i++)
			threads_.emplace_back([this, i] { Run(i); });
	}

	~Load()
	{
		Stop();
	}

	void
	Stop()
	{
		stop_ = true;
		for (auto &t : threads_)
			t.join();
		threads_.clear();
	}

	std::atomic<int> served{0}, refused{0}, failed{0};

      private:
	void
	Run(int caller)
	{
		for (int n = 0; !stop_; n++) {
			std::string id = "c" + std::to_string(caller) + "-" +
			    std::to_string(n);
			long status = gw_->Call((size_t)(caller + n) %
						 gw_->front_ports.size(),
					     "/q/" + id, id, 2, 10)
					  .status;

			(status == 200		? served
				: status == 503 ? refused
						: failed)++;
			if (status != 200)
				g_usleep(50000);
		}
	}

	Gateway *gw_;
	std::vector<std::thread> threads_;
	std::atomic<bool> stop_{false};
};

struct Rates : Gateway {
	void
	NameRate(size_t worker, const char *rate)
	{
		InjectFault(worker,
		    rate != nullptr ? "{\"rate\":\"" + std::string(rate) + "\"}"
				    : "{\"rate\":null}");
	}

	RateSeen
	Seen(size_t worker)
	{
		return FetchRateSeen(
		    "http://" + LoopbackAddress(worker_ports[worker]));
	}
};

TEST_F(Rates, AWorkerGetsNoMoreThanTheRateThatItNames)
{
	const double per_s[] = {3.2, 1};

	StartReadyFleet(3, 4);
	NameRate(0, "3.2");
	NameRate(1, "1");
	Load load(this, 16);

	g_usleep(5 * kSecondUs);
	/* One daemon is rolled, one killed, the arbiter among them or not. */
	daemons[1]->Signal(SIGTERM);
	g_usleep(2 * kSecondUs);
	daemons[2]->Signal(SIGKILL);
	g_usleep(7 * kSecondUs);
	load.Stop();
	for (size_t w = 0; w < 2; w++) {
		int busiest = RateBusiestWindow(Seen(w));

		EXPECT_LE(busiest, RateAllowed(per_s[w])) << w;
		EXPECT_GT(busiest, 0) << w;
	}
	EXPECT_GT(load.served, 0);
}

} // namespace

/* Workers that name the requests a second that they take. */
#include <atomic>

#include "functional/gateway_fixture.h"

namespace
{

constexpr int64_t kSecondUs = 1000000;
/* The users' bound: from so long after a worker first named its rate, it may
 * get one and a half times that, and five requests, in so long. */
constexpr int64_t kGraceUs = 4 * kSecondUs;
constexpr int64_t kWindowUs = 4 * kSecondUs;

double
Allowed(double per_s)
{
	return 1.5 * per_s * kWindowUs / kSecondUs + 5;
}

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

	/* Times of the requests that a worker got, and when it first named its
	 * rate. */
	std::vector<int64_t>
	Arrivals(size_t worker, int64_t *named_us = nullptr)
	{
		std::vector<int64_t> times;
		json_t *doc = json_loads(
		    Http("GET",
			"http://" + LoopbackAddress(worker_ports[worker]) +
			    "/seen")
			.body.c_str(),
		    0, nullptr);
		json_t *list = json_object_get(doc, "arrivals_us");

		for (size_t i = 0; i < json_array_size(list); i++)
			times.push_back(
			    json_integer_value(json_array_get(list, i)));
		if (named_us != nullptr)
			*named_us = json_integer_value(
			    json_object_get(doc, "rate_named_us"));
		json_decref(doc);
		return times;
	}

	/* Most requests in a window that begins after the grace period. */
	int
	BusiestWindow(size_t worker)
	{
		int64_t named_us = 0;
		std::vector<int64_t> times = Arrivals(worker, &named_us);
		size_t first = 0;
		size_t most = 0;

		EXPECT_GT(named_us, 0);
		for (size_t last = 0; last < times.size(); last++) {
			while (times[last] - times[first] >= kWindowUs ||
			    times[first] < named_us + kGraceUs) {
				if (first == last)
					break;
				first++;
			}
			if (times[first] >= named_us + kGraceUs)
				most = std::max(most, last - first + 1);
		}
		return (int)most;
	}

	int
	CountArrivals(size_t worker)
	{
		return (int)Arrivals(worker).size();
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
		EXPECT_LE(BusiestWindow(w), Allowed(per_s[w])) << w;
		EXPECT_GT(BusiestWindow(w), 0) << w;
	}
	EXPECT_GT(load.served, 0);
}

} // namespace

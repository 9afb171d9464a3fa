/* Callers of jobs beside a store or peers that are silent, and accepted jobs
 * beside changes of the configuration. */
#include <thread>

#include "functional/gateway_fixture.h"

namespace
{

/* More submissions than threads that call the store. */
TEST_F(Gateway, CallersThatLeaveDuringTheirSubmissionsAreLogged)
{
	std::vector<std::thread> callers;

	StartReadyFleet(1, 1);
	store->Signal(SIGSTOP);
	for (int i = 0; i < 12; i++)
		callers.emplace_back([&, i] {
			std::string id = "gone" + std::to_string(i);

			Http("POST",
			    "http://" + LoopbackAddress(front_ports[0]) +
				"/b/" + id,
			    JobBody(id, 1, RequestBody(1)),
			    {"Host: a.example", "X-Attempt-Id: " + id}, 1);
		});
	for (auto &t : callers)
		t.join();
	EXPECT_TRUE(daemons[0]->WaitLine(
	    "\"name\":\"job_caller_left\",\"daemon\":\"d0\",\"job\":\"gone"));
	store->Signal(SIGCONT);
}

} // namespace

#include <gtest/gtest.h>

#include "functional/harness.h"

namespace
{

struct FailuresParts : ::testing::Test {
	std::unique_ptr<Fleet> fleet;
	int sent = 0;

	Reply
	Send(const std::string &system)
	{
		size_t daemon = (size_t)sent % fleet->daemons.size();

		return Http("POST",
		    fleet->DaemonUrl(daemon) + "/v1/chat/completions",
		    "{\"model\":\"assistant\",\"max_tokens\":5,\"messages\":["
		    "{\"role\":\"system\",\"content\":\"" +
			system + "\"},{\"role\":\"user\",\"content\":\"n" +
			std::to_string(sent++) + "\"}]}",
		    {"Authorization: Bearer students-key"});
	}

	int
	CountEnded()
	{
		int n = 0;

		for (auto &e : fleet->engines)
			n += e->HasExited();
		return n;
	}

	bool
	IsBlockedEverywhere()
	{
		for (auto &d : fleet->daemons)
			if (d->Count("\"name\":\"part_blocked\"") +
				d->Count("\"name\":\"block_told\"") ==
			    0)
				return false;
		return true;
	}
};

/* No two requests are alike; they share their first message. */
TEST_F(FailuresParts, RequestsWithAMessageThatCrashesEnginesReachNoMore)
{
	FleetOptions o;
	const int kRequests = 20;
	int ended;
	int served = 0;

	o.engines = 12;
	o.engine_speed = "5";
	fleet.reset(new Fleet(o));
	for (int i = 0; i < 8 && !IsBlockedEverywhere(); i++) {
		Send("be kind");
		Send("CRASH");
	}
	ASSERT_TRUE(Eventually([&] {
		Send("be kind");
		return IsBlockedEverywhere();
	})) << CountEnded()
	    << " engines ended";
	ended = CountEnded();
	for (int i = 0; i < kRequests; i++) {
		Reply bad = Send("CRASH");

		EXPECT_EQ(422, bad.status) << bad.body;
		served += Send("be kind").status == 200;
	}
	EXPECT_LE(CountEnded() - ended, 3) << "of " << CountEnded();
	EXPECT_GE(2 * served, kRequests);
}

} // namespace

#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

extern "C" {
#include "savoryflow/job/item_retry.h"
}

namespace
{

const int64_t kExpires = 60000000;
const item_run_end kCut = {kItemRunInterrupted, 0, false};
const item_run_end kCutLater = {kItemRunInterrupted, 200, true};
const item_run_end kNoSlot = {kItemRunNotStarted, 0, false};
const item_run_end kRevoked = {kItemRunRevoked, 0, false};

item_run_end
Answer(int32_t status)
{
	return {kItemRunAnswered, status, false};
}

std::vector<item_run_end>
Times(int n, item_run_end end)
{
	return std::vector<item_run_end>((size_t)n, end);
}

TEST(ItemRetry, WhatEndsAnItem)
{
	const struct {
		const char *name;
		std::vector<item_run_end> runs;
		int32_t attempts_max;
		int64_t now_us;
		const char *give_up;
	} cases[] = {
	    {"422", {Answer(422)}, 3, 0, "unprocessable"},
	    {"422, route unknown", {Answer(422)}, 0, 0, "unprocessable"},
	    {"422 after its time to live", {Answer(422)}, 3, kExpires + 1,
		"unprocessable"},
	    {"500 as often as allowed", Times(3, Answer(500)), 3, 0, "failed"},
	    {"500 once less", Times(2, Answer(500)), 3, 0, nullptr},
	    {"a single attempt", {Answer(500)}, 1, 0, "failed"},
	    {"500, route unknown", Times(50, Answer(500)), 0, 0, nullptr},
	    {"500 apart",
		{Answer(500), kCut, Answer(503), kCutLater, Answer(500)}, 2, 0,
		"failed"},
	    {"one 500 after other statuses",
		{Answer(503), Answer(504), Answer(502), Answer(500)}, 2, 0,
		nullptr},
	    {"503", Times(50, Answer(503)), 1, 0, nullptr},
	    {"504", Times(50, Answer(504)), 1, 0, nullptr},
	    {"404", Times(50, Answer(404)), 1, 0, nullptr},
	    {"429", Times(50, Answer(429)), 1, 0, nullptr},
	    {"200 without events", Times(50, Answer(200)), 1, 0, nullptr},
	    {"cuts", Times(50, kCut), 1, 0, nullptr},
	    {"no slot", Times(50, kNoSlot), 1, 0, nullptr},
	    {"revoked", Times(50, kRevoked), 1, 0, nullptr},
	    {"at its time to live", {kCut}, 3, kExpires, nullptr},
	    {"after its time to live", {kCut}, 3, kExpires + 1, "expired"},
	    {"no slot after its time to live", {kNoSlot}, 3, kExpires + 1,
		"expired"},
	};

	for (const auto &c : cases) {
		item_retry retry = {};
		item_retry_limits limits = {c.attempts_max, kExpires};
		item_retry_decision d = {};

		for (size_t i = 0; i < c.runs.size(); i++) {
			EXPECT_EQ(nullptr, d.give_up) << c.name << " run " << i;
			d = item_retry_decide(
			    &retry, &c.runs[i], &limits, c.now_us);
		}
		EXPECT_STREQ(c.give_up, d.give_up) << c.name;
	}
}

TEST(ItemRetry, WaitsAreBounded)
{
	const struct {
		const char *name;
		std::vector<item_run_end> runs;
		int64_t min_us;
		int64_t max_us;
	} cases[] = {
	    {"first cut", {kCut}, 20000, 30000},
	    {"second cut", Times(2, kCut), 40000, 60000},
	    {"fifth cut", Times(5, kCut), 300000, 480000},
	    {"many cuts", Times(1000, kCut), 700000, kItemRetryWaitMaxUs},
	    {"first 500", {Answer(500)}, 70000, 100000},
	    {"many 503", Times(1000, Answer(503)), 700000, kItemRetryWaitMaxUs},
	    {"a cut after many without a slot",
		{kNoSlot, kNoSlot, kNoSlot, kCut}, 20000, 30000},
	    {"progress", {kCut, kCut, kCut, kCutLater}, 0, 0},
	    {"a cut after progress", {kCut, kCut, kCut, kCutLater, kCut}, 20000,
		30000},
	    {"no slot", {kNoSlot}, 200000, 200000},
	    {"revoked", {kRevoked}, 0, 0},
	};

	for (const auto &c : cases) {
		for (uint32_t seed = 0; seed < 1000; seed++) {
			item_retry retry = {0, 0, seed * 7919};
			item_retry_limits limits = {0, kExpires};
			item_retry_decision d = {};

			for (const auto &run : c.runs)
				d = item_retry_decide(&retry, &run, &limits, 0);
			ASSERT_LE(c.min_us, d.wait_us) << c.name;
			ASSERT_GE(c.max_us, d.wait_us) << c.name;
		}
	}
}

TEST(ItemRetry, ItemsOfOneCrashDoNotReturnInLockstep)
{
	std::set<int64_t> waits;

	for (uint32_t seed = 0; seed < 100; seed++) {
		item_retry retry = {0, 20, seed};
		item_retry_limits limits = {0, kExpires};

		waits.insert(
		    item_retry_decide(&retry, &kCut, &limits, 0).wait_us /
		    1000);
	}
	EXPECT_GT(waits.size(), 50U);
}

TEST(ItemRetry, TimeToLive)
{
	const struct {
		const char *name;
		int64_t accepted_us, started_us, ttl_us, expires_us;
	} cases[] = {
	    {"from the submission", 1000, 500000, 600000000, 600001000},
	    {"taken over late", -90000000, 0, 600000000, 510000000},
	    {"over before the start", -90000000, 0, 60000000, -30000000},
	    {"route not yet known", -90000000, 0, 0, 60000000},
	};

	for (const auto &c : cases)
		EXPECT_EQ(c.expires_us,
		    item_retry_expires_us(
			c.accepted_us, c.started_us, c.ttl_us))
		    << c.name;
}

} // namespace

/* Slots of targets that name a rate of requests. */
#include "unit/slotpool_fixture.h"

namespace
{

struct SlotpoolRates : SlotpoolFixture {
	/* An answer names a rate, or none (negative).
	 * @param slot of its run; 0: told by another daemon */
	bool
	Say(const char *target, int64_t milli_per_s, uint64_t slot = 0,
	    int64_t started_ms = 0)
	{
		slotpool_rate rate = {};

		rate.target = target;
		rate.started_ms = started_ms;
		rate.said.kind = milli_per_s < 0 ? kRateNone : kRateNamed;
		rate.said.milli_per_s = milli_per_s;
		rate.slot = slot;
		return slotpool_record_rate(sp, &rate, now, out);
	}

	/* Online requests that are granted at once, and released. */
	int
	StartsNow(uint64_t first_id)
	{
		int n = 0;

		for (uint64_t id = first_id; id < first_id + 100; id++) {
			if (Online(id, kMs)[id].verdict != kSlotGranted)
				break;
			Release(id);
			n++;
		}
		return n;
	}

	bool
	IsLimited()
	{
		GArray *list = slotpool_rates(sp, now);
		bool is_limited = list->len > 0;

		g_array_unref(list);
		return is_limited;
	}
};

TEST_F(SlotpoolRates, StartsFollowTheRateHoweverShortTheRuns)
{
	Targets({{"a", 8}});
	EXPECT_TRUE(Say("a", 2000));
	EXPECT_EQ(0, StartsNow(1)) << "starts empty";
	now = 500 * kMs;
	EXPECT_EQ(1, StartsNow(200));
	now = 10 * kSec;
	EXPECT_EQ(2, StartsNow(400));
}

TEST_F(SlotpoolRates, TargetsWithoutARateArePreferred)
{
	Targets({{"a", 8}, {"b", 8}});
	now = 10 * kSec;
	Say("a", 8000);
	now = 12 * kSec;
	for (uint64_t id = 1; id <= 4; id++)
		EXPECT_STREQ("b", Online(id)[id].target);
	/* Once half of its slots are in use, one of two goes to the other. */
	EXPECT_STRNE(Online(5)[5].target, Online(6)[6].target);
}

TEST_F(SlotpoolRates, ARequestThatNoRateAllowsInTimeIsRefusedAtOnce)
{
	Targets({{"a", 8}});
	Say("a", 1000);
	auto refused = Online(1, 300 * kMs);

	EXPECT_EQ(kSlotRefused, refused[1].verdict);
	EXPECT_FALSE(refused[1].has_no_healthy_target);
	EXPECT_GE(refused[1].retry_after_us, 500 * kMs)
	    << "by the rate, not by the free slots";
	EXPECT_EQ(0u, Online(2, 1500 * kMs).count(2)) << "queued";
	now = kSec;
	slotpool_tick(sp, now, out);
	EXPECT_EQ(kSlotGranted, TakeActions()[2].verdict);
}

TEST_F(SlotpoolRates, NoItemIsPreemptedWhereNoStartIsLeft)
{
	Targets({{"a", 1}});
	Batch(1);
	Say("a", 1000);
	auto refused = Online(2, 100 * kMs);

	EXPECT_EQ(0u, refused.count(1));
	EXPECT_EQ(kSlotRefused, refused[2].verdict);
	now = 2 * kSec;
	auto granted = Online(3);

	EXPECT_EQ(kSlotRevoked, granted[1].verdict);
	EXPECT_EQ(kSlotGranted, granted[3].verdict);
}

TEST_F(SlotpoolRates, ItemsLeaveStartsForOnlineRequests)
{
	Targets({{"a", 8}});
	Say("a", 2000);
	now = 800 * kMs;
	EXPECT_EQ(0u, Batch(1).count(1));
	EXPECT_EQ(kSlotGranted, Online(2)[2].verdict);
	now = 3 * kSec;
	slotpool_tick(sp, now, out);
	EXPECT_EQ(kSlotGranted, TakeActions()[1].verdict);
	EXPECT_EQ(kSlotGranted, Online(3)[3].verdict);
}

TEST_F(SlotpoolRates, TheEndOfARateIsLearntFromARunStartedLater)
{
	Targets({{"a", 8}});
	now = kSec;
	Online(1);
	now = 2 * kSec;
	Online(2);
	now = 3 * kSec;
	Say("a", 1000, 2);
	EXPECT_FALSE(Say("a", -1, 1)) << "may be older";
	EXPECT_TRUE(IsLimited());
	now = 5 * kSec;
	EXPECT_TRUE(Online(3)[3].is_rate_limited);
	EXPECT_TRUE(Say("a", -1, 3));
	EXPECT_FALSE(IsLimited());
	EXPECT_FALSE(Online(4)[4].is_rate_limited);
}

TEST_F(SlotpoolRates, AnAdoptedRunDoesNotEndARate)
{
	slot_request run = Request(7, false, kSec, 1);

	Targets({{"a", 8}});
	Say("a", 1000);
	now = kSec;
	slotpool_adopt(sp, &run, "a", now);
	EXPECT_FALSE(Say("a", -1, 7));
	EXPECT_TRUE(IsLimited());
}

TEST_F(SlotpoolRates, WhatOthersHeardYieldsToAnAnswer)
{
	Targets({{"a", 8}});
	EXPECT_TRUE(Say("a", 1000));
	now = 2 * kSec;
	Online(1);
	EXPECT_TRUE(Say("a", -1, 1));
	EXPECT_FALSE(Say("a", 1000)) << "they may not know yet";
	EXPECT_FALSE(IsLimited());
}

TEST_F(SlotpoolRates, ARestartForgetsTheRate)
{
	Targets({{"a", 8}});
	EXPECT_FALSE(Say("a", 1000, 0, 99)) << "of another start";
	Say("a", 1000);
	targets[0].started_ms = 99;

	GPtrArray *list = g_ptr_array_new();

	g_ptr_array_add(list, &targets[0]);
	slotpool_set_targets(sp, list, now, out);
	g_ptr_array_unref(list);
	EXPECT_FALSE(IsLimited());
	EXPECT_EQ(100, StartsNow(1));
}

/* Two arbiters may act at once; what one saves up, the other may have spent. */
TEST_F(SlotpoolRates, AnArbiterBesideTheElectedOneStartsNothingThere)
{
	Targets({{"a", 8}, {"b", 1}});
	Say("a", 4000);
	slotpool_allow_limited(sp, false, now);
	now = 10 * kSec;
	EXPECT_STREQ("b", Online(1)[1].target);
	EXPECT_EQ(kSlotRefused, Online(2, 100 * kMs)[2].verdict);
	slotpool_allow_limited(sp, true, now);
	EXPECT_EQ(kSlotRefused, Online(3, 100 * kMs)[3].verdict) << "empty";
	now += 250 * kMs;
	EXPECT_STREQ("a", Online(4)[4].target);
}

TEST_F(SlotpoolRates, AGrantThatCameTooLateCostsNoStart)
{
	Targets({{"a", 8}});
	Say("a", 1000);
	now = kSec;
	Online(1);
	EXPECT_EQ(kSlotRefused, Online(2, kMs)[2].verdict);
	Release(1, kSlotUnused);
	EXPECT_EQ(kSlotGranted, Online(3)[3].verdict);
}

TEST_F(SlotpoolRates, TheLoadTellsWhatTheRatesAllow)
{
	Targets({{"a", 8}, {"b", 4}});
	now = kSec;
	Say("a", 2000);
	now = 2 * kSec;
	slotpool_load load = slotpool_load_get(sp, now);

	EXPECT_EQ(12, load.slots);
	EXPECT_EQ(8, load.limited_slots);
	EXPECT_EQ(2, load.limited_starts);
	EXPECT_EQ(2000, load.limited_milli_per_s);
	EXPECT_EQ(6, slotpool_batch_room(&load));
	EXPECT_EQ(0, slotpool_wait_us(&load));
	load.limited_starts = 0;
	load.online = 4;
	/* Four slots of half a second each, and two a second. */
	EXPECT_EQ(100 * kMs, slotpool_wait_us(&load));
}

} // namespace

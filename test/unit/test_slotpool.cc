#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

extern "C" {
#include "savoryflow/slotpool/slotpool.h"
#include "savoryflow/slotpool/target_health.h"
}

namespace
{

const int64_t kMs = 1000;
const int64_t kSec = 1000 * kMs;

struct Slotpool : ::testing::Test {
	struct slotpool *sp = slotpool_new();
	GArray *out = slotpool_actions_new();
	std::vector<fleet_target> targets;
	int64_t now = 0;

	~Slotpool() override
	{
		slotpool_free(sp);
		g_array_unref(out);
	}

	void
	Targets(std::map<std::string, int> slots)
	{
		GPtrArray *list = g_ptr_array_new();

		targets.clear();
		for (auto &s : slots) {
			fleet_target t = {};

			g_strlcpy(t.id, s.first.c_str(), sizeof(t.id));
			t.slots = s.second;
			targets.push_back(t);
		}
		for (auto &t : targets)
			g_ptr_array_add(list, &t);
		slotpool_set_targets(sp, list, now, out);
		g_ptr_array_unref(list);
	}

	static slot_request
	Ask(uint64_t id, bool is_batch, int64_t until, uint32_t holder)
	{
		slot_request ask = {};

		ask.id = id;
		ask.holder = holder;
		ask.is_batch = is_batch;
		ask.deadline_us = until;
		return ask;
	}

	/* Verdicts since the last look, by id. */
	std::map<uint64_t, slotpool_action>
	Take()
	{
		std::map<uint64_t, slotpool_action> all;

		for (guint i = 0; i < out->len; i++) {
			auto &act = g_array_index(out, slotpool_action, i);

			all[act.id] = act;
		}
		g_array_set_size(out, 0);
		return all;
	}

	std::map<uint64_t, slotpool_action>
	Online(uint64_t id, int64_t left = 200 * kMs, uint32_t holder = 1)
	{
		slot_request ask = Ask(id, false, now + left, holder);

		slotpool_request(sp, &ask, now, out);
		return Take();
	}

	std::map<uint64_t, slotpool_action>
	Batch(uint64_t id, int64_t due = 10 * kSec, uint32_t holder = 1)
	{
		slot_request ask = Ask(id, true, due, holder);

		slotpool_request(sp, &ask, now, out);
		return Take();
	}

	/* An item that has some of its run behind it. */
	std::map<uint64_t, slotpool_action>
	BatchNeeding(uint64_t id, int64_t due, int64_t need)
	{
		slot_request ask = Ask(id, true, due, 1);

		ask.expected_run_us = need;
		slotpool_request(sp, &ask, now, out);
		return Take();
	}

	/* An online request of a daemon that is served at once. */
	std::string
	Served(uint64_t id, uint32_t holder)
	{
		std::string target = Online(id, 200 * kMs, holder)[id].target;

		Release(id);
		return target;
	}

	std::map<uint64_t, slotpool_action>
	Release(uint64_t id, slot_outcome outcome = kSlotServed)
	{
		slotpool_release(sp, id, outcome, now, out);
		return Take();
	}
};

TEST_F(Slotpool, TheLessUsedTargetIsTaken)
{
	Targets({{"a", 8}, {"b", 8}});
	std::map<std::string, int> used;

	for (uint64_t i = 1; i <= 8; i++)
		used[Online(i)[i].target]++;
	EXPECT_EQ(4, used["a"]);
	EXPECT_EQ(4, used["b"]);
}

TEST_F(Slotpool, NoMoreThanItsSlotsRunAtATarget)
{
	Targets({{"a", 2}});
	EXPECT_EQ(kSlotGranted, Online(1)[1].verdict);
	EXPECT_EQ(kSlotGranted, Online(2)[2].verdict);
	EXPECT_EQ(0u, Online(3, kSec).count(3)) << "queued";
	EXPECT_EQ(kSlotGranted, Release(1)[3].verdict);
}

TEST_F(Slotpool, WhatCannotStartInTimeIsRefusedAtOnce)
{
	Targets({{"a", 1}});
	Online(1);
	auto act = Online(2, 100 * kMs);
	EXPECT_EQ(kSlotRefused, act[2].verdict);
	EXPECT_GT(act[2].retry_after_us, 0);
	EXPECT_EQ(0u, Online(3, 2 * kSec).count(3)) << "this one has time";
}

/* A caller that has waited is served late rather than never, after those that
 * can still be served in time. */
TEST_F(Slotpool, WhatWaitedTooLongStartsLate)
{
	Targets({{"a", 1}});
	Online(1);
	Online(2, 600 * kMs);
	now = 600 * kMs;
	slotpool_tick(sp, now, out);
	EXPECT_EQ(0u, Take().count(2)) << "still queued";
	EXPECT_EQ(0u, Online(3, 1100 * kMs).count(3));
	auto act = Release(1);
	EXPECT_EQ(kSlotGranted, act[3].verdict);
	EXPECT_EQ(kSlotGranted, Release(3)[2].verdict);
}

TEST_F(Slotpool, WhatIsMuchTooLateIsRefused)
{
	Targets({{"a", 1}});
	Online(1);
	Online(2, 600 * kMs);
	for (now = 0; now <= 1800 * kMs; now += 100 * kMs) {
		slot_request renewed = Ask(1, false, 0, 1);

		slotpool_adopt(sp, &renewed, "a", now);
		slotpool_tick(sp, now, out);
	}
	EXPECT_EQ(kSlotRefused, Take()[2].verdict);
}

TEST_F(Slotpool, AStandInArbiterStartsNoBatch)
{
	Targets({{"a", 4}});
	slotpool_allow_batch(sp, false);
	EXPECT_EQ(0u, Batch(1).count(1));
	EXPECT_EQ(kSlotGranted, Online(2)[2].verdict);
	slotpool_allow_batch(sp, true);
	slotpool_tick(sp, now, out);
	EXPECT_EQ(kSlotGranted, Take()[1].verdict);
}

/* A rush that has lasted long will last: those turned away come back later,
 * and not all at once. */
TEST_F(Slotpool, TheTimeToComeBackFollowsTheRush)
{
	Targets({{"a", 1}});
	Online(1);
	int64_t early = Online(2, 10 * kMs)[2].retry_after_us;
	now = 900 * kMs;
	int64_t late = Online(258, 10 * kMs)[258].retry_after_us;
	EXPECT_GT(late, early);
	EXPECT_GE(late, 900 * kMs);
	EXPECT_NE(late, Online(260, 10 * kMs)[260].retry_after_us);
	Release(1);
	Online(3);
	EXPECT_LT(Online(514, 10 * kMs)[514].retry_after_us, late)
	    << "the rush was over";
}

TEST_F(Slotpool, OnlineTakesThePlaceOfTheBatchItemDueLast)
{
	Targets({{"a", 3}});
	Batch(1, 5 * kSec);
	Batch(2, 9 * kSec);
	Batch(3, 7 * kSec);
	auto act = Online(4);
	EXPECT_EQ(kSlotGranted, act[4].verdict);
	EXPECT_EQ(kSlotRevoked, act[2].verdict);
	EXPECT_EQ(0u, act.count(1));
	EXPECT_EQ(0u, act.count(3));
}

TEST_F(Slotpool, BatchWaitsWhileOnlineWaits)
{
	Targets({{"a", 1}});
	Online(1);
	Online(2, 2 * kSec);
	Batch(3);
	auto act = Release(1);
	EXPECT_EQ(kSlotGranted, act[2].verdict);
	EXPECT_EQ(0u, act.count(3));
	EXPECT_EQ(kSlotGranted, Release(2)[3].verdict);
}

TEST_F(Slotpool, TheBatchItemDueFirstComesFirst)
{
	Targets({{"a", 1}});
	Batch(1);
	Batch(2, 9 * kSec);
	Batch(3, 5 * kSec);
	EXPECT_EQ(kSlotGranted, Release(1)[3].verdict);
}

TEST_F(Slotpool, OfItemsDueTogetherTheOneNearestItsEndGoesFirst)
{
	Targets({{"a", 1}});
	Batch(1);
	BatchNeeding(2, 9 * kSec, 4 * kSec);
	BatchNeeding(3, 9 * kSec, kSec);
	EXPECT_EQ(kSlotGranted, Release(1)[3].verdict);
}

TEST_F(Slotpool, ABatchItemThatCannotBeInTimeLetsOthersPass)
{
	Targets({{"a", 1}});
	Batch(1);
	BatchNeeding(2, 5 * kSec, 3 * kSec);
	BatchNeeding(3, 9 * kSec, 3 * kSec);
	now = 3 * kSec;
	slotpool_tick(sp, now, out);
	EXPECT_EQ(kSlotGranted, Release(1)[3].verdict);
	EXPECT_EQ(kSlotGranted, Release(3)[2].verdict) << "late, not never";
}

TEST_F(Slotpool, OnlineTakesThePlaceOfABatchItemThatIsLate)
{
	Targets({{"a", 2}});
	BatchNeeding(1, 2 * kSec, 4 * kSec);
	BatchNeeding(2, 9 * kSec, 4 * kSec);
	EXPECT_EQ(kSlotRevoked, Online(3)[1].verdict);
}

TEST_F(Slotpool, OfItemsDueTogetherTheOneThatStartedLastIsTakenBack)
{
	Targets({{"a", 2}});
	BatchNeeding(1, 9 * kSec, 4 * kSec);
	now = 2 * kSec;
	BatchNeeding(2, 9 * kSec, 4 * kSec);
	EXPECT_EQ(kSlotRevoked, Online(3)[2].verdict);
}

TEST_F(Slotpool, OnlineTakesTheMostExpendablePlaceOfAllTargets)
{
	Targets({{"a", 1}, {"b", 1}, {"c", 1}});
	Batch(1, 5 * kSec);
	Batch(2, 9 * kSec);
	Batch(3, 7 * kSec);
	EXPECT_EQ(kSlotRevoked, Online(4)[2].verdict);
}

TEST_F(Slotpool, AnAnswerThatWasLostIsGivenAgain)
{
	Targets({{"a", 1}});
	std::string target = Online(1)[1].target;
	auto act = Online(1);
	EXPECT_EQ(kSlotGranted, act[1].verdict);
	EXPECT_EQ(target, act[1].target);
}

TEST_F(Slotpool, AnAdoptedSlotIsInUse)
{
	Targets({{"a", 1}});
	slot_request ask = Ask(1, false, 0, 1);

	slotpool_adopt(sp, &ask, "a", now);
	EXPECT_EQ(kSlotRefused, Online(2, 10 * kMs)[2].verdict);
	Release(1);
	EXPECT_EQ(kSlotGranted, Online(3)[3].verdict);
}

TEST_F(Slotpool, SlotsThatAreNotRenewedAreFreeAgain)
{
	Targets({{"a", 1}});
	slot_request ask = Ask(1, false, 0, 1);

	slotpool_request(sp, &ask, now, out);
	now = 3 * kSec;
	slotpool_adopt(sp, &ask, "a", now);
	now = 6 * kSec;
	slotpool_tick(sp, now, out);
	EXPECT_EQ(kSlotRefused, Online(2, 10 * kMs)[2].verdict) << "renewed";
	now = 8 * kSec;
	slotpool_tick(sp, now, out);
	EXPECT_EQ(kSlotGranted, Online(3)[3].verdict);
}

TEST_F(Slotpool, SlotsOfALostDaemonAreFree)
{
	Targets({{"a", 1}});
	Online(1, 200 * kMs, 7);
	Online(2, 2 * kSec, 8);
	slotpool_remove_holder(sp, 7, now, out);
	EXPECT_EQ(kSlotGranted, Take()[2].verdict);
}

TEST_F(Slotpool, ATargetThatIsAvoidedIsNotTaken)
{
	Targets({{"a", 8}, {"b", 8}});
	slot_request ask = Ask(1, false, now + kSec, 1);

	g_strlcpy(ask.excluded_target, "a", sizeof(ask.excluded_target));
	slotpool_request(sp, &ask, now, out);
	EXPECT_STREQ("b", Take()[1].target);
}

TEST_F(Slotpool, AnUnreachableTargetGetsNoWorkUntilProbed)
{
	Targets({{"a", 8}, {"b", 8}});
	std::string bad = Online(1)[1].target;

	Release(1, kSlotUnreachable);
	EXPECT_NE(bad, Online(2)[2].target);
	EXPECT_NE(bad, Online(3)[3].target) << "though it is less used";
	now += 500 * kMs;
	EXPECT_EQ(bad, Online(4)[4].target) << "the probe";
	EXPECT_NE(bad, Online(5)[5].target) << "one probe only";
	Release(4);
	EXPECT_EQ(bad, Online(6)[6].target);
}

/* A path is cut, not the target: it serves the other daemons. */
TEST_F(Slotpool, ATargetThatOthersReachIsKeptForThem)
{
	Targets({{"a", 2}});
	EXPECT_EQ("a", Served(1, 1));
	now += 100 * kMs;
	EXPECT_STREQ("a", Online(2, 200 * kMs, 2)[2].target);
	Release(2, kSlotUnreachable);
	EXPECT_EQ("a", Served(3, 1));
	auto act = Online(4, 200 * kMs, 2);
	EXPECT_EQ(kSlotRefused, act[4].verdict) << "no target that it reaches";
	EXPECT_TRUE(act[4].has_no_healthy_target);
	now += 1100 * kMs;
	EXPECT_EQ("a", Served(5, 2)) << "tried again";
}

TEST_F(Slotpool, ATargetThatNobodyReachesIsEjected)
{
	Targets({{"a", 2}});
	Served(1, 1);
	now += kSec;
	EXPECT_STREQ("a", Online(2, 200 * kMs, 2)[2].target);
	Release(2, kSlotUnreachable);
	EXPECT_EQ(kSlotRefused, Online(3, 200 * kMs, 1)[3].verdict);
}

/* The first in the queue cannot use the slot that is free, the second can. */
TEST_F(Slotpool, WhoCannotReachATargetHoldsNobodyUp)
{
	Targets({{"a", 1}, {"b", 1}});
	std::string far = Online(1, 200 * kMs, 2)[1].target;
	Release(1);
	std::map<uint64_t, std::string> held;

	/* Daemon 1 is served at both; daemon 2 fails at one of them. */
	held[2] = Online(2, 200 * kMs, 1)[2].target;
	held[3] = Online(3, 200 * kMs, 1)[3].target;
	Release(2);
	Release(3);
	uint64_t id = 10;
	while (Online(id, 200 * kMs, 2)[id].target != far)
		id++;
	Release(id, kSlotUnreachable);
	for (uint64_t i = 10; i < id; i++)
		Release(i);
	std::string near = Online(100, kSec, 1)[100].target;
	std::string other = Online(101, kSec, 1)[101].target;
	Online(102, 2 * kSec, 2);
	Online(103, 3 * kSec, 1);
	uint64_t at_far = near == far ? 100 : 101;
	auto act = Release(at_far);
	EXPECT_EQ(0u, act.count(102));
	EXPECT_EQ(far, act[103].target);
	EXPECT_NE(near, other);
}

TEST_F(Slotpool, WithoutAHealthyTargetOnlyTheLastResortIsTried)
{
	Targets({{"a", 8}, {"b", 8}});
	std::string first = Online(1)[1].target;

	Release(1, kSlotUnreachable);
	std::string second = Online(2)[2].target;
	EXPECT_NE(first, second);
	Release(2, kSlotUnresponsive);
	EXPECT_EQ(kSlotRefused, Online(3)[3].verdict) << "other pools first";
	slot_request ask = Ask(4, false, now + kSec, 1);

	ask.is_last_resort = true;
	slotpool_request(sp, &ask, now, out);
	EXPECT_EQ(kSlotGranted, Take()[4].verdict);
}

TEST_F(Slotpool, KeptPrefixesAttract)
{
	Targets({{"a", 8}, {"b", 8}});
	slot_request first = Ask(1, false, kSec, 1);
	slot_request second = Ask(2, false, kSec, 1);

	first.prefix = second.prefix = 42;
	slotpool_request(sp, &first, now, out);
	std::string target = Take()[1].target;
	slotpool_release(sp, 1, kSlotServed, now, out);
	slotpool_request(sp, &second, now, out);
	EXPECT_EQ(target, Take()[2].target);
}

TEST_F(Slotpool, ATargetThatIsGoneGivesItsSlotsBack)
{
	Targets({{"a", 1}, {"b", 1}});
	Online(1);
	Online(2);
	Targets({{"b", 1}});
	slotpool_load load = slotpool_load_get(sp, now);
	EXPECT_EQ(1, load.slots);
	EXPECT_EQ(1, load.online);
}

TEST(TargetHealth, Table)
{
	const struct {
		const char *name;
		std::vector<slot_outcome> outcomes;
		bool takes;
	} cases[] = {
	    {"fresh", {}, true},
	    {"one break is borne", {kSlotFailed}, true},
	    {"two breaks are not", {kSlotFailed, kSlotFailed}, false},
	    {"a success in between", {kSlotFailed, kSlotServed, kSlotFailed},
		true},
	    {"silence", {kSlotUnresponsive}, false},
	    {"no connection", {kSlotUnreachable}, false},
	    {"silence of one that served", {kSlotServed, kSlotUnresponsive},
		true},
	    {"more of it", {kSlotServed, kSlotUnresponsive, kSlotUnresponsive},
		false},
	    {"full", {kSlotFull}, false},
	    {"a caller left", {kSlotNeutral, kSlotNeutral}, true},
	};

	for (const auto &c : cases) {
		target_health h = {};

		for (slot_outcome outcome : c.outcomes) {
			target_health_record_start(&h);
			target_health_record_outcome(&h, outcome, 1);
		}
		EXPECT_EQ(c.takes, target_health_accepts_work(&h, 2)) << c.name;
		EXPECT_TRUE(target_health_accepts_work(&h, 10 * kSec))
		    << c.name;
	}
}

} // namespace

#include "unit/slotpool_fixture.h"

extern "C" {
#include "savoryflow/slotpool/target_health.h"
}

namespace
{

constexpr int64_t kSec = SlotpoolFixture::kSec;

struct Slotpool : SlotpoolFixture {
};

TEST_F(Slotpool, LessLoadedTargetIsChosen)
{
	Targets({{"a", 8}, {"b", 8}});
	std::map<std::string, int> used;

	for (uint64_t i = 1; i <= 8; i++)
		used[Online(i)[i].target]++;
	EXPECT_EQ(4, used["a"]);
	EXPECT_EQ(4, used["b"]);
}

TEST_F(Slotpool, TargetRunsAtMostItsSlots)
{
	Targets({{"a", 2}});
	EXPECT_EQ(kSlotGranted, Online(1)[1].verdict);
	EXPECT_EQ(kSlotGranted, Online(2)[2].verdict);
	EXPECT_EQ(0u, Online(3, kSec).count(3)) << "queued";
	EXPECT_EQ(kSlotGranted, Release(1)[3].verdict);
}

TEST_F(Slotpool, RequestThatCannotStartInTimeIsRefusedAtOnce)
{
	Targets({{"a", 1}});
	Online(1);
	auto act = Online(2, 100 * kMs);
	EXPECT_EQ(kSlotRefused, act[2].verdict);
	EXPECT_GT(act[2].retry_after_us, 0);
	EXPECT_EQ(0u, Online(3, 2 * kSec).count(3))
	    << "its deadline allows it to wait";
}

/* A request that misses its deadline in the queue starts late rather than
 * never, after those that can still start in time. */
TEST_F(Slotpool, OverdueRequestStartsLate)
{
	Targets({{"a", 1}});
	Online(1);
	Online(2, 600 * kMs);
	now = 600 * kMs;
	slotpool_tick(sp, now, out);
	EXPECT_EQ(0u, TakeActions().count(2)) << "still queued";
	EXPECT_EQ(0u, Online(3, 1100 * kMs).count(3));
	auto act = Release(1);
	EXPECT_EQ(kSlotGranted, act[3].verdict);
	EXPECT_EQ(kSlotGranted, Release(3)[2].verdict);
}

TEST_F(Slotpool, RequestFarPastItsDeadlineIsRefused)
{
	Targets({{"a", 1}});
	Online(1);
	Online(2, 600 * kMs);
	for (now = 0; now <= 1800 * kMs; now += 100 * kMs) {
		slot_request renewed = Request(1, false, 0, 1);

		slotpool_adopt(sp, &renewed, "a", now);
		slotpool_tick(sp, now, out);
	}
	EXPECT_EQ(kSlotRefused, TakeActions()[2].verdict);
}

/* A silent target keeps its request, which asks for another one meanwhile. */
TEST_F(Slotpool, ARequestThatAvoidsTheFreeTargetHoldsUpNoOther)
{
	for (bool is_batch : {false, true}) {
		Targets({{"a", 2}, {"b", 1}});
		now += 10 * kSec;
		slot_request fills = Request(1, false, now + kSec, 1);
		slot_request avoids = Request(2, is_batch, now + kSec, 1);

		g_strlcpy(
		    fills.excluded_target, "a", sizeof(fills.excluded_target));
		g_strlcpy(avoids.excluded_target, "a",
		    sizeof(avoids.excluded_target));
		slotpool_request(sp, &fills, now, out);
		EXPECT_STREQ("b", TakeActions()[1].target);
		slotpool_request(sp, &avoids, now, out);
		EXPECT_EQ(0u, TakeActions().count(2)) << "b is full";
		EXPECT_EQ(kSlotGranted,
		    (is_batch ? Batch(3, now + 10 * kSec)
			      : Online(3, 2 * kSec))[3]
			.verdict)
		    << is_batch;
		EXPECT_STREQ("b", Release(1)[2].target);
		Release(2);
		Release(3);
	}
}

TEST_F(Slotpool, ManyRequestsThatAvoidTheFreeTargetHoldUpNoOther)
{
	const uint64_t n = 40;

	Targets({{"a", 2}, {"b", 1}});
	now += 10 * kSec;
	for (uint64_t id = 1; id <= n; id++) {
		slot_request avoids = Request(id, false, now + 5 * kSec, 1);

		g_strlcpy(avoids.excluded_target, "a",
		    sizeof(avoids.excluded_target));
		slotpool_request(sp, &avoids, now, out);
		TakeActions();
	}
	EXPECT_EQ(kSlotGranted, Online(n + 1, 2 * kSec)[n + 1].verdict);
}

TEST_F(Slotpool, ARequestThatAvoidsTheOnlyTargetIsRefusedAtOnce)
{
	Targets({{"a", 2}});
	slot_request avoids = Request(1, false, kSec, 1);

	g_strlcpy(avoids.excluded_target, "a", sizeof(avoids.excluded_target));
	slotpool_request(sp, &avoids, now, out);
	EXPECT_EQ(kSlotRefused, TakeActions()[1].verdict);
	EXPECT_EQ(kSlotGranted, Batch(2)[2].verdict)
	    << "a queue of online requests would hold it up";
}

TEST_F(Slotpool, FallbackArbiterStartsNoBatch)
{
	Targets({{"a", 4}});
	slotpool_allow_batch(sp, false);
	EXPECT_EQ(0u, Batch(1).count(1));
	EXPECT_EQ(kSlotGranted, Online(2)[2].verdict);
	slotpool_allow_batch(sp, true);
	slotpool_tick(sp, now, out);
	EXPECT_EQ(kSlotGranted, TakeActions()[1].verdict);
}

/* A long overload is expected to last: callers are told to retry later, and not
 * all at the same time. */
TEST_F(Slotpool, RetryAfterGrowsWithTheOverload)
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
	    << "the overload has ended";
}

TEST_F(Slotpool, OnlinePreemptsTheBatchItemDueLast)
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

TEST_F(Slotpool, BatchWaitsWhileOnlineIsQueued)
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

TEST_F(Slotpool, BatchItemDueFirstStartsFirst)
{
	Targets({{"a", 1}});
	Batch(1);
	Batch(2, 9 * kSec);
	Batch(3, 5 * kSec);
	EXPECT_EQ(kSlotGranted, Release(1)[3].verdict);
}

TEST_F(Slotpool, OfItemsDueTogetherTheShortestStartsFirst)
{
	Targets({{"a", 1}});
	Batch(1);
	BatchWithRunTime(2, 9 * kSec, 4 * kSec);
	BatchWithRunTime(3, 9 * kSec, kSec);
	EXPECT_EQ(kSlotGranted, Release(1)[3].verdict);
}

TEST_F(Slotpool, LateBatchItemYieldsToOthers)
{
	Targets({{"a", 1}});
	Batch(1);
	BatchWithRunTime(2, 5 * kSec, 3 * kSec);
	BatchWithRunTime(3, 9 * kSec, 3 * kSec);
	now = 3 * kSec;
	slotpool_tick(sp, now, out);
	EXPECT_EQ(kSlotGranted, Release(1)[3].verdict);
	EXPECT_EQ(kSlotGranted, Release(3)[2].verdict) << "late, not never";
}

TEST_F(Slotpool, OnlinePreemptsALateBatchItem)
{
	Targets({{"a", 2}});
	BatchWithRunTime(1, 2 * kSec, 4 * kSec);
	BatchWithRunTime(2, 9 * kSec, 4 * kSec);
	EXPECT_EQ(kSlotRevoked, Online(3)[1].verdict);
}

TEST_F(Slotpool, OfItemsDueTogetherTheLastStartedIsRevoked)
{
	Targets({{"a", 2}});
	BatchWithRunTime(1, 9 * kSec, 4 * kSec);
	now = 2 * kSec;
	BatchWithRunTime(2, 9 * kSec, 4 * kSec);
	EXPECT_EQ(kSlotRevoked, Online(3)[2].verdict);
}

TEST_F(Slotpool, OnlinePreemptsTheLowestRankedItemOfAllTargets)
{
	Targets({{"a", 1}, {"b", 1}, {"c", 1}});
	Batch(1, 5 * kSec);
	Batch(2, 9 * kSec);
	Batch(3, 7 * kSec);
	EXPECT_EQ(kSlotRevoked, Online(4)[2].verdict);
}

TEST_F(Slotpool, RepeatedRequestGetsTheSameSlot)
{
	Targets({{"a", 1}});
	std::string target = Online(1)[1].target;
	auto act = Online(1);
	EXPECT_EQ(kSlotGranted, act[1].verdict);
	EXPECT_EQ(target, act[1].target);
}

TEST_F(Slotpool, AdoptedSlotIsInUse)
{
	Targets({{"a", 1}});
	slot_request req = Request(1, false, 0, 1);

	slotpool_adopt(sp, &req, "a", now);
	EXPECT_EQ(kSlotRefused, Online(2, 10 * kMs)[2].verdict);
	Release(1);
	EXPECT_EQ(kSlotGranted, Online(3)[3].verdict);
}

TEST_F(Slotpool, SlotsThatAreNotRenewedExpire)
{
	Targets({{"a", 1}});
	slot_request req = Request(1, false, 0, 1);

	slotpool_request(sp, &req, now, out);
	now = 3 * kSec;
	slotpool_adopt(sp, &req, "a", now);
	now = 6 * kSec;
	slotpool_tick(sp, now, out);
	EXPECT_EQ(kSlotRefused, Online(2, 10 * kMs)[2].verdict) << "renewed";
	now = 8 * kSec;
	slotpool_tick(sp, now, out);
	EXPECT_EQ(kSlotGranted, Online(3)[3].verdict);
}

TEST_F(Slotpool, SlotsOfARemovedDaemonAreFreed)
{
	Targets({{"a", 1}});
	Online(1, 200 * kMs, 7);
	Online(2, 2 * kSec, 8);
	slotpool_remove_holder(sp, 7, now, out);
	EXPECT_EQ(kSlotGranted, TakeActions()[2].verdict);
}

TEST_F(Slotpool, ExcludedTargetIsNotChosen)
{
	Targets({{"a", 8}, {"b", 8}});
	slot_request req = Request(1, false, now + kSec, 1);

	g_strlcpy(req.excluded_target, "a", sizeof(req.excluded_target));
	slotpool_request(sp, &req, now, out);
	EXPECT_STREQ("b", TakeActions()[1].target);
}

TEST_F(Slotpool, UnreachableTargetGetsNoWorkUntilProbed)
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

/* Only the path between one daemon and the target is down; other daemons are
 * still served. */
TEST_F(Slotpool, TargetThatOtherDaemonsReachIsNotEjected)
{
	Targets({{"a", 2}});
	EXPECT_EQ("a", Served(1, 1));
	now += 100 * kMs;
	EXPECT_STREQ("a", Online(2, 200 * kMs, 2)[2].target);
	Release(2, kSlotUnreachable);
	EXPECT_EQ("a", Served(3, 1));
	auto act = Online(4, 200 * kMs, 2);
	EXPECT_EQ(kSlotRefused, act[4].verdict) << "it reaches no target";
	EXPECT_TRUE(act[4].has_no_healthy_target);
	now += 1100 * kMs;
	EXPECT_EQ("a", Served(5, 2)) << "tried again";
}

TEST_F(Slotpool, TargetThatNoDaemonReachesIsEjected)
{
	Targets({{"a", 2}});
	Served(1, 1);
	now += kSec;
	EXPECT_STREQ("a", Online(2, 200 * kMs, 2)[2].target);
	Release(2, kSlotUnreachable);
	EXPECT_EQ(kSlotRefused, Online(3, 200 * kMs, 1)[3].verdict);
}

/* The first queued request cannot use the free slot, as its daemon does not
 * reach the target; the second one can. */
TEST_F(Slotpool, RequestThatCannotUseAFreeSlotBlocksNoOther)
{
	Targets({{"a", 1}, {"b", 1}});
	std::string blocked = Online(1, 200 * kMs, 2)[1].target;
	Release(1);
	std::map<uint64_t, std::string> held;

	/* Daemon 1 reaches both targets; daemon 2 fails at one of them. */
	held[2] = Online(2, 200 * kMs, 1)[2].target;
	held[3] = Online(3, 200 * kMs, 1)[3].target;
	Release(2);
	Release(3);
	uint64_t id = 10;
	while (Online(id, 200 * kMs, 2)[id].target != blocked)
		id++;
	Release(id, kSlotUnreachable);
	for (uint64_t i = 10; i < id; i++)
		Release(i);
	std::string target_100 = Online(100, kSec, 1)[100].target;
	std::string target_101 = Online(101, kSec, 1)[101].target;
	Online(102, 2 * kSec, 2);
	Online(103, 3 * kSec, 1);
	uint64_t on_blocked = target_100 == blocked ? 100 : 101;
	auto act = Release(on_blocked);
	EXPECT_EQ(0u, act.count(102));
	EXPECT_EQ(blocked, act[103].target);
	EXPECT_NE(target_100, target_101);
}

TEST_F(Slotpool, WithoutAHealthyTargetOnlyLastResortIsGranted)
{
	Targets({{"a", 8}, {"b", 8}});
	std::string first = Online(1)[1].target;

	Release(1, kSlotUnreachable);
	std::string second = Online(2)[2].target;
	EXPECT_NE(first, second);
	Release(2, kSlotUnresponsive);
	EXPECT_EQ(kSlotRefused, Online(3)[3].verdict)
	    << "other pools are tried first";
	slot_request req = Request(4, false, now + kSec, 1);

	req.is_last_resort = true;
	slotpool_request(sp, &req, now, out);
	EXPECT_EQ(kSlotGranted, TakeActions()[4].verdict);
}

TEST_F(Slotpool, TargetWithCachedPrefixIsPreferred)
{
	Targets({{"a", 8}, {"b", 8}});
	slot_request first = Request(1, false, kSec, 1);
	slot_request second = Request(2, false, kSec, 1);

	first.prefix = second.prefix = 42;
	slotpool_request(sp, &first, now, out);
	std::string target = TakeActions()[1].target;
	slotpool_release(sp, 1, kSlotServed, now, out);
	slotpool_request(sp, &second, now, out);
	EXPECT_EQ(target, TakeActions()[2].target);
}

TEST_F(Slotpool, SlotsOfARemovedTargetAreFreed)
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
		bool accepts_work;
	} cases[] = {
	    {"fresh", {}, true},
	    {"one failure is tolerated", {kSlotFailed}, true},
	    {"two failures are not", {kSlotFailed, kSlotFailed}, false},
	    {"a success in between", {kSlotFailed, kSlotServed, kSlotFailed},
		true},
	    {"timeout", {kSlotUnresponsive}, false},
	    {"unreachable", {kSlotUnreachable}, false},
	    {"timeout after an answer", {kSlotServed, kSlotUnresponsive}, true},
	    {"two timeouts after an answer",
		{kSlotServed, kSlotUnresponsive, kSlotUnresponsive}, false},
	    {"full", {kSlotFull}, false},
	    {"caller disconnected", {kSlotNeutral, kSlotNeutral}, true},
	};

	for (const auto &c : cases) {
		target_health h = {};

		for (slot_outcome outcome : c.outcomes) {
			target_health_record_start(&h);
			target_health_record_outcome(&h, outcome, 1);
		}
		EXPECT_EQ(c.accepts_work, target_health_accepts_work(&h, 2))
		    << c.name;
		EXPECT_TRUE(target_health_accepts_work(&h, 10 * kSec))
		    << c.name;
	}
}

/*
 * Of equally loaded targets a daemon uses the same one each time, so that its
 * connections are used again; different daemons prefer different ones, so that
 * no target gets more than its share.
 */
TEST_F(Slotpool, EqualTargetsAreSharedOutByDaemon)
{
	std::map<std::string, int> slots;
	std::map<std::string, int> daemons_at;
	uint64_t id = 0;

	for (int i = 0; i < 27; i++)
		slots["t" + std::to_string(i)] = 8;
	Targets(slots);
	for (uint32_t holder = 1; holder <= 54; holder++) {
		std::string first = Served(++id, holder);

		for (int i = 0; i < 10; i++)
			EXPECT_EQ(first, Served(++id, holder)) << holder;
		daemons_at[first]++;
	}
	EXPECT_GE(daemons_at.size(), 20u) << "of 27";
	for (const auto &t : daemons_at)
		EXPECT_LE(t.second, 7) << t.first << ", mean 2";
}

} // namespace

#include <gtest/gtest.h>

#include <map>

extern "C" {
#include "savoryflow/arbiter/arbiter.h"
#include "savoryflow/arbiter/engine_cost.h"
#include "savoryflow/arbiter/fair_queue.h"
#include "savoryflow/arbiter/local_share.h"
}

namespace
{

const int64_t kSec = 1000000;

struct Arbiter : ::testing::Test {
	struct arbiter_options opt = {};
	struct arbiter *arb = nullptr;
	int64_t now = kSec;
	/* Last verdict by id. */
	std::map<uint64_t, arbiter_action> got;

	void
	SetUp() override
	{
		opt.cost = {15000, 150, 25000, 512, 4};
		opt.tail_budget_us = 10 * kSec;
		opt.token_interval_us = 63000;
		opt.cancel_latency_us = 0;
		opt.online_queue_max = 2;
		opt.batch_queue_max = 3;
		opt.grant_lease_us = 100 * kSec;
		arb = arbiter_new(&opt);
	}

	~Arbiter() override
	{
		arbiter_free(arb);
	}

	void
	Take(GArray *out)
	{
		for (guint i = 0; i < out->len; i++) {
			auto act = g_array_index(out, arbiter_action, i);

			got[act.id] = act;
		}
		g_array_unref(out);
	}

	void
	Ask(uint64_t id, work_class cls, bool suspect = false,
	    int64_t deadline = 1000 * kSec, uint32_t holder = 0)
	{
		struct admission_request ask = {};
		GArray *out = arbiter_actions_new();

		ask.id = id;
		ask.holder = holder;
		ask.work_class = cls;
		ask.prompt_tokens = 100;
		ask.deadline_us = deadline;
		ask.weight = 1;
		ask.due_us = INT64_MAX / 2;
		ask.is_suspect = suspect;
		arbiter_request(arb, &ask, now, out);
		Take(out);
	}

	void
	First(uint64_t id)
	{
		GArray *out = arbiter_actions_new();

		arbiter_first_token(arb, id, now, out);
		Take(out);
	}

	void
	Release(uint64_t id)
	{
		GArray *out = arbiter_actions_new();

		arbiter_release(arb, id, now, out);
		Take(out);
	}

	void
	Tick()
	{
		GArray *out = arbiter_actions_new();

		arbiter_tick(arb, now, out);
		Take(out);
	}

	arbiter_crash_verdict
	Crash(uint64_t id)
	{
		GArray *out = arbiter_actions_new();
		auto verdict = arbiter_crash(arb, id, now, out);

		Take(out);
		return verdict;
	}

	bool
	Has(uint64_t id, arbiter_verdict verdict)
	{
		return got.count(id) > 0 && got[id].verdict == verdict;
	}
};

TEST_F(Arbiter, OnlineRevokesTheBatchThatHasDoneLeast)
{
	for (uint64_t id = 1; id <= 4; id++) {
		Ask(id, kWorkBatch);
		First(id);
	}
	EXPECT_TRUE(Has(4, kArbiterGranted));
	Ask(10, kWorkOnline);
	EXPECT_TRUE(Has(10, kArbiterGranted));
	EXPECT_TRUE(Has(4, kArbiterRevoked));
	EXPECT_TRUE(Has(3, kArbiterGranted));
}

TEST_F(Arbiter, OnlineWaitsBeforeBatchAndByDeadline)
{
	for (uint64_t id = 1; id <= 4; id++)
		Ask(id, kWorkOnline);
	Ask(20, kWorkBatch);
	Ask(5, kWorkOnline, false, 900 * kSec);
	Ask(6, kWorkOnline, false, 800 * kSec);
	EXPECT_EQ(0u, got.count(5));
	Release(1);
	EXPECT_TRUE(Has(6, kArbiterGranted));
	EXPECT_EQ(0u, got.count(20));
	Release(2);
	EXPECT_TRUE(Has(5, kArbiterGranted));
	Release(3);
	EXPECT_TRUE(Has(20, kArbiterGranted));
}

TEST_F(Arbiter, QueuesAreBoundedAndRefusalsSayWhenToComeBack)
{
	for (uint64_t id = 1; id <= 6; id++)
		Ask(id, kWorkOnline);
	Ask(7, kWorkOnline);
	EXPECT_TRUE(Has(7, kArbiterRefused));
	EXPECT_GT(got[7].retry_after_us, 0);
	for (uint64_t id = 21; id <= 23; id++)
		Ask(id, kWorkBatch);
	Ask(24, kWorkBatch);
	EXPECT_TRUE(Has(24, kArbiterRefused));
}

TEST_F(Arbiter, RefusesAtOnceWhatCannotBeServedByItsDeadline)
{
	for (uint64_t id = 1; id <= 4; id++)
		Ask(id, kWorkOnline);
	Ask(5, kWorkOnline, false, now + 1);
	EXPECT_TRUE(Has(5, kArbiterRefused));
	Ask(6, kWorkOnline, false, now + 2 * kSec);
	EXPECT_EQ(0u, got.count(6));
	now += 3 * kSec;
	Tick();
	EXPECT_TRUE(Has(6, kArbiterRefused));
}

TEST_F(Arbiter, LeavingTargetTurnsAwayWhatWaitsAndWhatComes)
{
	GArray *out = arbiter_actions_new();

	for (uint64_t id = 1; id <= 5; id++)
		Ask(id, kWorkOnline);
	arbiter_set_leaving(arb, true, now, out);
	Take(out);
	EXPECT_TRUE(Has(5, kArbiterLeaving));
	Ask(6, kWorkOnline);
	EXPECT_TRUE(Has(6, kArbiterLeaving));
	Release(1);
	EXPECT_TRUE(Has(6, kArbiterLeaving));
}

TEST_F(Arbiter, GrantsOfALostDaemonAreFree)
{
	GArray *out = arbiter_actions_new();

	for (uint64_t id = 1; id <= 4; id++)
		Ask(id, kWorkOnline, false, 1000 * kSec, 7);
	Ask(5, kWorkOnline);
	EXPECT_EQ(0u, got.count(5));
	arbiter_remove_holder(arb, 7, now, out);
	Take(out);
	EXPECT_TRUE(Has(5, kArbiterGranted));
}

TEST_F(Arbiter, AskingAgainIsIdempotent)
{
	Ask(1, kWorkOnline);
	Ask(1, kWorkOnline);
	EXPECT_EQ(1, arbiter_load_get(arb).online);
	Release(1);
	Release(1);
	EXPECT_EQ(0, arbiter_load_get(arb).online);
}

TEST_F(Arbiter, LeaseEndsAGrantWithoutNews)
{
	Ask(1, kWorkOnline);
	now += opt.grant_lease_us + 2 * kSec;
	Tick();
	EXPECT_EQ(0, arbiter_load_get(arb).online);
}

TEST_F(Arbiter, CrashBlamesOnlyRequestsWithoutAFirstToken)
{
	Ask(1, kWorkOnline);
	First(1);
	Ask(2, kWorkOnline);
	Ask(3, kWorkOnline);
	EXPECT_EQ(kCrashUnrelated, Crash(1));
	EXPECT_EQ(kCrashSuspect, Crash(2));
	EXPECT_EQ(kCrashSuspect, Crash(3));
}

TEST_F(Arbiter, SuspectStartsAloneAndIsCondemnedAtItsSecondCrash)
{
	Ask(1, kWorkOnline);
	First(1);
	Ask(2, kWorkOnline, true);
	Ask(3, kWorkOnline);
	EXPECT_TRUE(Has(2, kArbiterGranted));
	EXPECT_EQ(0u, got.count(3)) << "nothing starts beside a suspect";
	EXPECT_EQ(kCrashQuarantined, Crash(2));
	EXPECT_EQ(kCrashUnrelated, Crash(1));
	EXPECT_TRUE(Has(3, kArbiterGranted));
}

TEST_F(Arbiter, SuspectWaitsUntilNothingElseStarts)
{
	Ask(1, kWorkOnline);
	Ask(2, kWorkOnline, true);
	EXPECT_EQ(0u, got.count(2));
	First(1);
	EXPECT_TRUE(Has(2, kArbiterGranted));
	First(2);
	Ask(3, kWorkOnline);
	EXPECT_TRUE(Has(3, kArbiterGranted));
}

TEST_F(Arbiter, StrictBudgetKeepsBatchOut)
{
	opt.tail_budget_us = 0;
	arbiter_configure(arb, &opt);
	Ask(1, kWorkOnline);
	Ask(2, kWorkBatch);
	EXPECT_EQ(0u, got.count(2));
}

TEST_F(Arbiter, BatchRunsWhenNoOnlineHasEverCome)
{
	opt.tail_budget_us = 57000;
	opt.cost.streams_max = 234;
	arbiter_configure(arb, &opt);
	Ask(1, kWorkBatch);
	EXPECT_TRUE(Has(1, kArbiterGranted));
}

TEST_F(Arbiter, AdoptedGrantsCount)
{
	GArray *out = arbiter_actions_new();
	struct admission_request ask = {};

	for (uint64_t id = 1; id <= 4; id++) {
		ask.id = id;
		ask.work_class = kWorkOnline;
		arbiter_adopt(arb, &ask, true, now, out);
	}
	Take(out);
	Ask(5, kWorkOnline);
	EXPECT_EQ(0u, got.count(5));
}

TEST(EngineCost, CapacityKeepsTheInterval)
{
	struct engine_cost cost = {15000, 150, 25000, 512, 1000};
	int32_t n = engine_cost_capacity(&cost, 63000);

	EXPECT_LE(engine_cost_step_us(&cost, n, 512), 63000);
	EXPECT_GT(engine_cost_step_us(&cost, n + 1, 512), 63000);
}

TEST(FairQueue, SharesByWeightAndUrgencyGoesFirst)
{
	struct fair_queue *fq = fair_queue_new();
	std::map<uint64_t, int> taken;
	struct admission_request ask = {};

	for (uint64_t i = 0; i < 400; i++) {
		ask.id = i + 1;
		ask.team = i % 2;
		ask.weight = ask.team == 0 ? 3 : 1;
		ask.due_us = 1000 * kSec + (int64_t)i;
		fair_queue_push(fq, &ask);
	}
	for (int i = 0; i < 100; i++) {
		ASSERT_TRUE(fair_queue_pop(fq, 0, &ask));
		taken[ask.team]++;
	}
	EXPECT_NEAR(75, taken[0], 2);
	ask = {};
	ask.id = 1000;
	ask.team = 9;
	ask.weight = 1;
	ask.due_us = 5;
	fair_queue_push(fq, &ask);
	ASSERT_TRUE(fair_queue_pop(fq, 10, &ask));
	EXPECT_EQ(1000u, ask.id);
	EXPECT_TRUE(fair_queue_remove(fq, 399));
	EXPECT_FALSE(fair_queue_remove(fq, 399));
	fair_queue_free(fq);
}

TEST(LocalShare, AllDaemonsTogetherStayWithinTheSlots)
{
	struct local_share *ls = local_share_new();
	int n = 0;

	while (local_share_acquire(ls, "t", 10, 4))
		n++;
	EXPECT_EQ(2, n);
	local_share_release(ls, "t");
	EXPECT_TRUE(local_share_acquire(ls, "t", 10, 4));
	EXPECT_TRUE(local_share_acquire(ls, "small", 2, 40));
	EXPECT_FALSE(local_share_acquire(ls, "small", 2, 40));
	local_share_free(ls);
}

} // namespace

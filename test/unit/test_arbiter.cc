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
	/* Last action by id. */
	std::map<uint64_t, arbiter_action> last;

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
	Collect(GArray *out)
	{
		for (guint i = 0; i < out->len; i++) {
			auto act = g_array_index(out, arbiter_action, i);

			last[act.id] = act;
		}
		g_array_unref(out);
	}

	void
	Request(uint64_t id, work_class cls, bool suspect = false,
	    int64_t deadline = 1000 * kSec, uint32_t holder = 0)
	{
		struct admission_request req = {};
		GArray *out = arbiter_actions_new();

		req.id = id;
		req.holder = holder;
		req.work_class = cls;
		req.prompt_tokens = 100;
		req.deadline_us = deadline;
		req.weight = 1;
		req.due_us = INT64_MAX / 2;
		req.is_suspect = suspect;
		arbiter_request(arb, &req, now, out);
		Collect(out);
	}

	void
	FirstToken(uint64_t id)
	{
		GArray *out = arbiter_actions_new();

		arbiter_first_token(arb, id, now, out);
		Collect(out);
	}

	void
	Release(uint64_t id)
	{
		GArray *out = arbiter_actions_new();

		arbiter_release(arb, id, now, out);
		Collect(out);
	}

	void
	Tick()
	{
		GArray *out = arbiter_actions_new();

		arbiter_tick(arb, now, out);
		Collect(out);
	}

	arbiter_crash_verdict
	Crash(uint64_t id)
	{
		GArray *out = arbiter_actions_new();
		auto verdict = arbiter_crash(arb, id, now, out);

		Collect(out);
		return verdict;
	}

	/* An answer names a rate, or none (negative).
	 * @param id of its grant; 0: told by another daemon */
	void
	Say(int64_t milli_per_s, uint64_t id = 0, int64_t pause_us = 0)
	{
		arbiter_rate rate = {};

		rate.id = id;
		rate.said.kind = milli_per_s < 0 ? kRateNone : kRateNamed;
		rate.said.milli_per_s = milli_per_s;
		rate.pause_us = pause_us;
		arbiter_record_rate(arb, &rate, now);
	}

	bool
	HasVerdict(uint64_t id, arbiter_verdict verdict)
	{
		return last.count(id) > 0 && last[id].verdict == verdict;
	}
};

TEST_F(Arbiter, OnlineRevokesTheNewestBatchGrant)
{
	for (uint64_t id = 1; id <= 4; id++) {
		Request(id, kWorkBatch);
		FirstToken(id);
	}
	EXPECT_TRUE(HasVerdict(4, kArbiterGranted));
	Request(10, kWorkOnline);
	EXPECT_TRUE(HasVerdict(10, kArbiterGranted));
	EXPECT_TRUE(HasVerdict(4, kArbiterRevoked));
	EXPECT_TRUE(HasVerdict(3, kArbiterGranted));
}

TEST_F(Arbiter, OnlineIsQueuedAheadOfBatchByDeadline)
{
	for (uint64_t id = 1; id <= 4; id++)
		Request(id, kWorkOnline);
	Request(20, kWorkBatch);
	Request(5, kWorkOnline, false, 900 * kSec);
	Request(6, kWorkOnline, false, 800 * kSec);
	EXPECT_EQ(0u, last.count(5));
	Release(1);
	EXPECT_TRUE(HasVerdict(6, kArbiterGranted));
	EXPECT_EQ(0u, last.count(20));
	Release(2);
	EXPECT_TRUE(HasVerdict(5, kArbiterGranted));
	Release(3);
	EXPECT_TRUE(HasVerdict(20, kArbiterGranted));
}

TEST_F(Arbiter, QueuesAreBoundedAndRefusalsCarryRetryAfter)
{
	for (uint64_t id = 1; id <= 6; id++)
		Request(id, kWorkOnline);
	Request(7, kWorkOnline);
	EXPECT_TRUE(HasVerdict(7, kArbiterRefused));
	EXPECT_GT(last[7].retry_after_us, 0);
	for (uint64_t id = 21; id <= 23; id++)
		Request(id, kWorkBatch);
	Request(24, kWorkBatch);
	EXPECT_TRUE(HasVerdict(24, kArbiterRefused));
}

TEST_F(Arbiter, RefusesImmediatelyWhenTheDeadlineCannotBeMet)
{
	for (uint64_t id = 1; id <= 4; id++)
		Request(id, kWorkOnline);
	Request(5, kWorkOnline, false, now + 1);
	EXPECT_TRUE(HasVerdict(5, kArbiterRefused));
	Request(6, kWorkOnline, false, now + 2 * kSec);
	EXPECT_EQ(0u, last.count(6));
	now += 3 * kSec;
	Tick();
	EXPECT_TRUE(HasVerdict(6, kArbiterRefused));
}

TEST_F(Arbiter, LeavingTargetRejectsQueuedAndNewRequests)
{
	GArray *out = arbiter_actions_new();

	for (uint64_t id = 1; id <= 5; id++)
		Request(id, kWorkOnline);
	arbiter_set_leaving(arb, true, now, out);
	Collect(out);
	EXPECT_TRUE(HasVerdict(5, kArbiterLeaving));
	Request(6, kWorkOnline);
	EXPECT_TRUE(HasVerdict(6, kArbiterLeaving));
	Release(1);
	EXPECT_TRUE(HasVerdict(6, kArbiterLeaving));
}

TEST_F(Arbiter, GrantsOfARemovedDaemonAreReleased)
{
	GArray *out = arbiter_actions_new();

	for (uint64_t id = 1; id <= 4; id++)
		Request(id, kWorkOnline, false, 1000 * kSec, 7);
	Request(5, kWorkOnline);
	EXPECT_EQ(0u, last.count(5));
	arbiter_remove_holder(arb, 7, now, out);
	Collect(out);
	EXPECT_TRUE(HasVerdict(5, kArbiterGranted));
}

TEST_F(Arbiter, RepeatedRequestIsIdempotent)
{
	Request(1, kWorkOnline);
	Request(1, kWorkOnline);
	EXPECT_EQ(1, arbiter_load_get(arb, 0).online);
	Release(1);
	Release(1);
	EXPECT_EQ(0, arbiter_load_get(arb, 0).online);
}

TEST_F(Arbiter, GrantExpiresWithItsLease)
{
	Request(1, kWorkOnline);
	now += opt.grant_lease_us + 2 * kSec;
	Tick();
	EXPECT_EQ(0, arbiter_load_get(arb, 0).online);
}

TEST_F(Arbiter, StartsFollowTheRateThatTheTargetNames)
{
	Say(2000);
	Request(1, kWorkOnline);
	EXPECT_TRUE(HasVerdict(1, kArbiterBusy)) << "another target first";
	EXPECT_EQ(kSec / 2, last[1].retry_after_us);
	now += kSec / 2;
	Request(2, kWorkBatch);
	EXPECT_EQ(0u, last.count(2)) << "leaves the start to online";
	Request(3, kWorkOnline);
	EXPECT_TRUE(HasVerdict(3, kArbiterGranted));
	now += kSec;
	Tick();
	EXPECT_TRUE(HasVerdict(2, kArbiterGranted));
}

TEST_F(Arbiter, ARequestWithoutAnotherTargetWaitsForAStart)
{
	struct admission_request req = {};
	GArray *out = arbiter_actions_new();

	Say(2000);
	req.id = 1;
	req.work_class = kWorkOnline;
	req.deadline_us = now + kSec;
	req.is_last_resort = true;
	arbiter_request(arb, &req, now, out);
	EXPECT_EQ(0u, out->len) << "queued";
	req.id = 2;
	req.deadline_us = now + kSec / 4;
	arbiter_request(arb, &req, now, out);
	Collect(out);
	EXPECT_TRUE(HasVerdict(2, kArbiterRefused));
	now += kSec / 2;
	Tick();
	EXPECT_TRUE(HasVerdict(1, kArbiterGranted));
}

TEST_F(Arbiter, OnlyAnAnswerToALaterGrantEndsTheRate)
{
	Request(1, kWorkOnline);
	now += kSec;
	Say(1000);
	now += kSec;
	Say(-1, 1);
	EXPECT_EQ(1000, arbiter_rate_milli(arb)) << "granted before";
	Request(2, kWorkOnline);
	Say(-1, 2);
	EXPECT_EQ(-1, arbiter_rate_milli(arb));
	Say(1000);
	EXPECT_EQ(-1, arbiter_rate_milli(arb)) << "others may not know yet";
}

TEST_F(Arbiter, APauseSendsRequestsElsewhere)
{
	Say(-1, 0, kSec);
	Request(1, kWorkOnline);
	EXPECT_TRUE(HasVerdict(1, kArbiterBusy));
	EXPECT_GE(arbiter_load_get(arb, now).first_token_us, kSec);
	now += kSec;
	Request(2, kWorkOnline);
	EXPECT_TRUE(HasVerdict(2, kArbiterGranted));
}

TEST_F(Arbiter, CrashSuspectsOnlyRequestsWithoutAFirstToken)
{
	Request(1, kWorkOnline);
	FirstToken(1);
	Request(2, kWorkOnline);
	Request(3, kWorkOnline);
	EXPECT_EQ(kCrashUnrelated, Crash(1));
	EXPECT_EQ(kCrashSuspect, Crash(2));
	EXPECT_EQ(kCrashSuspect, Crash(3));
}

TEST_F(Arbiter, SuspectStartsAloneAndIsQuarantinedAtItsSecondCrash)
{
	Request(1, kWorkOnline);
	FirstToken(1);
	Request(2, kWorkOnline, true);
	Request(3, kWorkOnline);
	EXPECT_TRUE(HasVerdict(2, kArbiterGranted));
	EXPECT_EQ(0u, last.count(3)) << "nothing starts beside a suspect";
	EXPECT_EQ(kCrashQuarantined, Crash(2));
	EXPECT_EQ(kCrashUnrelated, Crash(1));
	EXPECT_TRUE(HasVerdict(3, kArbiterGranted));
}

TEST_F(Arbiter, BatchIsNeverASuspectOfACrash)
{
	const struct {
		const char *name;
		bool has_online;
		bool was_suspect;
	} cases[] = {
	    {"alone", false, false},
	    {"alone, suspected by an older daemon", false, true},
	    {"beside an online request", true, false},
	};
	uint64_t id = 1;

	for (const auto &c : cases) {
		uint64_t online = id++;
		uint64_t batch = id++;

		if (c.has_online)
			Request(online, kWorkOnline);
		Request(batch, kWorkBatch, c.was_suspect);
		ASSERT_TRUE(HasVerdict(batch, kArbiterGranted)) << c.name;
		EXPECT_EQ(kCrashUnrelated, Crash(batch)) << c.name;
		if (c.has_online) {
			EXPECT_EQ(kCrashSuspect, Crash(online)) << c.name;
		}
		now += 10 * kSec;
		Tick();
	}
}

TEST_F(Arbiter, SuspectWaitsUntilNoOtherRequestIsPrefilling)
{
	Request(1, kWorkOnline);
	Request(2, kWorkOnline, true);
	EXPECT_EQ(0u, last.count(2));
	FirstToken(1);
	EXPECT_TRUE(HasVerdict(2, kArbiterGranted));
	FirstToken(2);
	Request(3, kWorkOnline);
	EXPECT_TRUE(HasVerdict(3, kArbiterGranted));
}

TEST_F(Arbiter, ZeroBudgetExcludesBatch)
{
	opt.tail_budget_us = 0;
	arbiter_configure(arb, &opt);
	Request(1, kWorkOnline);
	Request(2, kWorkBatch);
	EXPECT_EQ(0u, last.count(2));
}

TEST_F(Arbiter, BatchIsAdmittedBeforeTheFirstOnlineRequest)
{
	opt.tail_budget_us = 57000;
	opt.cost.streams_max = 234;
	arbiter_configure(arb, &opt);
	Request(1, kWorkBatch);
	EXPECT_TRUE(HasVerdict(1, kArbiterGranted));
}

TEST_F(Arbiter, AdoptedGrantsOccupySlots)
{
	GArray *out = arbiter_actions_new();
	struct admission_request req = {};

	for (uint64_t id = 1; id <= 4; id++) {
		req.id = id;
		req.work_class = kWorkOnline;
		arbiter_adopt(arb, &req, true, now, out);
	}
	Collect(out);
	Request(5, kWorkOnline);
	EXPECT_EQ(0u, last.count(5));
}

TEST(EngineCost, CapacityKeepsTheTokenInterval)
{
	struct engine_cost cost = {15000, 150, 25000, 512, 1000};
	int32_t n = engine_cost_capacity(&cost, 63000);

	EXPECT_LE(engine_cost_step_us(&cost, n, 512), 63000);
	EXPECT_GT(engine_cost_step_us(&cost, n + 1, 512), 63000);
}

TEST(FairQueue, SharesByWeightAndServesUrgentRequestsFirst)
{
	struct fair_queue *fq = fair_queue_new();
	std::map<uint64_t, int> popped;
	struct admission_request req = {};

	for (uint64_t i = 0; i < 400; i++) {
		req.id = i + 1;
		req.team = i % 2;
		req.weight = req.team == 0 ? 3 : 1;
		req.due_us = 1000 * kSec + (int64_t)i;
		fair_queue_push(fq, &req);
	}
	for (int i = 0; i < 100; i++) {
		ASSERT_TRUE(fair_queue_pop(fq, 0, &req));
		popped[req.team]++;
	}
	EXPECT_NEAR(75, popped[0], 2);
	req = {};
	req.id = 1000;
	req.team = 9;
	req.weight = 1;
	req.due_us = 5;
	fair_queue_push(fq, &req);
	ASSERT_TRUE(fair_queue_pop(fq, 10, &req));
	EXPECT_EQ(1000u, req.id);
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

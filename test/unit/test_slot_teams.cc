/* Fair queueing between teams where online requests wait for slots. */
#include "unit/slotpool_fixture.h"

extern "C" {
#include "savoryflow/slotpool/team_share.h"
}

namespace
{

constexpr int64_t kMs = SlotpoolFixture::kMs;
constexpr int64_t kSec = SlotpoolFixture::kSec;

/* A team with twice the weight would get as much as the others. */
TEST(TeamShares, WorkCountsByWeight)
{
	const struct {
		int64_t work_us;
		uint32_t weight;
		int64_t virtual_us;
	} cases[] = {
	    {400 * kMs, 4000, 400 * kMs},
	    {400 * kMs, 8000, 200 * kMs},
	    {400 * kMs, 1000, 1600 * kMs},
	    {400 * kMs, 0, 400 * kMs},
	    {-100 * kMs, 1000, -400 * kMs},
	    {400 * kMs, UINT32_MAX, 16},
	    {600 * kSec, 1, 2400000 * kSec},
	};

	for (const auto &c : cases)
		EXPECT_EQ(
		    c.virtual_us, team_shares_virtual_us(c.work_us, c.weight))
		    << c.work_us << " " << c.weight;
}

/* A team that was idle for long would keep all others waiting, or a small team
 * could not send two requests at once. */
TEST(TeamShares, AnIdleTeamKeepsLimitedCredit)
{
	team_shares *ts = team_shares_new();
	team_share *idle = team_shares_get(ts, 1);
	team_share *busy = team_shares_get(ts, 2);

	for (int i = 0; i < 100; i++)
		team_shares_charge(ts, busy, kSec, 0);
	EXPECT_EQ(97 * kSec, team_shares_start_us(ts, busy));
	EXPECT_EQ(93 * kSec, team_shares_start_us(ts, idle))
	    << "three seconds behind the start of the last request";
	EXPECT_EQ(93 * kSec, team_shares_start_us(ts, team_shares_get(ts, 3)));
	team_shares_charge(ts, idle, kSec, 0);
	EXPECT_EQ(94 * kSec, team_shares_start_us(ts, idle));
	team_shares_free(ts);
}

/* Teams of long requests would get more than those of short ones. */
TEST(TeamShares, TheChargeIsCorrectedByTheTimeHeld)
{
	const struct {
		int64_t held_us;
		int64_t virtual_us;
		int64_t recent_us;
	} cases[] = {
	    {400 * kMs, 400 * kMs, 400 * kMs},
	    {1000 * kMs, 1000 * kMs, 1000 * kMs},
	    /* Not used. */
	    {0, 0, 0},
	};

	for (const auto &c : cases) {
		team_shares *ts = team_shares_new();
		team_share *share = team_shares_get(ts, 1);
		int64_t before_us = share->virtual_us;

		EXPECT_EQ(400 * kMs, team_share_work_us(share, 400 * kMs));
		team_shares_charge(ts, share, 400 * kMs, 0);
		team_shares_settle(ts, share, 400 * kMs, c.held_us, 0);
		EXPECT_EQ(c.virtual_us, share->virtual_us - before_us);
		EXPECT_EQ(c.recent_us, share->recent_us);
		team_shares_free(ts);
	}
}

TEST(TeamShares, ATeamFarBelowTheMeanIsStarved)
{
	const struct {
		int64_t own_us, other_us;
		bool is_starved;
	} cases[] = {
	    {0, 0, false},
	    {0, kSec, true},
	    {kSec, kSec, false},
	    {199 * kMs, kSec, true},
	    {201 * kMs, kSec, false},
	};

	for (const auto &c : cases) {
		team_shares *ts = team_shares_new();
		team_share *own = team_shares_get(ts, 1);
		team_share *other = team_shares_get(ts, 2);

		team_shares_charge(ts, own, c.own_us, 0);
		team_shares_charge(ts, other, c.other_us, 0);
		EXPECT_EQ(c.is_starved, team_shares_is_starved(ts, own))
		    << c.own_us;
		team_shares_free(ts);
	}
}

/* A team that has used its credit would fill the queue with requests that
 * cannot start in time. */
TEST(TeamShares, ATeamThatIsAheadIsJudgedByItsShare)
{
	const struct {
		const char *what;
		int64_t own_us, other_us;
		uint32_t weight;
		int32_t waiting, ahead;
	} cases[] = {
	    {"alone", 8 * kSec, 0, 1000, 3, 3},
	    {"half", 8 * kSec, 8 * kSec, 1000, 3, 6},
	    {"a quarter", 8 * kSec, 24 * kSec, 1000, 3, 12},
	    {"starved: it is next", kSec, 99 * kSec, 4, 3, 3},
	    {"behind: it gets more", 8 * kSec, 24 * kSec, 4000000, 3, 3},
	    {"none waits", 8 * kSec, 24 * kSec, 1000, 0, 0},
	};

	for (const auto &c : cases) {
		team_shares *ts = team_shares_new();
		team_share *own = team_shares_get(ts, 1);
		team_share *other = team_shares_get(ts, 2);

		team_shares_charge(ts, other, c.other_us / 2, 0);
		team_shares_charge(ts, other, c.other_us / 2, 0);
		team_shares_charge(ts, own, c.own_us, c.weight);
		own->waiting = c.waiting;
		EXPECT_EQ(c.ahead, team_shares_ahead(ts, own)) << c.what;
		team_shares_free(ts);
	}
}

/* The accounts of 3,200 teams would stay for ever, or a waiting request would
 * lose its account. */
TEST(TeamShares, AccountsAreDroppedOnceIdle)
{
	team_shares *ts = team_shares_new();
	team_share *waiting = team_shares_get(ts, 1);
	team_share *busy = team_shares_get(ts, 2);

	waiting->waiting = 1;
	team_shares_charge(ts, busy, 100 * kSec, 0);
	team_shares_get(ts, 3);
	for (int i = 1; i <= 5; i++)
		team_shares_age(ts, i * kSec);
	EXPECT_EQ(busy, team_shares_get(ts, 2));
	EXPECT_EQ(100 * kSec / 32, busy->recent_us);
	for (int i = 6; i <= 40; i++)
		team_shares_age(ts, i * kSec);
	EXPECT_EQ(waiting, team_shares_get(ts, 1));
	EXPECT_EQ(0, team_shares_get(ts, 2)->recent_us);
	EXPECT_EQ(0, team_shares_get(ts, 2)->hold_us);
	team_shares_free(ts);
}

struct Ask {
	uint64_t team;
	int64_t deadline_ms;
	uint32_t weight = 0;
	uint32_t priority = 0;
};

struct SlotTeams : SlotpoolFixture {
	slot_request
	Of(uint64_t id, const Ask &ask)
	{
		slot_request req =
		    Request(id, false, now + ask.deadline_ms * kMs, 1);

		req.team = ask.team;
		req.weight = ask.weight;
		req.priority = ask.priority;
		return req;
	}

	slotpool_verdict
	Send(uint64_t id, const Ask &ask)
	{
		slot_request req = Of(id, ask);

		slotpool_request(sp, &req, now, out);
		auto acts = TakeActions();
		return acts.count(id) > 0 ? acts[id].verdict : kSlotQueued;
	}

	/* Order in which queued requests get the only slot; request 1 has it.
	 */
	std::vector<uint64_t>
	Order(uint64_t held = 1, int64_t hold_us = 100 * kMs)
	{
		std::vector<uint64_t> order;

		while (held != 0) {
			now += hold_us;
			auto acts = Release(held);

			held = 0;
			for (auto &a : acts)
				if (a.second.verdict == kSlotGranted)
					order.push_back(held = a.first);
		}
		return order;
	}
};

/* Requests with ids from 2 wait behind request 1 of team 7. */
TEST_F(SlotTeams, WaitingRequestsStartByPriorityThenShareThenDeadline)
{
	const struct {
		const char *what;
		std::vector<Ask> asks;
		std::vector<uint64_t> order;
	} cases[] = {
	    {"one team: by deadline", {{0, 9000}, {0, 7000}, {0, 8000}},
		{3, 4, 2}},
	    {"teams take turns",
		{{1, 8000}, {1, 8001}, {1, 8002}, {2, 9000}, {2, 9001}},
		{2, 5, 3, 6, 4}},
	    {"without a team is a team",
		{{1, 8000}, {1, 8001}, {0, 9000}, {0, 9001}}, {2, 4, 3, 5}},
	    {"by weight",
		{{1, 8000, 4000}, {1, 8001, 4000}, {2, 9000, 12000},
		    {2, 9001, 12000}, {2, 9002, 12000}},
		{2, 4, 5, 6, 3}},
	    {"priority first",
		{{1, 8000, 0, 1}, {2, 9000, 0, 0}, {2, 9001, 0, 0}}, {3, 4, 2}},
	    {"priority of one team's routes",
		{{1, 8000, 0, 2}, {1, 9000, 0, 1}, {1, 9500, 0, 0}}, {4, 3, 2}},
	};

	for (const auto &c : cases) {
		slotpool_free(sp);
		sp = slotpool_new();
		now = 0;
		Targets({{"a", 1}});
		for (uint64_t team : {0, 1, 2}) {
			/* None of them starts as starved. */
			Send(100 + team, {team, 9000});
			now += 500 * kMs;
			Release(100 + team);
		}
		ASSERT_EQ(kSlotGranted, Send(1, {7, 9000}));
		for (size_t i = 0; i < c.asks.size(); i++)
			EXPECT_EQ(kSlotQueued, Send(2 + i, c.asks[i]))
			    << c.what << i;
		EXPECT_EQ(c.order, Order()) << c.what;
	}
}

/* Strict priorities would let a team of low priority wait for ever. */
TEST_F(SlotTeams, ATeamOfLowPriorityGetsAQuarterOfTheMean)
{
	const uint64_t n = 200;
	std::map<uint64_t, int> starts;

	Targets({{"a", 1}});
	Send(1, {1, 100000});
	for (uint64_t id = 2; id <= n; id++) {
		Ask ask = {
		    1 + id % 3, 100000, 0, (uint32_t)(id % 3 == 0 ? 1 : 0)};

		Send(id, ask);
	}
	auto order = Order();
	for (size_t i = 0; i < 90; i++)
		starts[1 + order[i] % 3]++;
	EXPECT_GE(starts[1], 90 / 3 / 4);
	EXPECT_LT(starts[1], starts[2]);
	EXPECT_LT(starts[1], starts[3]);
}

/* A team that has received nothing yet would be refused as soon as one of its
 * requests waits. */
TEST_F(SlotTeams, ANewTeamMayWaitWithSeveralRequests)
{
	Targets({{"a", 4}});
	for (uint64_t id = 1; id <= 4; id++)
		EXPECT_EQ(kSlotGranted, Send(id, {1, 1000}));
	for (uint64_t id = 5; id <= 8; id++)
		EXPECT_EQ(kSlotQueued, Send(id, {2, 1000}));
}

/* The queue of one team would refuse all others at once, though theirs come
 * first; and one's own queue must refuse at once. */
TEST_F(SlotTeams, OnlyRequestsThatStartBeforeCountForAdmission)
{
	int queued = 0;
	int refused = 0;

	Targets({{"a", 4}});
	for (uint64_t id = 1; id <= 104; id++)
		(Send(id, {1, 1000}) == kSlotRefused ? refused : queued)++;
	EXPECT_GT(queued, 4);
	EXPECT_GT(refused, 80) << "most could not start in time";
	EXPECT_EQ(kSlotRefused, Send(105, {1, 1000}));
	EXPECT_EQ(kSlotQueued, Send(106, {2, 1000}));
	EXPECT_EQ(kSlotGranted, (Release(1)[106].verdict));
}

/* Its requests would wait for slots that go to the other team, and start late.
 */
TEST_F(SlotTeams, ATeamThatIsAheadMayQueueWhatItsShareServesInTime)
{
	const struct {
		int rounds;
		uint32_t weight;
		int queued_min, queued_max;
	} cases[] = {
	    /* It has credit: eight start within a second. */
	    {0, 40000, 7, 8},
	    {40, 1000, 3, 4},
	};

	for (const auto &c : cases) {
		uint64_t id = 0;
		int queued = 0;

		slotpool_free(sp);
		sp = slotpool_new();
		Targets({{"a", 4}});
		for (int i = 0; i < c.rounds; i++) {
			Send(++id, {2, 1000, c.weight});
			Send(++id, {1, 1000, c.weight});
			now += 500 * kMs;
			Release(id - 1);
			Release(id);
		}
		for (uint64_t team : {2, 2, 1, 1})
			EXPECT_EQ(
			    kSlotGranted, Send(++id, {team, 1000, c.weight}));
		while (Send(++id, {1, 1000, c.weight}) == kSlotQueued)
			queued++;
		EXPECT_GE(queued, c.queued_min) << c.rounds;
		EXPECT_LE(queued, c.queued_max) << c.rounds;
	}
}

/* A request that may not run on the free target would hold up its team and the
 * others. */
TEST_F(SlotTeams, ASkippedRequestHoldsUpNobody)
{
	Targets({{"a", 1}, {"b", 1}});
	slot_request holds_b = Of(1, {1, 9000});
	slot_request waits_b = Of(2, {1, 5000});

	g_strlcpy(
	    holds_b.excluded_target, "a", sizeof(holds_b.excluded_target));
	g_strlcpy(
	    waits_b.excluded_target, "a", sizeof(waits_b.excluded_target));
	slotpool_request(sp, &holds_b, now, out);
	EXPECT_STREQ("b", TakeActions()[1].target);
	EXPECT_EQ(kSlotGranted, Send(3, {1, 9000}));
	slotpool_request(sp, &waits_b, now, out);
	EXPECT_EQ(kSlotQueued, Send(4, {1, 6000}));
	EXPECT_EQ(kSlotQueued, Send(5, {2, 7000}));
	now += 100 * kMs;
	auto acts = Release(3);
	uint64_t first = acts.count(4) > 0 ? 4 : 5;

	EXPECT_EQ(kSlotGranted, acts[first].verdict);
	EXPECT_EQ(0u, acts.count(2));
	now += 100 * kMs;
	EXPECT_EQ(kSlotGranted, Release(first)[9 - first].verdict);
	EXPECT_STREQ("b", Release(1)[2].target);
}

} // namespace

#include <gtest/gtest.h>

extern "C" {
#include "savoryflow/limits/limit_pot.h"
}

namespace
{

const int64_t kSec = 1000000;
const uint64_t kTeam = 7;

/* A pot among whose members are some of all daemons. */
struct Pot {
	limit_pot *pot;
	int64_t now = 100 * kSec;

	Pot(int daemons, int members, bool starts_with_slack = false)
	{
		limit_pot_options opt = {1, starts_with_slack, now};

		pot = limit_pot_new(&opt);
		limit_pot_set_daemons(pot, daemons, now);
		Join(members);
	}

	~Pot()
	{
		limit_pot_free(pot);
	}

	void
	Join(int members, int64_t for_us = 1000 * kSec)
	{
		limit_pot_set_member(pot, 1, members, now + for_us, now);
	}

	/* Takes what there is, in steps, for a time. */
	int64_t
	TakeFor(const limit_rate &rate, int64_t duration, int64_t step = 10000)
	{
		int64_t taken = 0;

		for (int64_t end = now + duration; now < end; now += step)
			taken +=
			    limit_pot_take(pot, kTeam, &rate, 1000000, 0, now);
		return taken;
	}
};

/* Guards against parts of a rate that add up to more than the rate, or are
 * rounded away. */
TEST(LimitPot, FillsAtTheShareOfItsMembers)
{
	const struct {
		int daemons, members;
		int64_t milli_per_s, burst;
		int64_t seconds, least, most;
	} cases[] = {
	    {1, 1, 10000, 0, 100, 1000, 1000 + 7},
	    {1, 1, 10000, 50, 100, 1000, 1050 + 7},
	    {1, 1, 500, 0, 100, 50, 50 + 6},
	    {81, 81, 50, 0, 1000, 50, 50 + 6},
	    {80, 40, 10000, 0, 100, 500, 500 + 7},
	    {3, 1, 1000, 0, 300, 100, 100 + 2},
	    {4, 0, 1000, 0, 100, 0, 0},
	    {79, 79, 0, 100, 100, 0, 106},
	};

	for (const auto &c : cases) {
		Pot p(c.daemons, c.members);
		limit_rate rate = {c.milli_per_s, c.burst};
		int64_t n = p.TakeFor(rate, c.seconds * kSec);

		/* The bucket starts empty and may not be full at the end. */
		EXPECT_GE(n, c.least - 1) << c.milli_per_s << " " << c.members;
		EXPECT_LE(n, c.most) << c.milli_per_s << " " << c.members;
	}
}

/* Guards against a member that is counted after it may have turned away. */
TEST(LimitPot, CountsAMemberUntilItsTime)
{
	Pot p(2, 2);
	limit_rate rate = {100000, 0};

	p.Join(2, 2 * kSec);
	EXPECT_NEAR(200, p.TakeFor(rate, 10 * kSec, kSec / 100), 2);
	EXPECT_EQ(0, limit_pot_count(p.pot, p.now));
	/* Late by a second: what came in between is not made up for. */
	p.Join(2);
	EXPECT_NEAR(100, p.TakeFor(rate, kSec), 2);
}

/* Guards against a share that is given out twice, by the node and by the one
 * that it is tied to. */
TEST(LimitPot, HoldsNothingWhileItIsTied)
{
	Pot p(2, 2);
	limit_rate rate = {100000, 100};

	p.now += 10 * kSec;
	limit_pot_tie(p.pot, p.now + kSec, p.now);
	EXPECT_EQ(0, p.TakeFor(rate, kSec - 1, kSec / 10))
	    << "what it held is dropped";
	EXPECT_TRUE(limit_pot_is_tied(p.pot, p.now - kSec / 10));
	p.now += kSec;
	EXPECT_FALSE(limit_pot_is_tied(p.pot, p.now));
	EXPECT_GT(p.TakeFor(rate, kSec), 90);
}

/* Guards against an overload at all daemons at once that admits a request at
 * each of them, when no daemon reaches another one. */
TEST(LimitPot, SharesBelowARequestAreUsedInTurn)
{
	const struct {
		int daemons;
		int64_t milli_per_s, burst;
	} cases[] = {
	    {81, 500, 1}, {81, 2000, 2}, {81, 20000, 20}, {380, 100, 0}};

	for (const auto &c : cases) {
		limit_rate rate = {c.milli_per_s, c.burst};
		std::vector<limit_pot *> pots;
		std::vector<int64_t> admitted;
		int64_t now = 0;
		double bound =
		    ((double)c.milli_per_s / 200 + (double)c.burst) * 1.1 + 20;

		for (int i = 0; i < c.daemons; i++) {
			limit_pot_options opt = {(uint64_t)i, false, 0};

			pots.push_back(limit_pot_new(&opt));
			limit_pot_set_daemons(pots[i], c.daemons, 0);
			limit_pot_set_member(pots[i], 1, 1, INT64_MAX, 0);
		}
		/* Long enough for all to have something. */
		for (now = 5000 * kSec; now < 5100 * kSec; now += kSec / 20)
			for (auto *pot : pots)
				if (limit_pot_take(
					pot, kTeam, &rate, 1, 0, now) == 1)
					admitted.push_back(now);
		size_t worst = 0;
		for (size_t i = 0, first = 0; i < admitted.size(); i++) {
			while (admitted[i] - admitted[first] >= 5 * kSec)
				first++;
			worst = std::max(worst, i - first + 1);
		}
		EXPECT_LE((double)worst, bound)
		    << c.daemons << " " << c.milli_per_s;
		EXPECT_GE((double)admitted.size(),
		    (double)c.milli_per_s / 1000 * 100 / 3)
		    << "a third of the rate is used";
		for (auto *pot : pots)
			limit_pot_free(pot);
	}
}

TEST(LimitPot, WhatIsGivenBackCanBeTakenAgain)
{
	Pot p(1, 1);
	limit_rate rate = {1000, 20};

	p.now += 100 * kSec;
	EXPECT_EQ(26, limit_pot_take(p.pot, kTeam, &rate, 100, 0, p.now));
	EXPECT_EQ(0, limit_pot_take(p.pot, kTeam, &rate, 1, 0, p.now));
	limit_pot_give_back(p.pot, kTeam, &rate, 5, p.now);
	EXPECT_EQ(0, limit_pot_take(p.pot, kTeam, &rate, 5, 5, p.now))
	    << "the reserve";
	EXPECT_EQ(5, limit_pot_take(p.pot, kTeam, &rate, 100, 0, p.now));
	EXPECT_NEAR(3 * kSec, limit_pot_wait_us(p.pot, kTeam, &rate, 3, p.now),
	    (double)kSec / 10);
	/* A debt is paid first. */
	limit_pot_give_back(p.pot, kTeam, &rate, -4, p.now);
	EXPECT_EQ(
	    0, limit_pot_take(p.pot, kTeam, &rate, 1, 0, p.now + 4 * kSec));
}

/* Guards against a limit that is lowered and still admits what the old one
 * had collected. */
TEST(LimitPot, ALoweredLimitAppliesAtOnce)
{
	Pot p(1, 1);
	limit_rate old = {1000000, 1000};
	limit_rate low = {1000, 2};

	p.now += 100 * kSec;
	EXPECT_EQ(1, limit_pot_take(p.pot, kTeam, &old, 1, 0, p.now));
	EXPECT_LE(limit_pot_take(p.pot, kTeam, &low, 10000, 0, p.now), 8);
	EXPECT_NEAR(10, p.TakeFor(low, 10 * kSec), 1);
}

/* Guards against memory that grows with the number of teams, and against teams
 * that get more after they were forgotten. */
TEST(LimitPot, ForgetsIdleTeamsSafely)
{
	for (bool starts_with_slack : {false, true}) {
		Pot p(1, 1, starts_with_slack);
		limit_rate rate = {1000, 4};

		p.now += 100 * kSec;
		for (uint64_t t = 0; t < 3200; t++)
			limit_pot_take(p.pot, t, &rate, 100, 0, p.now);
		limit_pot_sweep(p.pot, p.now + 5 * kSec);
		EXPECT_EQ(3200u, limit_pot_teams(p.pot)) << "not full yet";
		p.now += 11 * kSec;
		limit_pot_sweep(p.pot, p.now);
		EXPECT_EQ(0u, limit_pot_teams(p.pot));
		EXPECT_EQ(
		    10, limit_pot_take(p.pot, kTeam, &rate, 100, 0, p.now));
	}
}

TEST(LimitPot, LeasesOfSmallTeamsLastLonger)
{
	const struct {
		int64_t milli_per_s, us;
	} cases[] = {{500, 3000000}, {2000, 2120000}, {10000, 520000},
	    {100000, 160000}, {10000000, 120400}};

	for (const auto &c : cases) {
		limit_rate rate = {c.milli_per_s, 0};

		EXPECT_EQ(c.us, limit_lease_us(&rate)) << c.milli_per_s;
	}
}

} // namespace

/* Who may use how much of the memory for clients. */
#include <gtest/gtest.h>

#include <deque>
#include <random>

extern "C" {
#include "savoryflow/budget/budget.h"
#include "serve/answer_room.h"
}

namespace
{

const int64_t kKib = 1024;
const int64_t kMib = 1024 * kKib;
const int64_t kStart = 1000000;
const int64_t kConnection = 24 * kKib;
const int kListener = 0;

struct Budget : ::testing::Test {
	budget_options opt = {1 * kMib, 128 * kKib};
	budget *b = budget_new(&opt);
	/* Their addresses must not change. */
	std::deque<budget_debtor> debtors;
	int64_t now_us = kStart;

	~Budget() override
	{
		for (auto &d : debtors)
			budget_remove(b, &d);
		budget_free(b);
	}

	budget_debtor *
	Add(budget_phase phase, int64_t reading = 0)
	{
		debtors.emplace_back();
		budget_debtor *d = &debtors.back();

		budget_add(b, d, nullptr, &kListener, now_us);
		budget_charge(b, d, kBudgetConnections, kConnection);
		budget_set_phase(b, d, phase, now_us);
		budget_charge(b, d, kBudgetReading, reading);
		return d;
	}

	budget_verdict
	Read(budget_debtor *d, int64_t bytes)
	{
		return budget_grow(b, d, kBudgetReading, bytes, now_us);
	}
};

/* Guards against a body that uses the reserve, and against an ordinary request
 * that finds none. */
TEST_F(Budget, TheReserveIsForOrdinaryRequests)
{
	const struct {
		const char *name;
		int64_t used_kib, own_kib, bytes_kib;
		budget_account account;
		budget_verdict verdict;
	} cases[] = {
	    {"room for all", 0, 0, 512, kBudgetReading, kBudgetGranted},
	    {"the part for all is full", 864, 64, 33, kBudgetReading,
		kBudgetWait},
	    {"ordinary, from the reserve", 864, 0, 64, kBudgetReading,
		kBudgetGranted},
	    {"ordinary, the reserve is full", 1000, 0, 64, kBudgetReading,
		kBudgetWait},
	    {"an answer, the part for all is full", 864, 64, 33, kBudgetUnread,
		kBudgetRefused},
	    {"an ordinary answer", 864, 0, 32, kBudgetUnread, kBudgetGranted},
	};

	for (const auto &c : cases) {
		budget_debtor other, d;

		budget_add(b, &other, nullptr, &kListener, now_us);
		budget_charge(
		    b, &other, kBudgetHeld, (c.used_kib - c.own_kib) * kKib);
		budget_add(b, &d, nullptr, &kListener, now_us);
		budget_charge(b, &d, kBudgetReading, c.own_kib * kKib);
		EXPECT_EQ(c.verdict,
		    budget_grow(b, &d, c.account, c.bytes_kib * kKib, now_us))
		    << c.name;
		budget_remove(b, &other);
		budget_remove(b, &d);
	}
}

/* Guards against bytes that stay charged after their request. */
TEST_F(Budget, WhatIsReleasedIsFreeAgain)
{
	budget_debtor *d = Add(kBudgetSending);
	budget_usage u;

	EXPECT_EQ(kBudgetGranted, Read(d, 100 * kKib));
	budget_move(b, d, kBudgetReading, kBudgetHeld);
	budget_charge(b, d, kBudgetUnread, 50 * kKib);
	budget_release(b, d, kBudgetUnread, 20 * kKib);
	budget_get_usage(b, &u);
	EXPECT_EQ(0, u.bytes[kBudgetReading]);
	EXPECT_EQ(100 * kKib, u.bytes[kBudgetHeld]);
	EXPECT_EQ(30 * kKib, u.bytes[kBudgetUnread]);
	EXPECT_EQ(130 * kKib + kConnection, u.used_bytes);
	/* More than there is. */
	budget_release(b, d, kBudgetUnread, 40 * kKib);
	budget_clear(b, d, kBudgetHeld);
	budget_get_usage(b, &u);
	EXPECT_EQ(kConnection, u.used_bytes);
	budget_remove(b, d);
	budget_remove(b, d);
	budget_get_usage(b, &u);
	EXPECT_EQ(0, u.used_bytes);
	EXPECT_EQ(0, u.debtors);
}

/* Guards against the loss of a client that is served, and against clients that
 * hold memory without progress. */
TEST_F(Budget, TheLargestIdleDebtorIsClosed)
{
	budget_debtor *small = Add(kBudgetSending, 100 * kKib);
	budget_debtor *large = Add(kBudgetSending, 300 * kKib);
	budget_debtor *running = Add(kBudgetRunning, 350 * kKib);
	budget_debtor *waiting = Add(kBudgetSending);

	EXPECT_EQ(nullptr, budget_victim(b, now_us + 10 * kUsPerS))
	    << "nobody waits";
	now_us += kBudgetIdleUs - 1;
	EXPECT_EQ(kBudgetWait, Read(waiting, 200 * kKib));
	EXPECT_EQ(nullptr, budget_victim(b, now_us)) << "not idle yet";
	now_us += 1;
	EXPECT_EQ(large, budget_victim(b, now_us));
	budget_progress(b, large, kBudgetProgressBytes - 1, now_us);
	EXPECT_EQ(large, budget_victim(b, now_us)) << "too little progress";
	budget_progress(b, large, 1, now_us);
	EXPECT_EQ(small, budget_victim(b, now_us)) << "the large one sends";
	budget_remove(b, running);
	EXPECT_EQ(waiting, budget_next_ready(b, 0, now_us));
	EXPECT_EQ(kBudgetGranted, Read(waiting, 200 * kKib));
	EXPECT_EQ(nullptr, budget_victim(b, now_us));
}

/* Guards against bodies that wait for each other without end, and against the
 * loss of the one that is nearest to its end. */
TEST_F(Budget, TheLastOfSeveralThatWaitIsRefused)
{
	budget_debtor *a = Add(kBudgetSending, 420 * kKib);
	budget_debtor *c = Add(kBudgetSending, 400 * kKib);

	EXPECT_EQ(kBudgetWait, Read(c, 64 * kKib));
	EXPECT_EQ(kBudgetWait, Read(a, 64 * kKib));
	now_us += kBudgetWaitUs - 1;
	EXPECT_EQ(nullptr, budget_victim(b, now_us));
	now_us += 1;
	EXPECT_EQ(c, budget_victim(b, now_us));
	budget_remove(b, c);
	EXPECT_EQ(a, budget_next_ready(b, 0, now_us));
	EXPECT_EQ(nullptr, budget_next_ready(b, 0, now_us));
}

/* Guards against many bodies that share what becomes free, so that none of them
 * is received. */
TEST_F(Budget, OfManyThatWaitTheLastIsRefusedAtOnce)
{
	budget_debtor *first = nullptr, *ordinary;

	Add(kBudgetRunning, 100 * kKib);
	for (int i = 0; i < kBudgetWaitersMax; i++) {
		budget_debtor *d = Add(kBudgetSending, 66 * kKib);

		first = first != nullptr ? first : d;
		EXPECT_EQ(kBudgetWait, Read(d, 800 * kKib));
	}
	EXPECT_EQ(nullptr, budget_victim(b, now_us));
	ordinary = Add(kBudgetSending);
	EXPECT_EQ(kBudgetWait, Read(ordinary, 400 * kKib));
	EXPECT_EQ(&debtors[kBudgetWaitersMax], budget_victim(b, now_us));
	budget_remove(b, &debtors[kBudgetWaitersMax]);
	EXPECT_EQ(nullptr, budget_victim(b, now_us));
	EXPECT_EQ(first, budget_next_ready(b, 0, now_us));
	EXPECT_EQ(ordinary, budget_next_ready(b, 120 * kKib, now_us))
	    << "only an ordinary one has room";
}

TEST_F(Budget, TheOnlyOneThatWaitsMayWaitLonger)
{
	budget_debtor *a = Add(kBudgetSending, 100 * kKib);

	Add(kBudgetRunning, 760 * kKib);
	EXPECT_EQ(kBudgetWait, Read(a, 64 * kKib));
	now_us += kBudgetLoneWaitUs - 1;
	EXPECT_EQ(nullptr, budget_victim(b, now_us));
	now_us += 1;
	EXPECT_EQ(a, budget_victim(b, now_us));
}

/* Guards against a listener that accepts nobody because of connections that
 * only idle. */
TEST_F(Budget, TheConnectionUnusedForTheLongestTimeIsClosedFirst)
{
	budget_debtor *running = Add(kBudgetRunning);
	budget_debtor *sending = Add(kBudgetSending);
	budget_debtor *first = Add(kBudgetIdle);
	budget_debtor *second = Add(kBudgetIdle);
	budget_debtor *newest = Add(kBudgetIdle);
	int other;

	EXPECT_EQ(nullptr, budget_longest_idle(b, &other, nullptr));
	EXPECT_EQ(first, budget_longest_idle(b, &kListener, newest));
	budget_set_phase(b, first, kBudgetIdle, now_us + 1);
	EXPECT_EQ(second, budget_longest_idle(b, &kListener, newest));
	budget_remove(b, first);
	budget_remove(b, second);
	EXPECT_EQ(sending, budget_longest_idle(b, &kListener, newest));
	budget_remove(b, sending);
	EXPECT_EQ(nullptr, budget_longest_idle(b, &kListener, newest));
	EXPECT_NE(nullptr, running);
}

/* Guards against marks that are logged again and again. */
TEST_F(Budget, TheMarkIsLeftWhenHalfIsFree)
{
	budget_debtor *a = Add(kBudgetSending, 860 * kKib);
	budget_usage u;

	EXPECT_EQ(kBudgetWait, Read(a, 64 * kKib));
	budget_get_usage(b, &u);
	EXPECT_TRUE(u.is_short);
	EXPECT_EQ(1, u.waiting);
	budget_set_phase(b, a, kBudgetSending, now_us);
	budget_release(b, a, kBudgetReading, 300 * kKib);
	budget_get_usage(b, &u);
	EXPECT_TRUE(u.is_short);
	budget_release(b, a, kBudgetReading, 200 * kKib);
	budget_get_usage(b, &u);
	EXPECT_FALSE(u.is_short);
}

TEST(BudgetOfVm, MemoryAndDescriptorsAreDivided)
{
	const struct {
		int64_t memory_mib, descriptors;
		int64_t limit_min_mib, limit_max_mib;
		int32_t front_min, front_max;
	} cases[] = {
	    {0, 0, 0, 0, 4000, 4000},
	    {120, 3075, 50, 60, 700, 2300},
	    {512, 10250, 280, 300, 4000, 4000},
	    {64, 256, 18, 22, 64, 128},
	    {16, 64, 8, 8, 16, 16},
	    {0, 3075, 0, 0, 2000, 2300},
	};

	for (const auto &c : cases) {
		budget_options opt = budget_options_of_vm(c.memory_mib);
		budget_connections n = budget_connections_of_vm(
		    c.descriptors, opt.limit_bytes, kConnection, 4000);

		EXPECT_GE(opt.limit_bytes, c.limit_min_mib * kMib);
		EXPECT_LE(opt.limit_bytes, c.limit_max_mib * kMib);
		EXPECT_GE(n.front, c.front_min) << c.memory_mib;
		EXPECT_LE(n.front, c.front_max) << c.memory_mib;
		/* A single request of 4 MiB is served. */
		if (opt.limit_bytes > 0) {
			EXPECT_GT(opt.limit_bytes - opt.reserve_bytes,
			    4 * kMib + kConnection);
		}
	}
}

TEST_F(Budget, TheLargestAnswerIsFound)
{
	EXPECT_EQ(nullptr, budget_largest(b, kBudgetAnswers));
	budget_debtor *small = Add(kBudgetRunning, 300 * kKib);
	budget_debtor *large = Add(kBudgetRunning);
	EXPECT_EQ(nullptr, budget_largest(b, kBudgetAnswers));
	budget_charge(b, small, kBudgetAnswers, 100);
	EXPECT_EQ(small, budget_largest(b, kBudgetAnswers));
	budget_charge(b, large, kBudgetAnswers, 101);
	EXPECT_EQ(large, budget_largest(b, kBudgetAnswers));
	budget_clear(b, large, kBudgetAnswers);
	EXPECT_EQ(small, budget_largest(b, kBudgetAnswers));
	/* What finds no room is refused at once, as its target sends on. */
	EXPECT_EQ(kBudgetRefused,
	    budget_grow(b, large, kBudgetAnswers, 2 * kMib, now_us));
	EXPECT_EQ(0, large->waiting_since_us);
}

/* What others use of the limit leaves less for clients. */
TEST_F(Budget, OthersUseTheSameLimit)
{
	budget_debtor *d = Add(kBudgetSending);

	budget_set_other(b, kMib);
	EXPECT_EQ(kBudgetWait, Read(d, 300 * kKib));
	budget_set_other(b, 0);
	EXPECT_EQ(kBudgetGranted, Read(d, 300 * kKib));
}

TEST(AnswerRoom, IsSharedWithClients)
{
	/* The limit of this VM is 60 MiB, an eighth of it reserved. */
	struct answer_room *ar = answer_room_new(130);
	int64_t large = 0, other = 0, small = 0;

	EXPECT_TRUE(answer_room_set(ar, &large, 40 * kMib));
	EXPECT_EQ(40 * kMib, answer_room_used(ar));
	EXPECT_FALSE(answer_room_set(ar, &other, 13 * kMib));
	EXPECT_EQ(0, other);
	EXPECT_TRUE(answer_room_set(ar, &other, 12 * kMib));
	EXPECT_TRUE(answer_room_set(ar, &small, kBudgetOrdinaryBytes));
	answer_room_set_clients(ar, 8 * kMib);
	EXPECT_FALSE(answer_room_set(ar, &small, kBudgetOrdinaryBytes + 1));
	/* Less is always allowed. */
	EXPECT_TRUE(answer_room_set(ar, &large, 30 * kMib));
	EXPECT_TRUE(answer_room_set(ar, &large, 0));
	EXPECT_TRUE(answer_room_set(ar, &other, 0));
	EXPECT_TRUE(answer_room_set(ar, &small, 0));
	EXPECT_EQ(0, answer_room_used(ar));
	answer_room_free(ar);
}

TEST(AnswerRoom, AVmWithoutALimitHasRoom)
{
	struct answer_room *ar = answer_room_new(0);
	int64_t held = 0;

	EXPECT_TRUE(answer_room_set(ar, &held, 1000 * kMib));
	EXPECT_TRUE(answer_room_set(ar, &held, 0));
	answer_room_free(ar);
}

/* Random clients. The charges never exceed the limit by more than one buffer,
 * and nobody waits while there is an idle client to close. */
TEST(BudgetProperties, RandomClientsStayWithinTheLimit)
{
	const int64_t buffer = 32 * kKib;
	const int kSteps = 200000;
	std::mt19937 rand(20261206);
	budget_options opt = {2 * kMib, 256 * kKib};
	budget *b = budget_new(&opt);
	std::deque<budget_debtor> all(24);
	int64_t now_us = kStart, waits = 0, closed = 0;

	for (int step = 0; step < kSteps; step++) {
		budget_debtor *d = &all[rand() % all.size()];
		budget_usage u;
		budget_debtor *victim;

		now_us += rand() % 20000;
		if (!d->is_listed) {
			budget_add(b, d, nullptr, &kListener, now_us);
			budget_set_phase(b, d, kBudgetSending, now_us);
		}
		if (rand() % 400 == 0)
			budget_remove(b, d);
		else if (d->waiting_since_us == 0 && rand() % 3 != 0)
			waits += budget_grow(b, d, kBudgetReading,
				     rand() % buffer, now_us) == kBudgetWait;
		budget_get_usage(b, &u);
		ASSERT_LE(u.used_bytes, opt.limit_bytes + buffer) << step;
		while ((victim = budget_victim(b, now_us)) != nullptr) {
			budget_remove(b, victim);
			closed++;
			while (budget_next_ready(b, 0, now_us) != nullptr) {
			}
		}
		budget_get_usage(b, &u);
		if (u.waiting > 0) {
			ASSERT_EQ(nullptr, budget_largest_idle(b, now_us))
			    << step;
		}
	}
	EXPECT_GT(waits, 100);
	EXPECT_GT(closed, 100);
	for (auto &d : all)
		budget_remove(b, &d);
	budget_usage usage;
	budget_get_usage(b, &usage);
	EXPECT_EQ(0, usage.used_bytes);
	budget_free(b);
}

} // namespace

#include <gtest/gtest.h>

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "savoryflow/membership/membership.h"
#include "savoryflow/membership/selection.h"
}

namespace
{

const int64_t kSec = 1000000;
const int64_t kTick = 100000;

/* Daemons in virtual time; a message takes one tick. */
struct Group {
	std::vector<membership *> members;
	std::vector<bool> paused;
	std::vector<bool> stopped;
	/* Daemons in different partitions cannot reach each other. */
	std::vector<int> partition;
	std::deque<member_message *> in_flight;
	int64_t now = kSec;

	static std::string
	Address(size_t i)
	{
		return "10.0.0.1:" + std::to_string(1000 + i);
	}

	membership *
	Make(size_t i, uint64_t incarnation)
	{
		struct membership_options opt = {};

		g_strlcpy(opt.self.address, Address(i).c_str(),
		    sizeof(opt.self.address));
		opt.self.incarnation = incarnation;
		opt.period_us = kSec;
		opt.suspect_us = 4 * kSec;
		opt.forget_us = 7200 * kSec;
		opt.selection = &member_select_changed;
		opt.seed = 77 + i;
		return membership_new(&opt);
	}

	explicit Group(size_t n) : paused(n), stopped(n), partition(n)
	{
		for (size_t i = 0; i < n; i++) {
			members.push_back(Make(i, 1000));
			membership_seed(members[i], Address(0).c_str(), now);
		}
	}

	~Group()
	{
		for (auto *m : members)
			membership_free(m);
		for (auto *m : in_flight)
			membership_message_free(m);
	}

	size_t
	IndexOf(const char *address)
	{
		return (size_t)std::stoi(strchr(address, ':') + 1) - 1000;
	}

	void
	Post(GPtrArray *out)
	{
		g_ptr_array_set_free_func(out, nullptr);
		for (guint i = 0; i < out->len; i++)
			in_flight.push_back((member_message *)out->pdata[i]);
		g_ptr_array_unref(out);
	}

	void
	Deliver(member_message *msg)
	{
		size_t to = IndexOf(msg->to);
		size_t from = IndexOf(msg->from);

		if (!stopped[to] && !paused[to] &&
		    partition[to] == partition[from]) {
			GPtrArray *out = membership_messages_new();

			membership_receive(members[to], msg, now, out);
			Post(out);
		}
		membership_message_free(msg);
	}

	void
	Run(int64_t us)
	{
		for (int64_t end = now + us; now < end; now += kTick) {
			size_t n = in_flight.size();

			for (size_t i = 0; i < n; i++) {
				auto *msg = in_flight.front();

				in_flight.pop_front();
				Deliver(msg);
			}
			for (size_t i = 0; i < members.size(); i++) {
				if (stopped[i] || paused[i])
					continue;
				GPtrArray *out = membership_messages_new();

				membership_tick(members[i], now, out);
				Post(out);
			}
		}
	}

	/* Time until the condition holds, or -1 if it does not within the
	 * limit. */
	template <typename F>
	int64_t
	RunUntil(int64_t limit, F cond)
	{
		int64_t start = now;

		while (now < start + limit) {
			if (cond())
				return now - start;
			Run(kTick);
		}
		return -1;
	}

	/* Suspected members are usable too. */
	bool
	AllSee(int32_t usable)
	{
		for (size_t i = 0; i < members.size(); i++)
			if (!stopped[i] && !paused[i] &&
			    membership_usable_count(members[i]) != usable)
				return false;
		return true;
	}
};

TEST(Membership, AllMembersAreDiscoveredThroughOneSeed)
{
	for (size_t n : {2, 10, 40}) {
		Group g(n);

		EXPECT_GE(g.RunUntil(40 * kSec,
			      [&] { return g.AllSee((int32_t)n - 1); }),
		    0)
		    << n;
	}
}

TEST(Membership, AStoppedMemberIsDetectedByAllAndNoOtherIsDown)
{
	Group g(20);

	ASSERT_GE(g.RunUntil(60 * kSec, [&] { return g.AllSee(19); }), 0);
	g.stopped[7] = true;
	ASSERT_GE(g.RunUntil(60 * kSec, [&] { return g.AllSee(18); }), 0);
	g.Run(60 * kSec);
	EXPECT_TRUE(g.AllSee(18));
}

TEST(Membership, APausedMemberRejoins)
{
	Group g(10);

	ASSERT_GE(g.RunUntil(60 * kSec, [&] { return g.AllSee(9); }), 0);
	g.paused[3] = true;
	ASSERT_GE(g.RunUntil(60 * kSec, [&] { return g.AllSee(8); }), 0);
	g.paused[3] = false;
	EXPECT_GE(g.RunUntil(60 * kSec, [&] { return g.AllSee(9); }), 0);
}

TEST(Membership, ARestartUnderTheSameAddressIsTheSameMember)
{
	Group g(10);

	ASSERT_GE(g.RunUntil(60 * kSec, [&] { return g.AllSee(9); }), 0);
	membership_free(g.members[4]);
	g.members[4] = g.Make(4, 2000);
	membership_seed(g.members[4], Group::Address(0).c_str(), g.now);
	EXPECT_GE(g.RunUntil(60 * kSec, [&] { return g.AllSee(9); }), 0);
	const member *m =
	    membership_find(g.members[0], Group::Address(4).c_str());
	ASSERT_NE(nullptr, m);
	EXPECT_GE(m->entry.incarnation, 2000u);
}

TEST(Membership, RegionsPartitionedForAnHourRejoin)
{
	Group g(12);

	ASSERT_GE(g.RunUntil(60 * kSec, [&] { return g.AllSee(11); }), 0);
	for (size_t i = 6; i < 12; i++)
		g.partition[i] = 1;
	ASSERT_GE(g.RunUntil(120 * kSec, [&] { return g.AllSee(5); }), 0);
	g.Run(3600 * kSec);
	EXPECT_TRUE(g.AllSee(5));
	for (size_t i = 6; i < 12; i++)
		g.partition[i] = 0;
	EXPECT_GE(g.RunUntil(120 * kSec, [&] { return g.AllSee(11); }), 0);
}

TEST(Membership, LeavingIsAnnouncedWithoutASuspicion)
{
	Group g(10);
	GPtrArray *out = membership_messages_new();

	ASSERT_GE(g.RunUntil(60 * kSec, [&] { return g.AllSee(9); }), 0);
	membership_leave(g.members[2], g.now, out);
	g.Post(out);
	g.Run(2 * kTick);
	g.stopped[2] = true;
	int64_t took = g.RunUntil(30 * kSec, [&] { return g.AllSee(8); });
	EXPECT_GE(took, 0);
	EXPECT_LT(took, 8 * kSec);
}

TEST(Membership, MessagesAreBounded)
{
	Group g(60);

	ASSERT_GE(g.RunUntil(90 * kSec, [&] { return g.AllSee(59); }), 0);
	g.Run(30 * kSec);
	for (int round = 0; round < 50; round++) {
		g.Run(kTick);
		for (auto *msg : g.in_flight)
			EXPECT_LE(msg->entries->len, (guint)kMemberEntriesMax);
	}
}

} // namespace

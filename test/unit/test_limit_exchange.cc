#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <memory>
#include <string>

extern "C" {
#include "savoryflow/limits/limit_exchange.h"
}

namespace
{

const int64_t kMs = 1000;
const int64_t kSec = 1000 * kMs;
const uint64_t kTeam = 8;

struct Group;

struct Node {
	Group *group;
	std::string address;
	limit_exchange *ex = nullptr;
	/* Added to the time of the group: a clock of its own. */
	int64_t clock;
	int64_t next_tick = 0;
	/* Does nothing and gets nothing. */
	bool is_frozen = false;
	/* Gets, or sends, no messages of others. */
	bool is_deaf = false, is_mute = false;
	/* Address of the owner that it elects. */
	std::string owner = "n0", delegate = "n0";
	std::map<uint64_t, limit_result> verdicts;
};

struct Message {
	int64_t at;
	std::string from, to;
	bool is_lease;
	limit_ask ask;
	std::vector<limit_ask_item> asks;
	limit_lease lease;
	std::vector<limit_lease_item> leases;
};

/* Daemons in virtual time; messages take 1 ms. */
struct Group {
	std::vector<std::unique_ptr<Node>> nodes;
	std::deque<Message> messages;
	int64_t now = 100 * kSec;
	limit_rate rate = {10000, 10};
	bool is_known = true;
	uint64_t next_id = 0;
	int silent = 0;

	static Node *
	Of(void *ctx)
	{
		return (Node *)ctx;
	}

	static void
	Post(Node *from, Message &&m, const char *to)
	{
		Node *d = from->group->At(to);

		if (d != from && (from->is_mute || d->is_deaf))
			return;
		m.from = from->address;
		m.to = to;
		m.at = from->group->now + (d == from ? 0 : kMs);
		from->group->messages.push_back(m);
	}

	static limit_exchange_ops
	Ops()
	{
		limit_exchange_ops ops = {};

		ops.parent = [](void *ctx, enum limit_role role, int32_t,
				 int32_t) {
			return role == kLimitOwner ? Of(ctx)->owner.c_str()
						   : Of(ctx)->delegate.c_str();
		};
		ops.rate = [](void *ctx, uint64_t, limit_rate *rate) {
			if (Of(ctx)->group->is_known)
				*rate = Of(ctx)->group->rate;
			return Of(ctx)->group->is_known;
		};
		ops.send_ask = [](void *ctx, const char *to,
				   const limit_ask *ask) {
			Message m = {};

			m.ask = *ask;
			m.asks.assign(ask->items, ask->items + ask->count);
			Post(Of(ctx), std::move(m), to);
		};
		ops.send_lease = [](void *ctx, const char *to,
				     const limit_lease *lease) {
			Message m = {};

			m.is_lease = true;
			m.lease = *lease;
			m.leases.assign(
			    lease->items, lease->items + lease->count);
			Post(Of(ctx), std::move(m), to);
		};
		ops.on_verdict = [](void *ctx, uint64_t id,
				     const limit_result *result) {
			EXPECT_EQ(0u, Of(ctx)->verdicts.count(id)) << "twice";
			Of(ctx)->verdicts[id] = *result;
		};
		ops.on_silent = [](void *ctx, enum limit_role, int32_t,
				    const char *) { Of(ctx)->group->silent++; };
		return ops;
	}

	explicit Group(int n)
	{
		for (int i = 0; i < n; i++) {
			nodes.emplace_back(new Node());
			nodes[i]->group = this;
			nodes[i]->address = "n" + std::to_string(i);
			nodes[i]->clock = i * 1000 * kSec;
		}
		for (int i = 0; i < n; i++)
			Start(i);
		Run(2 * kSec);
	}

	~Group()
	{
		for (auto &d : nodes)
			Stop(*d);
	}

	void
	Start(int i)
	{
		static const limit_exchange_ops ops = Ops();
		Node &d = *nodes[i];
		limit_exchange_options opt = {
		    d.address.c_str(), &ops, &d, now + d.clock};

		d.ex = limit_exchange_new(&opt);
		d.next_tick = now;
		limit_exchange_set_daemons(
		    d.ex, (int32_t)nodes.size(), now + d.clock);
	}

	static void
	Stop(Node &d)
	{
		if (d.ex != nullptr)
			limit_exchange_free(d.ex);
		d.ex = nullptr;
	}

	Node *
	At(const std::string &address)
	{
		return nodes[std::stoi(address.substr(1))].get();
	}

	void
	Deliver(Message &m)
	{
		Node *d = At(m.to);

		m.ask.items = m.asks.data();
		m.lease.items = m.leases.data();
		if (d->ex == nullptr || d->is_frozen)
			return;
		if (m.is_lease)
			limit_exchange_on_lease(
			    d->ex, m.from.c_str(), &m.lease, now + d->clock);
		else
			limit_exchange_on_ask(
			    d->ex, m.from.c_str(), &m.ask, now + d->clock);
	}

	void
	FlushAll()
	{
		for (auto &d : nodes)
			if (d->ex != nullptr && !d->is_frozen)
				limit_exchange_flush(d->ex, now + d->clock);
	}

	void
	Step()
	{
		for (auto &d : nodes) {
			if (d->ex == nullptr || d->is_frozen ||
			    now < d->next_tick)
				continue;
			limit_exchange_tick(d->ex, now + d->clock);
			d->next_tick =
			    limit_exchange_next_us(d->ex, now + d->clock) -
			    d->clock;
		}
		FlushAll();
		for (size_t i = 0; i < messages.size();) {
			if (messages[i].at > now) {
				i++;
				continue;
			}
			Message m = messages[i];

			messages.erase(messages.begin() + (long)i);
			Deliver(m);
			FlushAll();
		}
		now += kMs;
	}

	void
	Run(int64_t duration)
	{
		for (int64_t end = now + duration; now < end;)
			Step();
	}

	uint64_t
	Request(int i)
	{
		Node &d = *nodes[i];
		uint64_t id = ++next_id;
		limit_result r = limit_exchange_request(
		    d.ex, id, kTeam, &rate, now + d.clock);

		if (r.outcome != kLimitPending)
			d.verdicts[id] = r;
		return id;
	}

	/* Sends a request at each of some daemons in turn, and counts those
	 * that are admitted. */
	int
	Flood(const std::vector<int> &at, int64_t duration, int64_t period)
	{
		int64_t end = now + duration;
		int before = Admitted();

		for (size_t i = 0; now < end; i++) {
			Request(at[i % at.size()]);
			Run(period);
		}
		Run(200 * kMs);
		return Admitted() - before;
	}

	int
	Admitted() const
	{
		int n = 0;

		for (auto &d : nodes)
			for (auto &v : d->verdicts)
				n += v.second.outcome == kLimitAdmitted;
		return n;
	}

	size_t
	Answered() const
	{
		size_t n = 0;

		for (auto &d : nodes)
			n += d->verdicts.size();
		return n;
	}
};

/* Guards against requests below the limit that are refused, and requests beyond
 * it that are admitted, wherever they arrive. */
TEST(LimitExchange, AdmitsTheRateWhereverItIsSpent)
{
	const struct {
		std::vector<int> at;
		int64_t period;
		int least, most;
	} cases[] = {
	    /* 5 requests a second are below the limit of 10. */
	    {{0, 1, 2, 3}, 200 * kMs, 50, 50},
	    {{3}, 200 * kMs, 50, 50},
	    /* 100 a second: the rate and the burst, for 10 s. */
	    {{0, 1, 2, 3}, 10 * kMs, 100, 100 + 10 + 7 + 4},
	    {{2}, 10 * kMs, 100, 100 + 10 + 7 + 4},
	};

	for (const auto &c : cases) {
		Group g(4);
		int n = g.Flood(c.at, 10 * kSec, c.period);

		EXPECT_GE(n, c.least) << c.at.size() << " " << c.period;
		EXPECT_LE(n, c.most) << c.at.size() << " " << c.period;
		EXPECT_EQ(g.next_id, g.Answered());
	}
}

/* Guards against refusals that tell all callers to return at once. */
TEST(LimitExchange, RefusalsSayWhenToReturnAndSpread)
{
	Group g(2);
	std::map<int64_t, int> times;

	g.Flood({0, 1}, 5 * kSec, 10 * kMs);
	int64_t from = g.now;
	std::vector<uint64_t> ids;
	ids.reserve(20);
	for (int i = 0; i < 20; i++)
		ids.push_back(g.Request(1));
	g.Run(200 * kMs);
	for (uint64_t id : ids) {
		const limit_result &r = g.nodes[1]->verdicts.at(id);

		if (r.outcome == kLimitAdmitted)
			continue;
		EXPECT_GE(r.retry_us, 50 * kMs);
		EXPECT_LE(r.retry_us, 10 * kSec);
		times[r.retry_us / (5 * kMs)]++;
	}
	EXPECT_GE(times.size(), 3u) << "of requests sent at " << from;
}

/* Guards against requests that wait for an answer that does not come. */
TEST(LimitExchange, NoRequestWaitsLongerThanTheLimit)
{
	Group g(3);

	for (int i = 0; i < 3; i++)
		g.nodes[i]->is_deaf = g.nodes[i]->is_mute = true;
	for (int i = 0; i < 30; i++) {
		uint64_t id = g.Request(2);
		int64_t sent = g.now;

		while (
		    g.nodes[2]->verdicts.count(id) == 0 && g.now - sent < kSec)
			g.Step();
		EXPECT_LE(g.now - sent, kLimitWaitUs + 2 * kLimitTickUs);
	}
	EXPECT_GT(g.silent, 0);
}

/* Guards against two owners, or an owner and a daemon without one, that give
 * out the same share; and against a daemon that gives out nothing. */
TEST(LimitExchange, SharesAddUpToTheRateInAnyPartition)
{
	const struct {
		const char *name;
		/* Owner and delegate that the second half elects. */
		const char *elected;
		bool is_deaf, is_mute;
		int least;
	} cases[] = {
	    {"second owner", "n2", false, false, 60},
	    {"deaf half", "n0", true, false, 60},
	    {"mute half", "n0", false, true, 60},
	    {"cut half", "n0", true, true, 60},
	};

	for (const auto &c : cases) {
		Group g(4);

		g.Flood({0, 1, 2, 3}, 2 * kSec, 10 * kMs);
		for (int i = 2; i < 4; i++) {
			g.nodes[i]->is_deaf = c.is_deaf;
			g.nodes[i]->is_mute = c.is_mute;
			g.nodes[i]->owner = g.nodes[i]->delegate = c.elected;
		}
		int n = g.Flood({0, 1, 2, 3}, 10 * kSec, 10 * kMs);
		/* Debts, the start of an owner and leases: within the slack. */
		EXPECT_LE(n, 100 + 10 + 25) << c.name;
		EXPECT_GE(n, c.least) << c.name;
	}
}

/* Guards against an owner whose end ends service, and against its replacement
 * granting what it had already leased. */
TEST(LimitExchange, AnOwnerThatEndsIsReplaced)
{
	Group g(3);

	g.Flood({1, 2}, 2 * kSec, 10 * kMs);
	Group::Stop(*g.nodes[0]);
	for (auto &d : g.nodes)
		d->owner = d->delegate = "n1";
	int n = g.Flood({1, 2}, 10 * kSec, 10 * kMs);
	EXPECT_LE(n, 100 + 10 + 25);
	/* Two of three shares: the third daemon is still listed. */
	EXPECT_GE(n, 50);
}

/* Guards against a daemon that resumes from suspension and spends leases that
 * have been granted to others since. */
TEST(LimitExchange, ASuspendedDaemonDoesNotSpendOldLeases)
{
	Group g(2);

	g.nodes[1]->delegate = "n1";
	g.Run(3 * kSec);
	/* Its delegate holds a lease. */
	g.Flood({1}, kSec, 200 * kMs);
	g.nodes[1]->is_frozen = true;
	g.Run(4 * kSec);
	g.nodes[1]->is_frozen = false;
	g.nodes[1]->is_deaf = g.nodes[1]->is_mute = true;
	uint64_t id = g.Request(1);
	const auto &verdicts = g.nodes[1]->verdicts;
	EXPECT_TRUE(verdicts.count(id) == 0 || verdicts.at(id).is_equal_share ||
	    verdicts.at(id).outcome != kLimitAdmitted);
}

/* Guards against requests that are counted although they did not run, and
 * against requests that are given back twice. */
TEST(LimitExchange, RequestsThatDidNotRunAreGivenBack)
{
	Group g(2);
	int admitted = 0;

	g.rate = {100, 0};
	g.Run(60 * kSec);
	for (int i = 0; i < 30; i++) {
		uint64_t id = g.Request(1);

		g.Run(100 * kMs);
		if (g.nodes[1]->verdicts.at(id).outcome != kLimitAdmitted)
			continue;
		admitted++;
		limit_exchange_refund(g.nodes[1]->ex, kTeam, &g.rate,
		    g.now + g.nodes[1]->clock - 100 * kMs,
		    g.now + g.nodes[1]->clock);
		g.Run(50 * kMs);
	}
	EXPECT_EQ(30, admitted);
	/* Later than its lease, it is not known to be unused. */
	int before = g.Flood({1}, 10 * kSec, 10 * kMs);
	EXPECT_LE(before, 9);
	limit_exchange_refund(g.nodes[1]->ex, kTeam, &g.rate,
	    g.now + g.nodes[1]->clock - 10 * kSec, g.now + g.nodes[1]->clock);
	EXPECT_EQ(0, g.Flood({1}, kSec, 10 * kMs));
}

/* Guards against requests that are refused while the owner holds a few back for
 * requests that wait. */
TEST(LimitExchange, TheLastRequestsAreForThoseThatWait)
{
	Group g(2);

	g.rate = {1, 0};
	g.Run(kSec);
	/* The owner starts with 4 requests and keeps 3 for those that wait. */
	for (int i = 0; i < 4; i++) {
		uint64_t id = g.Request(1);

		g.Run(20 * kMs);
		EXPECT_EQ(kLimitAdmitted, g.nodes[1]->verdicts.at(id).outcome)
		    << "request " << i;
	}
	uint64_t last = g.Request(1);
	g.Run(20 * kMs);
	EXPECT_EQ(kLimitRejected, g.nodes[1]->verdicts.at(last).outcome);
}

/* Guards against a verdict for a caller that has left. */
TEST(LimitExchange, ACancelledRequestGetsNoVerdict)
{
	Group g(2);
	uint64_t id = g.Request(1);

	ASSERT_EQ(0u, g.nodes[1]->verdicts.count(id));
	limit_exchange_cancel(g.nodes[1]->ex, id, kTeam);
	g.Run(kSec);
	EXPECT_EQ(0u, g.nodes[1]->verdicts.count(id));
	struct limit_exchange_state state;
	limit_exchange_get_state(
	    g.nodes[1]->ex, g.now + g.nodes[1]->clock, &state);
	EXPECT_EQ(0, state.waiting);
}

/* Guards against limits of an older configuration. */
TEST(LimitExchange, TheOwnersLimitApplies)
{
	Group g(2);
	limit_rate high = {1000000, 1000};

	/* The entry knows an older limit. */
	g.rate = {1000, 1};
	int admitted = 0;
	for (int i = 0; i < 100; i++) {
		uint64_t id = ++g.next_id;
		limit_result r = limit_exchange_request(g.nodes[1]->ex, id,
		    kTeam, &high, g.now + g.nodes[1]->clock);

		g.Run(20 * kMs);
		if (r.outcome != kLimitPending)
			admitted += r.outcome == kLimitAdmitted;
	}
	admitted += g.Admitted();
	EXPECT_LE(admitted, 2 + 1 + 7 + 4);
	EXPECT_GE(admitted, 2);
	/* A team that the owner does not know yet. */
	g.is_known = false;
	g.rate = {10000, 10};
	EXPECT_GT(g.Flood({1}, 2 * kSec, 50 * kMs), 10);
}

/* Guards against memory that grows with the number of teams. */
TEST(LimitExchange, IdleTeamsAreForgotten)
{
	Group g(2);
	struct limit_exchange_state state;

	for (uint64_t t = 0; t < 3200; t++)
		limit_exchange_request(g.nodes[1]->ex, 100000 + t, t * 8,
		    &g.rate, g.now + g.nodes[1]->clock);
	g.Run(kSec);
	limit_exchange_get_state(g.nodes[0]->ex, g.now, &state);
	EXPECT_GE(state.teams, 3200);
	g.Run(40 * kSec);
	for (auto &d : g.nodes) {
		limit_exchange_get_state(d->ex, g.now + d->clock, &state);
		EXPECT_EQ(0, state.teams) << d->address;
	}
}

/* Guards against messages from a faulty or newer peer. */
TEST(LimitExchange, UnknownRolesAndShardsAreIgnored)
{
	Group g(1);
	const struct {
		int role, shard;
	} cases[] = {{0, 0}, {3, 0}, {1, -1}, {1, 4}, {2, 1000}};

	for (const auto &c : cases) {
		limit_ask ask = {};
		limit_lease lease = {};

		ask.role = lease.role = (enum limit_role)c.role;
		ask.shard = lease.shard = c.shard;
		limit_exchange_on_ask(g.nodes[0]->ex, "n9", &ask, g.now);
		limit_exchange_on_lease(g.nodes[0]->ex, "n9", &lease, g.now);
	}
	EXPECT_EQ(1, g.Flood({0}, kMs, kMs));
}

} // namespace

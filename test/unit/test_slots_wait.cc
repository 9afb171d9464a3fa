/* Online requests for a slot whose arbiters fall silent, change or leave: each
 * is decided once, within a bound of its own. Virtual time. */
#include <set>
#include <string>

#include "unit/daemon_fixture.h"

extern "C" {
#include "gateway/slots_internal.h"
}

namespace
{

const int64_t kMs = 1000;
const int64_t kStepUs = 5 * kMs;
/* Periodic checks of waiting requests run this often. */
const int64_t kTickUs = 25 * kMs;
/* Time for a slot of an attempt that follows a failed one. */
const int64_t kRetryWaitUs = 600 * kMs;
/* A request that an arbiter keeps may be granted this late. */
const int64_t kLateGrantUs = 1300 * kMs;
/* Time for one more answer. */
const int64_t kAnswerUs = 100 * kMs;

enum Conduct { kSilent, kQueues, kQueuesThenSilent, kRefuses, kGrants };

struct WaitCase {
	/* Of the arbiter that is asked first, and of those asked later. */
	Conduct first, later;
	/* The arbiter changes this often; 0: never. */
	int64_t change_us;
	/* The arbiter grants the request this long after it queued it. */
	int64_t grant_us;
	bool has_second_pool;
	/* From slots_acquire. */
	int64_t bound_us;
	const char *outcome;
};

/* Daemon d0, whose requests go to the arbiters d1 to d3. */
struct SlotsWait : DaemonFixture {
	static constexpr int64_t kEndUs = kRetryWaitUs + 3 * kSec;

	struct fleet *fl = fleet_new();
	struct slots *sl = nullptr;
	/* One round trip to an arbiter. */
	int64_t round_trip_us = 2 * kMs;
	WaitCase c = {};
	std::string first, suspected;
	int asked = 0, queued = 0, reconnects = 0;
	std::set<std::string> released;
	uint64_t id = 0;
	int64_t start_us = 0, changed_us = 0;
	int decisions = 0, granted = 0;
	int64_t decided_us = 0;
	std::string outcome;
	struct Pending {
		int64_t at_us;
		std::string from;
		slotpool_verdict verdict;
	};
	std::vector<Pending> pending;

	~SlotsWait() override
	{
		slots_free(sl);
		fleet_free(fl);
	}

	static roster_row
	Row(int i)
	{
		roster_row row = BaseRow(i);

		g_snprintf(
		    row.data_center, sizeof(row.data_center), "dc%d", i > 0);
		row.cpu_millicores = 1000;
		return row;
	}

	/* The others are in another region. */
	static roster_row
	FarRow(int i)
	{
		roster_row row = Row(i);

		if (i > 0)
			g_strlcpy(row.region, "far", sizeof(row.region));
		return row;
	}

	void
	AddTarget(const char *name, const char *data_center)
	{
		fleet_target t = {};

		g_strlcpy(t.id, name, sizeof(t.id));
		g_strlcpy(t.service, "llm", sizeof(t.service));
		g_strlcpy(t.data_center, data_center, sizeof(t.data_center));
		t.slots = 8;
		t.version = 1;
		fleet_apply(fl, &t);
	}

	void
	Make(roster_row (*row)(int), const char *data_center)
	{
		static const slots_wire_ops wire = {Send, Connect, Reconnect};

		MakeRoster(row);
		AddTarget("t1", data_center);
		if (c.has_second_pool)
			AddTarget("t2", "dc2");
		slots_options sopt = {lp, ro, fl, "d0", "dc0", 7, &wire, this};
		sl = slots_new(&sopt);
		slots_targets_changed(sl);
	}

	static void
	Connect(void *, const char *)
	{
	}

	static void
	Reconnect(void *ctx, const char *)
	{
		((SlotsWait *)ctx)->reconnects++;
	}

	static void
	Send(void *ctx, const char *to, Sfpeer__Envelope *env)
	{
		auto *t = (SlotsWait *)ctx;

		if (env->n_slot_notes > 0)
			t->released.insert(to);
		for (size_t i = 0; i < env->n_slot_asks; i++)
			if (!env->slot_asks[i]->adopt)
				t->OnAsk(to);
	}

	void
	AnswerLater(const std::string &from, slotpool_verdict v, int64_t us)
	{
		pending.push_back({now_us + round_trip_us + us, from, v});
	}

	void
	OnAsk(const std::string &to)
	{
		if (asked++ == 0)
			first = to;
		switch (to == first ? c.first : c.later) {
		case kSilent:
			break;
		case kQueuesThenSilent:
			if (queued++ == 0)
				AnswerLater(to, kSlotQueued, 0);
			break;
		case kQueues:
			AnswerLater(to, kSlotQueued, 0);
			if (c.grant_us > 0 && queued++ == 0)
				AnswerLater(to, kSlotGranted, c.grant_us);
			break;
		case kRefuses:
			AnswerLater(to, kSlotRefused, 0);
			break;
		case kGrants:
			AnswerLater(to, kSlotGranted, 0);
			break;
		}
	}

	void
	Answer(const std::string &from, slotpool_verdict verdict)
	{
		Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
		Sfpeer__SlotAnswer wire = SFPEER__SLOT_ANSWER__INIT;
		Sfpeer__SlotAnswer *list[] = {&wire};

		wire.id = id;
		wire.verdict = verdict;
		wire.target = (char *)"t1";
		wire.retry_after_us = 300 * kMs;
		env.from = (char *)from.c_str();
		env.n_slot_answers = 1;
		env.slot_answers = list;
		slots_on_envelope(sl, &env);
	}

	void
	Decide(const char *what)
	{
		decisions++;
		decided_us = now_us;
		outcome = what;
	}

	static void
	OnGranted(void *ctx, uint64_t, const char *)
	{
		((SlotsWait *)ctx)->granted++;
		((SlotsWait *)ctx)->Decide("granted");
	}

	static void
	OnRefused(void *ctx, uint64_t, int64_t retry_after_us)
	{
		EXPECT_GT(retry_after_us, 0);
		((SlotsWait *)ctx)->Decide("refused");
	}

	static void
	OnRevoked(void *, uint64_t)
	{
		ADD_FAILURE() << "revoked";
	}

	void
	Acquire(int64_t wait_us)
	{
		static const slots_ops ops = {OnGranted, OnRefused, OnRevoked};
		slots_acquire_options req = {};

		start_us = now_us;
		changed_us = now_us;
		req.service = "llm";
		req.deadline_us = now_us + wait_us;
		id = slots_acquire(sl, &req, &ops, this);
	}

	struct hold *
	Hold()
	{
		return (struct hold *)g_hash_table_lookup(sl->holds, &id);
	}

	/* The arbiter is suspected, and the one before it is back. */
	void
	ChangeArbiter()
	{
		struct hold *h = Hold();
		std::string old = h != nullptr ? h->arbiter : "";

		if (c.change_us == 0 || now_us - changed_us < c.change_us ||
		    old.empty())
			return;
		changed_us = now_us;
		if (!suspected.empty())
			roster_record_message(
			    ro, suspected.c_str(), nullptr, now_us);
		roster_suspect(ro, old.c_str(), now_us + 8 * kSec);
		suspected = old;
		slots_reassign_arbiters(sl);
	}

	void
	Step()
	{
		now_us += kStepUs;
		ChangeArbiter();
		for (size_t i = 0; i < pending.size();) {
			if (pending[i].at_us > now_us) {
				i++;
				continue;
			}
			Pending p = pending[i];
			pending.erase(pending.begin() + (long)i);
			Answer(p.from, p.verdict);
		}
	}

	void
	Play(int64_t wait_us)
	{
		steps.push_back([this, wait_us] { Acquire(wait_us); });
		for (int64_t t = 0; t < kEndUs; t += kStepUs)
			steps.push_back([this] { Step(); });
		Run();
	}

	/* A request is decided once, within its bound. */
	void
	Check(const WaitCase &with)
	{
		c = with;
		Make(Row, "dc1");
		Play(kRetryWaitUs);
		EXPECT_EQ(1, decisions);
		EXPECT_LE(decided_us - start_us, c.bound_us + kStepUs);
		if (c.outcome[0] != '\0') {
			EXPECT_EQ(c.outcome, outcome);
		}
	}
};

const int64_t kUnkeptUs = kRetryWaitUs + kAnswerUs;
const int64_t kKeptUs = kRetryWaitUs + kLateGrantUs + kTickUs;

TEST_F(SlotsWait, SilentOneAfterTheOther)
{
	Check({kSilent, kSilent, 0, 0, false, kUnkeptUs, "granted"});
}

TEST_F(SlotsWait, ChangesAgainAndAgain)
{
	Check({kSilent, kSilent, 20 * kMs, 0, false, kUnkeptUs, ""});
}

TEST_F(SlotsWait, QueuedThenChangesToSilentOnes)
{
	Check({kQueues, kSilent, 40 * kMs, 0, false, kKeptUs, ""});
}

TEST_F(SlotsWait, QueuedByEachOfThoseThatChange)
{
	Check({kQueues, kQueues, 40 * kMs, 0, false, kKeptUs, ""});
}

TEST_F(SlotsWait, QueuedThenSilent)
{
	Check({kQueuesThenSilent, kSilent, 0, 0, false, kUnkeptUs, ""});
}

TEST_F(SlotsWait, RefusedByAPoolThenSilent)
{
	Check({kRefuses, kSilent, 0, 0, true, kUnkeptUs, ""});
}

TEST_F(SlotsWait, QueuedAndNeverGranted)
{
	Check({kQueues, kQueues, 0, 0, false, kKeptUs, "refused"});
}

/* A late answer is better than none. */
TEST_F(SlotsWait, QueuedAndGrantedLate)
{
	Check({kQueues, kQueues, 0, kRetryWaitUs + 1000 * kMs, false, kKeptUs,
	    "granted"});
}

/* What an arbiter grants after the refusal is free again there. */
TEST_F(SlotsWait, AGrantAfterTheRefusalIsReleased)
{
	c.first = c.later = kQueues;
	Make(Row, "dc1");
	steps.push_back([this] { Acquire(kRetryWaitUs); });
	for (int64_t t = 0; t < kEndUs; t += kStepUs)
		steps.push_back([this] { Step(); });
	steps.push_back([this] {
		EXPECT_EQ("refused", outcome);
		released.clear();
		Answer(first, kSlotGranted);
	});
	Run();
	EXPECT_EQ(1, decisions);
	EXPECT_EQ(1U, released.count(first));
}

/* While all daemons of a data centre leave, one of another region arbitrates
 * its pool. */
TEST_F(SlotsWait, AnArbiterInAnotherRegionHasTheTimeToAnswer)
{
	c.first = c.later = kGrants;
	round_trip_us = 60 * kMs;
	Make(FarRow, "dc0");
	roster_leave(ro);
	Play(kRetryWaitUs);
	EXPECT_EQ(1, decisions);
	EXPECT_EQ("granted", outcome);
	EXPECT_EQ(1, asked);
	EXPECT_EQ(0, reconnects) << "it was never silent";
	EXPECT_EQ(kHoldGranted, Hold()->phase) << "not the local share";
}

/* Requests that end at the same moment. */
TEST_F(SlotsWait, TheLocalShareHoldsForRequestsOfOneMoment)
{
	const int n = 20;

	c.change_us = 20 * kMs;
	Make(Row, "dc1");
	steps.push_back([this] {
		for (int i = 0; i < n; i++)
			Acquire(kRetryWaitUs);
	});
	for (int64_t t = 0; t < kEndUs; t += kStepUs)
		steps.push_back([this] { Step(); });
	Run();
	EXPECT_EQ(n, decisions);
	EXPECT_EQ(2, granted) << "8 slots, 3 daemons";
}

/* Read in the iteration that ends the wait, before the refusal is delivered. */
TEST_F(SlotsWait, AnAnswerReadAsTheWaitEndsDecidesNothing)
{
	for (slotpool_verdict v :
	    {kSlotGranted, kSlotQueued, kSlotUnknownPool, kSlotRevoked}) {
		steps.push_back([this, v] {
			struct delivery del = {};

			decisions = 0;
			Acquire(kRetryWaitUs);
			Hold()->view = nullptr;
			del.id = id;
			del.verdict = v;
			slots_deliver(sl, &del);
			del.verdict = kSlotRefused;
			del.retry_after_us = 300 * kMs;
			slots_deliver(sl, &del);
		});
		steps.push_back([this, v] {
			EXPECT_EQ(1, decisions) << v;
			EXPECT_EQ("refused", outcome) << v;
		});
	}
	c.first = c.later = kSilent;
	Make(Row, "dc1");
	Run();
}

/* What arrived during the stop is read after the late tick. */
TEST_F(SlotsWait, AnArbiterIsNotSuspectedWhileTheDaemonWasStopped)
{
	for (int64_t stop_us : {300 * kMs, 2500 * kMs}) {
		steps.push_back([this, stop_us] {
			decisions = 0;
			asked = 0;
			Acquire(kRetryWaitUs);
			pending.clear();
			now_us += stop_us;
		});
		steps.push_back([this] { Answer(first, kSlotGranted); });
		for (int64_t t = 0; t < 100 * kMs; t += kStepUs)
			steps.push_back([this] { Step(); });
		steps.push_back([this, stop_us] {
			EXPECT_EQ(1, asked) << stop_us;
			EXPECT_EQ("granted", outcome) << stop_us;
			slots_release(sl, id, kSlotServed);
		});
	}
	c.first = c.later = kQueues;
	Make(Row, "dc1");
	Run();
}

/* A caller leaves a stream after 2 s without an event. A second attempt, after
 * 0.6 s of silence, is of no use to it later. */
TEST_F(SlotsWait, AQueueDecidesBeforeTheCallerLeaves)
{
	const int64_t patience_us = 2 * kSec - 600 * kMs;

	Make(Row, "dc0");
	steps.push_back([this] {
		for (int i = 0; i < 8; i++)
			Acquire(kRetryWaitUs);
	});
	steps.push_back([this] {
		EXPECT_EQ(8, granted);
		Acquire(kRetryWaitUs);
	});
	for (int64_t t = 0; t < kEndUs; t += kStepUs)
		steps.push_back([this] { Step(); });
	Run();
	EXPECT_EQ(9, decisions);
	EXPECT_EQ("refused", outcome);
	EXPECT_LT(decided_us - start_us, patience_us);
}

} // namespace

#include <gtest/gtest.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "gateway/slots_internal.h"
}

namespace
{

const int64_t kSec = 1000000;

timespec
FakeNow(void *ctx)
{
	return {1, 0};
}

const clock_ops fake_clock = {FakeNow, FakeNow};

/* Receivers of releases. */
void
Send(void *ctx, const char *to, Sfpeer__Envelope *env)
{
	if (env->n_slot_notes > 0)
		((std::set<std::string> *)ctx)->insert(to);
}

void
Connect(void *ctx, const char *to)
{
}

const slots_wire_ops wire_ops = {Send, Connect, Connect};

/* A daemon that asks for a slot of a target elsewhere. */
struct SlotsAnswers : ::testing::Test {
	std::set<std::string> released;
	std::string outcome = "waits";
	struct clock_source clk = {&fake_clock, nullptr};
	struct loop *lp = loop_new(&clk);
	struct roster *ro;
	struct fleet *fl = fleet_new();
	struct slots *sl;
	uint64_t id;

	SlotsAnswers()
	{
		roster_options opt = {Row(0), 60 * kSec, kSec};
		GArray *rows = g_array_new(FALSE, TRUE, sizeof(roster_row));
		roster_changes changes = {
		    g_ptr_array_new_with_free_func(g_free),
		    g_ptr_array_new_with_free_func(g_free)};
		fleet_target t = {};

		ro = roster_new(&opt);
		for (int i = 1; i < 4; i++) {
			roster_row row = Row(i);

			g_array_append_val(rows, row);
		}
		roster_apply_rows(ro, rows, kSec, &changes);
		g_array_unref(rows);
		g_ptr_array_unref(changes.joined);
		g_ptr_array_unref(changes.removed);
		g_strlcpy(t.id, "t1", sizeof(t.id));
		g_strlcpy(t.service, "llm", sizeof(t.service));
		g_strlcpy(t.data_center, "dc1", sizeof(t.data_center));
		t.slots = 8;
		t.version = 1;
		fleet_apply(fl, &t);
		slots_options sopt = {
		    lp, ro, fl, "d0", "dc0", 7, &wire_ops, &released};
		sl = slots_new(&sopt);
		slots_targets_changed(sl);
	}

	~SlotsAnswers()
	{
		slots_free(sl);
		fleet_free(fl);
		roster_free(ro);
		loop_free(lp);
	}

	/* d0 is in another data centre than the others. */
	static roster_row
	Row(int i)
	{
		roster_row row = {};

		g_snprintf(row.address, sizeof(row.address), "d%d", i);
		g_snprintf(row.session, sizeof(row.session), "s%d", i);
		g_snprintf(
		    row.data_center, sizeof(row.data_center), "dc%d", i > 0);
		g_strlcpy(row.region, "r", sizeof(row.region));
		row.version = i + 1;
		row.cpu_millicores = 1000;
		return row;
	}

	static void
	OnGranted(void *ctx, uint64_t, const char *target)
	{
		*(std::string *)ctx = std::string("granted ") + target;
	}

	static void
	OnRefused(void *ctx, uint64_t, int64_t)
	{
		*(std::string *)ctx = "refused";
	}

	static void
	OnRevoked(void *ctx, uint64_t)
	{
		*(std::string *)ctx = "revoked";
	}

	std::string
	Acquire()
	{
		static const slots_ops ops = {OnGranted, OnRefused, OnRevoked};
		slots_acquire_options req = {};

		req.service = "llm";
		req.deadline_us = 9 * kSec;
		outcome = "waits";
		released.clear();
		id = slots_acquire(sl, &req, &ops, &outcome);
		return Hold()->arbiter;
	}

	struct hold *
	Hold()
	{
		return (struct hold *)g_hash_table_lookup(sl->holds, &id);
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
		env.from = (char *)from.c_str();
		env.n_slot_answers = 1;
		env.slot_answers = list;
		slots_on_envelope(sl, &env);
	}

	/* One step in each iteration of the loop: answers are delivered at its
	 * end. */
	static void
	NextStep(void *ctx)
	{
		auto *t = (SlotsAnswers *)ctx;

		if (t->step == t->steps.size()) {
			loop_stop(t->lp);
			return;
		}
		t->steps[t->step++]();
		loop_post(t->lp, NextStep, t);
	}

	void
	Run()
	{
		loop_post(lp, NextStep, this);
		loop_run(lp);
	}

	std::vector<std::function<void()>> steps;
	size_t step = 0;
};

/* One that was asked before, for example, and took too long. */
TEST_F(SlotsAnswers, AnAnswerOfAnotherArbiterDecidesNothing)
{
	std::string arbiter, other;

	for (slotpool_verdict v : {kSlotGranted, kSlotRefused, kSlotRevoked,
		 kSlotQueued, kSlotUnknownPool}) {
		steps.push_back([&, v] {
			arbiter = Acquire();
			other = arbiter == "d1" ? "d2" : "d1";
			EXPECT_NE("d0", arbiter);
			Answer(other, v);
		});
		steps.push_back([&, v] {
			EXPECT_EQ("waits", outcome) << v;
			EXPECT_EQ(v == kSlotGranted, released.count(other) > 0)
			    << "its slot is free again: " << v;
			if (Hold() == nullptr)
				return;
			EXPECT_EQ(kHoldRequested, Hold()->phase) << v;
			EXPECT_EQ(arbiter, Hold()->arbiter) << v;
			Answer(arbiter, kSlotGranted);
		});
		steps.push_back([&, v] {
			EXPECT_EQ("granted t1", outcome) << v;
			Answer(arbiter, kSlotRevoked);
		});
		steps.push_back([&, v] {
			EXPECT_EQ("revoked", outcome) << v;
			slots_release(sl, id, kSlotServed);
		});
	}
	Run();
}

} // namespace

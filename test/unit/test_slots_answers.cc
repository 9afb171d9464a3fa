#include <set>
#include <string>

#include "unit/daemon_fixture.h"

extern "C" {
#include "gateway/slots_internal.h"
}

namespace
{

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
struct SlotsAnswers : DaemonFixture {
	std::set<std::string> released;
	std::string outcome = "waits";
	struct fleet *fl = fleet_new();
	struct slots *sl;
	uint64_t id;

	SlotsAnswers()
	{
		fleet_target t = {};

		MakeRoster(Row);
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

	~SlotsAnswers() override
	{
		slots_free(sl);
		fleet_free(fl);
	}

	/* d0 is in another data centre than the others. */
	static roster_row
	Row(int i)
	{
		roster_row row = BaseRow(i);

		g_snprintf(
		    row.data_center, sizeof(row.data_center), "dc%d", i > 0);
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

/* Items that wait for a slot, whose arbiters are silent or forget them. Virtual
 * time. */
#include <string>

#include "unit/daemon_fixture.h"

extern "C" {
#include "gateway/slots_internal.h"
}

namespace
{

const int64_t kMs = 1000;
const int64_t kSec = 1000 * kMs;
const int64_t kStepUs = 5 * kMs;
/* An item asks again after a second, plus an answer and a tick. */
const int64_t kAgainUs = 1400 * kMs;
/* A silent arbiter is passed over for so long. */
const int64_t kSuspectUs = 8 * kSec;

enum Conduct { kSilent, kQueues, kRefuses };

/* Daemon d0, whose items go to the arbiters d1 to d3. */
struct SlotsBatch : DaemonFixture {
	struct fleet *fl = fleet_new();
	struct slots *sl = nullptr;
	Conduct conduct = kSilent;
	/* Until then the arbiters do so; later they grant. */
	int64_t until_us = 0;
	int asked = 0, withdrawn = 0, granted = 0, refused = 0;
	int64_t granted_us = 0;
	uint64_t id = 0;
	struct Answer {
		std::string from;
		uint64_t id;
		slotpool_verdict verdict;
	};
	std::vector<Answer> answers;

	SlotsBatch()
	{
		static const slots_wire_ops wire = {Send, Ignore, Ignore};
		fleet_target t = {};

		MakeRoster([](int i) {
			roster_row row = BaseRow(i);

			g_snprintf(row.data_center, sizeof(row.data_center),
			    "dc%d", i > 0);
			row.cpu_millicores = 1000;
			return row;
		});
		g_strlcpy(t.id, "t1", sizeof(t.id));
		g_strlcpy(t.service, "llm", sizeof(t.service));
		g_strlcpy(t.data_center, "dc1", sizeof(t.data_center));
		t.slots = 8;
		t.version = 1;
		fleet_apply(fl, &t);
		slots_options opt = {lp, ro, fl, "d0", "dc0", 7, &wire, this};
		sl = slots_new(&opt);
		slots_targets_changed(sl);
	}

	~SlotsBatch() override
	{
		slots_free(sl);
		fleet_free(fl);
	}

	static void
	Ignore(void *, const char *)
	{
	}

	static void
	Send(void *ctx, const char *to, Sfpeer__Envelope *env)
	{
		auto *t = (SlotsBatch *)ctx;

		t->withdrawn += (int)env->n_slot_notes;
		for (size_t i = 0; i < env->n_slot_asks; i++)
			t->OnAsk(to, env->slot_asks[i]->id);
	}

	void
	OnAsk(const char *to, uint64_t ask)
	{
		asked++;
		if (now_us >= until_us)
			answers.push_back({to, ask, kSlotGranted});
		else if (conduct != kSilent)
			answers.push_back({to, ask,
			    conduct == kQueues ? kSlotQueued : kSlotRefused});
	}

	void
	Acquire()
	{
		static const slots_ops ops = {
		    [](void *ctx, uint64_t, const char *) {
			    auto *t = (SlotsBatch *)ctx;

			    t->granted++;
			    t->granted_us = t->now_us;
		    },
		    [](void *ctx, uint64_t, int64_t) {
			    auto *t = (SlotsBatch *)ctx;

			    t->refused++;
			    slots_release(t->sl, t->id, kSlotNeutral);
			    t->Acquire();
		    },
		    [](void *, uint64_t) { ADD_FAILURE() << "revoked"; },
		};
		slots_acquire_options req = {};

		req.service = "llm";
		req.is_batch = true;
		req.deadline_us = now_us + 60 * kSec;
		id = slots_acquire(sl, &req, &ops, this);
	}

	void
	Step()
	{
		std::vector<Answer> list;

		now_us += kStepUs;
		list.swap(answers);
		for (auto &a : list) {
			Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
			Sfpeer__SlotAnswer wire = SFPEER__SLOT_ANSWER__INIT;
			Sfpeer__SlotAnswer *ptr[] = {&wire};

			wire.id = a.id;
			wire.verdict = a.verdict;
			wire.target = (char *)"t1";
			wire.retry_after_us = 300 * kMs;
			env.from = (char *)a.from.c_str();
			env.n_slot_answers = 1;
			env.slot_answers = ptr;
			slots_on_envelope(sl, &env);
		}
	}
};

struct BatchCase {
	const char *name;
	Conduct conduct;
	int64_t until_us;
	/* From then on. */
	int64_t bound_us;
};

/* Guards against an item that waits for an arbiter which is gone, has forgotten
 * it or has granted it in vain. */
TEST_F(SlotsBatch, ARequestIsDecidedWhateverItsArbitersDo)
{
	const BatchCase cases[] = {
	    {"grant at once", kSilent, 0, kAgainUs},
	    {"silent", kSilent, 3 * kSec, kSuspectUs + kAgainUs},
	    {"silent for long", kSilent, 30 * kSec, kSuspectUs + kAgainUs},
	    {"queue it, and the grant is lost", kQueues, kSec / 2, kAgainUs},
	    {"queue it and forget it", kQueues, 30 * kSec, kAgainUs},
	    {"refuse it", kRefuses, 10 * kSec, kAgainUs},
	};

	for (const auto &with : cases) {
		steps.push_back([this, with] {
			conduct = with.conduct;
			until_us = now_us + with.until_us;
			granted = asked = 0;
			for (const char *d : {"d1", "d2", "d3"})
				roster_record_message(ro, d, nullptr, now_us);
			Acquire();
		});
		for (int64_t t = 0; t < with.until_us + with.bound_us;
		     t += kStepUs)
			steps.push_back([this] { Step(); });
		steps.push_back([this, with] {
			EXPECT_EQ(1, granted) << with.name;
			EXPECT_LT(0, asked) << with.name;
			slots_release(sl, id, kSlotNeutral);
		});
	}
	Run();
	EXPECT_LT(0, withdrawn);
}

} // namespace

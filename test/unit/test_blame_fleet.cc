#include <map>
#include <vector>

#include "unit/blame_fixture.h"

namespace
{

/* A coordinator and two others; messages arrive at once. */
struct BlameFleet : ::testing::Test {
	Daemon lead{"d0"}, one{"d1", false}, two{"d2", false};
	std::vector<Daemon *> all{&lead, &one, &two};
	/* Daemons that get no messages. */
	std::map<Daemon *, bool> is_cut;

	void
	Deliver(Daemon &from, const blame_note &note, int64_t now_us)
	{
		for (auto *d : all)
			if (d != &from && !is_cut[d] &&
			    (note.kind == kBlameNoteVerdict || d == &lead))
				blame_on_note(d->bl,
				    blame_daemon_hash(from.name.c_str()), &note,
				    now_us, d->out);
	}

	/* Until no daemon has anything to send. */
	void
	Exchange(int64_t now_us)
	{
		for (size_t i = 0; i < all.size() * 4; i++) {
			Daemon &d = *all[i % all.size()];
			blame_out *out = d.out;

			d.out = blame_out_new();
			for (guint k = 0; k < out->runs->len; k++)
				if (&d != &lead)
					blame_on_run(lead.bl,
					    &g_array_index(
						out->runs, blame_run, k),
					    now_us, lead.out);
			for (guint k = 0; k < out->notes->len; k++)
				Deliver(d,
				    g_array_index(out->notes, blame_note, k),
				    now_us);
			blame_out_free(out);
		}
	}

	void
	PassTime(int64_t from_us, int64_t to_us)
	{
		for (int64_t t = from_us; t <= to_us; t += 100 * kMs) {
			for (auto *d : all)
				blame_tick(d->bl, t, d->out);
			Exchange(t);
		}
	}

	/* An answer begins at a daemon. */
	void
	Answer(Daemon &d, int64_t at_us, const std::string &text)
	{
		blame_keys keys = KeysOf(text);

		blame_record_begun(d.bl, &keys, at_us - 20 * kMs, at_us, d.out);
		Exchange(at_us);
	}

	/* A request that is refused gets no trial. */
	void
	ExpectNoTrial(int64_t at_us)
	{
		EXPECT_EQ(kBlameBlocked, one.Check("r11,a,x", at_us));
		Exchange(at_us);
		EXPECT_EQ(kBlameBlocked, one.Check("r11,a,x", at_us, true));
	}

	/* Three ends under requests with "x", seen by two daemons. */
	void
	BlockX()
	{
		one.Lose(0, 20 * kMs, "t1", "r1,a,x");
		one.Lose(20 * kMs, 40 * kMs, "t2", "r1,a,x");
		Exchange(50 * kMs);
		Answer(one, 60 * kMs, "o1,b");
		two.Lose(200 * kMs, 220 * kMs, "t3", "r2,a,x");
		PassTime(300 * kMs, kSec);
	}
};

TEST_F(BlameFleet, APartIsBlockedAtAllDaemons)
{
	BlockX();
	for (auto *d : all) {
		EXPECT_EQ(kBlameBlocked, d->Check("r9,a,x", kSec)) << d->name;
		EXPECT_NE(kBlameBlocked, d->Check("r9,a,y", kSec)) << d->name;
	}
}

TEST_F(BlameFleet, RequestsWithASuspectedPartRunOneAtATime)
{
	one.Lose(0, 20 * kMs, "t1", "r1,a,x");
	one.Lose(20 * kMs, 40 * kMs, "t2", "r1,a,x");
	Exchange(50 * kMs);
	EXPECT_EQ(kBlameHeld, one.Check("r2,a,x", 50 * kMs, true));
	EXPECT_EQ(kBlameHeld, two.Check("r3,a,x", 50 * kMs, true));
	Exchange(60 * kMs);
	EXPECT_EQ(kBlameTrial, one.Check("r2,a,x", 60 * kMs, true));
	EXPECT_EQ(kBlameHeld, one.Check("r4,a,x", 60 * kMs, true));
	EXPECT_EQ(kBlameHeld, two.Check("r3,a,x", 60 * kMs, true));
	EXPECT_EQ(kBlameNone, two.Check("r5,b,y", 60 * kMs, true));
	/* The trial is over; no other one begins while the part is judged. */
	one.Lose(60 * kMs, 90 * kMs, "t3", "r2,a,x");
	Exchange(100 * kMs);
	for (int64_t at_us : {200 * kMs, 900 * kMs, 1200 * kMs}) {
		EXPECT_EQ(kBlameHeld, two.Check("r3,a,x", at_us, true));
		Exchange(at_us);
	}
	EXPECT_EQ(kBlameTrial, two.Check("r3,a,x", 1200 * kMs, true));
}

TEST_F(BlameFleet, AnAnswerAtAnyDaemonSpeaksForAPart)
{
	one.Lose(0, 20 * kMs, "t1", "r1,a,x");
	one.Lose(20 * kMs, 40 * kMs, "t2", "r1,a,x");
	PassTime(100 * kMs, 300 * kMs);
	for (auto *d : {&one, &two})
		EXPECT_EQ(kBlameHeld, d->Check("s2,a,y", 310 * kMs)) << d->name;
	Answer(two, 320 * kMs, "s1,a,y");
	for (auto *d : all)
		EXPECT_EQ(kBlameNone, d->Check("s2,a,y", 330 * kMs)) << d->name;
	EXPECT_EQ(kBlameHeld, two.Check("r9,b,x", 330 * kMs));
}

TEST_F(BlameFleet, AnEarlierAnswerIsReportedWhenAPartBecomesSuspect)
{
	one.Lose(0, 20 * kMs, "t1", "r1,a,x");
	one.Lose(20 * kMs, 40 * kMs, "t2", "r1,a,x");
	Answer(two, 45 * kMs, "s1,a,y");
	PassTime(100 * kMs, 300 * kMs);
	EXPECT_EQ(kBlameNone, one.Check("s2,a,y", 300 * kMs));
	EXPECT_EQ(kBlameNone, lead.Check("s2,a,y", 300 * kMs));
	EXPECT_EQ(kBlameTrial, lead.Check("r2,a,x", 300 * kMs));
}

/* A daemon that took itself for a coordinator has told of the suspicion. */
TEST_F(BlameFleet, ACoordinatorJudgesWhatItWasToldToSuspect)
{
	blame_set_role(one.bl, true, true);
	one.Lose(0, 20 * kMs, "t1", "r1,a,x");
	one.Lose(20 * kMs, 40 * kMs, "t2", "r1,a,x");
	/* It knew of no other to report to. */
	g_array_set_size(one.out->runs, 0);
	Exchange(50 * kMs);
	blame_set_role(one.bl, false, false);
	two.Lose(200 * kMs, 220 * kMs, "t3", "r2,a,x");
	Answer(lead, 225 * kMs, "o1,b");
	two.Lose(230 * kMs, 250 * kMs, "t4", "r3,a,x");
	two.Lose(260 * kMs, 280 * kMs, "t5", "r4,a,x");
	PassTime(300 * kMs, kSec);
	for (auto *d : all)
		EXPECT_EQ(kBlameBlocked, d->Check("r9,a,x", kSec)) << d->name;
}

/* The other coordinator blocks the part as the primary allows a trial. */
TEST_F(BlameFleet, ADaemonWhoseTrialFailedLearnsOfTheBlock)
{
	blame_set_role(one.bl, true, false);
	one.Lose(0, 20 * kMs, "t1", "r1,a,x");
	one.Lose(20 * kMs, 40 * kMs, "t2", "r1,a,x");
	Exchange(50 * kMs);
	Answer(one, 55 * kMs, "o1,b");
	is_cut[&one] = true;
	two.Check("r3,a,x", 60 * kMs, true);
	Exchange(60 * kMs);
	ASSERT_EQ(kBlameTrial, two.Check("r3,a,x", 60 * kMs, true));
	two.Lose(60 * kMs, 80 * kMs, "t3", "r3,a,x");
	g_array_set_size(two.out->runs, 0);
	one.Lose(60 * kMs, 90 * kMs, "t4", "r2,a,x");
	g_array_set_size(one.out->runs, 0);
	PassTime(100 * kMs, kSec);
	EXPECT_EQ(kBlameBlocked, two.Check("r9,a,x", kSec));
}

/* It suspects what the others have long blocked. */
TEST_F(BlameFleet, ACoordinatorThatHasJustStartedBlocksNothingLess)
{
	BlockX();
	Daemon fresh("d3");
	all = {&fresh, &one, &two};
	blame_set_role(one.bl, true, false);
	for (int i = 0; i < 2; i++) {
		blame_run run = fresh.Run((1000 + 50 * i) * kMs,
		    (1040 + 50 * i) * kMs, "t8", "r20,a,x");

		blame_record_run(fresh.bl, &run, run.ended_us, fresh.out);
	}
	Exchange(1200 * kMs);
	EXPECT_EQ(kBlameBlocked, two.Check("r9,a,x", 1200 * kMs));
	blame_ask(fresh.bl, 1200 * kMs, fresh.out);
	blame_note ask = {};
	ask.kind = kBlameNoteAsk;
	blame_on_note(one.bl, 1, &ask, 1200 * kMs, one.out);
	PassTime(1300 * kMs, 1300 * kMs);
	EXPECT_EQ(kBlameBlocked, fresh.Check("r9,a,x", 1400 * kMs));
}

TEST_F(BlameFleet, AVerdictThatWasMissedIsRepeated)
{
	is_cut[&two] = true;
	BlockX();
	EXPECT_EQ(kBlameNone, two.Check("r9,a,x", kSec));
	is_cut[&two] = false;
	PassTime(kSec, kSec + kBlameRepeatPeriodUs + 100 * kMs);
	EXPECT_EQ(kBlameBlocked, two.Check("r9,a,x", 4 * kSec));
}

/* One request in the whole fleet, at the daemon that had one to refuse. */
TEST_F(BlameFleet, ATrialIsOneRequest)
{
	int64_t due_us = kBlameFirstTrialUs + kSec;
	int64_t next_us = due_us + kBlameTrialUs;

	BlockX();
	PassTime(kSec, due_us);
	EXPECT_EQ(kBlameBlocked, two.Check("r9,a,x", due_us));
	Exchange(due_us);
	EXPECT_EQ(kBlameBlocked, one.Check("r9,a,x", due_us, true));
	EXPECT_EQ(kBlameTrial, two.Check("r9,a,x", due_us, false));
	EXPECT_EQ(kBlameTrial, two.Check("r9,a,x", due_us, true));
	EXPECT_EQ(kBlameBlocked, two.Check("r10,a,x", due_us, true));
	two.Lose(due_us, due_us + 20 * kMs, "t9", "r9,a,x");
	Exchange(due_us + 20 * kMs);
	/* The next one waits longer, and each further one twice as long. */
	PassTime(due_us + 100 * kMs, next_us - kSec);
	ExpectNoTrial(next_us - kSec);
	next_us += kSec;
	PassTime(next_us - kSec, next_us);
	one.Check("r12,a,x", next_us);
	Exchange(next_us);
	EXPECT_EQ(kBlameTrial, one.Check("r12,a,x", next_us, true));
	one.Lose(next_us, next_us + 20 * kMs, "t10", "r12,a,x");
	Exchange(next_us + 20 * kMs);
	PassTime(next_us + 100 * kMs, next_us + 110 * kSec);
	ExpectNoTrial(next_us + 110 * kSec);
}

TEST_F(BlameFleet, ATrialThatIsAnsweredLiftsTheVerdict)
{
	int64_t due_us = kBlameFirstTrialUs + kSec;

	BlockX();
	PassTime(kSec, due_us);
	two.Check("r9,a,x", due_us);
	Exchange(due_us);
	ASSERT_EQ(kBlameTrial, two.Check("r9,a,x", due_us, true));
	Answer(two, due_us + 20 * kMs, "r9,a,x");
	for (auto *d : all)
		EXPECT_EQ(kBlameNone, d->Check("r10,a,x", due_us + kSec))
		    << d->name;
}

/* Another coordinator takes over with what it was told. */
TEST_F(BlameFleet, AVerdictOutlastsItsCoordinator)
{
	BlockX();
	blame_set_role(lead.bl, false, false);
	blame_set_role(one.bl, true, true);
	is_cut[&lead] = true;
	Daemon three("d3", false);
	all = {&one, &two, &three};
	PassTime(kSec, kSec + kBlameRepeatPeriodUs + 200 * kMs);
	EXPECT_EQ(kBlameBlocked, three.Check("r9,a,x", 4 * kSec));
}

} // namespace

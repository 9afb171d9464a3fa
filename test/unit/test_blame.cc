#include <gtest/gtest.h>

#include <cstring>
#include <map>
#include <sstream>
#include <string>
#include <vector>

extern "C" {
#include "savoryflow/retry/blame.h"
}

namespace
{

const int64_t kMs = 1000;
const int64_t kSec = 1000000;

uint64_t
KeyOf(const std::string &name)
{
	return blame_daemon_hash(name.c_str());
}

/* "r1,a0,x": the whole request, then its parts. */
blame_keys
KeysOf(const std::string &text)
{
	std::stringstream in(text);
	std::string name;
	blame_keys keys = {};

	while (std::getline(in, name, ','))
		keys.keys[keys.count++] = KeyOf(name);
	return keys;
}

/* One daemon, which coordinates alone unless said otherwise. */
struct Daemon {
	std::string name;
	blame *bl;
	blame_out *out = blame_out_new();

	explicit Daemon(const std::string &n, bool coordinates = true)
	    : name(n), bl(blame_new(n.c_str()))
	{
		blame_set_role(bl, coordinates, coordinates);
	}

	~Daemon()
	{
		blame_out_free(out);
		blame_free(bl);
	}

	Daemon(const Daemon &) = delete;

	blame_run
	Run(int64_t sent_us, int64_t ended_us, const std::string &target,
	    const std::string &keys, bool has_ended = true)
	{
		blame_run run = {};

		run.keys = KeysOf(keys);
		run.sent_us = sent_us;
		run.ended_us = ended_us;
		run.has_target_ended = has_ended;
		g_strlcpy(run.target, target.c_str(), sizeof(run.target));
		g_strlcpy(run.seen_by, name.c_str(), sizeof(run.seen_by));
		return run;
	}

	/* Ticks as a daemon does, up to the time. */
	void
	TickUntil(int64_t from_us, int64_t to_us)
	{
		for (int64_t t = from_us; t < to_us; t += 100 * kMs)
			blame_tick(bl, t, out);
		blame_tick(bl, to_us, out);
	}

	blame_verdict
	Check(const std::string &keys, int64_t now_us, bool will_send = false)
	{
		blame_keys k = KeysOf(keys);
		uint64_t key;

		return blame_check(bl, &k, will_send, now_us, out, &key);
	}

	void
	Lose(int64_t sent_us, int64_t ended_us, const std::string &target,
	    const std::string &keys)
	{
		blame_run run = Run(sent_us, ended_us, target, keys);

		blame_record_run(bl, &run, ended_us, out);
	}

	/* Three ends under two requests with the part "x". */
	void
	BlockX(int64_t at_us)
	{
		Lose(at_us, at_us + 20 * kMs, "t1", "r1,a,x");
		Lose(at_us + 20 * kMs, at_us + 40 * kMs, "t2", "r1,a,x");
		Lose(at_us + 60 * kMs, at_us + 80 * kMs, "t3", "r2,a,x");
		TickUntil(at_us + 100 * kMs, at_us + kSec);
	}
};

struct Script {
	const char *name;
	/*
	 * lost SENT ENDED TARGET KEYS    a run whose target has ended, at d1
	 * far SENT ENDED TARGET KEYS     the same, reported by d2
	 * cut SENT ENDED TARGET KEYS     a run whose target goes on
	 * item SENT ENDED TARGET KEYS    as lost, of an item
	 * cutitem SENT ENDED TARGET KEYS as cut, of an item
	 * begun AT KEYS
	 * expect AT KEYS none|suspected|blocked
	 * Times are in ms; one command a line, in order of time.
	 */
	const char *text;
};

void
RunLine(Daemon &d, std::stringstream &in, int64_t *now_us, const char *name)
{
	static const char *const verdicts[] = {"none", "suspected", "blocked"};
	std::string what, target, keys;
	int64_t at_ms = 0, ended_ms = 0;

	in >> what >> at_ms;
	if (what == "begun") {
		in >> keys;
		blame_keys k = KeysOf(keys);

		d.TickUntil(*now_us, at_ms * kMs);
		blame_record_begun(d.bl, &k, at_ms * kMs, d.out);
		*now_us = at_ms * kMs;
		return;
	}
	if (what == "expect") {
		std::string wanted;

		in >> keys >> wanted;
		d.TickUntil(*now_us, at_ms * kMs);
		*now_us = at_ms * kMs;
		EXPECT_EQ(wanted, verdicts[d.Check(keys, *now_us)])
		    << name << ": " << keys << " at " << at_ms << " ms";
		return;
	}
	in >> ended_ms >> target >> keys;
	blame_run run = d.Run(at_ms * kMs, ended_ms * kMs, target, keys,
	    what != "cut" && what != "cutitem");

	run.keys.is_owed = what == "item" || what == "cutitem";
	d.TickUntil(*now_us, ended_ms * kMs);
	*now_us = ended_ms * kMs;
	if (what != "far") {
		blame_record_run(d.bl, &run, *now_us, d.out);
		return;
	}
	for (auto &begun : run.begun_us)
		begun = INT64_MIN;
	g_strlcpy(run.seen_by, "d2", sizeof(run.seen_by));
	blame_on_run(d.bl, &run, *now_us, d.out);
}

const Script kScripts[] = {
    {"three ends under several requests", R"(
lost 0 20 t1 r1,a,x
lost 20 40 t2 r1,a,x
expect 150 r2,a,x suspected
lost 160 180 t3 r2,a,x
expect 600 r3,a,x blocked
expect 600 r4,a,y none
expect 900 r5,a,x blocked)"},
    {"answers that begin clear a part", R"(
lost 0 20 t1 r1,a,x
begun 30 r2,a
lost 40 60 t2 r3,a,x
begun 70 r4,a
lost 80 100 t3 r5,a,x
expect 900 r6,a,y none
expect 900 r6,a,x blocked)"},
    {"the part comes first", R"(
begun 0 r0,b,a
lost 10 30 t1 r1,x,a
lost 30 50 t2 r1,x,a
lost 200 220 t3 r2,x,a
expect 800 r3,x,a blocked
expect 800 r4,b,a none)"},
    {"a prompt with one shared part", R"(
lost 0 20 t1 r1,x
lost 30 50 t2 r2,x
lost 60 80 t3 r3,x
expect 500 r4,x blocked)"},
    {"two parts at once", R"(
begun 0 r0,a
lost 10 30 t1 r1,a,x
lost 40 60 t2 r2,a,y
lost 70 90 t3 r3,a,x
lost 100 120 t4 r4,a,y
lost 130 150 t5 r5,a,x
lost 160 180 t6 r6,a,y
begun 700 r7,a
expect 900 r8,a,x blocked
expect 900 r8,a,y blocked
expect 900 r8,a,z none)"},
    {"a part that was sound", R"(
begun 0 r0,a,x
begun 100 r1,a,x
begun 110 r2,a,y
lost 120 140 t1 r3,a,x
lost 150 170 t2 r4,a,x
lost 180 200 t3 r5,a,x
expect 700 r6,a,x blocked
expect 700 r7,a,y none)"},
    {"many targets end at once", R"(
lost 0 100 t1 r1,a,x
lost 10 100 t2 r2,a,x
lost 20 100 t3 r3,a,x
far 30 110 t4 r4,a,x
far 90 110 t5 r5,a,x
lost 99 100 t6 r6,a,x
expect 900 r7,a,x none)"},
    {"connections are cut", R"(
cut 0 20 t1 r1,a,x
cut 30 50 t2 r2,a,x
cut 60 80 t3 r3,a,x
expect 900 r4,a,x none
cut 910 920 t1 r5,a,x
cut 930 940 t2 r6,a,x
cut 950 960 t1 r7,a,x
expect 2000 r8,a,x blocked)"},
    {"one request ends three targets", R"(
lost 0 20 t1 r1,a,x
lost 20 40 t2 r1,a,x
expect 50 r1,a,x suspected
lost 60 80 t3 r1,a,x
expect 80 r1,a,x blocked
expect 900 r2,a,x suspected
begun 950 r2,a,x
expect 1100 r2,a,x none
expect 1100 r1,a,x blocked)"},
    {"one request is cut three times", R"(
cut 0 20 t1 r1
expect 20 r1 none
cut 20 40 t2 r1
cut 40 60 t1 r1
expect 60 r1 blocked
expect 60 r2 none)"},
    {"progress clears a request", R"(
lost 0 20 t1 r1
lost 20 40 t2 r1
begun 50 r1
lost 60 80 t3 r1
expect 100 r1 none)"},
    {"a sound request beside it", R"(
lost 0 20 t1 r1,a,x
lost 0 20 t1 s1,a,c
lost 30 50 t2 r2,a,x
lost 30 50 t2 s1,a,c
lost 60 80 t3 r3,a,x
lost 60 80 t3 s2,a,c
begun 400 s9,a,d
expect 700 r4,a,x blocked
expect 700 s3,a,c none)"},
    {"old evidence does not count", R"(
lost 0 20 t1 r1,a,x
lost 30 50 t2 r2,a,x
lost 61000 61020 t3 r3,a,x
expect 62000 r4,a,x none)"},
    {"a blocked part is forgotten", R"(
lost 0 20 t1 r1,x
lost 30 50 t2 r2,x
lost 60 80 t3 r3,x
expect 500 r4,x blocked
expect 590000 r5,x blocked
expect 1250000 r6,x none)"},
    {"an item that is cut is owed", R"(
cutitem 0 20 t1 i1
cutitem 20 40 t2 i1
cutitem 40 60 t1 i1
expect 900 i1 none)"},
    {"an item that ends targets is owed", R"(
item 0 20 t1 i1
item 20 40 t2 i1
item 40 60 t3 i1
expect 900 i1 suspected)"},
    {"items with a part that ends targets", R"(
cutitem 0 20 t1 i1,a,x
cutitem 20 40 t2 i2,a,x
item 60 80 t3 i1,a,x
item 80 90 t4 i2,a,x
item 90 99 t5 i1,a,x
expect 900 i3,a,x blocked
expect 900 r1,x blocked)"},
};

TEST(Blame, VerdictsFollowFromTheEvidence)
{
	for (const auto &c : kScripts) {
		Daemon d("d1");
		std::stringstream lines(c.text);
		std::string line;
		int64_t now_us = 0;

		while (std::getline(lines, line)) {
			std::stringstream in(line);

			if (!line.empty())
				RunLine(d, in, &now_us, c.name);
		}
	}
}

TEST(Blame, ACaseNamesTargetsAndDaemons)
{
	Daemon d("d1");
	blame_case found;

	d.BlockX(0);
	ASSERT_TRUE(blame_take_case(d.bl, &found));
	EXPECT_EQ(KeyOf("x"), found.key);
	EXPECT_TRUE(found.is_part);
	EXPECT_EQ(3, found.lost_runs);
	EXPECT_STREQ("t1,t2,t3", found.targets->str);
	EXPECT_STREQ("d1", found.seen_by->str);
	blame_case_clear(&found);
	EXPECT_FALSE(blame_take_case(d.bl, &found)) << "reported once";
}

TEST(BlameRequestKey, DependsOnUriAndBody)
{
	uint64_t a = blame_request_key("/q/1", "body", 4);

	EXPECT_EQ(a, blame_request_key("/q/1", "body", 4));
	EXPECT_NE(a, blame_request_key("/q/2", "body", 4));
	EXPECT_NE(a, blame_request_key("/q/1", "Body", 4));
}

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

	/* Three ends under requests with "x", seen by two daemons. */
	void
	BlockX()
	{
		one.Lose(0, 20 * kMs, "t1", "r1,a,x");
		one.Lose(20 * kMs, 40 * kMs, "t2", "r1,a,x");
		Exchange(50 * kMs);
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

TEST_F(BlameFleet, AnAnswerAtAnyDaemonSpeaksForAPart)
{
	blame_keys sound = KeysOf("s1,a,y");

	one.Lose(0, 20 * kMs, "t1", "r1,a,x");
	one.Lose(20 * kMs, 40 * kMs, "t2", "r1,a,x");
	PassTime(100 * kMs, 300 * kMs);
	for (auto *d : all)
		EXPECT_EQ(kBlameSuspected, d->Check("s2,a,y", 310 * kMs))
		    << d->name;
	blame_record_begun(two.bl, &sound, 320 * kMs, two.out);
	Exchange(320 * kMs);
	for (auto *d : all)
		EXPECT_EQ(kBlameNone, d->Check("s2,a,y", 330 * kMs)) << d->name;
	EXPECT_EQ(kBlameSuspected, two.Check("r9,b,x", 330 * kMs));
}

TEST_F(BlameFleet, AnEarlierAnswerIsReportedWhenAPartBecomesSuspect)
{
	blame_keys sound = KeysOf("s1,a,y");

	one.Lose(0, 20 * kMs, "t1", "r1,a,x");
	one.Lose(20 * kMs, 40 * kMs, "t2", "r1,a,x");
	blame_record_begun(two.bl, &sound, 45 * kMs, two.out);
	Exchange(50 * kMs);
	PassTime(100 * kMs, 300 * kMs);
	EXPECT_EQ(kBlameNone, one.Check("s2,b,y", 300 * kMs));
	EXPECT_EQ(kBlameNone, lead.Check("s2,a,y", 300 * kMs));
	EXPECT_EQ(kBlameSuspected, lead.Check("r2,a,x", 300 * kMs));
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
	int64_t due_us = kBlameTrialUs + kSec;

	BlockX();
	PassTime(kSec, due_us);
	EXPECT_EQ(kBlameBlocked, two.Check("r9,a,x", due_us));
	Exchange(due_us);
	EXPECT_EQ(kBlameBlocked, one.Check("r9,a,x", due_us, true));
	EXPECT_EQ(kBlameSuspected, two.Check("r9,a,x", due_us, false));
	EXPECT_EQ(kBlameSuspected, two.Check("r9,a,x", due_us, true));
	EXPECT_EQ(kBlameBlocked, two.Check("r10,a,x", due_us, true));
	two.Lose(due_us, due_us + 20 * kMs, "t9", "r9,a,x");
	Exchange(due_us + 20 * kMs);
	/* The next one waits twice as long. */
	PassTime(due_us + 100 * kMs, due_us + 90 * kSec);
	EXPECT_EQ(kBlameBlocked, one.Check("r11,a,x", due_us + 90 * kSec));
	Exchange(due_us + 90 * kSec);
	EXPECT_EQ(
	    kBlameBlocked, one.Check("r11,a,x", due_us + 90 * kSec, true));
}

TEST_F(BlameFleet, ATrialThatIsAnsweredLiftsTheVerdict)
{
	int64_t due_us = kBlameTrialUs + kSec;
	blame_keys keys = KeysOf("r9,a,x");

	BlockX();
	PassTime(kSec, due_us);
	two.Check("r9,a,x", due_us);
	Exchange(due_us);
	ASSERT_EQ(kBlameSuspected, two.Check("r9,a,x", due_us, true));
	blame_record_begun(two.bl, &keys, due_us + 20 * kMs, two.out);
	Exchange(due_us + 20 * kMs);
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

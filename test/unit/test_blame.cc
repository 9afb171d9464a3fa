#include <sstream>

#include "unit/blame_fixture.h"

namespace
{

struct Script {
	const char *name;
	/*
	 * lost SENT ENDED TARGET KEYS    a run whose target has ended, at d1
	 * far SENT ENDED TARGET KEYS     the same, reported by d2
	 * cut SENT ENDED TARGET KEYS     a run whose target goes on
	 * item SENT ENDED TARGET KEYS    as lost, of an item
	 * cutitem SENT ENDED TARGET KEYS as cut, of an item
	 * begun AT KEYS
	 * expect AT KEYS none|suspected|trial|held|blocked
	 * Times are in ms; one command a line, in order of time.
	 */
	const char *text;
};

void
RunLine(Daemon &d, std::stringstream &in, int64_t *now_us, const char *name)
{
	static const char *const verdicts[] = {
	    "none", "suspected", "trial", "held", "blocked"};
	std::string what, target, keys;
	int64_t at_ms = 0, ended_ms = 0;

	in >> what >> at_ms;
	if (what == "begun") {
		in >> keys;
		blame_keys k = KeysOf(keys);

		d.TickUntil(*now_us, at_ms * kMs);
		blame_record_begun(
		    d.bl, &k, (at_ms - 20) * kMs, at_ms * kMs, d.out);
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
expect 50 r2,a,x trial
begun 60 o1,b
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
begun 60 o1,b
lost 200 220 t3 r2,x,a
expect 800 r3,x,a blocked
expect 800 r4,b,a none)"},
    {"a prompt with one shared part", R"(
lost 0 20 t1 r1,x
lost 30 50 t2 r2,x
begun 55 o1,b
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
expect 1100 r8,a,x blocked
expect 1100 r8,a,y blocked
expect 1100 r8,a,z none)"},
    {"a part that was sound", R"(
begun 0 r0,a,x
begun 100 r1,a,x
begun 110 r2,a,y
lost 120 140 t1 r3,a,x
lost 150 170 t2 r4,a,x
begun 175 r9,b
lost 180 200 t3 r5,a,x
expect 700 r6,a,x blocked
expect 700 r7,a,y none)"},
    {"no target answers meanwhile", R"(
begun 0 r0,a
lost 10 30 t1 r1,a
lost 40 60 t2 r2,a
lost 70 90 t3 r3,a
expect 900 r4,a held
expect 1200 r4,a trial
begun 1250 r5,a
expect 1500 r6,a none)"},
    {"all requests have the part, and no target answers", R"(
lost 10 30 t1 r1,a
lost 40 60 t2 r2,a
lost 70 90 t3 r3,a
lost 1000 1020 t4 r4,a
lost 1100 1120 t5 r5,a
lost 1200 1220 t6 r6,a
expect 1600 r7,a blocked)"},
    {"many targets end at once", R"(
lost 0 100 t1 r1,a,x
lost 10 100 t2 r2,a,x
lost 20 100 t3 r3,a,x
far 30 110 t4 r4,a,x
far 90 110 t5 r5,a,x
lost 98 100 t6 r6,a,x
begun 200 o1,b
expect 900 r7,a,x none)"},
    {"a session whose requests meet three mass crashes", R"(
lost 0 20 t1 r1,a,s
lost 0 20 t2 o1,a,u
lost 0 20 t3 o2,a,v
lost 0 20 t30 p0,a,z
begun 500 o3,a,w
lost 1000 1020 t4 r2,a,s
lost 1000 1020 t5 o4,a,u
lost 1000 1020 t6 o5,a,v
lost 1000 1020 t60 p1000,a,z
begun 1500 o6,a,w
lost 2000 2020 t7 r3,a,s
lost 2000 2020 t8 o7,a,u
lost 2000 2020 t9 o8,a,v
lost 2000 2020 t90 p2000,a,z
begun 2500 o9,a,w
expect 3000 r4,a,s none)"},
    {"a target that was ending when it got the request", R"(
lost 0 20 t1 r1,a,x
lost 20 21 t2 r1,a,x
lost 21 22 t3 r1,a,x
lost 30 31 t4 r2,a,x
begun 200 o1,b
expect 900 r7,a,x none)"},
    {"connections are cut", R"(
cut 0 20 t1 r1,a,x
cut 30 50 t2 r2,a,x
cut 60 80 t3 r3,a,x
expect 900 r4,a,x none
cut 910 920 t1 r5,a,x
cut 930 940 t2 r6,a,x
cut 950 960 t1 r7,a,x
expect 1000 r4,a,x none)"},
    {"connections are cut again and again", R"(
cut 0 10 t1 r1,x
cut 20 30 t1 r2,x
cut 40 50 t1 r3,x
cut 60 70 t1 r4,x
cut 80 90 t1 r5,x
cut 100 110 t1 r6,x
cut 120 130 t1 r7,x
cut 140 150 t1 r8,x
begun 155 o1,b
cut 160 170 t1 r9,x
cut 180 190 t1 r10,x
cut 200 210 t1 r11,x
expect 600 r13,x trial
cut 620 630 t1 r12,x
expect 1000 r13,x blocked)"},
    {"one request ends three targets", R"(
lost 0 20 t1 r1,a,x
lost 20 40 t2 r1,a,x
expect 50 r2,a,x trial
lost 60 80 t3 r1,a,x
expect 80 r1,a,x blocked
begun 100 o1,b
expect 900 r2,a,x trial
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
begun 300 s8,a,d
expect 700 r4,a,x blocked
expect 700 s3,a,c none)"},
    {"old evidence does not count", R"(
lost 0 20 t1 r1,a,x
lost 30 50 t2 r2,a,x
begun 60 o1,b
lost 61000 61020 t3 r3,a,x
expect 62000 r4,a,x none)"},
    {"a blocked part is forgotten", R"(
lost 0 20 t1 r1,x
lost 30 50 t2 r2,x
begun 55 o1,b
lost 60 80 t3 r3,x
expect 500 r4,x blocked
expect 9900 r5,x blocked
expect 11000 r5,x trial
lost 11000 11020 t4 r5,x
expect 70000 r5,x blocked
expect 72000 r5,x trial
expect 590000 r5,x trial
expect 1250000 r6,x none)"},
    {"losses as frequent as those of other requests", R"(
lost 0 400 u1 o1,y1
lost 100 500 t1 r1,x
lost 300 800 u2 o2,y2
begun 850 o3
lost 700 1200 u3 o3,y3
lost 900 1300 t2 r2,x
lost 1100 1700 u4 o4,y4
begun 1800 o5
lost 1500 2100 t3 r3,x
expect 3500 r4,x trial)"},
    {"the same if no other request is lost", R"(
lost 100 120 t1 r1,x
begun 850 o3
lost 900 920 t2 r2,x
begun 1800 o5
lost 1500 1520 t3 r3,x
begun 1900 o6
expect 3500 r4,x blocked)"},
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
item 60 70 t3 i1,a,x
item 70 80 t4 i2,a,x
begun 85 o1,b
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

} // namespace

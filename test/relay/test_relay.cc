/* What a relay does when, in virtual time. */
#include "relay/relay_fixture.h"

namespace
{

struct Case {
	const char *name;
	std::vector<Step> script;
	const char *trace;
};

TEST_F(Relay, ASilentTargetKeepsItsRequestUntilAnotherIsGranted)
{
	const Case cases[] = {
	    {"goes on before the grant",
		{{10, "grant a"}, {100, "event"}, {400, "event"},
		    {450, "answer 200"}},
		"0 ask, 10 send a after -1, 100 head 200, 300 ask but a, "
		"400 withdraw, 450 free a served, 450 end complete"},
	    {"moves at the grant",
		{{10, "grant a"}, {100, "event"}, {500, "grant b"},
		    {600, "event"}, {650, "answer 200"}},
		"0 ask, 10 send a after -1, 100 head 200, 300 ask but a, "
		"500 cancel a, 500 free a silent, 500 send b after 1, "
		"650 free b served, 650 end complete"},
	    {"goes on after refusals",
		{{10, "grant a"}, {220, "refuse"}, {530, "refuse"},
		    {900, "event"}, {950, "answer 200"}},
		"0 ask, 10 send a after -1, 210 ask but a, 520 ask but a, "
		"830 ask but a, 900 head 200, 900 withdraw, "
		"950 free a served, 950 end complete"},
	    {"ends while a slot is awaited",
		{{10, "grant a"}, {300, "answer 200"}},
		"0 ask, 10 send a after -1, 210 ask but a, 300 head 200, "
		"300 free a served, 300 withdraw, 300 end complete"},
	};

	for (const Case &c : cases)
		EXPECT_EQ(c.trace, Run(Options(), c.script)) << c.name;
}

TEST_F(Relay, ABrokenAttemptWaitsForTheSlotThatWasAskedForBefore)
{
	const Case cases[] = {
	    {"cut",
		{{10, "grant a"}, {300, "cut"}, {400, "grant b"},
		    {450, "answer 200"}},
		"0 ask, 10 send a after -1, 210 ask but a, 300 free a failed, "
		"400 send b after -1, 450 head 200, 450 free b served, "
		"450 end complete"},
	    {"not sent",
		{{10, "grant a"}, {300, "unsent"}, {400, "grant b"},
		    {450, "answer 200"}},
		"0 ask, 10 send a after -1, 210 ask but a, "
		"300 free a unreachable, 400 send b after -1, 450 head 200, "
		"450 free b served, 450 end complete"},
	    {"then refused: asks once more",
		{{10, "grant a"}, {300, "cut"}, {400, "refuse"},
		    {500, "refuse"}},
		"0 ask, 10 send a after -1, 210 ask but a, 300 free a failed, "
		"400 ask but a, 500 end failed"},
	};

	for (const Case &c : cases)
		EXPECT_EQ(c.trace, Run(Options(), c.script)) << c.name;
}

TEST_F(Relay, ARequestHasNoMoreTargetsThanItsRouteAllows)
{
	EXPECT_EQ("0 ask, 10 send a after -1, 210 ask but a, 300 cancel a, "
		  "300 free a silent, 300 send b after -1, 500 ask but b, "
		  "600 cancel b, 600 free b silent, 600 send c after -1, "
		  "2000 head 200, 2000 free c served, 2000 end complete",
	    Run(Options(),
		{{10, "grant a"}, {300, "grant b"}, {600, "grant c"},
		    {2000, "answer 200"}}));
}

TEST_F(Relay, ARequestThatMayNotBeRepeatedStays)
{
	relay_options opt = Options();

	opt.may_repeat = false;
	EXPECT_EQ("0 ask, 10 send a after -1, 2000 head 200, "
		  "2000 free a served, 2000 end complete",
	    Run(opt, {{10, "grant a"}, {2000, "answer 200"}}));
}

TEST_F(Relay, TheEndOfARequestWithdrawsTheOtherSlot)
{
	relay_options opt = Options();

	opt.answer_deadline_us = 1000 * kMs;
	EXPECT_EQ("0 ask, 10 send a after -1, 210 ask but a, 1000 withdraw, "
		  "1000 cancel a, 1000 free a silent, 1000 end timeout",
	    Run(opt, {{10, "grant a"}}));
	opt.answer_deadline_us = 0;
	EXPECT_EQ("0 ask, 10 send a after -1, 210 ask but a, 3000 withdraw, "
		  "3000 cancel a, 3000 free a silent",
	    Run(opt, {{10, "grant a"}}))
	    << "the caller leaves at 3000";
}

TEST_F(Relay, ARequestWhoseSlotIsRevokedIsNotToldAsNotRun)
{
	const Case cases[] = {
	    {"before its answer", {{10, "grant a"}, {100, "revoke"}},
		"0 ask, 10 send a after -1, 100 cancel a, "
		"100 free a neutral, 100 end failed"},
	    {"within its answer",
		{{10, "grant a"}, {50, "event"}, {100, "revoke"}},
		"0 ask, 10 send a after -1, 50 head 200, 100 cancel a, "
		"100 free a neutral, 100 end broken"},
	};

	for (const Case &c : cases)
		EXPECT_EQ(c.trace, Run(Options(), c.script)) << c.name;
}

TEST_F(Relay, ARequestWhoseSecondCopyIsRefusedIsNotToldAsNotRun)
{
	const Case cases[] = {
	    {"sent once",
		{{10, "grant a"}, {100, "answer 503"}, {150, "refuse"}},
		"0 ask, 10 send a after -1, 100 free a full, "
		"100 ask but a, 150 end refused"},
	    {"sent twice",
		{{10, "grant a"}, {50, "resend"}, {100, "answer 503"},
		    {150, "refuse"}},
		"0 ask, 10 send a after -1, 100 free a full, "
		"100 ask but a, 150 end failed"},
	};

	for (const Case &c : cases)
		EXPECT_EQ(c.trace, Run(Options(), c.script)) << c.name;
}

/* Guards against a status that tells the caller that a request which may have
 * run did not, and against a second run of one that may run once. */
TEST_F(Relay, AnUnconfirmedRefusalIsAFailureOfTheTarget)
{
	const struct {
		const char *name;
		bool may_repeat;
		std::vector<Step> script;
		const char *trace;
	} cases[] = {
	    {"may run once", false, {{10, "grant a"}, {100, "answer 429"}},
		"0 ask, 10 send a after -1, 100 free a failed, "
		"100 end failed"},
	    {"may run again", true,
		{{10, "grant a"}, {50, "answer 429"}, {60, "grant b"},
		    {100, "answer 200"}},
		"0 ask, 10 send a after -1, 50 free a failed, 50 ask but a, "
		"60 send b after -1, 100 head 200, 100 free b served, "
		"100 end complete"},
	    {"no attempt is left", true,
		{{10, "grant a"}, {50, "answer 429"}, {60, "grant b"},
		    {100, "answer 429"}},
		"0 ask, 10 send a after -1, 50 free a failed, 50 ask but a, "
		"60 send b after -1, 100 free b failed, 100 end failed"},
	};

	for (const auto &c : cases) {
		relay_options opt = Options();

		opt.may_repeat = c.may_repeat;
		opt.attempts_max = 2;
		EXPECT_EQ(c.trace, Run(opt, c.script)) << c.name;
	}
}

TEST_F(Relay, AnItemMovesFromASilentTargetAndItsFailuresStillCount)
{
	relay_options opt = Options();

	opt.is_batch = true;
	opt.attempts_max = 1;
	const Case cases[] = {
	    {"served",
		{{10, "grant a"}, {100, "event"}, {400, "grant b"},
		    {500, "event"}, {550, "answer 200"}},
		"0 ask, 10 send a after -1, 100 head 200, 300 ask but a, "
		"400 cancel a, 400 free a silent, 400 send b after 1, "
		"500 head 200, 550 free b served, 550 end complete"},
	    {"answered with 500",
		{{10, "grant a"}, {100, "event"}, {400, "grant b"},
		    {500, "answer 500"}},
		"0 ask, 10 send a after -1, 100 head 200, 300 ask but a, "
		"400 cancel a, 400 free a silent, 400 send b after 1, "
		"500 head 500, 500 free b failed, 500 end complete"},
	    {"revoked", {{10, "grant a"}, {300, "revoke"}},
		"0 ask, 10 send a after -1, 210 ask but a, 300 withdraw, "
		"300 cancel a, 300 free a neutral, 300 end revoked"},
	    {"cut", {{10, "grant a"}, {300, "cut"}},
		"0 ask, 10 send a after -1, 210 ask but a, 300 free a failed, "
		"300 withdraw, 300 end failed"},
	};

	for (const Case &c : cases)
		EXPECT_EQ(c.trace, Run(opt, c.script)) << c.name;
}

TEST_F(Relay, AnItemIsNotKeptForEverAtASilentTarget)
{
	relay_options opt = Options();
	std::string trace;

	opt.is_batch = true;
	opt.attempts_max = 1;
	end_ms = kItemEndMs;
	trace = Run(opt,
	    {{10, "grant a"}, {100, "event"}, {300, "refuse"}, {700, "refuse"},
		{1100, "refuse"}});
	EXPECT_NE(std::string::npos, trace.find("free a silent")) << trace;
	EXPECT_NE(std::string::npos, trace.find("end broken")) << trace;
}

TEST_F(Relay, ATargetIsNotFoundSilentWhileTheDaemonWasStopped)
{
	stop_ms = 100;
	go_on_ms = 1000;
	EXPECT_EQ("0 ask, 10 send a after -1, 1020 head 200, "
		  "1030 free a served, 1030 end complete",
	    Run(Options(),
		{{10, "grant a"}, {1020, "event"}, {1030, "answer 200"}}));
}

TEST_F(Relay, NoAttemptBeginsTooLateInAStop)
{
	const Case cases[] = {
	    {"waits for its first slot",
		{{10, "last-start 100"}, {200, "grant a"}},
		"0 ask, 100 withdraw, 100 end refused"},
	    {"the time is over already",
		{{10, "last-start 0"}, {200, "grant a"}},
		"0 ask, 10 withdraw, 10 end refused"},
	    {"begins in time",
		{{10, "last-start 100"}, {50, "grant a"}, {200, "answer 200"}},
		"0 ask, 50 send a after -1, 200 head 200, "
		"200 free a served, 200 end complete"},
	    {"was turned away late",
		{{10, "last-start 100"}, {50, "grant a"}, {150, "answer 503"}},
		"0 ask, 50 send a after -1, 150 free a full, "
		"150 end refused"},
	    {"breaks late",
		{{10, "grant a"}, {20, "last-start 100"}, {150, "cut"}},
		"0 ask, 10 send a after -1, 150 free a failed, "
		"150 end failed"},
	    {"waits for its second slot",
		{{10, "grant a"}, {20, "last-start 100"}, {50, "cut"}},
		"0 ask, 10 send a after -1, 50 free a failed, 50 ask but a, "
		"100 withdraw, 100 end failed"},
	    {"a stream that breaks late is not resumed",
		{{10, "grant a"}, {20, "last-start 100"}, {50, "event"},
		    {150, "cut"}},
		"0 ask, 10 send a after -1, 50 head 200, "
		"150 free a failed, 150 end broken"},
	    {"a silent target keeps its request",
		{{10, "grant a"}, {20, "last-start 300"}, {500, "event"},
		    {550, "answer 200"}},
		"0 ask, 10 send a after -1, 210 ask but a, 300 withdraw, "
		"500 head 200, 550 free a served, 550 end complete"},
	};

	for (const Case &c : cases)
		EXPECT_EQ(c.trace, Run(Options(), c.script)) << c.name;
}

TEST_F(Relay, ARequestThatIsGivenUpEndsAsWhatItIs)
{
	const Case cases[] = {
	    {"waits", {{100, "give-up"}},
		"0 ask, 100 withdraw, "
		"100 end refused"},
	    {"at a target", {{10, "grant a"}, {100, "give-up"}},
		"0 ask, 10 send a after -1, 100 cancel a, "
		"100 free a neutral, 100 end failed"},
	    {"its answer has begun",
		{{10, "grant a"}, {50, "event"}, {100, "give-up"}},
		"0 ask, 10 send a after -1, 50 head 200, 100 cancel a, "
		"100 free a neutral, 100 end broken"},
	};

	for (const Case &c : cases)
		EXPECT_EQ(c.trace, Run(Options(), c.script)) << c.name;
}

/* Guards against requests that run although their owner forbids it at one of
 * their attempts, and against refusals of requests that may have run. */
TEST_F(Relay, ARequestIsSentOnlyIfItsOwnerAllowsIt)
{
	const Case cases[] = {
	    {"before the first attempt", {{10, "never"}, {20, "grant a"}},
		"0 ask, 20 free a neutral, 20 end refused, 20 withheld"},
	    {"when the connection is open",
		{{10, "grant a"}, {20, "never"}, {30, "withhold"}},
		"0 ask, 10 send a after -1, 30 free a neutral, "
		"30 end refused, 30 withheld"},
	    {"before the second attempt",
		{{10, "grant a"}, {20, "never"}, {30, "cut"}, {40, "grant b"}},
		"0 ask, 10 send a after -1, 30 free a failed, 30 ask but a, "
		"40 free b neutral, 40 end failed, 40 withheld"},
	    {"before it goes on",
		{{10, "grant a"}, {20, "event"}, {30, "never"}, {40, "cut"},
		    {50, "grant b"}},
		"0 ask, 10 send a after -1, 20 head 200, 40 free a failed, "
		"40 ask but a, 50 free b neutral, 50 end broken, 50 withheld"},
	    {"a silent target goes on",
		{{10, "grant a"}, {20, "never"}, {250, "grant b"},
		    {400, "answer 200"}},
		"0 ask, 10 send a after -1, 210 ask but a, 250 free b neutral, "
		"400 head 200, 400 free a served, 400 end complete"},
	    {"later, with a slot asked for beside it",
		{{10, "grant a"}, {220, "later"}, {230, "withhold"},
		    {240, "allow"}, {260, "grant b"}, {270, "answer 200"}},
		"0 ask, 10 send a after -1, 210 ask but a, 230 withdraw, "
		"230 free a neutral, 250 ask but a, 260 send b after -1, "
		"270 head 200, 270 free b served, 270 end complete"},
	    {"a moment later",
		{{10, "later"}, {20, "grant a"}, {70, "allow"},
		    {100, "grant a"}, {110, "answer 200"}},
		"0 ask, 20 free a neutral, 80 ask, 100 send a after -1, "
		"110 head 200, 110 free a served, 110 end complete"},
	    {"not in time", {{10, "later"}, {20, "grant a"}},
		"0 ask, 20 free a neutral, 280 end refused, 280 withheld"},
	};

	for (const Case &c : cases)
		EXPECT_EQ(c.trace, Run(Options(), c.script)) << c.name;
}

/* The arbiter would take a target's speed from another target's events, or from
 * an answer without events. */
TEST_F(Relay, TheTimesOfARunAreRecordedWithItsSlot)
{
	const struct {
		std::vector<Step> script;
		int64_t first_ms, pace_ms;
		int32_t events;
	} cases[] = {
	    {{{10, "grant a"}, {100, "cut"}}, 0, 0, 0},
	    {{{10, "grant a"}, {50, "event"}, {100, "cut"}}, 40, 0, 1},
	    {{{10, "grant a"}, {50, "event"}, {80, "event"}, {130, "event"},
		 {140, "cut"}},
		40, 40, 3},
	    {{{10, "grant a"}, {50, "event"}, {80, "event"}, {90, "cut"},
		 {100, "grant b"}, {120, "event"}, {130, "event"},
		 {140, "cut"}},
		20, 10, 2},
	};

	end_ms = 150;
	for (const auto &c : cases) {
		Run(Options(), c.script);
		EXPECT_EQ(c.first_ms * kMs, state.run.first_event_us);
		EXPECT_EQ(c.pace_ms * kMs, state.run.pace_us);
		EXPECT_EQ(c.events, state.run.events);
	}
}

/* The arbiter would queue all requests as one team's, or take none of their
 * parts for kept. */
TEST_F(Relay, AskingForASlotTellsTeamAndParts)
{
	relay_options opt = Options();

	opt.team = "blue";
	opt.strips_credentials = true;
	opt.weight = 1500;
	opt.priority = 2;
	opt.parts = {1, {77}, {800}};
	end_ms = 20;
	Run(opt, {});
	EXPECT_TRUE(state.asked.has_teams);
	EXPECT_EQ(1500u, state.asked.weight);
	EXPECT_EQ(2u, state.asked.priority);
	EXPECT_EQ(1, state.asked.parts.count);
	EXPECT_EQ(77u, state.asked.parts.keys[0]);
	EXPECT_EQ(800, state.asked.parts.tokens[0]);
	Run(Options(), {});
	EXPECT_FALSE(state.asked.has_teams);
	EXPECT_EQ(0, state.asked.parts.count);
}

/* An answer that finds no memory is no failure of its target. */
TEST_F(Relay, AnAnswerWithoutMemoryEndsItsAttempt)
{
	const Case cases[] = {
	    {"no room for the first part",
		{{10, "grant a"}, {20, "full"}, {30, "body"}, {50, "grant b"},
		    {60, "answer 404"}},
		"0 ask, 10 send a after -1, 30 free a neutral, 30 ask but a, "
		"50 send b after -1, 60 head 404, 60 free b served, "
		"60 end complete"},
	    {"no room for more",
		{{10, "grant a"}, {20, "body"}, {30, "full"}, {40, "body"},
		    {60, "grant b"}, {70, "answer 404"}},
		"0 ask, 10 send a after -1, 40 free a neutral, 40 ask but a, "
		"60 send b after -1, 70 head 404, 70 free b served, "
		"70 end complete"},
	    {"dropped for another",
		{{10, "grant a"}, {20, "body"}, {30, "drop"}, {50, "grant b"},
		    {60, "answer 404"}},
		"0 ask, 10 send a after -1, 30 cancel a, 30 free a neutral, "
		"30 ask but a, 50 send b after -1, 60 head 404, "
		"60 free b served, 60 end complete"},
	    {"dropped as the caller leaves",
		{{10, "grant a"}, {20, "body"}, {3000, "drop"}},
		"0 ask, 10 send a after -1, 210 ask but a, 3000 cancel a, "
		"3000 free a neutral, 3000 withdraw"},
	};

	for (const Case &c : cases) {
		EXPECT_EQ(c.trace, Run(Options(), c.script)) << c.name;
		EXPECT_EQ(0u, state.held_bytes) << c.name;
	}
	relay_options once = Options();
	once.may_repeat = false;
	EXPECT_EQ("0 ask, 10 send a after -1, 30 cancel a, 30 free a neutral, "
		  "30 end failed",
	    Run(once, {{10, "grant a"}, {20, "body"}, {30, "drop"}}));
	EXPECT_EQ(0u, state.held_bytes);
}

} // namespace

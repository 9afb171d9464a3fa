/*
 * What a relay asks of slots and transfers, in virtual time. This file stands
 * in for both modules, hence a program of its own.
 */
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

extern "C" {
#include "gateway/relay.h"
}

namespace
{

const int64_t kMs = 1000;
const int kTickMs = 10;
const int kEndMs = 3000;
const int kItemEndMs = 9000;

/* One play: what happens at which ms, and what the relay did. */
struct Play {
	int64_t now_us = 0;
	std::string trace;
	/* Slot requests without a grant, and targets of those granted. */
	std::vector<uint64_t> waiting;
	std::map<uint64_t, std::string> held;
	uint64_t last_slot = 0;
	const slots_ops *slot_ops = nullptr;
	const outbound_ops *transfer_ops = nullptr;
	void *relay_ctx = nullptr;
	std::string sent_to;
	int64_t resume_after = -1;
	int next_event = 1;
	int head_status = 0;
	/* The transfer's answer is that to a second copy. */
	bool is_resent = false;
	bool is_ended = false;

	void
	Note(const std::string &what)
	{
		if (!trace.empty())
			trace += ", ";
		trace += std::to_string(now_us / kMs) + " " + what;
	}
};

Play *play;

} // namespace

extern "C" {

uint64_t
slots_acquire(struct slots *, const slots_acquire_options *request,
    const slots_ops *ops, void *ctx)
{
	const char *but = request->excluded_target;

	play->slot_ops = ops;
	play->relay_ctx = ctx;
	play->waiting.push_back(++play->last_slot);
	play->Note(std::string("ask") +
	    (but != nullptr ? std::string(" but ") + but : ""));
	return play->last_slot;
}

void
slots_relax_exclusion(struct slots *, uint64_t)
{
}

void
slots_release(struct slots *, uint64_t id, slot_outcome outcome)
{
	static const char *const names[] = {
	    "served", "neutral", "full", "unreachable", "failed", "silent"};

	if (play->held.count(id) > 0)
		play->Note("free " + play->held[id] + " " + names[outcome]);
	else
		play->Note("withdraw");
	play->held.erase(id);
	for (size_t i = 0; i < play->waiting.size(); i++)
		if (play->waiting[i] == id)
			play->waiting.erase(play->waiting.begin() + (long)i);
}

void
slots_record_rate(
    struct slots *, uint64_t, int64_t, const struct stated_rate *, const char *)
{
}

int64_t
slots_link_us(const struct slots *, const char *)
{
	return kMs;
}

struct outbound_request *
outbound_start(struct outbound *, const outbound_options *opt)
{
	EXPECT_EQ("", play->sent_to) << "one transfer at a time";
	play->transfer_ops = opt->ops;
	play->relay_ctx = opt->ctx;
	play->sent_to = opt->address;
	play->head_status = 0;
	play->Note("send " + play->sent_to + " after " +
	    std::to_string(play->resume_after));
	return (struct outbound_request *)play;
}

void
outbound_cancel(struct outbound_request *)
{
	play->Note("cancel " + play->sent_to);
	play->sent_to = "";
}

bool
outbound_is_first_answer(const struct outbound_request *)
{
	return true;
}

bool
outbound_is_resent(const struct outbound_request *)
{
	return play->is_resent;
}

void
outbound_allow_body(struct outbound_request *, int64_t)
{
}

} // extern "C"

namespace
{

timespec
PlayTime(void *)
{
	int64_t us = play->now_us + 1000 * kMs;

	return {us / 1000000, us % 1000000 * 1000};
}

void
EncodeForward(struct header_list *, const dialect_forward *fwd)
{
	play->resume_after = fwd->last_event_id;
}

void
DecodeResponse(int32_t status, const struct header_list *, const char *id,
    dialect_response *response)
{
	*response = {};
	response->has_matching_attempt = true;
	response->is_signed = true;
	response->is_event_stream = status == 200;
	response->was_not_executed = status == 503;
	g_strlcpy(response->attempt_id, id, sizeof(response->attempt_id));
}

void
OnHead(void *, int32_t status, const struct header_list *)
{
	play->Note("head " + std::to_string(status));
}

void
OnData(void *, const stream_event *)
{
}

void
OnEnd(void *, const relay_result *result)
{
	static const char *const names[] = {
	    "complete", "refused", "failed", "broken", "timeout", "revoked"};

	play->Note(std::string("end ") + names[result->outcome]);
	play->is_ended = true;
}

struct Step {
	int at_ms;
	/* "grant TARGET", "refuse", "revoke", "event", "cut", "unsent",
	 * "resend", "answer STATUS", "last-start MS" or "give-up". */
	const char *what;
};

struct Relay : ::testing::Test {
	clock_ops time_ops = {PlayTime, PlayTime};
	clock_source clk = {&time_ops, nullptr};
	dialect_ops dialect = {};
	relay_ops ops = {OnHead, OnData, nullptr, nullptr, nullptr, OnEnd};
	Play state;
	struct loop *lp = nullptr;
	struct fleet *fl = fleet_new();
	struct relay *rl = nullptr;
	std::vector<Step> steps;
	/* While it is stopped, the loop runs nothing. */
	int end_ms = kEndMs;
	int stop_ms = kItemEndMs, go_on_ms = kItemEndMs;
	int tick_ms = 0;

	Relay()
	{
		dialect.encode_forward = EncodeForward;
		dialect.decode_response = DecodeResponse;
		for (const char *id : {"a", "b", "c"}) {
			fleet_target t = {};

			g_strlcpy(t.id, id, sizeof(t.id));
			g_strlcpy(t.address, id, sizeof(t.address));
			t.version = 1;
			fleet_apply(fl, &t);
		}
	}

	~Relay() override
	{
		fleet_free(fl);
	}

	relay_options
	Options()
	{
		relay_options opt = {};

		opt.method = "POST";
		opt.uri = "/";
		opt.attempt_id = "r";
		opt.service = "llm";
		opt.attempts_max = 3;
		opt.may_repeat = true;
		opt.is_resumable = true;
		opt.last_event_id = -1;
		opt.stall_timeout_us = 200 * kMs;
		opt.ops = &ops;
		return opt;
	}

	/* @return what the relay did */
	std::string
	Run(const relay_options &options, const std::vector<Step> &script)
	{
		relay_deps deps = {};
		struct target_activity *activity = target_activity_new();

		state = Play();
		play = &state;
		steps = script;
		tick_ms = 0;
		lp = loop_new(&clk);
		deps.lp = lp;
		deps.fleet = fl;
		deps.dialect = &dialect;
		deps.activity = activity;
		relay_options opt = options;
		opt.headers = header_list_new();
		if (opt.answer_deadline_us > 0)
			opt.answer_deadline_us += 1000 * kMs;
		rl = relay_start(&deps, &opt);
		header_list_free((struct header_list *)opt.headers);
		loop_post(lp, Tick, this);
		loop_run(lp);
		if (!state.is_ended)
			relay_cancel(rl);
		target_activity_free(activity);
		loop_free(lp);
		return state.trace;
	}

      private:
	static void
	Tick(void *ctx)
	{
		auto *t = (Relay *)ctx;

		t->tick_ms += kTickMs;
		if (t->tick_ms > t->stop_ms && t->tick_ms < t->go_on_ms)
			t->tick_ms = t->go_on_ms;
		t->state.now_us = t->tick_ms * kMs;
		for (const Step &s : t->steps)
			if (s.at_ms == t->tick_ms && !t->state.is_ended)
				t->Apply(s.what);
		if (t->tick_ms >= t->end_ms || t->state.is_ended)
			loop_stop(t->lp);
		else
			loop_post(t->lp, Tick, t);
	}

	void
	Apply(const std::string &what)
	{
		std::string verb = what.substr(0, what.find(' '));
		std::string arg = what.substr(what.find(' ') + 1);

		if (verb == "grant" || verb == "refuse") {
			if (state.waiting.empty()) {
				state.Note("nothing to " + verb);
				return;
			}
			uint64_t id = state.waiting.back();

			state.waiting.pop_back();
			if (verb == "refuse") {
				state.slot_ops->on_refused(
				    state.relay_ctx, id, kMs);
				return;
			}
			state.held[id] = arg;
			state.slot_ops->on_granted(
			    state.relay_ctx, id, arg.c_str());
		} else if (verb == "revoke") {
			state.slot_ops->on_revoked(
			    state.relay_ctx, state.held.begin()->first);
		} else if (verb == "last-start") {
			relay_limit_start(rl, (1000 + std::stoi(arg)) * kMs);
		} else if (verb == "give-up") {
			relay_give_up(rl);
		} else {
			ApplyTransfer(verb, arg);
		}
	}

	void
	ApplyTransfer(const std::string &verb, const std::string &arg)
	{
		void *ctx = state.relay_ctx;
		int status = verb == "answer" ? std::stoi(arg) : 200;
		std::string event =
		    "id: " + std::to_string(state.next_event) + "\ndata: x\n\n";

		if (verb == "resend") {
			state.is_resent = true;
			return;
		}
		if (verb == "unsent" || verb == "cut") {
			state.sent_to = "";
			state.transfer_ops->on_done(ctx,
			    verb == "cut" ? kOutboundInterrupted
					  : kOutboundNotSent);
			return;
		}
		if (state.head_status == 0) {
			struct header_list *none = header_list_new();

			state.head_status = status;
			EXPECT_TRUE(
			    state.transfer_ops->on_head(ctx, status, none));
			header_list_free(none);
		}
		if (verb == "event") {
			state.next_event++;
			EXPECT_TRUE(state.transfer_ops->on_data(
			    ctx, event.c_str(), event.size()));
			return;
		}
		state.sent_to = "";
		state.transfer_ops->on_done(ctx, kOutboundComplete);
	}
};

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

} // namespace

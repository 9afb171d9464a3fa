#ifndef TEST_RELAY_RELAY_FIXTURE_H
#define TEST_RELAY_RELAY_FIXTURE_H

/*
 * What a relay asks of slots and transfers, in virtual time. This file stands
 * in for both modules, hence a program of its own with one file of tests.
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
	relay_permit permit = kRelayMaySend;
	/* Of the answer; a refusal of more if there is no room. */
	size_t held_bytes = 0;
	bool has_room = true;
	bool (*may_send)(void *ctx) = nullptr;
	/* The last request for a slot; its texts are borrowed. */
	slots_acquire_options asked = {};
	/* What was last recorded of a run. */
	slot_run_times run = {};

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

	play->asked = *request;
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
slots_record_run(struct slots *, uint64_t, const slot_run_times *run)
{
	play->run = *run;
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
	play->may_send = opt->may_send;
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
DecodeResponse(int32_t status, const struct header_list *,
    const dialect_forward *sent, dialect_response *response)
{
	*response = {};
	response->has_matching_attempt = true;
	response->is_signed = true;
	response->is_event_stream = status == 200;
	response->was_not_executed = status == 503;
	response->is_unconfirmed_refusal = status == 429;
	response->attempt_id = sent->attempt_id;
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
	if (result->is_withheld)
		play->Note("withheld");
	play->is_ended = true;
}

relay_permit
MaySend(void *, const char **cause)
{
	*cause = "denied";
	return play->permit;
}

bool
HoldAnswer(void *, size_t bytes)
{
	if (bytes > play->held_bytes && !play->has_room)
		return false;
	play->held_bytes = bytes;
	return true;
}

struct Step {
	int at_ms;
	/* "grant TARGET", "refuse", "revoke", "event", "cut", "unsent",
	 * "resend", "answer STATUS", "last-start MS", "give-up", "withhold",
	 * "never", "later" or "allow": whether it may be sent from now on;
	 * "full": there is no memory for answers from now on; "body": a part
	 * of an answer that is no stream; "drop": it is dropped. */
	const char *what;
};

struct Relay : ::testing::Test {
	clock_ops time_ops = {PlayTime, PlayTime, PlayTime};
	clock_source clk = {&time_ops, nullptr};
	dialect_ops dialect = {};
	relay_ops ops = {OnHead, OnData, nullptr, nullptr, nullptr, OnEnd,
	    MaySend, HoldAnswer};
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
		dialect.strip_credentials = [](struct header_list *) {};
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
		} else if (verb == "full") {
			state.has_room = false;
		} else if (verb == "drop") {
			relay_drop_answer(rl);
		} else if (verb == "give-up") {
			relay_give_up(rl);
		} else if (verb == "never" || verb == "later" ||
		    verb == "allow") {
			state.permit = verb == "never" ? kRelayMustNotSend
			    : verb == "later"	       ? kRelayMaySendLater
						       : kRelayMaySend;
		} else {
			ApplyTransfer(verb, arg);
		}
	}

	void
	ApplyTransfer(const std::string &verb, const std::string &arg)
	{
		void *ctx = state.relay_ctx;
		int status = verb == "answer" ? std::stoi(arg)
		    : verb == "body"	      ? 404
					      : 200;
		std::string event =
		    "id: " + std::to_string(state.next_event) + "\ndata: x\n\n";

		if (verb == "resend") {
			state.is_resent = true;
			return;
		}
		if (verb == "withhold") {
			EXPECT_FALSE(state.may_send(ctx));
			state.sent_to = "";
			state.transfer_ops->on_done(ctx, kOutboundWithheld);
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
		if (verb == "body") {
			std::string part(1000, 'x');

			if (state.transfer_ops->on_data(
				ctx, part.c_str(), part.size()))
				return;
			state.sent_to = "";
			state.transfer_ops->on_done(ctx, kOutboundRefused);
			return;
		}
		state.sent_to = "";
		state.transfer_ops->on_done(ctx, kOutboundComplete);
	}
};

} // namespace

#endif

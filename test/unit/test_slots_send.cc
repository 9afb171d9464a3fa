/* What goes to an arbiter with a request and with a release. */
#include <string>
#include <vector>

#include "unit/daemon_fixture.h"

extern "C" {
#include "gateway/prompt_keys.h"
#include "gateway/slots_internal.h"
}

namespace
{

/* Packed, as the sender's message is gone after the call. */
struct Sent {
	std::vector<std::string> messages;
};

void
Send(void *ctx, const char *, Sfpeer__Envelope *env)
{
	std::string packed(sfpeer__envelope__get_packed_size(env), '\0');

	sfpeer__envelope__pack(env, (uint8_t *)packed.data());
	((Sent *)ctx)->messages.push_back(packed);
}

void
Connect(void *, const char *)
{
}

const slots_wire_ops wire_ops = {Send, Connect, Connect};

void
OnGranted(void *, uint64_t, const char *)
{
}

void
OnRefused(void *, uint64_t, int64_t)
{
}

void
OnRevoked(void *, uint64_t)
{
}

const slots_ops callbacks = {OnGranted, OnRefused, OnRevoked};

/* A daemon with eight daemons beside it, one of which arbitrates. */
struct SlotsSend : DaemonFixture {
	Sent sent;
	struct fleet *fl = fleet_new();
	struct slots *sl;

	SlotsSend()
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
		    lp, ro, fl, "d0", "dc0", 7, &wire_ops, &sent};
		sl = slots_new(&sopt);
		slots_targets_changed(sl);
	}

	~SlotsSend() override
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

	uint64_t
	Acquire(const slot_parts &parts, slots_acquire_options req = {})
	{

		req.service = "llm";
		req.deadline_us = 9 * kSec;
		req.parts = parts;
		return slots_acquire(sl, &req, &callbacks, nullptr);
	}

	Sfpeer__Envelope *
	Last()
	{
		const std::string &text = sent.messages.back();

		return sfpeer__envelope__unpack(
		    nullptr, text.size(), (const uint8_t *)text.data());
	}
};

TEST_F(SlotsSend, PartsGoWithTheRequestAndTimesWithTheRelease)
{
	slot_parts parts = {2, {11, 12}, {800, 410}};
	slot_run_times run = {40000, 3000, 50};
	uint64_t id = Acquire(parts);
	Sfpeer__Envelope *env = Last();

	ASSERT_EQ(1u, env->n_slot_asks);
	ASSERT_EQ(2u, env->slot_asks[0]->n_part_keys);
	ASSERT_EQ(2u, env->slot_asks[0]->n_part_tokens);
	EXPECT_EQ(12u, env->slot_asks[0]->part_keys[1]);
	EXPECT_EQ(410u, env->slot_asks[0]->part_tokens[1]);
	sfpeer__envelope__free_unpacked(env, nullptr);
	slots_record_run(sl, id, &run);
	slots_release(sl, id, kSlotServed);
	env = Last();
	ASSERT_EQ(1u, env->n_slot_notes);
	EXPECT_EQ(40000u, env->slot_notes[0]->first_event_us);
	EXPECT_EQ(3000u, env->slot_notes[0]->pace_us);
	EXPECT_EQ(50u, env->slot_notes[0]->events);
	sfpeer__envelope__free_unpacked(env, nullptr);
}

/* All requests would be queued as one team's; items have no place in that. */
TEST_F(SlotsSend, TheTeamGoesWithAnOnlineRequestWhereThereAreTeams)
{
	const struct {
		const char *team;
		bool has_teams, is_batch;
		bool has_id;
		uint32_t weight, priority;
	} cases[] = {
	    {"blue", true, false, true, 1500, 2},
	    {"", true, false, true, 1500, 2},
	    {nullptr, true, false, true, 1500, 2},
	    {"", false, false, false, 0, 0},
	    {"blue", true, true, false, 0, 0},
	};
	std::vector<uint64_t> ids;

	for (const auto &c : cases) {
		slots_acquire_options req = {};

		req.team = c.team;
		req.has_teams = c.has_teams;
		req.is_batch = c.is_batch;
		req.weight = 1500;
		req.priority = 2;
		Acquire({}, req);
		Sfpeer__Envelope *env = Last();
		EXPECT_EQ(c.has_id, env->slot_asks[0]->team != 0);
		EXPECT_EQ(c.weight, env->slot_asks[0]->weight);
		EXPECT_EQ(c.priority, env->slot_asks[0]->priority);
		ids.push_back(env->slot_asks[0]->team);
		sfpeer__envelope__free_unpacked(env, nullptr);
	}
	EXPECT_NE(ids[0], ids[1]) << "without a team is another one";
	EXPECT_EQ(ids[1], ids[2]);
}

/* The daemon would refuse a request for the queue of another team. */
TEST_F(SlotsSend, ALongQueueIsLeftToTheArbiterWhereThereAreTeams)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__PoolLoad load = SFPEER__POOL_LOAD__INIT;
	Sfpeer__PoolLoad *loads[] = {&load};
	char from[] = "d1", service[] = "llm", center[] = "dc1";
	slots_acquire_options req = {};

	env.from = from;
	env.n_pool_loads = 1;
	env.pool_loads = loads;
	load.service = service;
	load.data_center = center;
	load.slots = load.online = 8;
	load.online_queued = 1000;
	load.hold_us = 500000;
	slots_on_envelope(sl, &env);
	size_t before = sent.messages.size();
	Acquire({}, req);
	EXPECT_EQ(before, sent.messages.size()) << "refused here";
	req.team = "blue";
	req.has_teams = true;
	Acquire({}, req);
	EXPECT_EQ(before + 1, sent.messages.size());
	load.slots = 0;
	slots_on_envelope(sl, &env);
	before = sent.messages.size();
	Acquire({}, req);
	EXPECT_EQ(before + 1, sent.messages.size())
	    << "as without teams: tried as a last resort";
}

/* Messages of a daemon that has nothing new to tell would grow. */
TEST_F(SlotsSend, AMessageWithoutNewsIsAsBefore)
{
	uint64_t id = Acquire({});
	Sfpeer__Envelope *env = Last();

	EXPECT_EQ(0u, env->slot_asks[0]->n_part_keys);
	EXPECT_EQ(0u, env->slot_asks[0]->n_part_tokens);
	sfpeer__envelope__free_unpacked(env, nullptr);
	slots_release(sl, id, kSlotNeutral);
	env = Last();
	EXPECT_EQ(0u, env->slot_notes[0]->pace_us);
	EXPECT_EQ(0u, env->slot_notes[0]->events);
	sfpeer__envelope__free_unpacked(env, nullptr);
}

/* A peer's message may hold anything. */
TEST_F(SlotsSend, WhatAPeerSaysIsBounded)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__SlotAsk ask = SFPEER__SLOT_ASK__INIT;
	Sfpeer__SlotAsk *asks[] = {&ask};
	Sfpeer__SlotNote note = SFPEER__SLOT_NOTE__INIT;
	Sfpeer__SlotNote *notes[] = {&note};
	std::vector<uint64_t> keys(40, 5);
	std::vector<uint32_t> tokens(39, UINT32_MAX);
	char from[] = "d1", service[] = "llm", center[] = "dc1";

	env.from = from;
	env.n_slot_asks = 1;
	env.slot_asks = asks;
	ask.id = note.id = 99;
	ask.service = note.service = service;
	ask.data_center = note.data_center = center;
	ask.left_us = 9 * kSec;
	ask.n_part_keys = keys.size();
	ask.part_keys = keys.data();
	ask.n_part_tokens = tokens.size();
	ask.part_tokens = tokens.data();
	note.pace_us = note.first_event_us = UINT64_MAX;
	note.events = UINT32_MAX;
	slots_on_envelope(sl, &env);
	ASSERT_NE(nullptr, slots_hosted_find(sl, "llm", "dc1"));
	env.n_slot_asks = 0;
	env.n_slot_notes = 1;
	env.slot_notes = notes;
	slots_on_envelope(sl, &env);
	EXPECT_EQ(0,
	    slotpool_load_get(slots_hosted_find(sl, "llm", "dc1")->pool, 0)
		.online);
}

/* A part that follows another beginning is not kept for this one. */
TEST(PromptKeys, EachKeyStandsForItsPartAndAllBefore)
{
	prompt_parts one = {{1, 2, 3}, {10, 20, 30}, 3};
	prompt_parts two = {{1, 9, 3}, {10, 20, 30}, 3};
	prompt_parts many = {{1, 2, 3, 4, 5, 6}, {1, 1, 1, 1, 1, 1}, 6};
	prompt_parts none = {{}, {}, 0};
	slot_parts a = prompt_keys(&one);
	slot_parts b = prompt_keys(&two);

	ASSERT_EQ(3, a.count);
	EXPECT_EQ(20, a.tokens[1]);
	EXPECT_EQ(a.keys[0], b.keys[0]);
	EXPECT_NE(a.keys[1], b.keys[1]);
	EXPECT_NE(a.keys[2], b.keys[2]);
	EXPECT_EQ(4, prompt_keys(&many).count);
	EXPECT_EQ(0, prompt_keys(&none).count);
}

} // namespace

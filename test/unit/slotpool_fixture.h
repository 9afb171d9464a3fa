#ifndef TEST_UNIT_SLOTPOOL_FIXTURE_H
#define TEST_UNIT_SLOTPOOL_FIXTURE_H

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

extern "C" {
#include "savoryflow/slotpool/slotpool.h"
}

/* A pool in virtual time. */
struct SlotpoolFixture : ::testing::Test {
	static constexpr int64_t kMs = 1000;
	static constexpr int64_t kSec = 1000 * kMs;

	struct slotpool *sp = slotpool_new();
	GArray *out = slotpool_actions_new();
	std::vector<fleet_target> targets;
	int64_t now = 0;

	~SlotpoolFixture() override
	{
		slotpool_free(sp);
		g_array_unref(out);
	}

	void
	Targets(const std::map<std::string, int> &slots)
	{
		GPtrArray *list = g_ptr_array_new();

		targets.clear();
		for (auto &s : slots) {
			fleet_target t = {};

			g_strlcpy(t.id, s.first.c_str(), sizeof(t.id));
			t.slots = s.second;
			targets.push_back(t);
		}
		for (auto &t : targets)
			g_ptr_array_add(list, &t);
		slotpool_set_targets(sp, list, now, out);
		g_ptr_array_unref(list);
	}

	static slot_request
	Request(uint64_t id, bool is_batch, int64_t deadline, uint32_t holder)
	{
		slot_request req = {};

		req.id = id;
		req.holder = holder;
		req.is_batch = is_batch;
		req.deadline_us = deadline;
		return req;
	}

	/* Actions since the last call, by request id. */
	std::map<uint64_t, slotpool_action>
	TakeActions()
	{
		std::map<uint64_t, slotpool_action> all;

		for (guint i = 0; i < out->len; i++) {
			auto &act = g_array_index(out, slotpool_action, i);

			all[act.id] = act;
		}
		g_array_set_size(out, 0);
		return all;
	}

	std::map<uint64_t, slotpool_action>
	Online(uint64_t id, int64_t remaining = 200 * kMs, uint32_t holder = 1)
	{
		slot_request req = Request(id, false, now + remaining, holder);

		slotpool_request(sp, &req, now, out);
		return TakeActions();
	}

	std::map<uint64_t, slotpool_action>
	Batch(uint64_t id, int64_t due = 10 * kSec, uint32_t holder = 1)
	{
		slot_request req = Request(id, true, due, holder);

		slotpool_request(sp, &req, now, out);
		return TakeActions();
	}

	/* An item with an expected run time. */
	std::map<uint64_t, slotpool_action>
	BatchWithRunTime(uint64_t id, int64_t due, int64_t run_us)
	{
		slot_request req = Request(id, true, due, 1);

		req.expected_run_us = run_us;
		slotpool_request(sp, &req, now, out);
		return TakeActions();
	}

	/* An online request that is served at once. */
	std::string
	Served(uint64_t id, uint32_t holder)
	{
		std::string target = Online(id, 200 * kMs, holder)[id].target;

		Release(id);
		return target;
	}

	std::map<uint64_t, slotpool_action>
	Release(uint64_t id, slot_outcome outcome = kSlotServed)
	{
		slotpool_release(sp, id, outcome, now, out);
		return TakeActions();
	}
};

#endif

/*
 * Property tests of batch jobs, intents, configuration and the arbiter: random
 * steps of several daemons and operators against a store that may fail, or lose
 * requests or answers, at any step. The seed is fixed, so that runs are
 * reproducible.
 */
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <map>
#include <set>
#include <string>
#include <vector>

extern "C" {
#include "error/error.h"
#include "savoryflow/arbiter/arbiter.h"
#include "savoryflow/batch/batch_session.h"
#include "savoryflow/batch/batch_store.h"
#include "savoryflow/call/intent_store.h"
#include "savoryflow/config/config_store.h"
#include "standin/memstore.h"
}
#include "unit/fixtures.h"

namespace
{

const int kFixedSeed =
    setenv("RC_PARAMS", "seed=20261204 max_success=300 max_size=200", 0);

struct Step {
	int kind;
	int actor;
	int index;
	int fault;
};

std::vector<Step>
DrawSteps(int kinds)
{
	auto step = rc::gen::build<Step>(
	    rc::gen::set(&Step::kind, rc::gen::inRange(0, kinds)),
	    rc::gen::set(&Step::actor, rc::gen::inRange(0, 3)),
	    rc::gen::set(&Step::index, rc::gen::inRange(0, 4)),
	    rc::gen::set(&Step::fault, rc::gen::inRange(0, 12)));

	return *rc::gen::container<std::vector<Step>>(step);
}

/* Values 0 to 5 inject a fault, the others none. */
void
SetFault(struct memstore *ms, int fault)
{
	struct memstore_faults f = {
	    fault == 0, fault == 1 || fault == 4, fault == 2 || fault == 4};

	if (fault == 3)
		f.lose_requests = 9;
	if (fault == 5)
		f.lose_answers = 9;
	memstore_set_faults(ms, &f);
}

struct BatchModel {
	static const int kChunks = 4;
	struct memstore *ms = memstore_new();
	struct store *store = memstore_store(ms);
	struct batch_job job = {};
	struct batch_session sessions[3] = {};
	int starts = 0;
	int claims = 0;
	/* Claims that each daemon believes it holds, by chunk. */
	std::map<int, std::pair<std::string, std::string>> held[3];
	/* Claim whose commit was acknowledged, by chunk. */
	std::map<int, std::string> committed;
	std::set<int> done_at_cancel;
	std::vector<std::string> all_sessions;
	bool cancelled = false;

	BatchModel()
	{
		job.team = (char *)"t";
		job.id = (char *)"j";
		job.service = (char *)"s";
		job.upload = (char *)"u";
		job.digest = (char *)"d";
		job.items = kChunks;
		job.chunk_items = 1;
		batch_submit(store, &job);
	}

	~BatchModel()
	{
		for (auto &s : sessions)
			batch_session_clear(&s);
		memstore_free(ms);
	}

	std::set<int>
	DoneNow()
	{
		GPtrArray *chunks = nullptr;
		std::set<int> done;

		SetFault(ms, -1);
		batch_chunks(store, &job, &chunks);
		for (guint i = 0; i < chunks->len; i++) {
			auto *c = (batch_chunk *)chunks->pdata[i];

			if (c->state != kChunkDone)
				continue;
			done.insert((int)i);
			/* An acknowledged result must be the stored one. */
			if (committed.count((int)i))
				RC_ASSERT(committed[(int)i] == c->claim);
		}
		g_ptr_array_unref(chunks);
		return done;
	}

	void
	StartSession(int actor)
	{
		std::string id = "d" + std::to_string(actor) + "." +
		    std::to_string(++starts);

		all_sessions.push_back(id);
		batch_session_clear(&sessions[actor]);
		if (batch_session_start(store, id.c_str(), &sessions[actor]) !=
		    kStoreOk)
			batch_session_clear(&sessions[actor]);
	}

	void
	Claim(int actor, int n)
	{
		GPtrArray *chunks = nullptr;
		std::string claim = "c" + std::to_string(++claims);

		if (batch_chunks(store, &job, &chunks) != kStoreOk)
			return;
		if (batch_claim(store, &sessions[actor], &job,
			(batch_chunk *)chunks->pdata[n],
			claim.c_str()) == kStoreOk)
			held[actor][n] = {claim, sessions[actor].id};
		g_ptr_array_unref(chunks);
	}

	/* The daemon may be stale: it uses the session of its claim. */
	void
	Commit(int actor, int n)
	{
		if (held[actor].count(n) == 0)
			return;
		auto mine = held[actor][n];
		struct batch_session s = {(char *)mine.second.c_str(), 0};
		struct batch_results r = {n, mine.first.c_str(), "x", 1, 1, 0};

		if (batch_commit(store, &s, &job, &r) != kStoreOk)
			return;
		RC_ASSERT(
		    committed.count(n) == 0 || committed[n] == mine.first);
		committed[n] = mine.first;
	}

	/* An observer ends a session, even one with a recent heartbeat. */
	void
	EndSession(const char *id)
	{
		bool live;
		int64_t version;

		if (id != nullptr &&
		    batch_session_read(store, id, &live, &version) == kStoreOk)
			batch_session_end(store, id, version);
	}

	bool
	JobRuns()
	{
		struct batch_job *row = nullptr;
		bool runs = batch_get_job(store, "t", "j", &row) == kStoreOk &&
		    row->state == kJobRunning;

		batch_job_free(row);
		return runs;
	}

	void
	Cancel()
	{
		if (batch_cancel(store, "t", "j") == kStoreOk && !cancelled) {
			cancelled = true;
			done_at_cancel = DoneNow();
		}
	}

	void
	Do(const Step &st)
	{
		bool done;

		SetFault(ms, st.fault);
		if (st.kind == 0 || sessions[st.actor].id == nullptr)
			StartSession(st.actor);
		else if (st.kind <= 3)
			Claim(st.actor, st.index);
		else if (st.kind <= 6)
			Commit(st.actor, st.index);
		else if (st.kind == 7)
			batch_session_heartbeat(store, &sessions[st.actor]);
		else if (st.kind == 8)
			EndSession(sessions[st.actor].id);
		else if (st.kind == 9 && st.index == 0)
			Cancel();
		else
			batch_finish(store, &job, &done);
	}
};

TEST(Property, BatchChunksAreCommittedOnceDespiteFaults)
{
	EXPECT_TRUE(rc::check([] {
		BatchModel m;
		std::set<int> done;

		for (const auto &st : DrawSteps(11)) {
			m.Do(st);
			auto now = m.DoneNow();
			RC_ASSERT(std::includes(
			    now.begin(), now.end(), done.begin(), done.end()));
			done = now;
			if (m.cancelled)
				RC_ASSERT(now == m.done_at_cancel);
		}
		SetFault(m.ms, -1);
		/* A cancellation without an answer may have taken effect. */
		if (!m.JobRuns())
			return;
		/* Without faults, a new daemon completes the rest. */
		for (auto &id : m.all_sessions)
			m.EndSession(id.c_str());
		m.StartSession(0);
		m.held[0].clear();
		for (int n = 0; n < BatchModel::kChunks; n++) {
			m.Claim(0, n);
			m.Commit(0, n);
		}
		RC_ASSERT(m.DoneNow().size() == (size_t)BatchModel::kChunks);
	}));
}

TEST(Property, KeyedCallRunsAtMostOnceDespiteFaults)
{
	EXPECT_TRUE(rc::check([] {
		struct memstore *ms = memstore_new();
		struct store *store = memstore_store(ms);
		std::map<int, int> runs;
		int attempts = 0;

		for (const auto &st : DrawSteps(2)) {
			struct intent in[2] = {};
			GPtrArray *list = g_ptr_array_new();
			int n = st.kind + 1;

			SetFault(ms, st.fault);
			for (int i = 0; i < n; i++) {
				int key = (st.index + i) % 4;

				in[i].team = g_strdup("t");
				in[i].key = g_strdup_printf("%d", key);
				in[i].digest = g_strdup("d");
				in[i].daemon = g_strdup("x/1");
				in[i].attempt =
				    g_strdup_printf("%d", ++attempts);
				g_ptr_array_add(list, &in[i]);
			}
			intent_begin_all(store, list);
			for (int i = 0; i < n; i++) {
				int key = (st.index + i) % 4;

				if (in[i].state == kIntentAcquired)
					runs[key]++;
				RC_ASSERT(runs[key] <= 1);
				intent_clear(&in[i]);
			}
			g_ptr_array_unref(list);
		}
		memstore_free(ms);
	}));
}

TEST(Property, ConfigurationNeverRevertsAndHasOneWinner)
{
	EXPECT_TRUE(rc::check([] {
		struct memstore *ms = memstore_new();
		struct store *store = memstore_store(ms);
		struct config_holder *daemons[3];
		std::map<int64_t, std::string> digest_of;
		std::set<int64_t> acknowledged;
		int submissions = 0;

		for (auto &d : daemons)
			d = config_holder_new();
		for (const auto &st : DrawSteps(2)) {
			struct config_holder *d = daemons[st.actor];
			int64_t before = config_holder_generation(d);

			SetFault(ms, st.fault);
			if (st.kind == 0) {
				config_store_catch_up(store, d, nullptr);
			} else {
				int n = ++submissions;
				json_t *doc = SmallDocument(1 + n % 900);
				struct config_submission sub = {
				    doc, before, "op", n};
				struct config *cfg =
				    config_store_submit(store, &sub, nullptr);

				if (cfg != nullptr) {
					RC_ASSERT(
					    acknowledged.insert(cfg->generation)
						.second);
					config_holder_offer(d, cfg);
				}
				config_unref(cfg);
				json_decref(doc);
			}
			RC_ASSERT(config_holder_generation(d) >= before);
			struct config *now = config_holder_get(d);
			if (now != nullptr) {
				auto &digest = digest_of[now->generation];

				RC_ASSERT(
				    digest.empty() || digest == now->digest);
				digest = now->digest;
			}
			config_unref(now);
		}
		SetFault(ms, -1);
		for (auto &d : daemons) {
			config_store_catch_up(store, d, nullptr);
			if (!acknowledged.empty())
				RC_ASSERT(config_holder_generation(d) >=
				    *acknowledged.rbegin());
			config_holder_free(d);
		}
		memstore_free(ms);
	}));
}

TEST(Property, ArbiterKeepsSlotLimitAndPriority)
{
	EXPECT_TRUE(rc::check([] {
		struct arbiter_options opt = {};
		std::map<uint64_t, work_class> running;
		std::map<uint64_t, work_class> waiting;
		std::set<uint64_t> revoked;
		uint64_t last_id = 0;
		int64_t now = 1000000;

		opt.cost = {15000, 150, 25000, 512, 8};
		opt.tail_budget_us = 500000;
		opt.token_interval_us = 63000;
		opt.online_queue_max = 100;
		opt.batch_queue_max = 100;
		opt.grant_lease_us = INT64_MAX / 4;
		struct arbiter *arb = arbiter_new(&opt);
		for (const auto &st : DrawSteps(5)) {
			GArray *out = arbiter_actions_new();

			now += st.fault * 3000;
			if (st.kind <= 1) {
				struct admission_request req = {};

				req.id = ++last_id;
				req.holder = (uint32_t)st.actor;
				req.work_class =
				    st.kind == 0 ? kWorkOnline : kWorkBatch;
				req.prompt_tokens = 100 + 50 * st.index;
				req.deadline_us = INT64_MAX / 4;
				req.weight = 1 + st.index;
				req.team = (uint64_t)st.index;
				req.due_us = INT64_MAX / 2;
				waiting[req.id] = req.work_class;
				arbiter_request(arb, &req, now, out);
			} else if (st.kind == 2 && !running.empty()) {
				arbiter_first_token(
				    arb, running.begin()->first, now, out);
			} else if (st.kind == 3 && !running.empty()) {
				uint64_t id = running.begin()->first;

				running.erase(id);
				revoked.erase(id);
				arbiter_release(arb, id, now, out);
			} else {
				arbiter_tick(arb, now, out);
			}
			for (guint i = 0; i < out->len; i++) {
				auto act =
				    g_array_index(out, arbiter_action, i);

				if (act.verdict == kArbiterRevoked) {
					RC_ASSERT(
					    running.at(act.id) == kWorkBatch);
					RC_ASSERT(
					    revoked.insert(act.id).second);
					continue;
				}
				RC_ASSERT(waiting.count(act.id) == 1);
				if (act.verdict == kArbiterGranted) {
					if (waiting[act.id] == kWorkBatch)
						for (auto &w : waiting)
							RC_ASSERT(w.second ==
							    kWorkBatch);
					running[act.id] = waiting[act.id];
				}
				waiting.erase(act.id);
			}
			g_array_unref(out);
			/* Only revoked slots may exceed the limit. */
			RC_ASSERT(running.size() - revoked.size() <=
			    (size_t)arbiter_capacity(arb));
		}
		arbiter_free(arb);
	}));
}

} // namespace

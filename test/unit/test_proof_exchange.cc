/* Questions to peers whether the configuration is the newest, and answers. */
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

extern "C" {
#include "gateway/freshness/proof_exchange.h"
}

namespace
{

const int64_t kMs = 1000;
const int64_t kSec = 1000 * kMs;
const int64_t kBoundUs = 5 * kSec;
const int kDaemons = 12, kCentres = 3;

struct ProofExchange : ::testing::Test {
	struct Question {
		std::string to;
		uint64_t id;
	};
	int64_t now_us = 100 * kSec;
	clock_ops ops = {Now, Now, Now};
	clock_source clk = {&ops, this};
	slots_wire_ops wire = {Send, nullptr, nullptr};
	struct loop *lp = loop_new(&clk);
	struct roster *ro;
	struct proof_exchange *px;
	std::vector<Question> questions;
	std::string answer;
	std::set<std::string> fetched;
	int reads = 0;

	ProofExchange()
	{
		roster_options opt = {Row(0), 3600 * kSec, kSec};
		proof_exchange_options popt = {};

		ro = roster_new(&opt);
		AddPeers();
		popt.lp = lp;
		popt.clk = &clk;
		popt.bound_us = kBoundUs;
		popt.roster = ro;
		popt.data_center = "dc0";
		popt.wire = &wire;
		popt.wire_ctx = this;
		popt.read = [](void *ctx) { ((ProofExchange *)ctx)->reads++; };
		popt.fetch = [](void *ctx, const char *peer) {
			((ProofExchange *)ctx)->fetched.insert(peer);
		};
		popt.ctx = this;
		px = proof_exchange_new(&popt);
	}

	~ProofExchange() override
	{
		proof_exchange_free(px);
		roster_free(ro);
		loop_free(lp);
	}

	static timespec
	Now(void *ctx)
	{
		int64_t us = ((ProofExchange *)ctx)->now_us;

		return {(time_t)(us / kSec), (long)(us % kSec * 1000)};
	}

	static void
	Send(void *ctx, const char *to, Sfpeer__Envelope *env)
	{
		auto *t = (ProofExchange *)ctx;

		if (env->proof_ask != nullptr)
			t->questions.push_back({to, env->proof_ask->id});
		if (env->proof != nullptr)
			t->answer = std::string(to) + " " +
			    std::to_string(env->proof->id) + " " +
			    std::to_string(env->proof->age_us) + " " +
			    std::to_string(env->proof->version);
	}

	static roster_row
	Row(int i)
	{
		roster_row row = {};

		g_snprintf(row.address, sizeof(row.address), "d%d", i);
		g_snprintf(row.session, sizeof(row.session), "s%d", i);
		g_snprintf(row.data_center, sizeof(row.data_center), "dc%d",
		    i % kCentres);
		row.version = i + 1;
		return row;
	}

	void
	AddPeers()
	{
		GArray *rows = g_array_new(FALSE, TRUE, sizeof(roster_row));
		roster_changes changes = {
		    g_ptr_array_new_with_free_func(g_free),
		    g_ptr_array_new_with_free_func(g_free)};

		for (int i = 1; i < kDaemons; i++) {
			roster_row row = Row(i);

			g_array_append_val(rows, row);
		}
		roster_apply_rows(ro, rows, now_us, &changes);
		g_array_unref(rows);
		g_ptr_array_unref(changes.joined);
		g_ptr_array_unref(changes.removed);
	}

	/* The store rejects this daemon: its reads fail. */
	void
	TickRejected(int64_t span_us)
	{
		for (int64_t end_us = now_us + span_us; now_us < end_us;
		     now_us += 100 * kMs) {
			int before = reads;

			proof_exchange_tick(px);
			if (reads > before)
				proof_exchange_on_read(px, false);
		}
	}

	void
	Answer(uint64_t id, int64_t age_us, int64_t version)
	{
		Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
		Sfpeer__Proof proof = SFPEER__PROOF__INIT;

		env.from = (char *)"d3";
		proof.id = id;
		proof.age_us = (uint64_t)age_us;
		proof.version = (uint64_t)version;
		env.proof = &proof;
		proof_exchange_on_envelope(px, &env);
	}
};

/* Guards against a data centre that is cut off as a whole and asks only itself,
 * and against questions of a daemon that reaches the store. */
TEST_F(ProofExchange, PeersOfAllDataCentresAreAsked)
{
	std::set<std::string> near, all;

	proof_exchange_on_routes(px, 7);
	proof_exchange_on_proof(px, now_us, 7);
	for (int i = 0; i < 40; i++, now_us += 100 * kMs) {
		proof_exchange_on_proof(px, now_us - 800 * kMs, 7);
		proof_exchange_tick(px);
	}
	EXPECT_EQ(0, reads);
	EXPECT_EQ(0U, questions.size());
	TickRejected(6 * kSec);
	for (const auto &q : questions) {
		all.insert(q.to);
		if ((q.to[1] - '0') % kCentres == 0 && q.to.size() == 2)
			near.insert(q.to);
	}
	EXPECT_EQ((std::set<std::string>{"d3", "d6", "d9"}), near);
	EXPECT_GT(all.size(), 6U);
	EXPECT_LT(questions.size(), 80U);
}

/* Guards against proofs that become younger while their message waits, and
 * against answers to nobody's question. */
TEST_F(ProofExchange, AnAnswerCountsFromItsQuestion)
{
	const struct {
		const char *name;
		bool is_known;
		int64_t wait_us, age_us, version;
		bool is_admitted, is_fetched;
	} cases[] = {
	    {"at once", true, 20 * kMs, kSec, 7, true, false},
	    {"the daemon was stopped", true, 5 * kSec, kSec, 7, false, false},
	    {"too old", true, 20 * kMs, 4800 * kMs, 7, false, false},
	    {"unasked", false, 20 * kMs, kSec, 7, false, false},
	    {"a newer version", true, 20 * kMs, kSec, 9, false, true},
	};

	proof_exchange_on_routes(px, 7);
	for (const auto &c : cases) {
		questions.clear();
		fetched.clear();
		now_us += 20 * kSec;
		TickRejected(300 * kMs);
		ASSERT_FALSE(questions.empty()) << c.name;
		EXPECT_FALSE(proof_exchange_admits(px)) << c.name;
		now_us += c.wait_us;
		Answer(
		    c.is_known ? questions.back().id : questions.back().id + 1,
		    c.age_us, c.version);
		EXPECT_EQ(c.is_admitted, proof_exchange_admits(px)) << c.name;
		EXPECT_EQ(c.is_fetched, fetched.count("d3") > 0) << c.name;
	}
	proof_exchange_on_routes(px, 9);
	EXPECT_TRUE(proof_exchange_admits(px)) << "once it is fetched";
}

/* Guards against answers that hide the age of a proof or its version,
 * and against answers without a usable proof. */
TEST_F(ProofExchange, AQuestionIsAnsweredWithTheAgeOfTheProof)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	Sfpeer__ProofAsk ask = SFPEER__PROOF_ASK__INIT;

	env.from = (char *)"d5";
	ask.id = 77;
	env.proof_ask = &ask;
	proof_exchange_on_envelope(px, &env);
	EXPECT_EQ("", answer) << "no proof";
	proof_exchange_on_routes(px, 7);
	proof_exchange_on_proof(px, now_us - kSec, 6);
	proof_exchange_on_envelope(px, &env);
	EXPECT_EQ("d5 77 1000000 6", answer);
	answer = "";
	now_us += 4 * kSec;
	proof_exchange_on_envelope(px, &env);
	EXPECT_EQ("", answer) << "too old";
}

} // namespace

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

extern "C" {
#include "gateway/quota.h"
}

namespace
{

const int64_t kSec = 1000000;

timespec
FakeNow(void *ctx)
{
	return {1, 0};
}

const clock_ops fake_clock = {FakeNow, FakeNow};

/* The last ask, and whom it went to. */
struct Ask {
	std::string to;
	uint64_t id = 0;
	int count = 0;
};

void
Send(void *ctx, const char *to, Sfpeer__Envelope *env)
{
	Ask *ask = (Ask *)ctx;

	if (env->n_quota_asks == 0)
		return;
	ask->to = to;
	ask->id = env->quota_asks[0]->id;
	ask->count++;
}

void
Connect(void *ctx, const char *to)
{
}

const slots_wire_ops wire_ops = {Send, Connect, Connect};

/* A daemon with so little capacity that others count. */
struct QuotaAnswers : ::testing::Test {
	Ask ask;
	std::string outcome = "waits";
	struct clock_source clk = {&fake_clock, nullptr};
	struct loop *lp = loop_new(&clk);
	struct roster *ro;
	struct quota *qt;
	std::vector<std::function<void()>> steps;
	size_t step = 0;

	QuotaAnswers()
	{
		roster_options opt = {Row(0), 60 * kSec, kSec};
		GArray *rows = g_array_new(FALSE, TRUE, sizeof(roster_row));
		roster_changes changes = {
		    g_ptr_array_new_with_free_func(g_free),
		    g_ptr_array_new_with_free_func(g_free)};

		ro = roster_new(&opt);
		for (int i = 1; i < 4; i++) {
			roster_row row = Row(i);

			g_array_append_val(rows, row);
		}
		roster_apply_rows(ro, rows, kSec, &changes);
		g_array_unref(rows);
		g_ptr_array_unref(changes.joined);
		g_ptr_array_unref(changes.removed);
		quota_options qopt = {};
		qopt.lp = lp;
		qopt.roster = ro;
		qopt.address = "d0";
		qopt.session = "s0";
		qopt.wire = &wire_ops;
		qopt.wire_ctx = &ask;
		qt = quota_new(&qopt);
	}

	~QuotaAnswers()
	{
		quota_free(qt);
		roster_free(ro);
		loop_free(lp);
	}

	static roster_row
	Row(int i)
	{
		roster_row row = {};

		g_snprintf(row.address, sizeof(row.address), "d%d", i);
		g_snprintf(row.session, sizeof(row.session), "s%d", i);
		g_strlcpy(row.data_center, "dc", sizeof(row.data_center));
		g_strlcpy(row.region, "r", sizeof(row.region));
		row.version = i + 1;
		row.cpu_millicores = i > 0 ? 1000 : 10;
		return row;
	}

	static void
	OnAnswer(void *ctx, const struct quota_answer *answer)
	{
		*(std::string *)ctx =
		    "verdict " + std::to_string(answer->verdict);
	}

	void
	Reserve()
	{
		quota_request req = {};

		req.route = "route";
		req.job = "job";
		req.tokens = 5;
		req.limit = 10;
		outcome = "waits";
		quota_reserve(qt, &req, OnAnswer, &outcome);
	}

	void
	Answer(const std::string &from, quota_verdict verdict)
	{
		Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
		Sfpeer__QuotaAnswer wire = SFPEER__QUOTA_ANSWER__INIT;
		Sfpeer__QuotaAnswer *list[] = {&wire};

		wire.id = ask.id;
		wire.verdict = verdict;
		env.from = (char *)from.c_str();
		env.n_quota_answers = 1;
		env.quota_answers = list;
		quota_on_envelope(qt, &env);
	}

	/* One step in each iteration of the loop: asks are sent in the next. */
	static void
	NextStep(void *ctx)
	{
		auto *t = (QuotaAnswers *)ctx;

		if (t->step == t->steps.size()) {
			loop_stop(t->lp);
			return;
		}
		t->steps[t->step++]();
		loop_post(t->lp, NextStep, t);
	}
};

/* One that was asked before and took too long, for example. */
TEST_F(QuotaAnswers, AnAnswerOfAnotherCounterDecidesNothing)
{
	for (quota_verdict v :
	    {kQuotaGranted, kQuotaRefused, kQuotaUnavailable}) {
		steps.push_back([&] { Reserve(); });
		steps.push_back([&, v] {
			std::string counter = ask.to;
			int asks = ask.count;

			ASSERT_NE("", counter);
			Answer(counter == "d1" ? "d2" : "d1", v);
			EXPECT_EQ("waits", outcome) << v;
			EXPECT_EQ(asks, ask.count)
			    << "asks no other one: " << v;
			Answer(counter, kQuotaGranted);
			EXPECT_EQ("verdict 1", outcome) << v;
		});
	}
	loop_post(lp, NextStep, this);
	loop_run(lp);
}

} // namespace

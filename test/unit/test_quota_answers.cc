#include <string>

#include "unit/daemon_fixture.h"

extern "C" {
#include "gateway/quota.h"
}

namespace
{

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
struct QuotaAnswers : DaemonFixture {
	Ask ask;
	std::string outcome = "waits";
	struct quota *qt;
	QuotaAnswers()
	{
		MakeRoster(Row);
		quota_options qopt = {};
		qopt.lp = lp;
		qopt.roster = ro;
		qopt.address = "d0";
		qopt.session = "s0";
		qopt.wire = &wire_ops;
		qopt.wire_ctx = &ask;
		qt = quota_new(&qopt);
	}

	~QuotaAnswers() override
	{
		quota_free(qt);
	}

	static roster_row
	Row(int i)
	{
		roster_row row = BaseRow(i);

		g_strlcpy(row.data_center, "dc", sizeof(row.data_center));
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
	Run();
}

/* Submitters leave after 1 s; the store is called after the answer. */
TEST_F(QuotaAnswers, SilentCountersDoNotKeepASubmitterUntilItLeaves)
{
	const int64_t kSubmitterWaitUs = kSec;
	const int64_t kStepUs = kSec / 20;
	int64_t start_us = now_us;

	steps.push_back([&] { Reserve(); });
	for (int64_t us = 0; us < 2 * kSec; us += kStepUs)
		steps.push_back([&] {
			if (outcome == "waits")
				now_us += kStepUs;
			quota_tick(qt);
		});
	Run();
	EXPECT_EQ("verdict " + std::to_string(kQuotaUnavailable), outcome);
	EXPECT_LT(now_us - start_us, kSubmitterWaitUs);
	EXPECT_GT(ask.count, 1) << "another counter was asked";
}

} // namespace

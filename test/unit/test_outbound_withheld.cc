/* Requests to targets that are not sent since their time has passed. */
#include <gtest/gtest.h>

#include <string>

#include "platform/late_copies.h"

extern "C" {
#include "gateway/outbound.h"
}

namespace
{

struct OutboundWithheld : ::testing::Test {
	int requests = 0;
	CopyingServer server{[this](const std::string &) {
		requests++;
		return CopyingServer::Http(200, "x");
	}};
	struct loop *lp = loop_new(clock_system());
	struct outbound *ob = outbound_new(lp);
	struct header_list *headers = header_list_new();
	int asked = 0;
	/* Which question is answered by no; 0: none. */
	int denied = 0;
	outbound_outcome outcome = kOutboundCut;

	OutboundWithheld()
	{
		header_list_add(headers, "Host", "a");
	}

	~OutboundWithheld() override
	{
		outbound_free(ob);
		loop_free(lp);
		header_list_free(headers);
	}

	static bool
	MaySend(void *ctx)
	{
		auto *t = (OutboundWithheld *)ctx;

		return ++t->asked != t->denied;
	}

	static void
	OnDone(void *ctx, enum outbound_outcome outcome)
	{
		((OutboundWithheld *)ctx)->outcome = outcome;
		loop_stop(((OutboundWithheld *)ctx)->lp);
	}

	outbound_outcome
	Run(int denied_question)
	{
		static const struct outbound_ops ops = {
		    [](void *, int32_t, const struct header_list *) {
			    return true;
		    },
		    [](void *, const char *, size_t) { return true; }, OnDone};
		std::string address = server.Address();
		outbound_options opt = {};

		opt.method = "GET";
		opt.address = address.c_str();
		opt.uri = "/";
		opt.headers = headers;
		opt.connect_timeout_us = kUsPerS;
		opt.may_send = MaySend;
		opt.ops = &ops;
		opt.ctx = this;
		asked = 0;
		denied = denied_question;
		requests = 0;
		outbound_start(ob, &opt);
		while (outcome == kOutboundCut)
			loop_run_once(lp);
		loop_run_once(lp);
		outbound_outcome result = outcome;

		outcome = kOutboundCut;
		return result;
	}
};

/* Guards against a request that is sent although its time passed while its
 * connection was opened, or while it waited for one that is kept. */
TEST_F(OutboundWithheld, TheLastQuestionIsAskedWhenTheConnectionIsOpen)
{
	EXPECT_EQ(kOutboundWithheld, Run(1)) << "on a new connection";
	EXPECT_EQ(0, requests);
	EXPECT_EQ(kOutboundComplete, Run(0));
	EXPECT_EQ(1, requests);
	EXPECT_EQ(1, asked);
	EXPECT_EQ(kOutboundWithheld, Run(1)) << "on a kept connection";
	EXPECT_EQ(0, requests);
	EXPECT_EQ(kOutboundComplete, Run(0));
	EXPECT_EQ(1, requests);
}

} // namespace

/* Answers that belong to another request, on a connection in use again. */
#include <gtest/gtest.h>

#include "functional/harness.h"

namespace
{

const char kOther[] = "00000000000000aa";

std::string
Foreign(int count, int status, const std::string &attempt, bool is_not_run)
{
	return "{\"foreign\":" + std::to_string(count) +
	    ",\"status\":" + std::to_string(status) + ",\"attempt\":\"" +
	    attempt + "\",\"not_run\":" + (is_not_run ? "true" : "false") + "}";
}

/* One engine, so that the second request uses the first one's connection. */
TEST(Failures, AnEnginesAnswerToAnotherRequestDecidesNothing)
{
	const struct {
		const char *name;
		int status;
		std::string attempt;
		bool is_not_run;
	} cases[] = {
	    {"end of another stream", 200, kOther, false},
	    {"end of a stream without an id", 200, "", false},
	    {"another's rejection", 422, kOther, false},
	    {"a rejection without an id", 422, "", false},
	    {"another's refusal", 503, kOther, true},
	    {"a refusal without an id", 503, "", true},
	    {"another's failure", 500, kOther, false},
	};

	for (const auto &c : cases) {
		for (bool stream : {false, true}) {
			FleetOptions o;

			o.daemons = 1;
			o.flags = {"--report-period-ms=60000"};
			Fleet f(o);
			ASSERT_EQ(200, f.Chat(0, "first", true).status);
			f.InjectFault(f.EngineUrl(0),
			    Foreign(1, c.status, c.attempt, c.is_not_run));
			Reply r = f.Chat(0, "second", stream);
			EXPECT_EQ(200, r.status) << c.name << r.body;
			EXPECT_EQ(0, f.daemons[0]->Count("target_leaving"))
			    << c.name;
			EXPECT_TRUE(f.daemons[0]->WaitLine("answer_crossed"))
			    << c.name;
			f.ExpectHistoryValid();
		}
	}
}

/* The call has run, whatever another request's refusal says. */
TEST(Failures, ABookingIsNotRepeatedForAnothersRefusal)
{
	for (int status : {200, 422, 503}) {
		FleetOptions o;

		o.daemons = 1;
		Fleet f(o);
		f.InjectFault(f.PlainServiceUrl(),
		    Foreign(1, status, kOther, status == 503));
		Reply r = f.CallBooking(0, "table-1");
		EXPECT_EQ(502, r.status) << r.body;
		EXPECT_EQ("unknown", r.headers["savoryflow-ran"]) << status;
		EXPECT_EQ(1, f.PlainRuns()) << status;
		f.ExpectHistoryValid();
	}
}

} // namespace

#include "functional/gateway_fixture.h"

namespace
{

/* A stream with neither a length nor chunks ends with its connection. */
TEST_F(Gateway, AnUnframedStreamIsWholeOnlyIfItEndsBetweenEvents)
{
	const struct {
		const char *name;
		const char *path;
		const char *end;
		bool is_whole;
	} cases[] = {
	    {"whole", "/f/x", "whole", true},
	    {"whole, resumable", "/q/x", "whole", true},
	    {"inside an event, resumed", "/q/x", "inside", true},
	    {"inside an event", "/f/x", "inside", false},
	    {"reset, resumed", "/q/x", "reset", true},
	    {"reset", "/f/x", "reset", false},
	};
	int n = 0;

	StartReadyFleet(2, 1);
	for (const auto &c : cases) {
		std::string id = "u" + std::to_string(n++);

		for (size_t w = 0; w < 2; w++)
			InjectFault(w,
			    std::string("{\"unframed\":1,") +
				"\"unframed_end\":\"" + c.end + "\"}");
		Reply r = Call(0, c.path, id, 8);

		if (c.is_whole) {
			EXPECT_EQ(200, r.status) << c.name;
			EXPECT_EQ(ExpectedStream(c.path, 8), r.body) << c.name;
		} else {
			/* Broken off: the client saw no end of the answer. */
			EXPECT_EQ(0, r.status) << c.name << ": " << r.body;
		}
	}
}

/* The results of a job hold whole texts only. */
TEST_F(Gateway, AnItemOfAnUnframedStreamIsWhole)
{
	int n = 0;

	StartReadyFleet(1, 1);
	for (const char *end : {"whole", "inside", "reset"}) {
		std::string job = "j" + std::to_string(n++);

		InjectFault(0,
		    std::string("{\"unframed\":2,\"unframed_end\":\"") + end +
			"\"}");
		Send(0, "POST", "/b/" + job, JobBody(job, 1, RequestBody(6)),
		    job);
		ASSERT_TRUE(Eventually([&] { return HasResults(0, job, 1); }));
		json_t *doc = FetchResults(0, job);
		std::string text, path = "/b/" + job + "0-";

		for (int k = 1; k <= 6; k++)
			text += (k > 1 ? "\n" : "") + path + std::to_string(k);
		EXPECT_EQ(text,
		    json_string_value(json_object_get(
			json_array_get(json_object_get(doc, "results"), 0),
			"output_text")))
		    << end;
		json_decref(doc);
	}
}

} // namespace

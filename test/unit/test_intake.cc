#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "http/intake.h"
}

namespace
{

const int64_t kNowUs = 1000000000;

/* One part after the other: a head line, the end of a head, body, or bytes of
 * the connection at a time. */
struct Step {
	char kind;
	int64_t bytes;
	int64_t at_us;
};

const struct {
	const char *name;
	std::vector<Step> steps;
	const char *limit;
} cases[] = {
    {"usual answer", {{'h', 300, 0}, {'e', 1, 0}, {'b', 100000, 0}}, ""},
    {"head at its limit", {{'h', kIntakeHeadBytesMax, 0}}, ""},
    {"head", {{'h', kIntakeHeadBytesMax, 0}, {'h', 1, 0}}, "head_bytes"},
    {"interim heads", {{'h', kIntakeHeadBytesMax, 0}, {'e', 0, 0}, {'h', 1, 0}},
	"head_bytes"},
    {"trailer", {{'e', 1, 0}, {'b', 1, 0}, {'h', kIntakeHeadBytesMax + 1, 0}},
	"head_bytes"},
    {"body at its limit", {{'b', 1000000, 0}}, ""},
    {"body", {{'b', 1000000, 0}, {'b', 1, 0}}, "body_bytes"},
    {"progress", {{'b', 1000000, 0}, {'p', 10, 0}, {'b', 10, 0}}, ""},
    {"chunks of one byte", {{'e', 1, 0}, {'b', 100000, 0}, {'w', 600000, 0}},
	""},
    {"chunk extension",
	{{'e', 1, 0}, {'b', 1, 0}, {'w', kIntakeFramingBytesMax + 18, 0}},
	"framing_bytes"},
    {"slow head", {{'w', 1, 0}, {'h', 20, 1}, {'w', 21, kIntakeHeadTimeUs + 1}},
	"head_time"},
    {"no byte yet", {{'w', 0, 0}, {'w', 0, 9 * kIntakeHeadTimeUs}}, ""},
    {"late answer after an interim head",
	{{'w', 5, 0}, {'h', 20, 0}, {'e', 0, 0},
	    {'w', 20, 9 * kIntakeHeadTimeUs}},
	""},
    {"slow body",
	{{'h', 20, 0}, {'e', 1, 0}, {'b', 1, 0},
	    {'w', 21, 9 * kIntakeHeadTimeUs}},
	""},
};

TEST(Intake, Table)
{
	for (const auto &c : cases) {
		intake in;
		bool is_continued = true;

		intake_init(&in, 1000000);
		for (const auto &s : c.steps) {
			EXPECT_TRUE(is_continued) << c.name;
			switch (s.kind) {
			case 'h':
				is_continued = intake_head(&in, s.bytes);
				break;
			case 'e':
				intake_head_end(&in, s.bytes != 0);
				break;
			case 'b':
				is_continued = intake_body(&in, s.bytes);
				break;
			case 'p':
				intake_allow_body(&in, s.bytes);
				break;
			default:
				is_continued =
				    intake_wire(&in, s.bytes, kNowUs + s.at_us);
				break;
			}
		}
		EXPECT_EQ(std::string(c.limit).empty(), is_continued) << c.name;
		EXPECT_STREQ(c.limit, in.limit != nullptr ? in.limit : "")
		    << c.name;
	}
}

} // namespace

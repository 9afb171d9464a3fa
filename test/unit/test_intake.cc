#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "http/intake.h"
}

namespace
{

const int64_t kNowUs = 1000000000;

/* One part after the other, with its length: a line of a head (h), of an
 * interim one (i), the end of a head (e), a trailer (t), body (b), progress
 * (p), or the bytes of the connection so far (w). */
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
    {"usual answer", {{'h', 300, 0}, {'e', 2, 0}, {'b', 100000, 0}}, ""},
    {"head at its limit", {{'h', kIntakeHeadBytesMax, 0}}, ""},
    {"head", {{'h', kIntakeHeadBytesMax, 0}, {'h', 1, 0}}, "head_bytes"},
    {"interim heads",
	{{'i', kIntakeHeadBytesMax - 2, 0}, {'e', 2, 0}, {'h', 1, 0}},
	"head_bytes"},
    {"trailer",
	{{'h', 20, 0}, {'e', 2, 0}, {'b', 1, 0},
	    {'t', kIntakeHeadBytesMax - 21, 0}},
	"head_bytes"},
    {"body at its limit", {{'b', 1000000, 0}}, ""},
    {"body", {{'b', 1000000, 0}, {'b', 1, 0}}, "body_bytes"},
    {"progress", {{'b', 1000000, 0}, {'p', 10, 0}, {'b', 10, 0}}, ""},
    {"chunks of one byte",
	{{'h', 20, 0}, {'e', 2, 0}, {'b', 100000, 0}, {'w', 600000, 0}}, ""},
    {"chunk extension",
	{{'h', 20, 0}, {'e', 2, 0}, {'b', 1, 0},
	    {'w', kIntakeFramingBytesMax + 22 + 18, 0}},
	"framing_bytes"},
    {"slow head", {{'w', 1, 0}, {'h', 20, 1}, {'w', 21, kIntakeHeadTimeUs + 1}},
	"head_time"},
    {"no byte yet", {{'w', 0, 0}, {'w', 0, 9 * kIntakeHeadTimeUs}}, ""},
    {"late answer after an interim head",
	{{'w', 5, 0}, {'i', 20, 0}, {'e', 2, 0},
	    {'w', 22, 9 * kIntakeHeadTimeUs}},
	""},
    {"slow body",
	{{'h', 20, 0}, {'e', 2, 0}, {'b', 1, 0},
	    {'w', 23, 9 * kIntakeHeadTimeUs}},
	""},
};

bool
Line(struct intake *in, const Step &s)
{
	std::string text = s.kind == 'e' ? "\r\n" : "X: ";

	if (s.kind != 'e' && s.kind != 't' && !in->is_in_head)
		text = s.kind == 'h' ? "HTTP/1.1 200 " : "HTTP/1.1 102 ";
	text.resize(s.bytes, 'x');
	return intake_line(in, text.data(), text.size()) != kIntakeLineRefused;
}

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
			case 'i':
			case 't':
			case 'e':
				is_continued = Line(&in, s);
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

const enum intake_line kS = kIntakeLineStatus, kF = kIntakeLineField,
		       kI = kIntakeLineInterimEnd, kE = kIntakeLineEnd,
		       kT = kIntakeLineTrailer, kR = kIntakeLineRefused,
		       kM = kIntakeLineMixed, kB = kIntakeLineMalformed;

const struct {
	const char *name;
	std::vector<std::string> lines;
	std::vector<enum intake_line> kinds;
	/* Of the answer, if libcurl reports success at the end. */
	int32_t status;
} heads[] = {
    {"nothing", {}, {}, 0},
    {"whole", {"HTTP/1.1 200 OK\r\n", "A: 1\r\n", "\r\n"}, {kS, kF, kE}, 200},
    {"no reason", {"HTTP/1.1 503\r\n", "\r\n"}, {kS, kE}, 503},
    {"bare line feeds", {"HTTP/1.0 404 X\n", "A: 1\n", "\n"}, {kS, kF, kE},
	404},
    {"trailer", {"HTTP/1.1 200 OK\r\n", "\r\n", "A: 1\r\n", "\r\n"},
	{kS, kE, kT, kT}, 200},
    {"status line alone", {"HTTP/1.1 200 OK\r\n"}, {kS}, 0},
    {"no empty line", {"HTTP/1.1 503 X\r\n", "Content-Length: 0\r\n"}, {kS, kF},
	0},
    {"field of one byte", {"HTTP/1.1 200 OK\r\n", "A\n"}, {kS, kB}, 0},
    {"lengths of two heads",
	{"HTTP/1.1 102 X\r\n", "Content-Length: 2\r\n", "\r\n",
	    "HTTP/1.1 200 OK\r\n", "Content-Length: 2\r\n", "\r\n"},
	{kS, kF, kI, kS, kF, kE}, 200},
    {"another protocol", {"HTTP/1.1 101 X\r\n"}, {kR}, 0},
    {"interim head alone", {"HTTP/1.1 102 X\r\n", "\r\n"}, {kS, kI}, 0},
    {"broken after an interim head",
	{"HTTP/1.1 102 X\r\n", "A: 1\r\n", "\r\n", "HTTP/1.1 200 OK\r\n",
	    "A: 1\r\n"},
	{kS, kF, kI, kS, kF}, 0},
    {"whole after interim heads",
	{"HTTP/1.1 102 X\r\n", "\r\n", "HTTP/1.1 103 X\r\n", "\r\n",
	    "HTTP/1.1 204 X\r\n", "\r\n"},
	{kS, kI, kS, kI, kS, kE}, 204},
    {"two heads", {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\n"}, {kS, kM}, 0},
    {"second head within a field",
	{"HTTP/1.1 200 OK\r\n", "ContentHTTP/1.1 503 X\r\n"}, {kS, kM}, 0},
    {"second status line within the first",
	{"HTTP/1.1 200 OHTTP/1.1 503 X\r\n"}, {kM}, 0},
    {"second status line within the first status",
	{"HTTP/1.1 2HTTP/1.1 503 X\r\n"}, {kR}, 0},
    {"a version in a field",
	{"HTTP/1.1 200 OK\r\n", "Via: HTTP/1.1 proxy\r\n", "\r\n"},
	{kS, kF, kE}, 200},
    {"no status line", {"A: 1\r\n"}, {kR}, 0},
    {"no digits", {"HTTP/1.1 2xx OK\r\n"}, {kR}, 0},
    {"no version", {"HTTP 200 OK\r\n"}, {kR}, 0},
    {"another version", {"HTTP/2 200\r\n"}, {kR}, 0},
};

TEST(Intake, AnAnswerWithoutACompleteFinalHeadIsNone)
{
	for (const auto &h : heads) {
		intake in;

		intake_init(&in, 1000);
		for (size_t i = 0; i < h.lines.size(); i++)
			EXPECT_EQ(h.kinds[i],
			    intake_line(
				&in, h.lines[i].data(), h.lines[i].size()))
			    << h.name << " " << i;
		EXPECT_EQ(h.status, in.status) << h.name;
		EXPECT_EQ(h.status != 0, intake_is_whole(&in, CURLE_OK))
		    << h.name;
		EXPECT_FALSE(intake_is_whole(&in, CURLE_PARTIAL_FILE))
		    << h.name;
		EXPECT_FALSE(intake_is_whole(&in, CURLE_RECV_ERROR)) << h.name;
	}
}

/* Its head is whole, and the body may be. */
TEST(Intake, AnAnswerWithAMalformedTrailerIsNone)
{
	const std::string lines[] = {
	    "HTTP/1.1 200 OK\r\n", "\r\n", "A b: 1\r\n", "A: 1\r\n", "\r\n"};
	const enum intake_line kinds[] = {kS, kE, kB, kB, kB};
	intake in;

	intake_init(&in, 1000);
	for (size_t i = 0; i < std::size(lines); i++)
		EXPECT_EQ(kinds[i],
		    intake_line(&in, lines[i].data(), lines[i].size()))
		    << i;
	EXPECT_FALSE(intake_is_whole(&in, CURLE_OK));
}

} // namespace

/* What a line of an answer's head may be. */
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "http/head_line.h"
}

namespace
{

std::string
WithByte(const std::string &before, int byte, const std::string &after)
{
	return before + (char)byte + after;
}

const struct {
	std::string line;
	int32_t status;
} kStatusLines[] = {
    {"HTTP/1.1 200 OK\r\n", 200},
    {"HTTP/1.0 100 \r\n", 100},
    {"HTTP/1.1 599\r\n", 599},
    {"HTTP/1.1 503\n", 503},
    {"HTTP/1.1 503", 503},
    {"HTTP/1.1 200 a\tb \xe4\r\n", 200},
    {"HTTP/1.1 000 OK\r\n", 0},
    {"HTTP/1.1 001 OK\r\n", 0},
    {"HTTP/1.1 099 OK\r\n", 0},
    {"HTTP/1.1 600 OK\r\n", 0},
    {"HTTP/1.1 999 OK\r\n", 0},
    {"HTTP/1.1 20 OK\r\n", 0},
    {"HTTP/1.1 2000 OK\r\n", 0},
    {"HTTP/1.1 200x\r\n", 0},
    {"HTTP/1.1 200\tOK\r\n", 0},
    {"HTTP/1.1  200 OK\r\n", 0},
    {"HTTP/1.1 +20 OK\r\n", 0},
    {"HTTP/1.x 200 OK\r\n", 0},
    {"HTTP/1. 200 OK\r\n", 0},
    {"http/1.1 200 OK\r\n", 0},
    {WithByte("HTTP/1.1 200 O", 0, "K\r\n"), 0},
    {WithByte("HTTP/1.1 200 O", 1, "K\r\n"), 0},
    {"HTTP/1.1 200 O\rK\r\n", 0},
    {"HTTP/1.1 200 O\x7fK\r\n", 0},
    {"", 0},
};

TEST(HeadLine, StatusLines)
{
	for (const auto &c : kStatusLines)
		EXPECT_EQ(
		    c.status, head_line_status(c.line.data(), c.line.size()))
		    << c.line;
}

const struct {
	std::vector<std::string> lines;
	bool is_sound;
} kHeads[] = {
    {{"A: 1\r\n"}, true},
    {{"A:1\n"}, true},
    {{"A:\r\n"}, true},
    {{"A: a\tb\r\n"}, true},
    {{"A: \xe4\xf6\r\n"}, true},
    {{"!#$%&'*+-.^_`|~09azAZ: 1\r\n"}, true},
    {{"Content-Length: 17\r\n"}, true},
    {{"content-length:17 \r\n"}, true},
    {{"Transfer-Encoding: Chunked\r\n"}, true},
    {{"Content-Lengths: x\r\n"}, true},
    {{"A b: 1\r\n"}, false},
    {{"A : 1\r\n"}, false},
    {{"A\t: 1\r\n"}, false},
    {{" A: 1\r\n"}, false},
    {{"A: 1\r\n", " continued\r\n"}, false},
    {{"A: 1\r\n", "\tcontinued: 2\r\n"}, false},
    {{": 1\r\n"}, false},
    {{"A\r\n"}, false},
    {{"A(b): 1\r\n"}, false},
    {{"A[b]: 1\r\n"}, false},
    {{"\xc3\xa4: 1\r\n"}, false},
    {{WithByte("A", 0, "b: 1\r\n")}, false},
    {{WithByte("A", 1, "b: 1\r\n")}, false},
    {{WithByte("A", 0x7f, "b: 1\r\n")}, false},
    {{WithByte("A: ", 0, "1\r\n")}, false},
    {{WithByte("A: ", 8, "1\r\n")}, false},
    {{"A: 1\r2\r\n"}, false},
    {{"A: 1\r\r\n"}, false},
    {{"Content-Length : 17\r\n"}, false},
    {{"Content-Length: \r\n"}, false},
    {{"Content-Length: x\r\n"}, false},
    {{"Content-Length: 17x\r\n"}, false},
    {{"Content-Length: +17\r\n"}, false},
    {{"Content-Length: -1\r\n"}, false},
    {{"Content-Length: 0x11\r\n"}, false},
    {{"Content-Length: 17, 17\r\n"}, false},
    {{"Content-Length: 99999999999999999999\r\n"}, false},
    {{"Content-Length: 17\r\n", "Content-Length: 17\r\n"}, false},
    {{"Transfer-Encoding: gzip\r\n"}, false},
    {{"Transfer-Encoding: gzip, chunked\r\n"}, false},
    {{"Transfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\n"},
	false},
    {{"Transfer-Encoding: chunked\r\n", "Content-Length: 17\r\n"}, false},
    {{"Content-Length: 17\r\n", "Transfer-Encoding: chunked\r\n"}, false},
    {{""}, false},
};

TEST(HeadLine, Fields)
{
	for (const auto &c : kHeads) {
		struct head_framing framing = {};
		bool is_sound = true;

		for (const auto &line : c.lines)
			is_sound = is_sound &&
			    head_line_is_field(
				line.data(), line.size(), &framing);
		EXPECT_EQ(c.is_sound, is_sound) << c.lines.back();
	}
}

TEST(HeadLine, ATrailerFramesNothing)
{
	for (const char *line :
	    {"Content-Length: 1\r\n", "Transfer-Encoding: chunked\r\n"})
		EXPECT_FALSE(head_line_is_field(line, strlen(line), nullptr));
	EXPECT_TRUE(head_line_is_field("A: 1\r\n", 6, nullptr));
}

} // namespace

/* What a line of an answer's head may be. */
#include <gtest/gtest.h>

#include <string>

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

} // namespace

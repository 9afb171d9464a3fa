#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "savoryflow/call/stream.h"
}

namespace
{

std::string
Chunk(const char *id, int index, const char *content)
{
	return std::string("data: {\"id\":\"") + id +
	    "\",\"index\":" + std::to_string(index) +
	    ",\"choices\":[{\"delta\":{\"content\":\"" + content + "\"}}]}\n\n";
}

void
Append(void *ctx, const char *content)
{
	*static_cast<std::string *>(ctx) += content;
}

struct Stream : ::testing::Test {
	struct answer_stream st;
	std::string seen;

	void
	SetUp() override
	{
		answer_stream_init(&st);
	}
	void
	TearDown() override
	{
		answer_stream_clear(&st);
	}

	stream_status
	Feed(const std::string &bytes)
	{
		return answer_stream_feed(
		    &st, bytes.data(), bytes.size(), Append, &seen);
	}
};

TEST_F(Stream, AnySplitOfTheInputYieldsTheSameTokens)
{
	std::string all =
	    Chunk("a1", 0, "x ") + Chunk("a1", 1, "y ") + "data: [DONE]\n\n";

	for (size_t split = 0; split <= all.size(); split++) {
		struct answer_stream one;
		std::string got;

		answer_stream_init(&one);
		answer_stream_start_attempt(&one, "a1");
		answer_stream_feed(&one, all.data(), split, Append, &got);
		EXPECT_EQ(kStreamComplete,
		    answer_stream_feed(&one, all.data() + split,
			all.size() - split, Append, &got));
		EXPECT_EQ("x y ", got);
		answer_stream_clear(&one);
	}
}

TEST_F(Stream, ResumeDropsDuplicateTokens)
{
	answer_stream_start_attempt(&st, "a1");
	Feed(Chunk("a1", 0, "x ") + Chunk("a1", 1, "y ") + "data: {\"id\"");
	answer_stream_start_attempt(&st, "a2");
	EXPECT_EQ(kStreamComplete,
	    Feed(Chunk("a2", 1, "y ") + Chunk("a2", 2, "z ") +
		"data: [DONE]\n\n"));
	EXPECT_EQ("x y z ", seen);
	EXPECT_STREQ("x y z ", st.text->str);
}

TEST_F(Stream, BadStreams)
{
	const struct {
		const char *name;
		std::string bytes;
		stream_status status;
	} cases[] = {
	    {"another attempt", Chunk("b9", 0, "x "), kStreamIdMismatch},
	    {"a gap", Chunk("a1", 1, "x "), kStreamMalformed},
	    {"no JSON", "data: {oops\n\n", kStreamMalformed},
	    {"no index", "data: {\"id\":\"a1\"}\n\n", kStreamMalformed},
	    {"no id", "data: {\"index\":0}\n\n", kStreamIdMismatch},
	    {"a comment", ": keep-alive\n\n", kStreamOpen},
	    {"a long line", std::string(70000, 'x'), kStreamMalformed},
	};

	for (const auto &c : cases) {
		answer_stream_start_attempt(&st, "a1");
		EXPECT_EQ(c.status, Feed(c.bytes)) << c.name;
		EXPECT_EQ("", seen) << c.name;
	}
}

} // namespace

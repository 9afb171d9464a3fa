#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "gateway/event_splitter.h"
}

namespace
{

bool
Collect(void *ctx, const stream_event *ev)
{
	auto *all = (std::vector<std::string> *)ctx;

	all->push_back(std::string(ev->text, ev->len));
	return true;
}

const struct {
	const char *name;
	const char *body;
	std::vector<std::string> events;
	int64_t last_id;
	bool has_partial;
} cases[] = {
    {"empty body", "", {}, -1, false},
    {"one", "id: 1\ndata: a\n\n", {"id: 1\ndata: a\n\n"}, 1, false},
    {"two", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
	{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}, 2, false},
    {"incomplete event", "id: 1\ndata: a\n\nid: 2\ndat", {"id: 1\ndata: a\n\n"},
	1, true},
    {"no final empty line", "id: 1\ndata: a\n", {}, -1, true},
    {"CR LF", "id: 7\r\ndata: a\r\n\r\n", {"id: 7\r\ndata: a\r\n\r\n"}, 7,
	false},
    {"no id", "data: a\n\n", {"data: a\n\n"}, -1, false},
    {"unknown fields", "x-weight-versions: 3\nid:4\ndata: a\n\n",
	{"x-weight-versions: 3\nid:4\ndata: a\n\n"}, 4, false},
};

/* The events do not depend on how the body is split into reads. */
TEST(EventSplitter, Table)
{
	for (const auto &c : cases) {
		std::string body = c.body;

		for (size_t step = 1; step <= body.size() + 1; step++) {
			event_splitter es;
			std::vector<std::string> events;

			event_splitter_init(&es, -1);
			for (size_t at = 0; at < body.size(); at += step)
				event_splitter_feed(&es, body.data() + at,
				    std::min(step, body.size() - at), Collect,
				    &events);
			EXPECT_EQ(c.events, events) << c.name << step;
			EXPECT_EQ(c.last_id, es.last_id) << c.name;
			EXPECT_EQ(
			    c.has_partial, event_splitter_has_partial(&es))
			    << c.name;
			event_splitter_clear(&es);
		}
	}
}

const char kRecorded[] =
    "id: 1\ndata: a\n\nid: 2\nx-weight-versions: 3\ndata: b\ndata: c\n\n"
    "id: 3\r\ndata: d\r\n\r\nid: 4\ndata:\n\n";

std::string
Joined(const std::vector<std::string> &events)
{
	std::string all;

	for (const auto &ev : events)
		all += ev;
	return all;
}

/*
 * An answer that is cut at any byte and resumed after its last whole event is
 * delivered once, without a byte of the torn event.
 */
TEST(EventSplitter, AnAnswerCutAtAnyByteIsJoinedWithItsResumption)
{
	std::string body = kRecorded;

	for (size_t cut = 0; cut <= body.size(); cut++) {
		std::vector<std::string> events;
		event_splitter es;

		event_splitter_init(&es, -1);
		event_splitter_feed(&es, body.data(), cut, Collect, &events);
		size_t whole = Joined(events).size();
		EXPECT_EQ(cut > whole, event_splitter_has_partial(&es)) << cut;
		event_splitter_restart(&es);
		event_splitter_feed(&es, body.data() + whole,
		    body.size() - whole, Collect, &events);
		EXPECT_EQ(body, Joined(events)) << cut;
		EXPECT_EQ(4, es.last_id) << cut;
		event_splitter_clear(&es);
	}
}

/* Whatever a faulty target sends, only its own bytes are delivered, in order
 * and none twice. */
TEST(EventSplitter, MutatedAnswersDeliverAPrefixOfTheirBytes)
{
	uint32_t rng = 20261204;
	auto random = [&rng](size_t n) {
		rng = rng * 1664525 + 1013904223;
		return (size_t)(rng >> 8) % n;
	};

	for (int i = 0; i < 20000; i++) {
		std::string body = kRecorded;
		std::vector<std::string> events;
		event_splitter es;

		for (size_t n = random(6); n > 0; n--) {
			size_t at = random(body.size());

			if (random(3) == 0)
				body.erase(at, random(9));
			else if (random(2) == 0)
				body.insert(at, body.substr(0, random(30)));
			else
				body[at] = (char)random(256);
		}
		event_splitter_init(&es, -1);
		for (size_t at = 0; at < body.size();) {
			size_t n = std::min(1 + random(20), body.size() - at);

			event_splitter_feed(
			    &es, body.data() + at, n, Collect, &events);
			at += n;
		}
		std::string all = Joined(events);
		EXPECT_EQ(body.substr(0, all.size()), all) << i;
		EXPECT_EQ(
		    body.size() - all.size(), event_splitter_partial_len(&es))
		    << i;
		event_splitter_clear(&es);
	}
}

TEST(EventSplitter, RestartDiscardsAnIncompleteEvent)
{
	event_splitter es;
	std::vector<std::string> events;
	std::string first = "id: 1\ndata: a\n\nid: 2\nda";
	std::string second = "id: 2\ndata: b\n\n";

	event_splitter_init(&es, -1);
	event_splitter_feed(&es, first.data(), first.size(), Collect, &events);
	event_splitter_restart(&es);
	EXPECT_EQ(1, es.last_id);
	event_splitter_feed(
	    &es, second.data(), second.size(), Collect, &events);
	ASSERT_EQ(2u, events.size());
	EXPECT_EQ(second, events[1]);
	event_splitter_clear(&es);
}

/* Guards against events that stand twice, are missing or do not belong to the
 * stream, also after it was resumed. */
TEST(EventSplitter, AnEventThatDoesNotFollowTheLastOneIsRefused)
{
	const struct {
		const char *name;
		std::string body;
		bool is_restarted;
		bool is_continued;
		int64_t last_id;
	} repeats[] = {
	    {"next id", "id: 5\ndata: b\n\n", false, true, 5},
	    {"same id", "id: 4\ndata: b\n\n", false, false, 4},
	    {"lower id", "id: 1\ndata: b\n\n", false, false, 4},
	    {"no id", "data: b\n\n", false, false, 4},
	    {"an id that is no number", "id: x\ndata: b\n\n", false, false, 4},
	    {"a later id", "id: 6\ndata: b\n\n", false, false, 4},
	    {"a comment", ": b\n\n", false, true, 4},
	    {"new run, next id", "id: 5\ndata: b\n\n", true, true, 5},
	    {"new run, same id", "id: 4\ndata: b\n\n", true, false, 4},
	    {"new run, lower id", "id: 1\ndata: b\n\n", true, false, 4},
	    {"new run, later id", "id: 6\ndata: b\n\n", true, false, 4},
	    {"new run, no id", "data: b\n\n", true, false, 4},
	    {"new run, a comment", ": b\n\n", true, true, 4},
	    {"no id, then an id", "data: b\n\nid: 5\ndata: c\n\n", false, false,
		4},
	    {"too large an id", "id: 9223372036854775807\ndata: b\n\n", false,
		false, 4},
	};
	const std::string first = "id: 4\ndata: a\n\n";

	for (const auto &r : repeats) {
		event_splitter es;
		std::vector<std::string> events;

		event_splitter_init(&es, -1);
		EXPECT_TRUE(event_splitter_feed(
		    &es, first.data(), first.size(), Collect, &events));
		if (r.is_restarted)
			event_splitter_restart(&es);
		EXPECT_EQ(r.is_continued,
		    event_splitter_feed(
			&es, r.body.data(), r.body.size(), Collect, &events))
		    << r.name;
		EXPECT_EQ(r.last_id, es.last_id) << r.name;
		EXPECT_EQ(r.is_continued ? 2u : 1u, events.size()) << r.name;
		event_splitter_clear(&es);
	}
}

/* Guards against text that cannot be stored as JSON. */
TEST(EventSplitter, AnEventThatIsNoTextIsRefusedHoweverItIsSplit)
{
	const struct {
		const char *name;
		std::string event;
	} odd[] = {
	    {"data", "id: 2\ndata: \xff\xfe\n\n"},
	    {"part of a character", "id: 2\ndata: caf\xc3\n\n"},
	    {"surrogate", "id: 2\ndata: \xed\xa0\x80\n\n"},
	    {"overlong", "id: 2\ndata: \xc0\xaf\n\n"},
	    {"NUL", std::string("id: 2\ndata: a\0b\n\n", 17)},
	    {"id", "id: \xff\ndata: a\n\n"},
	    {"field name", "id: 2\nd\xe4ta: a\n\n"},
	};
	const std::string first = "id: 1\ndata: caf\xc3\xa9\n\n";

	for (const auto &o : odd) {
		std::string body = first + o.event + "id: 3\ndata: c\n\n";

		for (size_t step = 1; step <= body.size(); step++) {
			event_splitter es;
			std::vector<std::string> events;
			bool is_continued = true;

			event_splitter_init(&es, -1);
			for (size_t at = 0; is_continued && at < body.size();
			     at += step)
				is_continued =
				    event_splitter_feed(&es, body.data() + at,
					std::min(step, body.size() - at),
					Collect, &events);
			EXPECT_FALSE(is_continued) << o.name << step;
			EXPECT_EQ(kEventNotText, es.fault) << o.name;
			EXPECT_EQ(std::vector<std::string>{first}, events)
			    << o.name << step;
			EXPECT_EQ(1, es.last_id) << o.name;
			event_splitter_clear(&es);
		}
	}
}

bool
CountContent(void *ctx, const stream_event *ev)
{
	*(int *)ctx += ev->has_content;
	return true;
}

TEST(EventSplitter, CommentsHaveNoContent)
{
	const struct {
		std::string body;
		int count;
	} bodies[] = {
	    {": a\n\n\n\nevent: ping\n\n", 0},
	    {"data:\n\n", 1},
	    {"id: 1\n\n", 1},
	    {": a\ndata: b\n\n", 1},
	};

	for (const auto &b : bodies) {
		event_splitter es;
		int count = 0;

		event_splitter_init(&es, -1);
		event_splitter_feed(
		    &es, b.body.data(), b.body.size(), CountContent, &count);
		EXPECT_EQ(b.count, count) << b.body;
		event_splitter_clear(&es);
	}
}

TEST(EventSplitter, DataLinesAreJoined)
{
	const struct {
		const char *event;
		const char *data;
	} data[] = {
	    {"id: 1\ndata: a\n\n", "a"},
	    {"data: a\ndata: b\n\n", "a\nb"},
	    {"data:\ndata: b\n\n", "\nb"},
	    {"data: a\r\n\r\n", "a"},
	    {"id: 1\n\n", ""},
	};

	for (const auto &c : data) {
		stream_event ev = {c.event, strlen(c.event), -1};
		GString *out = g_string_new(nullptr);

		stream_event_data(&ev, out);
		EXPECT_STREQ(c.data, out->str) << c.event;
		g_string_free(out, TRUE);
	}
}

} // namespace

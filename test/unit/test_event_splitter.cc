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

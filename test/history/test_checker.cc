#include <gtest/gtest.h>

#include "history/checker.h"

namespace
{

HistoryEvent
Event(const char *kind, std::map<std::string, std::string> fields,
    int64_t time_us = 0)
{
	return {kind, fields, time_us};
}

struct HistoryCase {
	const char *name;
	History history;
	/* Prefix of the only violation; empty if there must be none. */
	std::string violation;
};

TEST(HistoryChecker, RejectsEachBadHistory)
{
	const HistoryCase cases[] = {
	    {"good job",
		{Event("job_accepted", {{"job", "j"}, {"items", "2"}}),
		    Event("job_done", {{"job", "j"}}),
		    Event("result",
			{{"job", "j"}, {"index", "0"}, {"pass", "1"}}),
		    Event("result",
			{{"job", "j"}, {"index", "1"}, {"pass", "1"}})},
		""},
	    {"item lost",
		{Event("job_accepted", {{"job", "j"}, {"items", "2"}}),
		    Event("job_done", {{"job", "j"}}),
		    Event("result",
			{{"job", "j"}, {"index", "0"}, {"pass", "1"}})},
		"item lost"},
	    {"duplicate item",
		{Event("result", {{"job", "j"}, {"index", "0"}, {"pass", "1"}}),
		    Event("result",
			{{"job", "j"}, {"index", "0"}, {"pass", "1"}})},
		"item twice"},
	    {"results never read",
		{Event("job_accepted", {{"job", "j"}, {"items", "2"}}),
		    Event("job_done", {{"job", "j"}})},
		"results never read for j"},
	    {"result after cancellation",
		{Event("job_cancelled", {{"job", "j"}}),
		    Event("result",
			{{"job", "j"}, {"index", "0"}, {"pass", "1"}}),
		    Event("result",
			{{"job", "j"}, {"index", "0"}, {"pass", "2"}}),
		    Event("result",
			{{"job", "j"}, {"index", "1"}, {"pass", "2"}})},
		"result after cancellation"},
	    {"cancelled job done",
		{Event("job_accepted", {{"job", "j"}, {"items", "1"}}),
		    Event("job_cancelled", {{"job", "j"}}),
		    Event("result",
			{{"job", "j"}, {"index", "0"}, {"pass", "1"}}),
		    Event("job_done", {{"job", "j"}})},
		"cancelled job went on"},
	    {"answer to another request",
		{Event("chat_answer",
		    {{"request", "r"}, {"expected", "a"}, {"got", "b"}})},
		"wrong answer"},
	    {"two answers",
		{Event("chat_answer",
		     {{"request", "r"}, {"expected", "a"}, {"got", "a"}}),
		    Event("chat_answer",
			{{"request", "r"}, {"expected", "a"}, {"got", "a"}})},
		"two answers"},
	    {"incomplete answer", {Event("chat_cut", {{"request", "r"}})},
		"cut answer"},
	    {"ran twice",
		{Event("call_sent", {{"key", "k"}}),
		    Event("call_sent", {{"key", "k"}}),
		    Event("call_run", {{"key", "k"}}),
		    Event("call_run", {{"key", "k"}})},
		"ran twice"},
	    {"ran although refused",
		{Event("call_sent", {{"key", "k"}}),
		    Event("refused", {{"key", "k"}, {"ran", "no"}}),
		    Event("call_run", {{"key", "k"}})},
		"ran though refused"},
	    {"refused, then sent again and run",
		{Event("call_sent", {{"key", "k"}}),
		    Event("refused", {{"key", "k"}, {"ran", "no"}}),
		    Event("call_sent", {{"key", "k"}}),
		    Event("call_run", {{"key", "k"}})},
		""},
	    {"refused with unknown outcome, and run",
		{Event("call_sent", {{"key", "k"}}),
		    Event("refused", {{"key", "k"}, {"ran", "unknown"}}),
		    Event("call_run", {{"key", "k"}})},
		""},
	    {"work for a leaving target",
		{Event("target_leaving", {{"target", "t"}}, 1000000),
		    Event("target_run", {{"target", "t"}}, 4000001)},
		"new work for leaving target"},
	    {"work within the grace period",
		{Event("target_leaving", {{"target", "t"}}, 1000000),
		    Event("target_run", {{"target", "t"}}, 4000000)},
		""},
	    {"generation decreases",
		{Event("config_seen",
		     {{"daemon", "d"}, {"generation", "2"}, {"digest", "x"}}),
		    Event("config_seen",
			{{"daemon", "d"}, {"generation", "1"},
			    {"digest", "y"}})},
		"generation went down"},
	    {"configuration not in force in time",
		{Event("config_accepted",
		     {{"generation", "2"}, {"digest", "x"}}, 0),
		    Event("config_seen",
			{{"daemon", "d"}, {"generation", "1"}, {"digest", "y"}},
			13000001)},
		"configuration not in force"},
	    {"two documents for a generation",
		{Event(
		     "config_accepted", {{"generation", "2"}, {"digest", "x"}}),
		    Event("config_seen",
			{{"daemon", "d"}, {"generation", "2"},
			    {"digest", "y"}})},
		"two documents"},
	};

	for (const auto &c : cases) {
		auto got = CheckHistory(c.history);

		if (c.violation.empty()) {
			EXPECT_TRUE(got.empty()) << c.name << ": " << got[0];
			continue;
		}
		ASSERT_EQ(1u, got.size()) << c.name;
		EXPECT_EQ(0u, got[0].find(c.violation))
		    << c.name << ": " << got[0];
	}
}

} // namespace

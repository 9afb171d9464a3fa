#include <gtest/gtest.h>

#include "history/checker.h"

namespace
{

HistoryEvent
E(const char *kind, std::map<std::string, std::string> fields,
    int64_t time_us = 0)
{
	return {kind, fields, time_us};
}

struct HistoryCase {
	const char *name;
	History history;
	/* Start of the one violation, or empty. */
	std::string violation;
};

TEST(HistoryChecker, RejectsEachBadHistory)
{
	const HistoryCase cases[] = {
	    {"good job",
		{E("job_accepted", {{"job", "j"}, {"items", "2"}}),
		    E("job_done", {{"job", "j"}}),
		    E("result", {{"job", "j"}, {"index", "0"}, {"pass", "1"}}),
		    E("result", {{"job", "j"}, {"index", "1"}, {"pass", "1"}})},
		""},
	    {"item lost",
		{E("job_accepted", {{"job", "j"}, {"items", "2"}}),
		    E("job_done", {{"job", "j"}}),
		    E("result", {{"job", "j"}, {"index", "0"}, {"pass", "1"}})},
		"item lost"},
	    {"item twice",
		{E("result", {{"job", "j"}, {"index", "0"}, {"pass", "1"}}),
		    E("result", {{"job", "j"}, {"index", "0"}, {"pass", "1"}})},
		"item twice"},
	    {"results not readable",
		{E("job_accepted", {{"job", "j"}, {"items", "2"}}),
		    E("job_done", {{"job", "j"}})},
		"results never read"},
	    {"result after cancel",
		{E("job_cancelled", {{"job", "j"}}),
		    E("result", {{"job", "j"}, {"index", "0"}, {"pass", "1"}}),
		    E("result", {{"job", "j"}, {"index", "0"}, {"pass", "2"}}),
		    E("result", {{"job", "j"}, {"index", "1"}, {"pass", "2"}})},
		"result after cancel"},
	    {"cancelled job done",
		{E("job_accepted", {{"job", "j"}, {"items", "1"}}),
		    E("job_cancelled", {{"job", "j"}}),
		    E("result", {{"job", "j"}, {"index", "0"}, {"pass", "1"}}),
		    E("job_done", {{"job", "j"}})},
		"cancelled job went on"},
	    {"another's answer",
		{E("chat_answer",
		    {{"request", "r"}, {"expected", "a"}, {"got", "b"}})},
		"wrong answer"},
	    {"two answers",
		{E("chat_answer",
		     {{"request", "r"}, {"expected", "a"}, {"got", "a"}}),
		    E("chat_answer",
			{{"request", "r"}, {"expected", "a"}, {"got", "a"}})},
		"two answers"},
	    {"cut", {E("chat_cut", {{"request", "r"}})}, "cut answer"},
	    {"ran twice",
		{E("call_sent", {{"key", "k"}}), E("call_sent", {{"key", "k"}}),
		    E("call_run", {{"key", "k"}}),
		    E("call_run", {{"key", "k"}})},
		"ran twice"},
	    {"ran though refused",
		{E("call_sent", {{"key", "k"}}),
		    E("refused", {{"key", "k"}, {"ran", "no"}}),
		    E("call_run", {{"key", "k"}})},
		"ran though refused"},
	    {"refused, then sent again and run",
		{E("call_sent", {{"key", "k"}}),
		    E("refused", {{"key", "k"}, {"ran", "no"}}),
		    E("call_sent", {{"key", "k"}}),
		    E("call_run", {{"key", "k"}})},
		""},
	    {"ran and unknown",
		{E("call_sent", {{"key", "k"}}),
		    E("refused", {{"key", "k"}, {"ran", "unknown"}}),
		    E("call_run", {{"key", "k"}})},
		""},
	    {"work for a leaving target",
		{E("target_leaving", {{"target", "t"}}, 1000000),
		    E("target_run", {{"target", "t"}}, 4000001)},
		"new work for leaving"},
	    {"work in the grace",
		{E("target_leaving", {{"target", "t"}}, 1000000),
		    E("target_run", {{"target", "t"}}, 4000000)},
		""},
	    {"generation goes down",
		{E("config_seen",
		     {{"daemon", "d"}, {"generation", "2"}, {"digest", "x"}}),
		    E("config_seen",
			{{"daemon", "d"}, {"generation", "1"},
			    {"digest", "y"}})},
		"generation went down"},
	    {"not in force in time",
		{E("config_accepted", {{"generation", "2"}, {"digest", "x"}},
		     0),
		    E("config_seen",
			{{"daemon", "d"}, {"generation", "1"}, {"digest", "y"}},
			13000001)},
		"not in force"},
	    {"split generation",
		{E("config_accepted", {{"generation", "2"}, {"digest", "x"}}),
		    E("config_seen",
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

#include "history/checker.h"

#include <algorithm>
#include <set>

namespace
{

const int64_t kLeavingGraceUs = 3000000;
const int64_t kConfigInForceUs = 13000000;

using Violations = std::vector<std::string>;

/* Every pass over a finished job's results has one result per accepted item. */
void
CheckItems(const History &h, Violations &out)
{
	std::map<std::string, int64_t> accepted;
	std::set<std::string> done;
	std::map<std::string, std::map<std::string, std::map<int64_t, int>>>
	    passes;

	for (const auto &ev : h) {
		if (ev.kind == "job_accepted")
			accepted[ev.Get("job")] = ev.Int("items");
		if (ev.kind == "job_done")
			done.insert(ev.Get("job"));
		if (ev.kind == "result")
			passes[ev.Get("job")][ev.Get("pass")]
			      [ev.Int("index")]++;
	}
	for (const auto &job : passes)
		for (const auto &pass : job.second)
			for (const auto &item : pass.second)
				if (item.second > 1)
					out.push_back(
					    "item twice in " + job.first);
	for (const auto &job : done) {
		if (passes[job].empty())
			out.push_back("results never read for " + job);
		for (const auto &pass : passes[job])
			if ((int64_t)pass.second.size() != accepted[job])
				out.push_back("item lost from " + job);
	}
}

/* No result is added after a cancellation is acknowledged. */
void
CheckCancel(const History &h, Violations &out)
{
	std::map<std::string, std::set<int64_t>> known;
	std::map<std::string, std::string> first_pass;
	std::set<std::string> cancelled;

	for (const auto &ev : h) {
		std::string job = ev.Get("job");

		if (ev.kind == "job_cancelled")
			cancelled.insert(job);
		if (ev.kind != "result" || cancelled.count(job) == 0)
			continue;
		if (first_pass[job].empty())
			first_pass[job] = ev.Get("pass");
		if (first_pass[job] == ev.Get("pass"))
			known[job].insert(ev.Int("index"));
		else if (known[job].count(ev.Int("index")) == 0)
			out.push_back("result after cancellation of " + job);
	}
	for (const auto &ev : h)
		if (ev.kind == "job_done" && cancelled.count(ev.Get("job")))
			out.push_back(
			    "cancelled job went on: " + ev.Get("job"));
}

/* Each caller receives the complete answer to its own request. */
void
CheckAnswers(const History &h, Violations &out)
{
	std::map<std::string, int> answers;

	for (const auto &ev : h) {
		if (ev.kind == "chat_cut")
			out.push_back("cut answer: " + ev.Get("request"));
		if (ev.kind != "chat_answer")
			continue;
		if (ev.Get("got") != ev.Get("expected"))
			out.push_back("wrong answer: " + ev.Get("request"));
		if (++answers[ev.Get("request")] > 1)
			out.push_back("two answers: " + ev.Get("request"));
	}
}

/*
 * A key runs at most once. Each refusal that reports "did not run" rules out
 * one of the key's requests: only another one of them may have run.
 */
void
CheckCalls(const History &h, Violations &out)
{
	std::map<std::string, int> runs, may_have_run;

	for (const auto &ev : h) {
		std::string key = ev.Get("key");

		if (ev.kind == "call_sent")
			may_have_run[key]++;
		if (ev.kind == "refused" && ev.Get("ran") == "no")
			may_have_run[key]--;
		if (ev.kind == "call_run" && ++runs[key] == 2)
			out.push_back("ran twice: " + key);
	}
	for (const auto &run : runs)
		if (run.second > may_have_run[run.first])
			out.push_back("ran though refused: " + run.first);
}

void
CheckLeaving(const History &h, Violations &out)
{
	std::map<std::string, int64_t> leaving_since;

	for (const auto &ev : h)
		if (ev.kind == "target_leaving")
			leaving_since[ev.Get("target")] = ev.time_us;
	for (const auto &ev : h) {
		auto it = leaving_since.find(ev.Get("target"));

		if (ev.kind == "target_run" && it != leaving_since.end() &&
		    ev.time_us > it->second + kLeavingGraceUs)
			out.push_back(
			    "new work for leaving target " + ev.Get("target"));
	}
}

void
CheckConfig(const History &h, Violations &out)
{
	std::map<std::string, std::string> digests;
	std::map<std::string, int64_t> in_force;
	std::map<std::string, int64_t> last_poll;
	std::map<int64_t, int64_t> accepted;

	for (const auto &ev : h) {
		std::string generation = ev.Get("generation");
		std::string daemon = ev.Get("daemon");

		if (ev.kind != "config_accepted" && ev.kind != "config_seen")
			continue;
		if (!digests[generation].empty() &&
		    digests[generation] != ev.Get("digest"))
			out.push_back(
			    "two documents for generation " + generation);
		digests[generation] = ev.Get("digest");
		if (ev.kind == "config_accepted") {
			accepted[ev.Int("generation")] = ev.time_us;
			continue;
		}
		if (ev.Int("generation") < in_force[daemon])
			out.push_back("generation went down at " + daemon);
		in_force[daemon] = ev.Int("generation");
		for (const auto &acc : accepted)
			if (acc.first > ev.Int("generation") &&
			    ev.time_us > acc.second + kConfigInForceUs)
				out.push_back(
				    "configuration not in force in time at " +
				    daemon);
	}
}

} // namespace

std::vector<std::string>
CheckHistory(const History &history)
{
	Violations out;

	CheckItems(history, out);
	CheckCancel(history, out);
	CheckAnswers(history, out);
	CheckCalls(history, out);
	CheckLeaving(history, out);
	CheckConfig(history, out);
	return out;
}

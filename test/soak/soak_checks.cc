/* What callers and workers saw, against the guarantees. */
#include <stdio.h>

#include "soak/soak.h"

namespace
{

/* The installation's time for open jobs once traffic and faults have ended. */
const int64_t kFinishUs = 18 * 1000000;
/* After it, jobs may take longer only while results are still listed. */
const int64_t kProgressUs = 3 * 1000000;
/* Daemons at which a finished job is read, of many. */
const size_t kReadersMax = 12;

/* "Not run, and never will be". */
bool
IsPromise(long status)
{
	return status == 429 || status == 503 || status == 408 || status == 421;
}

std::string
ExpectedText(const std::string &item, const std::string &path, int events)
{
	std::string text;

	for (int n = 1; n <= events; n++)
		text +=
		    (n > 1 ? "\n" : "") + path + item + "-" + std::to_string(n);
	return text;
}

std::string
Member(json_t *doc, const char *name)
{
	const char *text = json_string_value(json_object_get(doc, name));

	return text != nullptr ? text : "";
}

} // namespace

bool
Job::WasRefused() const
{
	for (auto &a : answers)
		if (!IsPromise(a.second))
			return false;
	return !answers.empty();
}

std::string
Job::AnswersText() const
{
	std::string text;

	for (auto &a : answers)
		text += " d" + std::to_string(a.first) + ":" +
		    std::to_string(a.second);
	return text;
}

/* The caller holds no lock. */
void
Soak::CheckResult(const std::string &id, Job &job, int position,
    const JobResult &result, size_t daemon)
{
	std::string at = " of " + result.item + " at d" +
	    std::to_string(daemon) + ", position " + std::to_string(position);
	bool is_own = result.item.compare(0, id.size() + 1, id + "-") == 0;
	bool is_text =
	    result.text == ExpectedText(result.item, "/b/", job.events) ||
	    result.text == ExpectedText(result.item, "/l/", job.events);
	auto first = job.results.find(position);

	if (!is_own)
		Fail("MIXED: job " + id + " lists another's item" + at);
	if (result.state != "completed")
		Fail("MIXED: state " + result.state + at);
	else if (!is_text)
		Fail("ORDER: text" + at + " is not events 1-" +
		    std::to_string(job.events));
	if (first != job.results.end() && !(first->second == result))
		Fail("TWICE: the result" + at + " has changed");
	for (auto &r : job.results)
		if (r.first != position && r.second.item == result.item)
			Fail("TWICE: a second position" + at);
}

/* Reports changed results. @return true if every item has one */
bool
Soak::ReadJob(size_t daemon, const std::string &id)
{
	Headers headers = KeyOf(id, (unsigned)daemon);

	headers.emplace_back("Host: a.example");
	Reply r = Http("GET", FrontUrl(daemon) + "/api/lots/" + id + "?after=0",
	    "", headers, kCallTimeoutS);
	json_t *doc =
	    r.status == 200 ? json_loads(r.body.c_str(), 0, nullptr) : nullptr;
	json_t *list = json_object_get(doc, "results");
	json_t *res;
	size_t i;
	Job job;

	{
		std::lock_guard<std::mutex> guard(lock_);
		job = jobs_[id];
	}
	if (r.status == 401)
		Fail("TEAM: 401 to a valid key, " + id);
	if (r.status == 404)
		Fail("LOST: job " + id + " is unknown at d" +
		    std::to_string(daemon));
	if (r.status == 200 &&
	    json_integer_value(json_object_get(doc, "total_count")) !=
		job.items)
		Fail("MIXED: total of job " + id);
	json_array_foreach(list, i, res)
	{
		JobResult result = {Member(res, "id"), Member(res, "state"),
		    Member(res, "output_text")};

		CheckResult(id, job, (int)i, result, daemon);
		job.results[(int)i] = result;
	}
	if (r.status == 200) {
		std::lock_guard<std::mutex> guard(lock_);
		jobs_[id].results.insert(
		    job.results.begin(), job.results.end());
	}
	i = json_array_size(list);
	json_decref(doc);
	return (int)i == job.items;
}

void
Soak::CheckDaemonsServe()
{
	for (size_t i = 0; i < front_ports_.size(); i++) {
		int n = 0;
		bool serves = Eventually([&] {
			std::string id = "end" + std::to_string(i) + "-" +
			    std::to_string(n++);

			return Http("POST", FrontUrl(i) + "/q/" + id,
				   "{\"events\":1}", RequestHeaders(id),
				   kCallTimeoutS)
				   .status == 200;
		});

		if (!serves)
			Fail("RECOVER: daemon " + std::to_string(i) +
			    " serves no requests after the faults");
	}
}

int
Soak::ListedCount()
{
	int n = 0;

	for (auto &j : jobs_)
		n += (int)j.second.results.size();
	return n;
}

void
Soak::CheckJobs(int64_t calm_us)
{
	int64_t progress_us = NowUs();
	std::set<std::string> open;
	size_t turn = 0;
	int listed = 0;

	for (auto &j : jobs_)
		if (j.second.is_accepted)
			open.insert(j.first);
	while (!open.empty() &&
	    (NowUs() - calm_us < kFinishUs ||
		NowUs() - progress_us < kProgressUs)) {
		for (auto it = open.begin(); it != open.end(); turn++)
			it = ReadJob(turn % front_ports_.size(), *it)
			    ? open.erase(it)
			    : std::next(it);
		if (ListedCount() > listed)
			progress_us = NowUs();
		listed = ListedCount();
		SleepMs(100);
	}
	for (auto &id : open)
		Fail("LOST: job " + id + " is not finished," +
		    jobs_[id].AnswersText());
	/* The results are the same everywhere. */
	for (auto &j : jobs_)
		for (size_t i = 0;
		     j.second.is_accepted && open.count(j.first) == 0 &&
		     i < std::min(kReadersMax, front_ports_.size());
		     i++)
			ReadJob(turn++ % front_ports_.size(), j.first);
}

/* Each worker prints what it runs; those that have ended included. */
std::map<std::string, int>
Soak::CountRuns()
{
	std::map<std::string, int> runs;
	std::string all;
	size_t at = 0;

	for (auto *list : {&workers_, &ended_workers_})
		for (auto &worker : *list)
			all += worker->Output();
	while ((at = all.find("ran ", at)) != std::string::npos) {
		size_t end = all.find('\n', at);

		runs[all.substr(at + 4, end - at - 4)]++;
		at = end;
	}
	return runs;
}

void
Soak::CheckRuns()
{
	std::map<std::string, int> runs = CountRuns();

	for (auto &a : attempts_) {
		if (a.second.is_at_most_once && runs[a.first] > 1)
			Fail("TWICE: " + a.first + " ran more than once");
		if (a.second.was_refused && runs[a.first] > 0)
			Fail("REFUSED: " + a.first + " ran");
	}
	for (auto &j : jobs_)
		for (int i = 0; j.second.WasRefused() && i < j.second.items;
		     i++)
			if (runs[j.first + "-" + std::to_string(i)] > 0)
				Fail("REFUSED: item " + std::to_string(i) +
				    " of " + j.first + " ran," +
				    j.second.AnswersText());
}

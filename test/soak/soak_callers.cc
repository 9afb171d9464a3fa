/* Callers, submitters and readers of the soak. */
#include "soak/soak.h"

namespace
{

const int kAttemptsMax = 4;
/* Items of a job whose bodies are together larger than a row. */
const size_t kLargeBodyBytes = 90000;
const int kSubmitGapMs = 60;
const int kReadGapMs = 30;
const int kCallGapMs = 20;

std::string
ItemsDocument(const std::string &id, const std::string &route, const Job &job,
    int pace_ms, size_t pad)
{
	std::string body = "{\"events\":" + std::to_string(job.events) +
	    ",\"pace_ms\":" + std::to_string(pace_ms) + ",\"pad\":\"" +
	    std::string(pad, 'x') + "\"}";
	char *b64 = g_base64_encode((const guchar *)body.data(), body.size());
	std::string doc = "{\"requests\":[";

	for (int i = 0; i < job.items; i++) {
		std::string item = id + "-" + std::to_string(i);

		doc += std::string(i > 0 ? "," : "") + "{\"id\":\"" + item +
		    "\",\"target_path\":\"/" + route + "/" + item +
		    "\",\"headers\":{},\"body\":\"" + b64 + "\",\"tokens\":9}";
	}
	g_free(b64);
	return doc + "]}";
}

} // namespace

void
Soak::SendRequest(std::mt19937 &rand, int number, unsigned seed)
{
	bool is_at_most_once = Pick(rand, 3) == 0;
	int events = 2 + (int)Pick(rand, 30);
	std::string id =
	    "c" + std::to_string(seed) + "-" + std::to_string(number);
	std::string path = (is_at_most_once ? "/f/" : "/q/") + id;
	std::string expected;
	Headers headers = RequestHeaders(id);

	headers.emplace_back("X-Deadline-Ms: 4000");
	Reply r = Http("POST",
	    "http://" +
		LoopbackAddress(front_ports_[Pick(rand, front_ports_.size())]) +
		path,
	    "{\"events\":" + std::to_string(events) +
		",\"pace_ms\":5,\"id\":\"" + id + "\"}",
	    headers, kCallTimeoutS);

	for (int n = 1; n <= events; n++)
		expected += "id: " + std::to_string(n) + "\ndata: " + path +
		    "-" + std::to_string(n) + "\n\n";
	if (r.status == 401)
		Fail("TEAM: 401 to a valid key, " + id);
	if (r.status == 200 && r.body != expected)
		Fail("MIXED: the answer to " + id +
		    " is incomplete or not its own");
	std::lock_guard<std::mutex> guard(lock_);
	attempts_[id] = {is_at_most_once, r.status == 503 || r.status == 429};
	served_ += r.status == 200;
}

void
Soak::RunCaller(unsigned seed)
{
	std::mt19937 rand(seed);

	for (int i = 0; !stopping_; i++) {
		SendRequest(rand, i, seed);
		if (opts_.overlap)
			SleepMs(kCallGapMs);
	}
}

void
Soak::SubmitJob(std::mt19937 &rand, const std::string &id, int items)
{
	Job job;

	job.items = items;
	job.events = 40;
	for (int i = 0; i < 3 && !job.is_accepted; i++) {
		size_t daemon = Pick(rand, front_ports_.size());
		Reply r = Http("POST", FrontUrl(daemon) + "/b/" + id,
		    ItemsDocument(id, "b", job, 10, 0), RequestHeaders(id),
		    kCallTimeoutS);

		job.answers.emplace_back(daemon, r.status);
		job.is_accepted = r.status == 202;
	}
	std::lock_guard<std::mutex> guard(lock_);
	jobs_[id] = job;
}

/* Each attempt goes to another daemon, and may leave soon. */
void
Soak::SubmitAtSeveral(std::mt19937 &rand, const std::string &id)
{
	bool is_limited = Pick(rand, 4) == 0;
	size_t pad = Pick(rand, 3) == 0 ? kLargeBodyBytes : 1;
	size_t attempts = 1 + Pick(rand, kAttemptsMax);
	size_t daemon = Pick(rand, front_ports_.size());
	std::string route = is_limited ? "l" : "b";
	std::string doc;
	Job job;

	job.items = 1 + (int)Pick(rand, 4);
	job.events = 20;
	doc = ItemsDocument(id, route, job, 5, pad);
	for (size_t i = 0; i < attempts && !job.is_accepted; i++) {
		Reply r =
		    Http("POST", FrontUrl(daemon) + "/" + route + "/" + id, doc,
			RequestHeaders(id), 1 + (long)Pick(rand, 4));

		job.answers.emplace_back(daemon, r.status);
		job.is_accepted = r.status == 202;
		daemon = (daemon + 1 + Pick(rand, front_ports_.size())) %
		    front_ports_.size();
	}
	std::lock_guard<std::mutex> guard(lock_);
	jobs_[id] = job;
}

void
Soak::RunSubmitter(unsigned seed)
{
	std::mt19937 rand(seed);

	for (int i = 0; !stopping_; i++) {
		std::string id =
		    "j" + std::to_string(seed) + "-" + std::to_string(i);

		if (opts_.overlap)
			SubmitAtSeveral(rand, id);
		else
			SubmitJob(rand, id, 1 + (int)Pick(rand, 5));
		SleepMs(opts_.overlap ? kSubmitGapMs : 200);
	}
}

void
Soak::RunReader(unsigned seed)
{
	std::mt19937 rand(seed);

	while (!stopping_) {
		std::string id;
		{
			std::lock_guard<std::mutex> guard(lock_);

			if (!jobs_.empty()) {
				auto it = jobs_.begin();

				std::advance(it, Pick(rand, jobs_.size()));
				if (it->second.is_accepted)
					id = it->first;
			}
		}
		if (!id.empty()) {
			size_t daemon = Pick(rand, front_ports_.size());

			if (opts_.teams > 1)
				TryAsAnotherTeam(daemon, id);
			ReadJob(daemon, id);
		}
		SleepMs(kReadGapMs);
	}
}

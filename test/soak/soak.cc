/*
 * Randomized soak test of the gateway with fault injection: runs the real
 * processes on loopback, injects faults from outside, and checks the guarantees
 * against what callers and workers observe.
 *
 *   soak --seed=N --seconds=S [--daemons=D] [--workers=W]
 *
 * The seed determines the injected faults. Prints one line per violation and
 * ends with "N passed, N failed".
 */
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <atomic>
#include <map>
#include <random>
#include <set>

#include "functional/harness.h"
#include "soak/proxy.h"

namespace
{

const long kCallTimeoutS = 6;
const int kJobsDoneTimeoutS = 60;

void
SleepMs(int ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

struct Options {
	unsigned seed = 1;
	int seconds = 6;
	int daemons = 3;
	int workers = 3;
};

/* Outcome of one caller's request. */
struct Attempt {
	bool is_at_most_once = false;
	bool was_refused = false;
};

struct Job {
	int items = 0;
	bool is_accepted = false;
	bool may_run = false;
	/** Item by position in the results, as first read. */
	std::map<int, std::string> positions;
};

class Soak
{
      public:
	explicit Soak(const Options &o) : opts_(o), rand_(o.seed)
	{
	}

	int Run();

      private:
	void StartAll();
	void StartDaemon(size_t i);
	void PutRow(const char *table, const std::string &key, json_t *value);
	void RegisterWorkers();
	void InjectFaults();
	void InjectFault();
	void DaemonFault(int kind);
	void StoreFault(int kind);
	void WorkerFault(int kind);
	void ClearFaults();
	void RunCaller(unsigned seed);
	void SendRequest(std::mt19937 &rand, int number, unsigned seed);
	void RunSubmitter(unsigned seed);
	void SubmitJob(std::mt19937 &rand, const std::string &id, int items);
	bool ReadJob(size_t daemon, const std::string &id, Job &job);
	void CheckDaemonsServe();
	void CheckJobs();
	void CheckRuns();
	std::map<std::string, int> CountRuns();
	void Fail(const std::string &what);

	size_t
	Pick(std::mt19937 &rand, size_t n)
	{
		return std::uniform_int_distribution<size_t>(0, n - 1)(rand);
	}

	Options opts_;
	std::mt19937 rand_;
	std::unique_ptr<Process> store_;
	int store_port_ = 0;
	std::vector<std::unique_ptr<Process>> workers_, daemons_;
	std::vector<int> worker_ports_, front_ports_, ready_ports_, peer_ports_;
	std::vector<std::unique_ptr<Proxy>> worker_proxies_, store_proxies_;
	std::atomic<bool> stopping_{false};
	std::mutex lock_;
	std::map<std::string, Attempt> attempts_;
	std::map<std::string, Job> jobs_;
	int served_ = 0;
	int failed_ = 0;
};

void
Soak::Fail(const std::string &what)
{
	std::lock_guard<std::mutex> guard(lock_);

	printf("seed %u: %s\n", opts_.seed, what.c_str());
	failed_++;
}

void
Soak::PutRow(const char *table, const std::string &key, json_t *value)
{
	char *text = json_dumps(value, 0);
	json_t *doc = json_pack(
	    "{s:s,s:s,s:s}", "table", table, "key", key.c_str(), "value", text);
	char *body = json_dumps(doc, 0);

	Http("POST", "http://" + LoopbackAddress(store_port_) + "/put", body);
	free(body);
	free(text);
	json_decref(doc);
	json_decref(value);
}

void
Soak::RegisterWorkers()
{
	for (size_t i = 0; i < workers_.size(); i++)
		PutRow("servers", "i-" + std::to_string(i),
		    json_pack("{s:s,s:s,s:s,s:i,s:s,s:i}", "service", "llm",
			"addr",
			LoopbackAddress(worker_proxies_[i]->Port()).c_str(),
			"zone", "dc1", "slot_count", 8, "state", "ready",
			"born", 1));
}

void
Soak::StartDaemon(size_t i)
{
	daemons_[i].reset(new Process({Env("SF_BIN"), "serve",
	    "--adapter=platform", "--name=d" + std::to_string(i),
	    "--front-listen=" + LoopbackAddress(front_ports_[i]),
	    "--ready-listen=" + LoopbackAddress(ready_ports_[i]),
	    "--peer-listen=" + LoopbackAddress(peer_ports_[i]),
	    "--peers=" + LoopbackAddress(peer_ports_[0]),
	    "--platform-url=http://" +
		LoopbackAddress(store_proxies_[i]->Port()) + "/d" +
		std::to_string(i),
	    "--drain-timeout-ms=4000"}));
}

void
Soak::StartAll()
{
	const char route[] =
	    R"({"name":"%s","host":"a.example","path_prefix":"/%s/","kind":"%s",
	    "timeout_ms":4000,"target_latency_ms":400,"service":"llm",
	    "max_attempts":%d,"resumable":%s,"target_gap_ms":300,
	    "target_done_ms":18000,"item_ttl_s":600})";
	std::string routes;
	const char *kinds[][5] = {{"q", "streaming", "3", "true"},
	    {"f", "streaming", "1", "false"}, {"b", "batch", "3", "true"}};

	store_port_ = FreePort();
	store_.reset(new Process({Env("SF_STANDIN"), "rows",
	    "--port=" + std::to_string(store_port_)}));
	store_->WaitLine("listening");
	for (auto &k : kinds) {
		char *text =
		    g_strdup_printf(route, k[0], k[0], k[1], atoi(k[2]), k[3]);

		routes += std::string(routes.empty() ? "" : ",") + text;
		g_free(text);
	}
	PutRow("op", "config",
	    json_loads(("{\"version\":1,\"routes\":[" + routes +
			   "],\"services\":[{\"name\":\"llm\"}],"
			   "\"limits\":{}}")
			   .c_str(),
		0, nullptr));
	for (int i = 0; i < opts_.workers; i++) {
		worker_ports_.push_back(FreePort());
		workers_.emplace_back(new Process(
		    {Env("SF_STANDIN"), "worker", "--id=i-" + std::to_string(i),
			"--port=" + std::to_string(worker_ports_[i])}));
		workers_[i]->WaitLine("listening");
		worker_proxies_.emplace_back(new Proxy(worker_ports_[i]));
	}
	RegisterWorkers();
	for (int i = 0; i < opts_.daemons; i++) {
		front_ports_.push_back(FreePort());
		ready_ports_.push_back(FreePort());
		peer_ports_.push_back(FreePort());
		store_proxies_.emplace_back(new Proxy(store_port_));
		daemons_.emplace_back(nullptr);
	}
	for (int i = 0; i < opts_.daemons; i++)
		StartDaemon((size_t)i);
}

void
Soak::DaemonFault(int kind)
{
	size_t i = Pick(rand_, daemons_.size());
	int ms = (int)Pick(rand_, 1500);

	switch (kind) {
	case 0:
		daemons_[i]->Signal(SIGKILL);
		daemons_[i]->Wait();
		SleepMs(ms / 3);
		StartDaemon(i);
		break;
	case 1:
		/* Repeated signals must not disturb the shutdown. */
		daemons_[i]->Signal(SIGTERM);
		daemons_[i]->Signal(SIGHUP);
		daemons_[i]->Signal(SIGTERM);
		if (daemons_[i]->Wait() != 0)
			Fail("a daemon did not exit cleanly on SIGTERM");
		StartDaemon(i);
		break;
	case 2:
		daemons_[i]->Signal(SIGSTOP);
		SleepMs(ms);
		daemons_[i]->Signal(SIGCONT);
		break;
	default:
		/* All daemons at once. */
		for (auto &daemon : daemons_)
			daemon->Signal(SIGKILL);
		for (auto &daemon : daemons_)
			daemon->Wait();
		for (size_t k = 0; k < daemons_.size(); k++)
			StartDaemon(k);
	}
}

void
Soak::StoreFault(int kind)
{
	std::string url = "http://" + LoopbackAddress(store_port_) + "/fault";
	size_t i = Pick(rand_, daemons_.size());
	int ms = (int)Pick(rand_, 2000);

	switch (kind) {
	case 0:
		Http("POST", url, "{\"outage\":true}");
		break;
	case 1:
		Http("POST", url,
		    "{\"turned_away\":\"d" + std::to_string(i) + "\"}");
		break;
	case 2:
		Http("POST", url, "{\"lose_answers\":3,\"forget\":true}");
		break;
	default:
		store_proxies_[i]->SetMode(
		    (LinkMode)(1 + Pick(rand_, (size_t)LinkMode::kCount - 1)));
	}
	SleepMs(ms);
	store_proxies_[i]->SetMode(LinkMode::kPass);
	Http("POST", url, "{}");
}

void
Soak::WorkerFault(int kind)
{
	static const char *const faults[] = {"{\"cut_after\":4}",
	    "{\"shed\":4}", "{\"cross\":2}", "{\"unsigned\":2}",
	    "{\"silent\":2}"};
	size_t i = Pick(rand_, workers_.size());
	int ms = (int)Pick(rand_, 1500);

	if (kind == 0) {
		workers_[i]->Signal(SIGSTOP);
		SleepMs(ms);
		workers_[i]->Signal(SIGCONT);
	} else if (kind == 1) {
		worker_proxies_[i]->SetMode(
		    (LinkMode)(1 + Pick(rand_, (size_t)LinkMode::kCount - 1)));
		SleepMs(ms);
		worker_proxies_[i]->SetMode(LinkMode::kPass);
	} else {
		Http("POST",
		    "http://" + LoopbackAddress(worker_ports_[i]) + "/fault",
		    faults[Pick(rand_, G_N_ELEMENTS(faults))], {},
		    kCallTimeoutS);
	}
}

void
Soak::InjectFault()
{
	switch (Pick(rand_, 3)) {
	case 0:
		DaemonFault((int)Pick(rand_, 4));
		break;
	case 1:
		StoreFault((int)Pick(rand_, 4));
		break;
	default:
		WorkerFault((int)Pick(rand_, 3));
	}
}

void
Soak::InjectFaults()
{
	int64_t end_us = NowUs() + (int64_t)opts_.seconds * 1000000;

	SleepMs(500);
	while (NowUs() < end_us) {
		InjectFault();
		SleepMs((int)Pick(rand_, 400));
	}
}

void
Soak::ClearFaults()
{
	for (auto &proxy : store_proxies_)
		proxy->SetMode(LinkMode::kPass);
	for (auto &proxy : worker_proxies_)
		proxy->SetMode(LinkMode::kPass);
	Http("POST", "http://" + LoopbackAddress(store_port_) + "/fault", "{}");
	for (int port : worker_ports_)
		Http(
		    "POST", "http://" + LoopbackAddress(port) + "/fault", "{}");
}

void
Soak::SendRequest(std::mt19937 &rand, int number, unsigned seed)
{
	bool is_at_most_once = Pick(rand, 3) == 0;
	int events = 2 + (int)Pick(rand, 30);
	std::string id =
	    "c" + std::to_string(seed) + "-" + std::to_string(number);
	std::string path = (is_at_most_once ? "/f/" : "/q/") + id;
	std::string expected;
	Reply r = Http("POST",
	    "http://" +
		LoopbackAddress(front_ports_[Pick(rand, front_ports_.size())]) +
		path,
	    "{\"events\":" + std::to_string(events) +
		",\"pace_ms\":5,\"id\":\"" + id + "\"}",
	    {"Host: a.example", "X-Attempt-Id: " + id, "X-Deadline-Ms: 4000"},
	    kCallTimeoutS);

	for (int n = 1; n <= events; n++)
		expected += "id: " + std::to_string(n) + "\ndata: " + path +
		    "-" + std::to_string(n) + "\n\n";
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

	for (int i = 0; !stopping_; i++)
		SendRequest(rand, i, seed);
}

void
Soak::SubmitJob(std::mt19937 &rand, const std::string &id, int items)
{
	std::string doc = "{\"requests\":[";
	char *body = g_base64_encode(
	    (const guchar *)"{\"events\":40,\"pace_ms\":10}", 26);
	Job job;

	for (int i = 0; i < items; i++)
		doc += std::string(i > 0 ? "," : "") + "{\"id\":\"" + id + "-" +
		    std::to_string(i) + "\",\"target_path\":\"/b/" + id + "-" +
		    std::to_string(i) + "\",\"headers\":{},\"body\":\"" + body +
		    "\",\"tokens\":1}";
	doc += "]}";
	g_free(body);
	job.items = items;
	for (int i = 0; i < 3 && !job.is_accepted; i++) {
		Reply r = Http("POST",
		    "http://" +
			LoopbackAddress(
			    front_ports_[Pick(rand, front_ports_.size())]) +
			"/b/" + id,
		    doc, {"Host: a.example", "X-Attempt-Id: " + id},
		    kCallTimeoutS);

		job.is_accepted = r.status == 202;
		job.may_run =
		    job.may_run || (r.status != 503 && r.status != 429);
	}
	std::lock_guard<std::mutex> guard(lock_);
	jobs_[id] = job;
}

void
Soak::RunSubmitter(unsigned seed)
{
	std::mt19937 rand(seed);

	for (int i = 0; !stopping_; i++) {
		SubmitJob(rand,
		    "j" + std::to_string(seed) + "-" + std::to_string(i),
		    1 + (int)Pick(rand, 5));
		SleepMs(200);
	}
}

/* Reports changed results. @return true if every item has one */
bool
Soak::ReadJob(size_t daemon, const std::string &id, Job &job)
{
	Reply r = Http("GET",
	    "http://" + LoopbackAddress(front_ports_[daemon]) + "/api/lots/" +
		id + "?after=0",
	    "", {"Host: a.example"}, kCallTimeoutS);
	json_t *doc =
	    r.status == 200 ? json_loads(r.body.c_str(), 0, nullptr) : nullptr;
	json_t *list = json_object_get(doc, "results");
	std::set<std::string> seen;
	json_t *res;
	size_t i;

	if (r.status == 404)
		Fail("LOST: job " + id + " is unknown");
	json_array_foreach(list, i, res)
	{
		std::string item =
		    json_string_value(json_object_get(res, "id"));
		std::string text =
		    json_string_value(json_object_get(res, "output_text"));
		std::string expected;

		for (int n = 1; n <= 40; n++)
			expected += (n > 1 ? "\n/b/" : "/b/") + item + "-" +
			    std::to_string(n);
		if (!seen.insert(item).second)
			Fail("TWICE: item " + item + " is listed twice");
		if (text != expected)
			Fail("ORDER: text of " + item + " is not events 1-40");
		if (job.positions.count((int)i) != 0 &&
		    job.positions[(int)i] != item)
			Fail("TWICE: position of " + item + " has changed");
		job.positions[(int)i] = item;
	}
	json_decref(doc);
	return (int)seen.size() == job.items;
}

void
Soak::CheckDaemonsServe()
{
	for (size_t i = 0; i < front_ports_.size(); i++) {
		int n = 0;
		bool serves = Eventually([&] {
			std::string id = "end" + std::to_string(i) + "-" +
			    std::to_string(n++);

			return Http("POST",
				   "http://" +
				       LoopbackAddress(front_ports_[i]) +
				       "/q/" + id,
				   "{\"events\":1}",
				   {"Host: a.example", "X-Attempt-Id: " + id},
				   kCallTimeoutS)
				   .status == 200;
		});

		if (!serves)
			Fail("RECOVER: daemon " + std::to_string(i) +
			    " serves no requests after the faults");
	}
}

void
Soak::CheckJobs()
{
	int64_t end_us = NowUs() + (int64_t)kJobsDoneTimeoutS * 1000000;

	for (auto &j : jobs_) {
		bool done = !j.second.is_accepted;

		for (size_t n = 0; !done && NowUs() < end_us; n++) {
			done =
			    ReadJob(n % front_ports_.size(), j.first, j.second);
			if (!done)
				SleepMs(100);
		}
		if (!done)
			Fail("LOST: job " + j.first + " is not finished");
		/* Every daemon must return the same results. */
		for (size_t i = 0;
		     j.second.is_accepted && i < front_ports_.size(); i++)
			ReadJob(i, j.first, j.second);
	}
}

std::map<std::string, int>
Soak::CountRuns()
{
	std::map<std::string, int> runs;

	for (int port : worker_ports_) {
		Reply r =
		    Http("GET", "http://" + LoopbackAddress(port) + "/seen");
		json_t *doc = json_loads(r.body.c_str(), 0, nullptr);
		json_t *id;
		size_t i;

		json_array_foreach(json_object_get(doc, "ran"), i, id)
		{
			runs[json_string_value(id)]++;
		}
		json_decref(doc);
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
		for (int i = 0; !j.second.may_run && i < j.second.items; i++)
			if (runs[j.first + "-" + std::to_string(i)] > 0)
				Fail("REFUSED: an item of " + j.first + " ran");
}

int
Soak::Run()
{
	std::vector<std::thread> threads;

	StartAll();
	CheckDaemonsServe();
	for (unsigned i = 0; i < 4; i++)
		threads.emplace_back(
		    &Soak::RunCaller, this, opts_.seed * 100 + i);
	threads.emplace_back(&Soak::RunSubmitter, this, opts_.seed * 100 + 50);
	InjectFaults();
	stopping_ = true;
	for (auto &thread : threads)
		thread.join();
	ClearFaults();
	CheckDaemonsServe();
	CheckJobs();
	CheckRuns();
	printf("seed %u: %zu requests, %d served, %zu jobs\n", opts_.seed,
	    attempts_.size(), served_, jobs_.size());
	printf("%d passed, %d failed\n", failed_ == 0 ? 1 : 0,
	    failed_ == 0 ? 0 : 1);
	return failed_ == 0 ? 0 : 1;
}

} // namespace

int
main(int argc, char **argv)
{
	Options o;

	for (int i = 1; i < argc; i++) {
		if (sscanf(argv[i], "--seed=%u", &o.seed) == 1 ||
		    sscanf(argv[i], "--seconds=%d", &o.seconds) == 1 ||
		    sscanf(argv[i], "--daemons=%d", &o.daemons) == 1 ||
		    sscanf(argv[i], "--workers=%d", &o.workers) == 1)
			continue;
		fprintf(stderr,
		    "usage: soak [--seed=N] [--seconds=S] [--daemons=D] "
		    "[--workers=W]\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	return Soak(o).Run();
}

#ifndef TEST_SOAK_SOAK_H
#define TEST_SOAK_SOAK_H

#include <glib.h>
#include <jansson.h>

#include <atomic>
#include <functional>
#include <map>
#include <random>
#include <set>

#include "functional/harness.h"
#include "soak/proxy.h"

/* Randomized soak test of the gateway: real processes on loopback, faults from
 * a seed, and checks of what callers and workers observe. */

const long kCallTimeoutS = 6;
const int kSlotsPerWorker = 8;

void SleepMs(int ms);

struct Options {
	unsigned seed = 1;
	int seconds = 6;
	int daemons = 3;
	int workers = 3;
	int data_centers = 1;
	/** Faults overlap and follow each other, also on the way of one daemon
	 * to the store. */
	bool overlap = false;
	/** Teams of the configuration; 0: requests need no key. */
	int teams = 0;
	/** Directory for the logs of a run that fails; empty: none. */
	std::string logs;
};

/* Outcome of one caller's request. */
struct Attempt {
	bool is_at_most_once = false;
	bool was_refused = false;
};

struct JobResult {
	std::string item;
	std::string state;
	std::string text;

	bool
	operator==(const JobResult &o) const
	{
		return item == o.item && state == o.state && text == o.text;
	}
};

struct Job {
	int items = 0;
	int events = 0;
	/** Status of each attempt to submit it, with the daemon asked. */
	std::vector<std::pair<size_t, long>> answers;
	bool is_accepted = false;
	/** Results by position, as first read. */
	std::map<int, JobResult> results;

	/** Each attempt was answered with a promise that nothing runs. */
	bool WasRefused() const;
	std::string AnswersText() const;
};

/* A fault of the overlapping plan. */
struct PlannedFault {
	int at_ms;
	int kind;
	size_t target;
	int duration_ms;
	unsigned param;
};

enum class DaemonState { kUp, kPaused, kEnding, kDown };

class Soak
{
      public:
	explicit Soak(const Options &o) : opts_(o), rand_(o.seed)
	{
	}

	int Run();

      private:
	/* soak_fleet.cc */
	void StartAll();
	void StartStore();
	void StartWorkers();
	void StartWorker(size_t i);
	void StartDaemon(size_t i);
	void KeepLog(size_t i);
	void PutRow(const char *table, const std::string &key, json_t *value);
	void RegisterWorker(size_t i);
	void PostToStore(const std::string &path, const std::string &body);
	std::string FrontUrl(size_t i) const;
	std::string DataCenter(size_t i) const;
	void WriteLogs();

	/* soak_faults.cc: one fault at a time. */
	void InjectFaults();
	void InjectFault();
	void DaemonFault(int kind);
	void StoreFault(int kind);
	void WorkerFault(int kind);
	void ClearFaults();

	/* soak_overlap.cc: faults that overlap. */
	void PlanFaults();
	void PlayFaults();
	void Begin(const PlannedFault &fault);
	void BeginDaemonFault(const PlannedFault &fault);
	void BeginStoreFault(const PlannedFault &fault);
	void BeginWorkerFault(const PlannedFault &fault);
	void After(int ms, std::function<void()> fn);
	bool MayStop() const;
	void PauseDaemon(size_t i, int ms);
	void KillDaemon(size_t i, int ms);
	void TerminateDaemon(size_t i);
	void AwaitEnd(size_t i, int64_t since_us);
	void SetWay(const std::string &daemon, const std::string &mode,
	    int delay_ms, unsigned seed);
	void ReplaceWorker(size_t i, int lapse_ms);
	void LapseEntry(size_t i, int ms);

	/* soak_callers.cc */
	void RunCaller(unsigned seed);
	void SendRequest(std::mt19937 &rand, int number, unsigned seed);
	void RunSubmitter(unsigned seed);
	void SubmitJob(std::mt19937 &rand, const std::string &id, int items);
	void SubmitAtSeveral(std::mt19937 &rand, const std::string &id);
	void RunReader(unsigned seed);

	/* soak_teams.cc */
	std::string TeamsDocument() const;
	Headers KeyOf(const std::string &id, unsigned salt) const;
	Headers RequestHeaders(const std::string &id) const;
	void TryAsAnotherTeam(size_t daemon, const std::string &id);
	void CheckTeams();
	void CheckHeads(const std::string &text);

	/* soak_checks.cc */
	bool ReadJob(size_t daemon, const std::string &id);
	void CheckResult(const std::string &id, Job &job, int position,
	    const JobResult &result, size_t daemon);
	void CheckDaemonsServe();
	void CheckJobs(int64_t calm_us);
	void CheckRuns();
	std::map<std::string, int> CountRuns();
	int ListedCount();
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
	std::vector<std::unique_ptr<Process>> workers_, daemons_,
	    ended_workers_;
	std::vector<std::string> worker_ids_, daemon_logs_;
	std::vector<int> worker_ports_, front_ports_, ready_ports_, peer_ports_;
	std::vector<std::unique_ptr<Proxy>> worker_proxies_, store_proxies_;
	std::vector<std::unique_ptr<Proxy>> ended_proxies_;
	std::vector<DaemonState> daemon_states_;
	std::vector<PlannedFault> plan_;
	/** What is left to do, by time. */
	std::multimap<int64_t, std::function<void()>> agenda_;
	std::atomic<bool> stopping_{false};
	/** Guards what follows. */
	std::mutex lock_;
	std::map<std::string, Attempt> attempts_;
	std::map<std::string, Job> jobs_;
	int served_ = 0;
	int failed_ = 0;
};

#endif

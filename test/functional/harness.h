#ifndef TEST_FUNCTIONAL_HARNESS_H
#define TEST_FUNCTIONAL_HARNESS_H

#include <sys/types.h>

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "history/checker.h"

/*
 * Runs the real binary and the stand-ins as processes on loopback. Waits are
 * on events: lines that a process prints, or answers it gives. Each wait ends
 * after a long guard time, which only stops a test that would hang.
 */

struct Reply {
	long status = 0;
	std::string body;
	/** Names in lower case. */
	std::map<std::string, std::string> headers;
};

using Headers = std::vector<std::string>;

/** @return status 0 if there was no whole answer */
Reply Http(const std::string &method, const std::string &url,
    const std::string &body = "", const Headers &headers = {},
    long timeout_s = 60);

/** Looks again and again until the condition holds. @return false if never */
bool Eventually(const std::function<bool()> &condition);

/** Value of a variable that the tests need; ends the program without it. */
std::string Env(const char *name);

/** Address on loopback, IP:PORT. */
std::string LoopbackAddress(int port);

int FreePort();
int64_t NowUs();

/** A child process; its standard output and error are read as lines. */
class Process
{
      public:
	explicit Process(std::vector<std::string> argv);
	~Process();
	/** Waits until so many lines contain the text. */
	bool WaitLine(const std::string &text, int count = 1);
	int Count(const std::string &text);
	void Signal(int sig);
	/** Waits for the end. @return exit code, or -signal */
	int Wait();
	std::string Output();

      private:
	void Read(int fd);
	pid_t pid_;
	bool reaped_ = false;
	int code_ = 0;
	std::thread reader_;
	std::mutex lock_;
	std::condition_variable changed_;
	std::vector<std::string> lines_;
	bool closed_ = false;
};

struct FleetOptions {
	int engines = 1;
	int daemons = 2;
	std::string engine_speed = "50";
	int slots = 64;
	/** Extra flags for every daemon. */
	std::vector<std::string> flags;
	bool submit_config = true;
	bool fencing = true;
};

/** Platform, engines, a plain service and daemons. */
class Fleet
{
      public:
	explicit Fleet(const FleetOptions &options);
	~Fleet();

	std::string DaemonUrl(size_t daemon) const;
	std::string PlatformUrl() const;
	std::string EngineUrl(size_t i) const;
	std::string PlainServiceUrl() const;
	void StartDaemon(size_t i);
	void StartEngine(size_t i);
	/** Faults of a stand-in, for example {"cut":1}. */
	void InjectFault(const std::string &url, const std::string &json);
	std::string ConfigDocument(int weight = 1) const;
	Reply SubmitConfig(size_t daemon, int weight, int from,
	    const std::string &key = "operators-key");

	/** One question; the outcome goes into the history. */
	Reply Chat(size_t daemon, const std::string &prompt, bool stream,
	    const Headers &headers = {});
	/** A call with a key; runs and refusals go into the history. */
	Reply CallBooking(size_t daemon, const std::string &key,
	    const std::string &body = "{}");
	Reply SubmitJob(size_t daemon, const std::string &id, int items);
	std::string JobState(size_t daemon, const std::string &id);
	bool WaitJob(size_t daemon, const std::string &id);
	/** Waits until some daemon has committed a chunk. */
	bool WaitChunkCommitted();
	/** True if the store shows a lease of the daemon's session. */
	bool HasChunkLease(size_t daemon);
	/** Reads all results into the history, and checks their answers. */
	void ReadResults(size_t daemon, const std::string &id);
	void RecordEvent(const HistoryEvent &event);
	/** Adds the stand-ins' lines and checks the whole history. */
	void ExpectHistoryValid();
	int EngineRuns();
	int PlainRuns();
	int64_t Metric(size_t daemon, const std::string &name);

	std::vector<std::unique_ptr<Process>> daemons;
	std::vector<std::unique_ptr<Process>> engines;
	std::unique_ptr<Process> plain, platform;
	FleetOptions options;

      private:
	int CountLines(const std::string &file, const std::string &text);
	std::vector<int> http_ports_, peer_ports_, engine_ports_;
	int platform_port_, plain_port_;
	std::string dir_;
	std::mutex lock_;
	History history_;
	int result_reads_ = 0;
};

/** The engine's answer to a prompt. */
std::string ExpectedAnswer(const std::string &prompt, int tokens = 16);
std::string ChatBody(const std::string &prompt, bool stream);
std::string ItemLine(const std::string &job, int index);

#endif

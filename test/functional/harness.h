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
 * Runs the built binary and the stand-ins as processes on loopback. Tests wait
 * for events: lines that a process prints, or responses that it returns. Each
 * wait has a long time-out, which only ends a test that would hang.
 */

struct Reply {
	long status = 0;
	std::string body;
	/** Header names are in lower case. */
	std::map<std::string, std::string> headers;
};

using Headers = std::vector<std::string>;

/** Sends a request. @return status 0 without a complete response */
Reply Http(const std::string &method, const std::string &url,
    const std::string &body = "", const Headers &headers = {},
    long timeout_s = 60);

/** Polls until the condition holds. @return false after the time-out */
bool Eventually(const std::function<bool()> &condition);

/** Value of a required environment variable; exits if it is not set. */
std::string Env(const char *name);

/** IP:PORT on loopback. */
std::string LoopbackAddress(int port);

/** Unused TCP port on loopback, below the kernel's ephemeral ports. */
int FreePort();
/** Monotonic clock. */
int64_t NowUs();

/** A child process; its standard output and error are read line by line. */
class Process
{
      public:
	explicit Process(std::vector<std::string> argv);
	~Process();
	/** Waits for `count` lines with the text. @return false if not seen */
	bool WaitLine(const std::string &text, int count = 1);
	/** Number of lines so far that contain the text. */
	int Count(const std::string &text);
	void Signal(int sig);
	/** Waits until it exits. @return exit code, or negated signal number */
	int Wait();
	bool HasExited();
	std::string Output();
	/** Peak resident memory so far, KiB; -1 if unknown. */
	long PeakMemoryKib();
	/** Descriptors that are open now; -1 if unknown. */
	int OpenDescriptors();

      private:
	void Read(int fd);
	bool Reap(int options);
	pid_t pid_;
	bool is_reaped_ = false;
	int exit_code_ = 0;
	std::thread reader_;
	std::mutex lock_;
	std::condition_variable changed_;
	std::vector<std::string> lines_;
	bool is_closed_ = false;
};

struct FleetOptions {
	int engines = 1;
	int daemons = 2;
	std::string engine_speed = "50";
	int slots = 64;
	/** Flags of every daemon; they override the harness's own. */
	std::vector<std::string> flags;
	bool submit_config = true;
	bool fencing = true;
};

/** Stand-ins of the platform, engines and a plain service, and daemons. */
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
	/** Sets the faults of a stand-in, for example {"cut":1}. */
	void InjectFault(const std::string &url, const std::string &json);
	/** With this weight for team students, and as the model's version. */
	std::string ConfigDocument(int weight = 1) const;
	/** Submits ConfigDocument(weight) on top of generation `from`. */
	Reply SubmitConfig(size_t daemon, int weight, int from,
	    const std::string &key = "operators-key");

	/** Sends a chat request; records its outcome in the history. */
	Reply Chat(size_t daemon, const std::string &prompt, bool stream,
	    const Headers &headers = {});
	/** Sends a keyed call; records it and its refusal in the history. */
	Reply CallBooking(size_t daemon, const std::string &key,
	    const std::string &body = "{}");
	Reply SubmitJob(size_t daemon, const std::string &id, int items);
	std::string JobState(size_t daemon, const std::string &id);
	bool WaitJob(size_t daemon, const std::string &id);
	/** Waits until a daemon has committed a chunk. */
	bool WaitChunkCommitted();
	/** True if the store has a chunk lease of the daemon's session. */
	bool HasChunkLease(size_t daemon);
	/** Records all results in the history and checks their answers. */
	void ReadResults(size_t daemon, const std::string &id);
	void RecordEvent(const HistoryEvent &event);
	/** Adds the runs that the stand-ins logged and checks the history. */
	void ExpectHistoryValid();
	int EngineRuns();
	int PlainRuns();
	/** @return value of the daemon's metric, or -1 if it has none */
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

/** The answer that the engine stand-in gives to a prompt. */
std::string ExpectedAnswer(const std::string &prompt, int tokens = 16);
std::string ChatBody(const std::string &prompt, bool stream);
/** Line of a job's body for the item with this index. */
std::string ItemLine(const std::string &job, int index);

#endif

/* Processes, ports and HTTP requests of the functional tests. */
#include "functional/harness.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <fcntl.h>
#include <glib.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstring>
#include <fstream>

namespace
{

const int kFirstPort = 10000;
const int kPortCount = 22000;
/* Distance between the first ports of processes with consecutive ids. */
const int kPortStride = 97;
const auto kWaitTimeout = std::chrono::seconds(30);
const auto kPollInterval = std::chrono::milliseconds(5);

size_t
AppendBody(char *data, size_t size, size_t n, void *ctx)
{
	static_cast<std::string *>(ctx)->append(data, size * n);
	return size * n;
}

size_t
AppendHeader(char *data, size_t size, size_t n, void *ctx)
{
	std::string line(data, size * n);
	size_t colon = line.find(':');

	if (colon != std::string::npos) {
		std::string name = line.substr(0, colon);
		size_t from = line.find_first_not_of(' ', colon + 1);
		size_t to = line.find_last_not_of("\r\n");

		for (auto &c : name)
			c = (char)tolower(c);
		(*static_cast<std::map<std::string, std::string> *>(
		    ctx))[name] = line.substr(from, to - from + 1);
	}
	return size * n;
}

} // namespace

std::string
Env(const char *name)
{
	const char *value = getenv(name);

	if (value == nullptr) {
		fprintf(stderr, "%s is not set; use ctest\n", name);
		exit(2);
	}
	return value;
}

std::string
LoopbackAddress(int port)
{
	return "127.0.0.1:" + std::to_string(port);
}

Reply
Http(const std::string &method, const std::string &url, const std::string &body,
    const Headers &headers, long timeout_s)
{
	Reply reply;
	CURL *h = curl_easy_init();
	struct curl_slist *list = curl_slist_append(nullptr, "Expect:");

	for (auto &line : headers)
		list = curl_slist_append(list, line.c_str());
	curl_easy_setopt(h, CURLOPT_URL, url.c_str());
	curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(h, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(h, CURLOPT_TIMEOUT, timeout_s);
	curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, AppendBody);
	curl_easy_setopt(h, CURLOPT_WRITEDATA, &reply.body);
	curl_easy_setopt(h, CURLOPT_HEADERFUNCTION, AppendHeader);
	curl_easy_setopt(h, CURLOPT_HEADERDATA, &reply.headers);
	if (method != "GET") {
		curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, method.c_str());
		curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE, (long)body.size());
		curl_easy_setopt(h, CURLOPT_POSTFIELDS, body.c_str());
	}
	if (curl_easy_perform(h) == CURLE_OK)
		curl_easy_getinfo(h, CURLINFO_RESPONSE_CODE, &reply.status);
	curl_slist_free_all(list);
	curl_easy_cleanup(h);
	return reply;
}

bool
Eventually(const std::function<bool()> &condition)
{
	std::mutex lock;
	std::condition_variable pause;
	std::unique_lock<std::mutex> held(lock);
	auto end = std::chrono::steady_clock::now() + kWaitTimeout;

	while (std::chrono::steady_clock::now() < end) {
		if (condition())
			return true;
		pause.wait_for(held, kPollInterval);
	}
	return false;
}

int64_t
NowUs()
{
	return std::chrono::duration_cast<std::chrono::microseconds>(
	    std::chrono::steady_clock::now().time_since_epoch())
	    .count();
}

/* The port lies below the ephemeral ports: an outgoing connection could occupy
 * one of those while its daemon is down. */
int
FreePort()
{
	static std::atomic<int> next(getpid() % kPortCount * kPortStride);

	for (int i = 0; i < kPortCount; i++) {
		struct sockaddr_in addr = {};
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		int port = kFirstPort + next++ % kPortCount;
		bool is_free;

		addr.sin_family = AF_INET;
		addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		addr.sin_port = htons((uint16_t)port);
		is_free = bind(fd, (struct sockaddr *)&addr, sizeof(addr)) == 0;
		close(fd);
		if (is_free)
			return port;
	}
	abort();
}

Process::Process(std::vector<std::string> argv)
{
	std::vector<char *> args;
	int fds[2];

	for (auto &arg : argv)
		args.push_back(const_cast<char *>(arg.c_str()));
	args.push_back(nullptr);
	if (pipe2(fds, O_CLOEXEC) != 0)
		abort();
	pid_ = fork();
	if (pid_ == 0) {
		dup2(fds[1], STDOUT_FILENO);
		dup2(fds[1], STDERR_FILENO);
		execv(args[0], args.data());
		_exit(127);
	}
	close(fds[1]);
	reader_ = std::thread(&Process::Read, this, fds[0]);
}

Process::~Process()
{
	if (!is_reaped_) {
		kill(pid_, SIGKILL);
		Wait();
	}
	reader_.join();
}

void
Process::Read(int fd)
{
	FILE *in = fdopen(fd, "r");
	char *line = nullptr;
	size_t cap = 0;

	while (getline(&line, &cap, in) > 0) {
		std::lock_guard<std::mutex> held(lock_);

		lines_.push_back(line);
		changed_.notify_all();
	}
	free(line);
	fclose(in);
	std::lock_guard<std::mutex> held(lock_);
	is_closed_ = true;
	changed_.notify_all();
}

int
Process::Count(const std::string &text)
{
	std::lock_guard<std::mutex> held(lock_);
	int n = 0;

	for (auto &line : lines_)
		n += line.find(text) != std::string::npos;
	return n;
}

bool
Process::WaitLine(const std::string &text, int count)
{
	std::unique_lock<std::mutex> held(lock_);
	int n = 0;

	changed_.wait_for(held, kWaitTimeout, [&] {
		n = 0;
		for (auto &line : lines_)
			n += line.find(text) != std::string::npos;
		return n >= count || is_closed_;
	});
	return n >= count;
}

void
Process::Signal(int sig)
{
	kill(pid_, sig);
}

bool
Process::Reap(int options)
{
	int status;

	if (!is_reaped_ && waitpid(pid_, &status, options) == pid_) {
		exit_code_ =
		    WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
		is_reaped_ = true;
	}
	return is_reaped_;
}

bool
Process::HasExited()
{
	return Reap(WNOHANG);
}

int
Process::Wait()
{
	Reap(0);
	return exit_code_;
}

std::string
Process::Output()
{
	std::lock_guard<std::mutex> held(lock_);
	std::string all;

	for (auto &line : lines_)
		all += line;
	return all;
}

long
Process::PeakMemoryKib()
{
	std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
	std::string line;

	while (std::getline(in, line))
		if (line.compare(0, 6, "VmHWM:") == 0)
			return atol(line.c_str() + 6);
	return -1;
}

int
Process::OpenDescriptors()
{
	std::string path = "/proc/" + std::to_string(pid_) + "/fd";
	GDir *dir = g_dir_open(path.c_str(), 0, nullptr);
	int n = 0;

	if (dir == nullptr)
		return -1;
	while (g_dir_read_name(dir) != nullptr)
		n++;
	g_dir_close(dir);
	return n;
}

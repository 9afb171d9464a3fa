#ifndef TEST_FUNCTIONAL_CONNECTION_H
#define TEST_FUNCTIONAL_CONNECTION_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <signal.h>

#include "functional/harness.h"

/* Callers with connections of their own, for tests of daemons that stop. */

/* Ends only a test that would hang. */
constexpr int kWaitMs = 30000;

/* A caller's connection. */
class Connection
{
      public:
	explicit Connection(int port)
	{
		struct sockaddr_in addr = {};

		fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		addr.sin_family = AF_INET;
		addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		addr.sin_port = htons((uint16_t)port);
		is_open_ =
		    connect(fd_, (struct sockaddr *)&addr, sizeof(addr)) == 0;
	}

	~Connection()
	{
		close(fd_);
	}

	Connection(const Connection &) = delete;

	bool
	IsOpen() const
	{
		return is_open_;
	}

	void
	Send(const std::string &text)
	{
		send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
	}

	/* Reads one answer with a length, or until the connection closes.
	 * @return "" if nothing was received */
	std::string
	Read()
	{
		std::string text;
		char buf[4096];

		for (;;) {
			struct pollfd pfd = {fd_, POLLIN, 0};
			ssize_t n = poll(&pfd, 1, kWaitMs) > 0
			    ? recv(fd_, buf, sizeof(buf), 0)
			    : -1;

			was_reset_ = n < 0;
			if (n <= 0)
				return text;
			text.append(buf, (size_t)n);
			if (IsWhole(text))
				return text;
		}
	}

	/* The last read ended with a reset: the daemon had read nothing. */
	bool
	WasReset() const
	{
		return was_reset_;
	}

	static bool
	IsWhole(const std::string &text)
	{
		size_t end = text.find("\r\n\r\n");
		size_t len = text.find("Content-Length: ");

		if (end == std::string::npos)
			return false;
		if (len == std::string::npos)
			return text.find("\r\n0\r\n\r\n") != std::string::npos;
		return text.size() >=
		    end + 4 + strtoul(text.c_str() + len + 16, nullptr, 10);
	}

      private:
	int fd_;
	bool is_open_;
	bool was_reset_ = false;
};

/* The daemon says that the request did not run, and closes the connection. */
inline bool
IsRefusal(const std::string &answer)
{
	return answer.find("HTTP/1.1 503 ") == 0 &&
	    answer.find("Savoryflow-Ran: no") != std::string::npos &&
	    answer.find("Connection: close") != std::string::npos &&
	    Connection::IsWhole(answer);
}

/* What callers sent that connect and send a request a little later, again and
 * again, until the daemon stops. */
struct StoppedCallers {
	int sent = 0;
	/* The connection was accepted and closed without an answer; a reset
	 * one was never accepted. */
	int lost = 0;
};

inline StoppedCallers
CallUntilStopped(Process &daemon, int port, const std::string &request)
{
	constexpr int kCallers = 16;
	std::atomic<int> sent{0}, lost{0};
	std::vector<std::thread> callers;
	StoppedCallers res;

	for (int i = 0; i < kCallers; i++)
		callers.emplace_back([&] {
			for (;;) {
				Connection con(port);

				if (!con.IsOpen())
					return;
				std::this_thread::sleep_for(
				    std::chrono::milliseconds(100));
				con.Send(request);
				sent++;
				if (!Connection::IsWhole(con.Read()) &&
				    !con.WasReset())
					lost++;
			}
		});
	daemon.Signal(SIGTERM);
	EXPECT_EQ(0, daemon.Wait());
	for (auto &t : callers)
		t.join();
	EXPECT_GE(sent, kCallers);
	res.sent = sent;
	res.lost = lost;
	return res;
}

#endif

#ifndef TEST_PLATFORM_LATE_COPIES_H
#define TEST_PLATFORM_LATE_COPIES_H

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/* When the second copy of an answer is sent on its connection. */
enum class Copy {
	kNone,
	/* While the connection is idle. */
	kIdle,
	/* After the next request was read, before its answer. */
	kAfterNextRequest,
};

/* How a connection ends after an answer. */
enum class End {
	kNone,
	kClose,
	kReset,
};

/* Value of a field of a request; empty if it has none. */
inline std::string
FieldOf(const std::string &request, const std::string &name)
{
	size_t at = request.find("\r\n" + name + ": ");

	if (at == std::string::npos)
		return "";
	at += name.size() + 4;
	return request.substr(at, request.find("\r\n", at) - at);
}

/*
 * HTTP server on loopback whose connections stay open, and which sends the
 * answer to one request a second time, or ends its connection after it.
 */
class CopyingServer
{
      public:
	using Answer = std::function<std::string(const std::string &request)>;

	/* @param port 0: any */
	explicit CopyingServer(Answer answer, int port = 0) : answer_(answer)
	{
		struct sockaddr_in a = {};
		socklen_t len = sizeof(a);
		int on = 1;

		a.sin_family = AF_INET;
		a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		a.sin_port = htons((uint16_t)port);
		fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
		EXPECT_EQ(0, bind(fd_, (struct sockaddr *)&a, sizeof(a)));
		EXPECT_EQ(0, listen(fd_, 16));
		getsockname(fd_, (struct sockaddr *)&a, &len);
		port_ = ntohs(a.sin_port);
		acceptor_ = std::thread([this] { Accept(); });
	}

	~CopyingServer()
	{
		stop_ = true;
		acceptor_.join();
		for (auto &t : threads_)
			t.join();
		close(fd_);
	}

	std::string
	Address() const
	{
		return "127.0.0.1:" + std::to_string(port_);
	}

	/* The next answer is sent twice. */
	void
	CopyNext(Copy copy)
	{
		is_copied_ = false;
		copy_ = copy;
	}

	/* Of the answers from now on. */
	void
	EndAfterAnswers(End end)
	{
		end_ = end;
	}

	/* Waits until a copy for an idle connection has been sent. */
	void
	AwaitIdleCopy()
	{
		while (!is_copied_)
			usleep(1000);
		/* Loopback delivers within this time. */
		usleep(20000);
	}

	static std::string
	Http(int status, const std::string &body)
	{
		return "HTTP/1.1 " + std::to_string(status) +
		    " X\r\nContent-Length: " + std::to_string(body.size()) +
		    "\r\n\r\n" + body;
	}

      private:
	void
	Accept()
	{
		struct pollfd p = {fd_, POLLIN, 0};

		while (!stop_)
			if (poll(&p, 1, 10) == 1) {
				int con = accept4(
				    fd_, nullptr, nullptr, SOCK_CLOEXEC);

				/* Short, and too many for threads. */
				if (end_ != End::kNone) {
					Serve(con);
					close(con);
					continue;
				}
				threads_.emplace_back([this, con] {
					Serve(con);
					close(con);
				});
			}
	}

	/* @return false at the end of the connection */
	bool
	ReadRequest(int con, std::string *request)
	{
		struct pollfd p = {con, POLLIN, 0};
		char buf[4096];

		request->clear();
		while (!stop_) {
			size_t head = request->find("\r\n\r\n");
			size_t at = request->find("Content-Length: ");
			size_t body = at < head
			    ? strtoul(request->c_str() + at + 16, nullptr, 10)
			    : 0;

			if (head != std::string::npos &&
			    request->size() >= head + 4 + body)
				return true;
			if (poll(&p, 1, 10) != 1)
				continue;
			ssize_t n = read(con, buf, sizeof(buf));
			if (n <= 0)
				return false;
			request->append(buf, (size_t)n);
		}
		return false;
	}

	static void
	Send(int con, const std::string &text)
	{
		EXPECT_EQ((ssize_t)text.size(),
		    send(con, text.data(), text.size(), MSG_NOSIGNAL));
	}

	static void
	ResetAtClose(int con)
	{
		struct linger now = {1, 0};

		setsockopt(con, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
		/* A reset discards what the client has not read yet. */
		usleep(2000);
	}

	void
	Serve(int con)
	{
		std::string request, late;

		while (ReadRequest(con, &request)) {
			std::string text;
			Copy copy = copy_.exchange(Copy::kNone);

			{
				std::lock_guard<std::mutex> held(lock_);

				text = answer_(request);
			}
			/* No answer: the connection ends. */
			if (text.empty())
				return;
			if (!late.empty()) {
				Send(con, late);
				/* Apart, so that the client reads it alone. */
				usleep(20000);
				late.clear();
			}
			if (copy == Copy::kAfterNextRequest)
				late = text;
			send(con, text.data(), text.size(), MSG_NOSIGNAL);
			if (end_ == End::kReset)
				ResetAtClose(con);
			if (end_ != End::kNone)
				return;
			if (copy != Copy::kIdle)
				continue;
			usleep(20000);
			send(con, text.data(), text.size(), MSG_NOSIGNAL);
			is_copied_ = true;
		}
	}

	Answer answer_;
	int fd_;
	int port_;
	std::atomic<bool> stop_{false};
	std::atomic<bool> is_copied_{false};
	std::atomic<Copy> copy_{Copy::kNone};
	std::atomic<End> end_{End::kNone};
	std::mutex lock_;
	std::thread acceptor_;
	std::vector<std::thread> threads_;
};

#endif

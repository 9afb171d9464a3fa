#ifndef TEST_FUNCTIONAL_CLIENTS_H
#define TEST_FUNCTIONAL_CLIENTS_H

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "functional/harness.h"

/* Untrusted clients over raw sockets, played by one thread. */

/** What one client sends and how it reads. */
struct ClientScript {
	std::string head;
	/** Repeated after the head. */
	std::string part;
	/** Bytes of repeated parts; the last part may be cut. */
	size_t parts_bytes = 0;
	/** Sent after the parts. */
	std::string end;
	/** Receive buffer of the socket; 0: the default. */
	int receive_bytes = 0;
	/** Bytes read at once, every now and then; 0: nothing is read. */
	size_t read_bytes = 0;
	/** Sends its request again on a new connection after a 503. */
	bool repeats_refused = false;
};

/** One client that sends its script as fast as the server reads it. */
class Client
{
      public:
	Client(int port, const ClientScript &script)
	    : port_(port), script_(script)
	{
		Open();
	}

	~Client()
	{
		Close();
	}

	Client(const Client &) = delete;

	/** Sends what the socket takes. @return true if it took any bytes */
	bool
	Send()
	{
		size_t size = script_.head.size() + script_.parts_bytes +
		    script_.end.size();
		bool has_sent = false;

		while (fd_ >= 0 && sent_ < size) {
			std::string text = Next();
			ssize_t n = send(fd_, text.data(), text.size(),
			    MSG_NOSIGNAL | MSG_DONTWAIT);

			if (n < 0 && errno != EAGAIN)
				Close();
			if (n <= 0)
				break;
			sent_ += (size_t)n;
			has_sent = true;
		}
		return has_sent;
	}

	/** Reads as its script says. @return true if it made progress */
	bool
	Receive()
	{
		std::string buf(64, '\0');
		ssize_t n;

		if (fd_ < 0)
			return false;
		if (script_.repeats_refused && !has_status_ && IsRefused())
			return Reopen();
		if (script_.read_bytes == 0)
			return false;
		buf.resize(script_.read_bytes);
		n = recv(fd_, &buf[0], buf.size(), MSG_DONTWAIT);
		if (n > 0 && answer_.size() < kAnswerMax)
			answer_.append(buf, 0, (size_t)n);
		if (n == 0 || (n < 0 && errno != EAGAIN)) {
			is_reset_ = n < 0;
			Close();
		}
		return n > 0;
	}

	/** The first bytes that were read. */
	const std::string &
	Answer() const
	{
		return answer_;
	}

	bool
	IsOpen() const
	{
		return fd_ >= 0;
	}

      private:
	static constexpr size_t kAnswerMax = 4096;
	static constexpr size_t kSendMax = 65536;
	static constexpr int kRepeatsMax = 200;

	/* The status line has arrived and is that of a refusal; it is not
	 * removed from the socket. */
	bool
	IsRefused()
	{
		char line[12];
		ssize_t n =
		    recv(fd_, line, sizeof(line), MSG_PEEK | MSG_DONTWAIT);

		has_status_ = n == (ssize_t)sizeof(line);
		return has_status_ &&
		    std::string(line, sizeof(line)) == "HTTP/1.1 503";
	}

	bool
	Reopen()
	{
		Close();
		if (++repeats_ > kRepeatsMax)
			return false;
		has_status_ = false;
		sent_ = 0;
		Open();
		return true;
	}

	void
	Open()
	{
		struct sockaddr_in addr = {};

		fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		addr.sin_family = AF_INET;
		addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		addr.sin_port = htons((uint16_t)port_);
		if (script_.receive_bytes > 0)
			setsockopt(fd_, SOL_SOCKET, SO_RCVBUF,
			    &script_.receive_bytes,
			    sizeof(script_.receive_bytes));
		if (connect(fd_, (struct sockaddr *)&addr, sizeof(addr)) != 0)
			Close();
	}

	void
	Close()
	{
		if (fd_ >= 0)
			close(fd_);
		fd_ = -1;
	}

	std::string
	Next() const
	{
		size_t at = sent_;
		std::string text;

		if (at < script_.head.size())
			return script_.head.substr(at);
		at -= script_.head.size();
		if (at >= script_.parts_bytes)
			return script_.end.substr(at - script_.parts_bytes);
		while (text.size() < kSendMax &&
		    at + text.size() < script_.parts_bytes)
			text += script_.part.substr(
			    (at + text.size()) % script_.part.size());
		return text.substr(
		    0, std::min(text.size(), script_.parts_bytes - at));
	}

	int port_;
	ClientScript script_;
	int fd_ = -1;
	size_t sent_ = 0;
	std::string answer_;
	bool has_status_ = false;
	bool is_reset_ = false;
	int repeats_ = 0;
};

/** A group of clients; their connections stay open until it ends. */
class ClientGroup
{
      public:
	ClientGroup(int port, const ClientScript &script, int count)
	{
		for (int i = 0; i < count; i++)
			clients_.emplace_back(new Client(port, script));
	}

	/** Plays the scripts until no client makes progress for a while, or
	 * the guard ends clients that read slowly. */
	void
	Play(const std::function<void()> &on_round = nullptr)
	{
		int64_t from_us = NowUs();
		int64_t progress_us = from_us;

		while (NowUs() - progress_us < kQuietUs &&
		    NowUs() - from_us < kGuardUs) {
			bool has_progress = false;

			for (auto &c : clients_) {
				has_progress = c->Send() || has_progress;
				has_progress = c->Receive() || has_progress;
			}
			if (on_round)
				on_round();
			if (has_progress)
				progress_us = NowUs();
			else
				usleep(1000);
		}
	}

	const std::vector<std::unique_ptr<Client>> &
	All() const
	{
		return clients_;
	}

      private:
	static constexpr int64_t kQuietUs = 3000000;
	static constexpr int64_t kGuardUs = 30000000;

	std::vector<std::unique_ptr<Client>> clients_;
};

#endif

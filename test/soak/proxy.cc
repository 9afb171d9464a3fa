/* TCP proxy on loopback that injects network faults. */
#include "soak/proxy.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>

namespace
{

const int kPollMs = 20;
const auto kDelay = std::chrono::milliseconds(60);
const auto kIdleWait = std::chrono::milliseconds(10);

struct sockaddr_in
Loopback(int port)
{
	struct sockaddr_in addr = {};

	addr.sin_family = AF_INET;
	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	addr.sin_port = htons((uint16_t)port);
	return addr;
}

/* Closes the connection with a reset instead of an orderly shutdown. */
void
Abort(int fd)
{
	struct linger opt = {1, 0};

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &opt, sizeof(opt));
	close(fd);
}

} // namespace

Proxy::Proxy(int server_port) : server_port_(server_port)
{
	struct sockaddr_in addr = Loopback(0);
	socklen_t len = sizeof(addr);

	listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bind(listener_, (struct sockaddr *)&addr, sizeof(addr));
	listen(listener_, 128);
	getsockname(listener_, (struct sockaddr *)&addr, &len);
	port_ = ntohs(addr.sin_port);
	thread_ = std::thread(&Proxy::Accept, this);
}

Proxy::~Proxy()
{
	stopping_ = true;
	thread_.join();
	while (open_count_ > 0)
		std::this_thread::sleep_for(kIdleWait);
	close(listener_);
}

void
Proxy::Accept()
{
	while (!stopping_) {
		struct pollfd pfd = {listener_, POLLIN, 0};
		int client;

		if (poll(&pfd, 1, kPollMs) <= 0)
			continue;
		client = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
		if (client < 0)
			continue;
		open_count_++;
		std::thread(&Proxy::Relay, this, client).detach();
	}
}

/* @return false if the connection has ended */
bool
Proxy::Forward(int from, int to)
{
	char buf[16384];
	ssize_t n = recv(from, buf, sizeof(buf), 0);
	ssize_t offset = 0;

	if (n <= 0)
		return false;
	if (mode_ == LinkMode::kDelay)
		std::this_thread::sleep_for(kDelay);
	while (offset < n) {
		ssize_t sent =
		    send(to, buf + offset, (size_t)(n - offset), MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		offset += sent;
	}
	return true;
}

void
Proxy::Relay(int client)
{
	struct sockaddr_in addr = Loopback(server_port_);
	int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	bool is_open =
	    connect(server, (struct sockaddr *)&addr, sizeof(addr)) == 0;

	while (is_open && !stopping_ && mode_ != LinkMode::kReset) {
		/* TCP retransmits what a one-way cut drops, once the path
		 * works again: answers are held back, and no byte is lost. */
		int polled_server = mode_ == LinkMode::kOneWay ? -1 : server;
		struct pollfd pfds[] = {
		    {client, POLLIN, 0}, {polled_server, POLLIN, 0}};

		if (mode_ == LinkMode::kBlackhole) {
			std::this_thread::sleep_for(kIdleWait);
			continue;
		}
		if (poll(pfds, 2, kPollMs) <= 0)
			continue;
		if (pfds[0].revents != 0)
			is_open = Forward(client, server);
		if (is_open && pfds[1].revents != 0)
			is_open = Forward(server, client);
	}
	/* An answer without a length ends where its connection is closed. A
	 * connection that the proxy cuts is reset, because a close would make
	 * the answer look complete. */
	if (mode_ == LinkMode::kReset || stopping_)
		Abort(client);
	else
		close(client);
	close(server);
	open_count_--;
}

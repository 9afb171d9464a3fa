#ifndef TEST_SOAK_PROXY_H
#define TEST_SOAK_PROXY_H

#include <atomic>
#include <thread>

/* How a proxy treats its connections. */
enum class LinkMode {
	kPass,
	/** Each block of bytes is delayed. */
	kDelay,
	/** Open and new connections are reset. */
	kReset,
	/** Bytes from the server are held back. */
	kOneWay,
	/** Connections stay open, but no bytes are forwarded. */
	kBlackhole,
	kCount,
};

/* TCP proxy on loopback between a process and a server that it calls. */
class Proxy
{
      public:
	explicit Proxy(int server_port);
	~Proxy();

	int
	Port() const
	{
		return port_;
	}

	void
	SetMode(LinkMode mode)
	{
		mode_ = mode;
	}

      private:
	void Accept();
	void Relay(int client);
	bool Forward(int from, int to);

	int server_port_;
	int port_;
	int listener_;
	std::atomic<LinkMode> mode_{LinkMode::kPass};
	std::atomic<bool> stopping_{false};
	std::atomic<int> open_count_{0};
	std::thread thread_;
};

#endif

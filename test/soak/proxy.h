#ifndef TEST_SOAK_PROXY_H
#define TEST_SOAK_PROXY_H

#include <atomic>
#include <thread>

/* What a proxy does with the bytes and connections that pass through it. */
enum class LinkMode {
	kPass,
	/** Bytes arrive late. */
	kDelay,
	/** Open connections are reset, new ones too. */
	kReset,
	/** Nothing comes back from the server. */
	kOneWay,
	/** Connections stay open and nothing passes. */
	kBlackhole,
	kCount,
};

/* A TCP proxy on loopback, between a process and one that it calls. */
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
	SetMode(LinkMode link)
	{
		mode_ = link;
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
	std::atomic<int> open_{0};
	std::thread thread_;
};

#endif

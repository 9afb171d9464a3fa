#include <unistd.h>

#include <atomic>

#include "functional/gateway_fixture.h"

namespace
{

/* The users' bound on the time that a daemon may need to learn something. */
const int64_t kContactUs = 4000000;
const char kCrashPart[] = "bad1";
const int kRestartMs = 1500;

void
SleepMs(int ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/* Workers that end at a part of a prompt and start again under new ids. */
struct GatewayCrashes : Gateway {
	struct Worker {
		std::unique_ptr<Process> process;
		std::string id;
		int starts = 0;
		int64_t restart_at_us = 0;
	};

	std::vector<Worker> crashing;
	std::thread restarter, sound_callers;
	std::atomic<bool> stopping{false};
	std::atomic<int> ends{0};
	/* Requests with the part that reached workers. */
	std::atomic<int> reached{0};
	std::atomic<int64_t> fifth_end_us{0};
	std::atomic<int> sound_sent{0}, sound_served{0};

	void
	StartWorker(Worker &w, int port)
	{
		std::string id = "i-" + std::to_string(port) + "-" +
		    std::to_string(w.starts++);
		std::string row = "{\"service\":\"llm\",\"addr\":\"" +
		    LoopbackAddress(port) +
		    "\",\"zone\":\"dc1\",\"version\":\"v1\",\"slot_count\":4,"
		    "\"state\":\"ready\",\"cold_left_ms\":0,\"sequence\":1,"
		    "\"born\":" +
		    std::to_string(w.starts) + "}";

		w.process.reset(new Process({Env("SF_STANDIN"), "worker",
		    "--id=" + id, "--port=" + std::to_string(port),
		    std::string("--crash-part=") + kCrashPart}));
		w.process->WaitLine("listening");
		if (!w.id.empty())
			PutRow("servers", w.id, nullptr);
		w.id = id;
		PutRow("servers", id, row.c_str());
	}

	void
	RecordEnd(Worker &w)
	{
		reached += w.process->Count("crashed by");
		if (++ends == 5)
			fifth_end_us = NowUs();
		w.restart_at_us = NowUs() + kRestartMs * 1000;
	}

	void
	RestartLoop()
	{
		while (!stopping) {
			for (size_t i = 0; i < crashing.size(); i++) {
				Worker &w = crashing[i];

				if (w.restart_at_us == 0 &&
				    w.process->HasExited())
					RecordEnd(w);
				if (w.restart_at_us != 0 &&
				    NowUs() >= w.restart_at_us) {
					StartWorker(w, worker_ports[i]);
					w.restart_at_us = 0;
				}
			}
			SleepMs(2);
		}
	}

	void
	StartFleet(int worker_count, int daemon_count)
	{
		Configure(1);
		crashing.resize((size_t)worker_count);
		for (auto &w : crashing) {
			worker_ports.push_back(FreePort());
			StartWorker(w, worker_ports.back());
		}
		for (int i = 0; i < daemon_count; i++)
			AddDaemon();
		for (size_t i = 0; i < daemons.size(); i++)
			ASSERT_TRUE(Eventually([&] {
				return ReadyStatus(i) == 200 &&
				    Call(i, "/q/warm", "w", 1).status == 200;
			}));
		for (auto &daemon : daemons)
			ASSERT_TRUE(daemon->WaitLine(
			    "\"name\":\"member_up\"", daemon_count - 1));
		restarter = std::thread([this] { RestartLoop(); });
	}

	void
	TearDown() override
	{
		stopping = true;
		if (sound_callers.joinable())
			sound_callers.join();
		if (restarter.joinable())
			restarter.join();
	}

	Reply
	SendPrompt(size_t i, const std::string &path, const std::string &id,
	    const std::string &parts, int events = 3)
	{
		return Http("POST",
		    "http://" + LoopbackAddress(front_ports[i]) + path,
		    RequestBody(events, 10),
		    {"Host: a.example", "X-Attempt-Id: " + id,
			"X-Prompt-Prefix: " + parts, "X-Deadline-Ms: 5000"});
	}

	void
	SendCrashing(int n)
	{
		std::string id = "bad" + std::to_string(n);

		SendPrompt((size_t)n % daemons.size(), "/q/" + id, id,
		    std::string("a0:100,") + kCrashPart + ":50," +
			std::to_string(n) + ":20");
	}

	/* One after the other; they share the first part with those that
	 * crash workers. */
	void
	StartSoundCallers()
	{
		sound_callers = std::thread([this] {
			for (int n = 0; !stopping; n++) {
				std::string id = "sound" + std::to_string(n);
				Reply r = SendPrompt((size_t)n % daemons.size(),
				    "/q/" + id, id,
				    "a0:100,c" + std::to_string(n % 7) +
					":50," + std::to_string(n) + ":20");

				sound_sent++;
				sound_served += r.status == 200;
				SleepMs(10);
			}
		});
	}

	bool
	IsBlockedEverywhere()
	{
		for (auto &daemon : daemons)
			if (daemon->Count("\"name\":\"part_blocked\"") +
				daemon->Count("\"name\":\"block_told\"") ==
			    0)
				return false;
		return true;
	}

	/* Sends crashing requests, ten a second, until the time. */
	void
	SendCrashingUntil(int *n, int64_t end_us)
	{
		while (NowUs() < end_us) {
			SendCrashing((*n)++);
			SleepMs(100);
		}
	}
};

TEST_F(GatewayCrashes, RequestsWithAPartThatCrashesWorkersReachNoMore)
{
	int n = 0;
	int reached_before;
	int sent_before;
	int served_before;
	int64_t start_us = NowUs();

	StartFleet(6, 4);
	StartSoundCallers();
	while (fifth_end_us == 0 && !IsBlockedEverywhere()) {
		ASSERT_LT(NowUs(), start_us + 60000000);
		SendCrashing(n++);
		SleepMs(100);
	}
	int64_t since_us = fifth_end_us != 0 ? fifth_end_us.load() : NowUs();

	SendCrashingUntil(&n, since_us + kContactUs);
	reached_before = reached;
	SendCrashingUntil(&n, since_us + 2 * kContactUs);
	sent_before = sound_sent;
	served_before = sound_served;
	SendCrashingUntil(&n, since_us + 3 * kContactUs);
	EXPECT_LE(reached - reached_before, 3)
	    << "of " << reached << " after " << ends << " ends";
	EXPECT_GT(sound_sent - sent_before, 20);
	EXPECT_GE(2 * (sound_served - served_before), sound_sent - sent_before);
}

} // namespace

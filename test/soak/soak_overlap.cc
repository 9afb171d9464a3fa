/* Faults that overlap and follow each other at once, planned from the seed. */
#include <signal.h>

#include <algorithm>

#include "soak/soak.h"

namespace
{

enum FaultKind {
	kWay,
	kPause,
	kLongPause,
	kKill,
	kTerminate,
	kOutage,
	kStopInOutage,
	kLossThenRefusal,
	kSlowForAll,
	kForgetFeed,
	kStoreLink,
	kWorkerPause,
	kWorkerLink,
	kWorkerAnswers,
	kWorkerReplaced,
	kEntryLapses,
	kAllKilled,
	kFaultKindCount,
};

const struct {
	int weight;
	int min_ms, max_ms;
} kKinds[kFaultKindCount] = {
    /* kWay */ {36, 200, 3000},
    /* kPause */ {10, 100, 1500},
    /* Longer than a session outlives its daemon. */
    /* kLongPause */ {3, 4500, 7000},
    /* kKill */ {7, 0, 1500},
    /* kTerminate */ {7, 0, 0},
    /* kOutage */ {4, 100, 900},
    /* kStopInOutage */ {4, 300, 1500},
    /* kLossThenRefusal */ {6, 300, 1500},
    /* kSlowForAll */ {5, 300, 2000},
    /* kForgetFeed */ {2, 0, 0},
    /* kStoreLink */ {6, 100, 2000},
    /* kWorkerPause */ {4, 100, 2500},
    /* kWorkerLink */ {4, 100, 2000},
    /* kWorkerAnswers */ {6, 0, 0},
    /* kWorkerReplaced */ {3, 500, 3000},
    /* kEntryLapses */ {3, 200, 2500},
    /* kAllKilled */ {1, 0, 0},
};

const char *const kWayModes[] = {"refuse", "turn_away", "reset", "silent",
    "slow", "lose", "late", "later", "lose_refuse", "later_refuse",
    "lose_refuse", "mix", "mix", "mix"};
const char *const kWorkerFaults[] = {"{\"cut_after\":4}", "{\"shed\":6}",
    "{\"cross\":2}", "{\"unsigned\":2}", "{\"silent\":2}", "{\"crashes\":2}",
    "{\"trickle\":1}"};

const int kFirstFaultMs = 500;
/* Mean time between faults, for a daemon. */
const int kGapPerDaemonMs = 1500;
const int kGapMinMs = 25;
const int kGapMaxMs = 300;
/* An entry is removed some time after its worker has ended. */
const int kEntryRemovedMs = 1500;
const int kEndPollMs = 50;
/* A stopped process ends within its grace and what the platform adds. */
const int64_t kEndMaxUs = 15 * 1000000;
const int kMsToUs = 1000;

std::string
WayDocument(const std::string &daemon, const std::string &mode, int delay_ms,
    unsigned seed)
{
	return "{\"daemon\":\"" + daemon + "\",\"mode\":\"" + mode +
	    "\",\"delay_ms\":" + std::to_string(delay_ms) +
	    ",\"seed\":" + std::to_string(seed) + "}";
}

/* One seed of three leaves the workers alone, another one only troubles the
 * store. */
int
WeightOf(int kind, unsigned seed)
{
	bool is_worker = kind >= kWorkerPause && kind <= kEntryLapses;
	bool is_daemon = kind == kKill || kind == kTerminate ||
	    kind == kAllKilled || kind == kLongPause;

	if ((is_worker && seed % 3 > 0) || (is_daemon && seed % 3 > 1))
		return 0;
	return kKinds[kind].weight;
}

int
DrawKind(std::mt19937 &rand, unsigned seed)
{
	int total = 0;
	int n;
	int kind = 0;

	for (int k = 0; k < kFaultKindCount; k++)
		total += WeightOf(k, seed);
	n = std::uniform_int_distribution<int>(0, total - 1)(rand);
	while (n >= WeightOf(kind, seed))
		n -= WeightOf(kind++, seed);
	return kind;
}

} // namespace

void
Soak::PlanFaults()
{
	int gap_ms = std::max(
	    kGapMinMs, std::min(kGapMaxMs, kGapPerDaemonMs / opts_.daemons));
	int at_ms = kFirstFaultMs;

	while (at_ms < opts_.seconds * 1000) {
		PlannedFault fault;
		int span_ms;

		fault.at_ms = at_ms;
		fault.kind = DrawKind(rand_, opts_.seed);
		span_ms = kKinds[fault.kind].max_ms - kKinds[fault.kind].min_ms;
		fault.target = Pick(rand_, 1 << 20);
		fault.duration_ms = kKinds[fault.kind].min_ms +
		    (int)Pick(rand_, (size_t)span_ms + 1);
		fault.param = (unsigned)Pick(rand_, 1 << 20);
		plan_.push_back(fault);
		at_ms += 1 + (int)Pick(rand_, (size_t)gap_ms * 2);
	}
}

void
Soak::After(int ms, std::function<void()> fn)
{
	agenda_.emplace(NowUs() + (int64_t)ms * kMsToUs, fn);
}

/* What has begun is ended, also past the last planned fault. */
void
Soak::PlayFaults()
{
	int64_t end_us = NowUs() + (int64_t)opts_.seconds * 1000 * kMsToUs;

	for (auto &fault : plan_)
		After(fault.at_ms, [this, fault] { Begin(fault); });
	while (!agenda_.empty() || NowUs() < end_us) {
		auto first = agenda_.begin();

		if (first == agenda_.end() || first->first > NowUs()) {
			SleepMs(1);
			continue;
		}
		auto fn = first->second;

		agenda_.erase(first);
		fn();
	}
	PostToStore("/way", WayDocument("*", "pass", 0, 0));
	for (size_t i = 0; i < daemons_.size(); i++)
		SetWay("d" + std::to_string(i), "pass", 0, 0);
}

void
Soak::Begin(const PlannedFault &fault)
{
	switch (fault.kind) {
	case kPause:
	case kLongPause:
	case kKill:
	case kTerminate:
	case kAllKilled:
		BeginDaemonFault(fault);
		break;
	case kWorkerPause:
	case kWorkerLink:
	case kWorkerAnswers:
	case kWorkerReplaced:
	case kEntryLapses:
		BeginWorkerFault(fault);
		break;
	default:
		BeginStoreFault(fault);
	}
}

/* Half of the daemons at least are neither paused nor down. */
bool
Soak::MayStop() const
{
	size_t up = 0;

	for (auto state : daemon_states_)
		up += state == DaemonState::kUp;
	return up * 2 > daemon_states_.size();
}

void
Soak::PauseDaemon(size_t i, int ms)
{
	daemon_states_[i] = DaemonState::kPaused;
	daemons_[i]->Signal(SIGSTOP);
	After(ms, [this, i] {
		daemons_[i]->Signal(SIGCONT);
		daemon_states_[i] = DaemonState::kUp;
	});
}

void
Soak::KillDaemon(size_t i, int ms)
{
	daemon_states_[i] = DaemonState::kDown;
	daemons_[i]->Signal(SIGKILL);
	daemons_[i]->Wait();
	After(ms, [this, i] { StartDaemon(i); });
}

void
Soak::AwaitEnd(size_t i, int64_t since_us)
{
	if (!daemons_[i]->HasExited() && NowUs() - since_us < kEndMaxUs) {
		After(
		    kEndPollMs, [this, i, since_us] { AwaitEnd(i, since_us); });
		return;
	}
	if (!daemons_[i]->HasExited()) {
		Fail("a daemon does not end on SIGTERM");
		daemons_[i]->Signal(SIGKILL);
	}
	/* A process that has not yet blocked the signal ends by it. */
	if (daemons_[i]->Wait() != 0 &&
	    daemons_[i]->Count("daemon_started") > 0)
		Fail("daemon " + std::to_string(i) + " ended with " +
		    std::to_string(daemons_[i]->Wait()) + " on SIGTERM");
	StartDaemon(i);
}

void
Soak::TerminateDaemon(size_t i)
{
	daemon_states_[i] = DaemonState::kEnding;
	daemons_[i]->Signal(SIGTERM);
	AwaitEnd(i, NowUs());
}

void
Soak::BeginDaemonFault(const PlannedFault &fault)
{
	size_t i = fault.target % daemons_.size();

	if (fault.kind == kAllKilled) {
		for (size_t k = 0; k < daemons_.size(); k++)
			if (daemon_states_[k] == DaemonState::kUp)
				KillDaemon(k, 0);
		return;
	}
	if (daemon_states_[i] != DaemonState::kUp || !MayStop())
		return;
	if (fault.kind == kTerminate)
		TerminateDaemon(i);
	else if (fault.kind == kKill)
		KillDaemon(i, fault.duration_ms);
	else
		PauseDaemon(i, fault.duration_ms);
}

void
Soak::SetWay(const std::string &daemon, const std::string &mode, int delay_ms,
    unsigned seed)
{
	PostToStore("/way", WayDocument(daemon, mode, delay_ms, seed));
}

void
Soak::BeginStoreFault(const PlannedFault &fault)
{
	size_t i = fault.target % daemons_.size();
	std::string daemon = "d" + std::to_string(i);

	switch (fault.kind) {
	case kWay:
		SetWay(daemon, kWayModes[fault.param % G_N_ELEMENTS(kWayModes)],
		    (int)(fault.param % 900), fault.param);
		After(fault.duration_ms,
		    [this, daemon] { SetWay(daemon, "pass", 0, 0); });
		break;
	case kSlowForAll:
		SetWay("*", "slow", 50 + (int)(fault.param % 700), fault.param);
		After(fault.duration_ms, [this] { SetWay("*", "pass", 0, 0); });
		break;
	case kStoreLink:
		if (!store_proxies_[i])
			break;
		store_proxies_[i]->SetMode((LinkMode)(1 +
		    fault.param % ((unsigned)LinkMode::kCount - 1)));
		After(fault.duration_ms,
		    [this, i] { store_proxies_[i]->SetMode(LinkMode::kPass); });
		break;
	case kForgetFeed:
		PostToStore("/fault", "{\"forget\":true}");
		break;
	default:
		PostToStore("/fault",
		    fault.kind == kLossThenRefusal
			? "{\"lose_answers\":2,\"out_after_loss\":true}"
			: "{\"outage\":true}");
		After(
		    fault.duration_ms, [this] { PostToStore("/fault", "{}"); });
		if (fault.kind == kStopInOutage &&
		    daemon_states_[i] == DaemonState::kUp && MayStop())
			After(fault.duration_ms / 4, [this, i] {
				if (daemon_states_[i] == DaemonState::kUp)
					TerminateDaemon(i);
			});
	}
}

/* Another worker takes the place, under its own id and address. */
void
Soak::ReplaceWorker(size_t i, int lapse_ms)
{
	std::string old_id = worker_ids_[i];

	workers_[i]->Signal(SIGKILL);
	workers_[i]->Wait();
	worker_proxies_[i]->SetMode(LinkMode::kReset);
	ended_workers_.push_back(std::move(workers_[i]));
	ended_proxies_.push_back(std::move(worker_proxies_[i]));
	worker_ids_[i] += "n";
	After(kEntryRemovedMs,
	    [this, old_id] { PutRow("servers", old_id, nullptr); });
	After(lapse_ms, [this, i] {
		StartWorker(i);
		RegisterWorker(i);
	});
}

void
Soak::LapseEntry(size_t i, int ms)
{
	std::string id = worker_ids_[i];

	PutRow("servers", id, nullptr);
	After(ms, [this, i, id] {
		if (workers_[i] && worker_ids_[i] == id)
			RegisterWorker(i);
	});
}

void
Soak::BeginWorkerFault(const PlannedFault &fault)
{
	size_t i = fault.target % workers_.size();

	if (!workers_[i])
		return;
	switch (fault.kind) {
	case kWorkerPause:
		workers_[i]->Signal(SIGSTOP);
		After(fault.duration_ms, [this, i] {
			if (workers_[i])
				workers_[i]->Signal(SIGCONT);
		});
		break;
	case kWorkerLink:
		worker_proxies_[i]->SetMode((LinkMode)(1 +
		    fault.param % ((unsigned)LinkMode::kCount - 1)));
		After(fault.duration_ms, [this, i] {
			if (worker_proxies_[i])
				worker_proxies_[i]->SetMode(LinkMode::kPass);
		});
		break;
	case kWorkerReplaced:
		ReplaceWorker(i, fault.duration_ms);
		break;
	case kEntryLapses:
		LapseEntry(i, fault.duration_ms);
		break;
	default:
		Http("POST",
		    "http://" + LoopbackAddress(worker_ports_[i]) + "/fault",
		    kWorkerFaults[fault.param % G_N_ELEMENTS(kWorkerFaults)],
		    {}, 1);
	}
}

/* Faults one at a time: each is cleared before the next. */
#include <signal.h>

#include "soak/soak.h"

void
Soak::DaemonFault(int kind)
{
	size_t i = Pick(rand_, daemons_.size());
	int ms = (int)Pick(rand_, 1500);

	switch (kind) {
	case 0:
		daemons_[i]->Signal(SIGKILL);
		daemons_[i]->Wait();
		SleepMs(ms / 3);
		StartDaemon(i);
		break;
	case 1:
		/* Repeated signals must not disturb the shutdown. */
		daemons_[i]->Signal(SIGTERM);
		daemons_[i]->Signal(SIGHUP);
		daemons_[i]->Signal(SIGTERM);
		if (daemons_[i]->Wait() != 0)
			Fail("a daemon did not exit cleanly on SIGTERM");
		StartDaemon(i);
		break;
	case 2:
		daemons_[i]->Signal(SIGSTOP);
		SleepMs(ms);
		daemons_[i]->Signal(SIGCONT);
		break;
	default:
		/* All daemons at once. */
		for (auto &daemon : daemons_)
			daemon->Signal(SIGKILL);
		for (auto &daemon : daemons_)
			daemon->Wait();
		for (size_t k = 0; k < daemons_.size(); k++)
			StartDaemon(k);
	}
}

void
Soak::StoreFault(int kind)
{
	std::string url = "http://" + LoopbackAddress(store_port_) + "/fault";
	size_t i = Pick(rand_, daemons_.size());
	int ms = (int)Pick(rand_, 2000);

	switch (kind) {
	case 0:
		Http("POST", url, "{\"outage\":true}");
		break;
	case 1:
		Http("POST", url,
		    "{\"turned_away\":\"d" + std::to_string(i) + "\"}");
		break;
	case 2:
		Http("POST", url, "{\"lose_answers\":3,\"forget\":true}");
		break;
	default:
		store_proxies_[i]->SetMode(
		    (LinkMode)(1 + Pick(rand_, (size_t)LinkMode::kCount - 1)));
	}
	SleepMs(ms);
	store_proxies_[i]->SetMode(LinkMode::kPass);
	Http("POST", url, "{}");
}

void
Soak::WorkerFault(int kind)
{
	static const char *const faults[] = {"{\"cut_after\":4}",
	    "{\"shed\":4}", "{\"cross\":2}", "{\"unsigned\":2}",
	    "{\"silent\":2}"};
	size_t i = Pick(rand_, workers_.size());
	int ms = (int)Pick(rand_, 1500);

	if (kind == 0) {
		workers_[i]->Signal(SIGSTOP);
		SleepMs(ms);
		workers_[i]->Signal(SIGCONT);
	} else if (kind == 1) {
		worker_proxies_[i]->SetMode(
		    (LinkMode)(1 + Pick(rand_, (size_t)LinkMode::kCount - 1)));
		SleepMs(ms);
		worker_proxies_[i]->SetMode(LinkMode::kPass);
	} else {
		Http("POST",
		    "http://" + LoopbackAddress(worker_ports_[i]) + "/fault",
		    faults[Pick(rand_, G_N_ELEMENTS(faults))], {},
		    kCallTimeoutS);
	}
}

void
Soak::InjectFault()
{
	switch (Pick(rand_, 3)) {
	case 0:
		DaemonFault((int)Pick(rand_, 4));
		break;
	case 1:
		StoreFault((int)Pick(rand_, 4));
		break;
	default:
		WorkerFault((int)Pick(rand_, 3));
	}
}

void
Soak::InjectFaults()
{
	int64_t end_us = NowUs() + (int64_t)opts_.seconds * 1000000;

	SleepMs(500);
	while (NowUs() < end_us) {
		InjectFault();
		SleepMs((int)Pick(rand_, 400));
	}
}

void
Soak::ClearFaults()
{
	for (auto &proxy : store_proxies_)
		if (proxy)
			proxy->SetMode(LinkMode::kPass);
	for (auto &proxy : worker_proxies_)
		proxy->SetMode(LinkMode::kPass);
	Http("POST", "http://" + LoopbackAddress(store_port_) + "/fault", "{}");
	for (int port : worker_ports_)
		Http(
		    "POST", "http://" + LoopbackAddress(port) + "/fault", "{}");
}

/* Processes of the soak: store, workers and daemons. */
#include <signal.h>
#include <stdlib.h>

#include <fstream>

#include "soak/soak.h"

namespace
{

/* With more daemons, they reach the store without a proxy. */
const int kProxiedDaemonsMax = 16;

std::string
RouteDocument(const char *name, const char *kind, int attempts_max,
    bool is_resumable, int tokens_max)
{
	char *text = g_strdup_printf(
	    R"({"name":"%s","host":"a.example","path_prefix":"/%s/","kind":"%s",
	    "timeout_ms":4000,"target_latency_ms":400,"service":"llm",
	    "max_attempts":%d,"resumable":%s,"target_gap_ms":300,
	    "target_done_ms":18000,"item_ttl_s":600,"max_count":%d})",
	    name, name, kind, attempts_max, is_resumable ? "true" : "false",
	    tokens_max);
	std::string doc = text;

	g_free(text);
	return doc;
}

} // namespace

std::string
Soak::FrontUrl(size_t i) const
{
	return "http://" + LoopbackAddress(front_ports_[i]);
}

std::string
Soak::DataCenter(size_t i) const
{
	return "dc" + std::to_string(1 + i % (size_t)opts_.data_centers);
}

void
Soak::PostToStore(const std::string &path, const std::string &body)
{
	Http("POST", "http://" + LoopbackAddress(store_port_) + path, body, {},
	    kCallTimeoutS);
}

void
Soak::PutRow(const char *table, const std::string &key, json_t *value)
{
	json_t *doc =
	    json_pack("{s:s,s:s}", "table", table, "key", key.c_str());
	char *text = value != nullptr ? json_dumps(value, 0) : nullptr;
	char *body;

	/* A row without a value is deleted. */
	if (text != nullptr)
		json_object_set_new(doc, "value", json_string(text));
	body = json_dumps(doc, 0);
	PostToStore("/put", body);
	free(body);
	free(text);
	json_decref(doc);
	json_decref(value);
}

void
Soak::RegisterWorker(size_t i)
{
	PutRow("servers", worker_ids_[i],
	    json_pack("{s:s,s:s,s:s,s:i,s:s,s:i}", "service", "llm", "addr",
		LoopbackAddress(worker_proxies_[i]->Port()).c_str(), "zone",
		DataCenter(i).c_str(), "slot_count", kSlotsPerWorker, "state",
		"ready", "born", 1));
}

void
Soak::StartWorker(size_t i)
{
	worker_ports_[i] = FreePort();
	workers_[i].reset(new Process({Env("SF_STANDIN"), "worker",
	    "--id=" + worker_ids_[i], "--print-runs=yes",
	    "--port=" + std::to_string(worker_ports_[i])}));
	workers_[i]->WaitLine("listening");
	worker_proxies_[i].reset(new Proxy(worker_ports_[i]));
}

void
Soak::StartWorkers()
{
	for (int i = 0; i < opts_.workers; i++) {
		worker_ids_.push_back("i-" + std::to_string(i));
		worker_ports_.push_back(0);
		workers_.emplace_back(nullptr);
		worker_proxies_.emplace_back(nullptr);
		StartWorker((size_t)i);
		RegisterWorker((size_t)i);
	}
}

void
Soak::StartStore()
{
	std::string routes = RouteDocument("q", "streaming", 3, true, 0) + "," +
	    RouteDocument("f", "streaming", 1, false, 0) + "," +
	    RouteDocument("b", "batch", 3, true, 0) + "," +
	    RouteDocument("l", "batch", 3, true, 60);

	store_port_ = FreePort();
	store_.reset(new Process({Env("SF_STANDIN"), "rows",
	    "--port=" + std::to_string(store_port_)}));
	store_->WaitLine("listening");
	PutRow("op", "config",
	    json_loads(("{\"version\":1,\"routes\":[" + routes +
			   "],\"services\":[{\"name\":\"llm\"}],"
			   "\"limits\":{\"body_bytes\":4000000}" +
			   TeamsDocument() + "}")
			   .c_str(),
		0, nullptr));
}

void
Soak::StartDaemon(size_t i)
{
	int port = store_proxies_[i] ? store_proxies_[i]->Port() : store_port_;

	KeepLog(i);
	daemons_[i].reset(new Process({Env("SF_BIN"), "serve",
	    "--adapter=platform", "--name=d" + std::to_string(i),
	    "--front-listen=" + LoopbackAddress(front_ports_[i]),
	    "--ready-listen=" + LoopbackAddress(ready_ports_[i]),
	    "--peer-listen=" + LoopbackAddress(peer_ports_[i]),
	    "--peers=" + LoopbackAddress(peer_ports_[0]),
	    "--data-center=" + DataCenter(i),
	    "--platform-url=http://" + LoopbackAddress(port) + "/d" +
		std::to_string(i),
	    "--drain-timeout-ms=4000"}));
	daemon_states_[i] = DaemonState::kUp;
}

void
Soak::StartAll()
{
	StartStore();
	StartWorkers();
	for (int i = 0; i < opts_.daemons; i++) {
		front_ports_.push_back(FreePort());
		ready_ports_.push_back(FreePort());
		peer_ports_.push_back(FreePort());
		store_proxies_.emplace_back(opts_.daemons <= kProxiedDaemonsMax
			? new Proxy(store_port_)
			: nullptr);
		daemons_.emplace_back(nullptr);
		daemon_states_.push_back(DaemonState::kDown);
		daemon_logs_.emplace_back();
	}
	for (int i = 0; i < opts_.daemons; i++)
		StartDaemon((size_t)i);
}

void
Soak::KeepLog(size_t i)
{
	if (daemons_[i] && !opts_.logs.empty())
		daemon_logs_[i] += daemons_[i]->Output();
}

void
Soak::WriteLogs()
{
	for (size_t i = 0; i < daemons_.size() && !opts_.logs.empty(); i++) {
		std::ofstream out(opts_.logs + "/seed" +
		    std::to_string(opts_.seed) + "-d" + std::to_string(i) +
		    ".log");

		KeepLog(i);
		out << daemon_logs_[i];
	}
}

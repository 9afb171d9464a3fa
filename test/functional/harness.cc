#include "functional/harness.h"

#include <glib.h>
#include <gtest/gtest.h>
#include <jansson.h>

#include <atomic>
#include <fstream>
#include <sstream>

extern "C" {
#include "standin/answer.h"
}

namespace
{

std::string
StringField(const json_t *doc, const char *field)
{
	const char *text = json_string_value(json_object_get(doc, field));

	return text != nullptr ? text : "";
}

std::string
MessagesJson(const std::string &prompt)
{
	return "[{\"content\":\"" + prompt + "\",\"role\":\"user\"}]";
}

} // namespace

std::string
ExpectedAnswer(const std::string &prompt, int tokens)
{
	std::string text = MessagesJson(prompt);
	uint64_t hash = XXH3_64bits(text.data(), text.size());
	std::string answer;

	for (int i = 0; i < tokens; i++)
		answer +=
		    "w" + std::to_string(standin_answer_word(hash, i)) + " ";
	return answer;
}

std::string
ChatBody(const std::string &prompt, bool stream)
{
	return std::string("{\"model\":\"assistant\",\"stream\":") +
	    (stream ? "true" : "false") +
	    ",\"messages\":" + MessagesJson(prompt) + "}";
}

std::string
ItemLine(const std::string &job, int index)
{
	std::string id = job + "-" + std::to_string(index);

	return "{\"id\":\"" + id +
	    "\",\"body\":{\"messages\":" + MessagesJson("notice " + id) +
	    "}}\n";
}

Fleet::Fleet(const FleetOptions &o) : options(o)
{
	char dir[] = "/tmp/savoryflow-test-XXXXXX";

	dir_ = mkdtemp(dir);
	platform_port_ = FreePort();
	plain_port_ = FreePort();
	platform.reset(new Process({Env("SF_STANDIN"), "platform",
	    "--port=" + std::to_string(platform_port_)}));
	plain.reset(new Process({Env("SF_STANDIN"), "plain",
	    "--port=" + std::to_string(plain_port_),
	    "--history=" + dir_ + "/plain"}));
	for (int i = 0; i < o.engines; i++)
		engine_ports_.push_back(FreePort());
	engines.resize((size_t)o.engines);
	for (size_t i = 0; i < engines.size(); i++)
		StartEngine(i);
	for (int i = 0; i < o.daemons; i++) {
		http_ports_.push_back(FreePort());
		peer_ports_.push_back(FreePort());
	}
	daemons.resize((size_t)o.daemons);
	EXPECT_TRUE(platform->WaitLine("listening"));
	EXPECT_TRUE(plain->WaitLine("listening"));
	for (size_t i = 0; i < daemons.size(); i++)
		StartDaemon(i);
	if (!o.submit_config)
		return;
	Reply r = SubmitConfig(0, 1, 0, "first-key");
	EXPECT_EQ(200, r.status) << r.body;
	for (size_t i = 0; i < daemons.size(); i++) {
		EXPECT_TRUE(daemons[i]->WaitLine("daemon_ready"));
		EXPECT_TRUE(Eventually([&] {
			return Metric(i, "savoryflow_members_alive") ==
			    (int64_t)daemons.size();
		}));
	}
}

Fleet::~Fleet()
{
	daemons.clear();
	engines.clear();
	std::string cmd = "rm -rf " + dir_;
	if (system(cmd.c_str()) != 0)
		abort();
}

void
Fleet::StartEngine(size_t i)
{
	engines[i].reset(new Process({Env("SF_STANDIN"), "engine",
	    "--port=" + std::to_string(engine_ports_[i]),
	    "--name=engine-" + std::to_string(i),
	    "--speed=" + options.engine_speed,
	    std::string("--fencing=") + (options.fencing ? "yes" : "no"),
	    "--history=" + dir_ + "/engine"}));
	EXPECT_TRUE(engines[i]->WaitLine("listening"));
}

void
Fleet::StartDaemon(size_t i)
{
	std::string seeds;
	gchar *sum =
	    g_compute_checksum_for_string(G_CHECKSUM_SHA256, "first-key", -1);

	for (int port : peer_ports_)
		seeds += (seeds.empty() ? "127.0.0.1:" : ",127.0.0.1:") +
		    std::to_string(port);
	std::vector<std::string> argv = {Env("SF_BIN"), "serve",
	    "--listen=127.0.0.1:" + std::to_string(http_ports_[i]),
	    "--peer-listen=127.0.0.1:" + std::to_string(peer_ports_[i]),
	    "--peers=" + seeds, "--platform-url=" + PlatformUrl(),
	    std::string("--operator-key-sha256=") + sum, "--region=north",
	    "--data-center=dc1", "--log-level=debug", "--gossip-period-ms=100",
	    "--member-timeout-ms=800", "--session-period-ms=200",
	    "--session-lease-ms=800", "--batch-poll-ms=100",
	    "--config-poll-ms=200", "--vms-poll-ms=100",
	    "--report-period-ms=100", "--stall-timeout-ms=1000",
	    "--drain-notice-ms=200", "--chunk-items=8",
	    "--grant-timeout-ms=100"};
	g_free(sum);
	for (auto &flag : options.flags) {
		std::string name = flag.substr(0, flag.find('=') + 1);

		argv.erase(std::remove_if(argv.begin(), argv.end(),
			       [&](const std::string &given) {
				       return given.rfind(name, 0) == 0;
			       }),
		    argv.end());
		argv.push_back(flag);
	}
	daemons[i].reset(new Process(argv));
	EXPECT_TRUE(daemons[i]->WaitLine("daemon_started"))
	    << daemons[i]->Output();
}

std::string
Fleet::DaemonUrl(size_t i) const
{
	return "http://127.0.0.1:" + std::to_string(http_ports_[i]);
}

std::string
Fleet::PlatformUrl() const
{
	return "http://127.0.0.1:" + std::to_string(platform_port_);
}

std::string
Fleet::EngineUrl(size_t i) const
{
	return "http://127.0.0.1:" + std::to_string(engine_ports_[i]);
}

std::string
Fleet::PlainServiceUrl() const
{
	return "http://127.0.0.1:" + std::to_string(plain_port_);
}

void
Fleet::InjectFault(const std::string &url, const std::string &json)
{
	EXPECT_EQ(200, Http("POST", url + "/fault", json).status);
}

std::string
Fleet::ConfigDocument(int weight) const
{
	auto team = [](const char *key, bool is_operator, int w) {
		gchar *sum =
		    g_compute_checksum_for_string(G_CHECKSUM_SHA256, key, -1);
		std::string text = std::string("{\"key_sha256\":\"") + sum +
		    "\",\"operator\":" + (is_operator ? "true" : "false") +
		    ",\"rate_per_s\":0,\"concurrency\":0,\"weight\":" +
		    std::to_string(w) + "}";

		g_free(sum);
		return text;
	};
	auto target = [&](const std::string &url, const char *service) {
		return "{\"url\":\"" + url + "\",\"service\":\"" + service +
		    "\",\"region\":\"north\",\"data_center\":\"dc1\","
		    "\"checks_fencing\":true,\"slots\":" +
		    std::to_string(options.slots) + "}";
	};
	std::string doc =
	    "{\"schema\":1,\"services\":{\"assistant\":{\"kind\":\"engine\","
	    "\"idempotent\":true,\"tail_budget_ms\":10000},"
	    "\"booking\":{\"kind\":\"plain\","
	    "\"idempotent\":false,\"tail_budget_ms\":0}},\"models\":{\"chat\":"
	    "{\"service\":\"assistant\",\"version\":\"v" +
	    std::to_string(weight) + "\"}},\"targets\":{\"booking-1\":" +
	    target(PlainServiceUrl(), "booking");

	for (size_t i = 0; i < engine_ports_.size(); i++)
		doc += ",\"engine-" + std::to_string(i) +
		    "\":" + target(EngineUrl(i), "assistant");
	return doc +
	    "},\"teams\":{\"students\":" + team("students-key", false, weight) +
	    ",\"studios\":" + team("studios-key", false, 1) +
	    ",\"operators\":" + team("operators-key", true, 1) + "}}";
}

Reply
Fleet::SubmitConfig(size_t daemon, int weight, int from, const std::string &key)
{
	return Http("PUT",
	    DaemonUrl(daemon) + "/v1/config?from=" + std::to_string(from),
	    ConfigDocument(weight), {"Authorization: Bearer " + key});
}

void
Fleet::RecordEvent(const HistoryEvent &event)
{
	std::lock_guard<std::mutex> held(lock_);

	history_.push_back(event);
	if (event.time_us == 0)
		history_.back().time_us = NowUs();
}

/* Text of a streamed answer; the end marker sets is_complete, an error event
 * has_error. */
static std::string
StreamText(const std::string &body, bool *is_complete, bool *has_error)
{
	std::istringstream in(body);
	std::string line, text;

	*is_complete = *has_error = false;
	while (std::getline(in, line)) {
		if (line == "data: [DONE]")
			*is_complete = true;
		if (line.rfind("data: {", 0) != 0)
			continue;
		json_t *doc = json_loads(line.c_str() + 6, 0, nullptr);
		json_t *choice =
		    json_array_get(json_object_get(doc, "choices"), 0);

		if (json_object_get(doc, "error") != nullptr)
			*has_error = true;
		text +=
		    StringField(json_object_get(choice, "delta"), "content");
		json_decref(doc);
	}
	return text;
}

Reply
Fleet::Chat(size_t daemon, const std::string &prompt, bool stream,
    const Headers &headers)
{
	static std::atomic<int> count{0};
	std::string name = prompt + "#" + std::to_string(++count);
	Headers all = headers;
	bool is_complete = false, has_error = false;
	std::string got;

	all.push_back("Authorization: Bearer students-key");
	RecordEvent({"chat_sent", {{"request", name}}});
	Reply r = Http("POST", DaemonUrl(daemon) + "/v1/chat/completions",
	    ChatBody(prompt, stream), all);
	if (r.status == 200 && stream) {
		got = StreamText(r.body, &is_complete, &has_error);
	} else if (r.status == 200) {
		json_t *doc = json_loads(r.body.c_str(), 0, nullptr);

		got = StringField(
		    json_object_get(
			json_array_get(json_object_get(doc, "choices"), 0),
			"message"),
		    "content");
		is_complete = true;
		json_decref(doc);
	}
	if (is_complete)
		RecordEvent({"chat_answer",
		    {{"request", name}, {"expected", ExpectedAnswer(prompt)},
			{"got", got}}});
	else if (r.status == 0 || (r.status == 200 && !has_error))
		RecordEvent({"chat_cut", {{"request", name}}});
	return r;
}

Reply
Fleet::CallBooking(
    size_t daemon, const std::string &key, const std::string &body)
{
	RecordEvent({"call_sent", {{"key", key}}});
	Reply r = Http("POST", DaemonUrl(daemon) + "/v1/call/booking/" + key,
	    body,
	    {"Authorization: Bearer students-key", "Idempotency-Key: " + key});

	if (r.status >= 400)
		RecordEvent({"refused",
		    {{"key", key}, {"ran", r.headers["savoryflow-ran"]}}});
	return r;
}

Reply
Fleet::SubmitJob(size_t daemon, const std::string &id, int items)
{
	std::string body;

	for (int i = 0; i < items; i++)
		body += ItemLine(id, i);
	Reply r = Http("POST",
	    DaemonUrl(daemon) + "/v1/batches?service=assistant", body,
	    {"Authorization: Bearer studios-key", "Savoryflow-Job-Id: " + id});
	if (r.status == 202)
		RecordEvent({"job_accepted",
		    {{"job", id}, {"items", std::to_string(items)}}});
	return r;
}

std::string
Fleet::JobState(size_t daemon, const std::string &id)
{
	Reply r = Http("GET", DaemonUrl(daemon) + "/v1/batches/" + id, "",
	    {"Authorization: Bearer studios-key"});
	json_t *doc = json_loads(r.body.c_str(), 0, nullptr);
	std::string state = StringField(doc, "state");

	json_decref(doc);
	return state;
}

bool
Fleet::WaitJob(size_t daemon, const std::string &id)
{
	bool done = Eventually([&] { return JobState(daemon, id) == "done"; });

	if (done)
		RecordEvent({"job_done", {{"job", id}}});
	return done;
}

bool
Fleet::WaitChunkCommitted()
{
	return Eventually([&] {
		int n = 0;

		for (auto &d : daemons)
			n += d->Count("chunk_committed");
		return n > 0;
	});
}

bool
Fleet::HasChunkLease(size_t daemon)
{
	Reply r = Http("GET", PlatformUrl() + "/scan?prefix=chunk/&limit=1000");
	std::string lease = "\\\"leased\\\",\\\"session\\\":\\\"127.0.0.1:" +
	    std::to_string(peer_ports_[daemon]) + "/";

	return r.body.find(lease) != std::string::npos;
}

void
Fleet::ReadResults(size_t daemon, const std::string &id)
{
	std::string pass = std::to_string(++result_reads_);
	std::string from = "0", complete = "no";

	while (complete == "no") {
		Reply r = Http("GET",
		    DaemonUrl(daemon) + "/v1/batches/" + id +
			"/results?from=" + from,
		    "", {"Authorization: Bearer studios-key"});
		std::istringstream in(r.body);
		std::string line;

		ASSERT_EQ(200, r.status) << r.body;
		while (std::getline(in, line)) {
			json_t *doc = json_loads(line.c_str(), 0, nullptr);
			int64_t index =
			    json_integer_value(json_object_get(doc, "index"));

			RecordEvent({"result",
			    {{"job", id}, {"pass", pass},
				{"index", std::to_string(index)}}});
			if (StringField(doc, "status") == "ok") {
				EXPECT_EQ(ExpectedAnswer("notice " + id + "-" +
					      std::to_string(index)),
				    StringField(doc, "answer"));
			}
			json_decref(doc);
		}
		if (r.headers["savoryflow-next"] == from)
			break;
		from = r.headers["savoryflow-next"];
		complete = r.headers["savoryflow-complete"];
	}
}

int
Fleet::CountLines(const std::string &file, const std::string &text)
{
	std::ifstream in(dir_ + "/" + file);
	std::string line;
	int n = 0;

	while (std::getline(in, line))
		n += line.find(text) != std::string::npos;
	return n;
}

int
Fleet::EngineRuns()
{
	return CountLines("engine", "\"kind\":\"run\"");
}

int
Fleet::PlainRuns()
{
	return CountLines("plain", "\"kind\":\"run\"");
}

int64_t
Fleet::Metric(size_t daemon, const std::string &name)
{
	Reply r = Http("GET", DaemonUrl(daemon) + "/metrics");
	size_t at = r.body.find("\n" + name + " ");

	return at == std::string::npos
	    ? -1
	    : std::stoll(r.body.substr(at + name.size() + 2));
}

void
Fleet::ExpectHistoryValid()
{
	std::ifstream calls(dir_ + "/plain"), runs(dir_ + "/engine");
	std::string line;

	while (std::getline(calls, line)) {
		json_t *doc = json_loads(line.c_str(), 0, nullptr);
		std::string path = StringField(doc, "path");

		RecordEvent({"call_run", {{"key", path.substr(1)}}});
		json_decref(doc);
	}
	while (std::getline(runs, line)) {
		json_t *doc = json_loads(line.c_str(), 0, nullptr);

		if (StringField(doc, "kind") == "run")
			RecordEvent({"target_run",
			    {{"target", StringField(doc, "engine")}},
			    json_integer_value(
				json_object_get(doc, "time_us"))});
		json_decref(doc);
	}
	for (auto &violation : CheckHistory(history_))
		ADD_FAILURE() << violation;
}

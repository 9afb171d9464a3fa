/* Guarantees for jobs and keyed calls under kills, freezes and outages. */
#include <gtest/gtest.h>
#include <jansson.h>
#include <signal.h>

#include <atomic>
#include <map>
#include <sstream>
#include <thread>

#include "functional/harness.h"

namespace
{

/* Freezes daemon 0 while it holds a lease, not between two leases. */
bool
FreezeHolder(Fleet &f)
{
	return Eventually([&] {
		f.daemons[0]->Signal(SIGSTOP);
		if (f.HasChunkLease(0))
			return true;
		f.daemons[0]->Signal(SIGCONT);
		return false;
	});
}

TEST(Failures, JobOfADaemonKilledAfterItsAcknowledgementCompletes)
{
	FleetOptions o;

	o.daemons = 3;
	Fleet f(o);
	EXPECT_EQ(202, f.SubmitJob(0, "lot", 100).status);
	f.daemons[0]->Signal(SIGKILL);
	EXPECT_EQ(202, f.SubmitJob(1, "lot", 100).status) << "resent";
	EXPECT_TRUE(f.WaitJob(1, "lot"));
	f.ReadResults(2, "lot");
	f.ReadResults(1, "lot");
	f.ExpectHistoryValid();
}

/* Its chunks are released only by the end of its session. */
TEST(Failures, JobOfADaemonKilledWhileItHoldsALeaseCompletes)
{
	FleetOptions o;

	o.daemons = 2;
	o.engine_speed = "2";
	o.flags = {"--batch-inflight-items=8"};
	Fleet f(o);
	EXPECT_EQ(202, f.SubmitJob(0, "lot", 200).status);
	ASSERT_TRUE(f.WaitChunkCommitted());
	ASSERT_TRUE(FreezeHolder(f));
	f.daemons[0]->Signal(SIGKILL);
	f.daemons[0]->Wait();
	EXPECT_TRUE(f.WaitJob(1, "lot"));
	f.ReadResults(1, "lot");
	f.ExpectHistoryValid();
}

TEST(Failures, ResentJobWithOtherContentConflicts)
{
	FleetOptions o;
	Fleet f(o);

	EXPECT_EQ(202, f.SubmitJob(0, "lot", 20).status);
	Reply r = f.SubmitJob(1, "lot", 21);
	EXPECT_EQ(409, r.status);
	EXPECT_NE(std::string::npos, r.body.find("job_content_conflict"));
	EXPECT_TRUE(f.WaitJob(1, "lot"));
	f.ReadResults(0, "lot");
	f.ExpectHistoryValid();
}

TEST(Failures, HolderFrozenPastItsLeaseDuplicatesNothing)
{
	FleetOptions o;

	o.daemons = 2;
	o.engine_speed = "2";
	o.flags = {"--batch-inflight-items=8"};
	Fleet f(o);
	EXPECT_EQ(202, f.SubmitJob(0, "lot", 200).status);
	ASSERT_TRUE(f.WaitChunkCommitted());
	ASSERT_TRUE(FreezeHolder(f));
	EXPECT_TRUE(f.daemons[1]->WaitLine("session_ended"));
	f.daemons[0]->Signal(SIGCONT);
	EXPECT_TRUE(f.daemons[0]->WaitLine("session_lost"));
	EXPECT_TRUE(f.WaitJob(1, "lot"));
	f.ReadResults(0, "lot");
	f.ReadResults(1, "lot");
	f.ExpectHistoryValid();
}

TEST(Failures, LostStoreResponsesLoseAndDuplicateNothing)
{
	FleetOptions o;
	Fleet f(o);

	for (const char *fault :
	    {"{\"lose_answers\":1}", "{\"lose_requests\":1}",
		"{\"lose_answers\":2,\"lose_requests\":2}"}) {
		std::string id = std::string("lot-") +
		    std::to_string(fault[2]) + std::to_string(fault[8]) +
		    std::to_string(fault[17]);

		f.InjectFault(f.PlatformUrl(), fault);
		EXPECT_EQ(202, f.SubmitJob(0, id, 40).status) << fault;
		f.InjectFault(f.PlatformUrl(), fault);
		EXPECT_TRUE(f.WaitJob(1, id)) << fault;
		f.ReadResults(1, id);
	}
	f.ExpectHistoryValid();
}

TEST(Failures, StoreOutage)
{
	FleetOptions o;

	o.daemons = 2;
	o.engine_speed = "5";
	Fleet f(o);
	EXPECT_EQ(202, f.SubmitJob(0, "before", 64).status);
	ASSERT_TRUE(f.WaitChunkCommitted());
	f.InjectFault(f.PlatformUrl(), "{\"outage\":true}");
	ASSERT_TRUE(f.daemons[0]->WaitLine("store_down"));
	EXPECT_EQ(200, f.Chat(0, "online goes on", true).status);
	Reply job = f.SubmitJob(1, "during", 5);
	EXPECT_EQ(503, job.status) << job.body;
	EXPECT_EQ("no", job.headers["savoryflow-ran"]);
	EXPECT_NE("", job.headers["retry-after"]);
	Reply call = f.CallBooking(1, "in-outage");
	EXPECT_EQ(503, call.status) << call.body;
	EXPECT_EQ("no", call.headers["savoryflow-ran"]);
	Reply conf = f.SubmitConfig(0, 2, 1);
	EXPECT_EQ(503, conf.status) << conf.body;
	f.InjectFault(f.PlatformUrl(), "{}");
	EXPECT_TRUE(f.WaitJob(0, "before"));
	f.ReadResults(0, "before");
	EXPECT_EQ(202, f.SubmitJob(1, "during", 5).status);
	EXPECT_TRUE(f.WaitJob(0, "during"));
	f.ReadResults(1, "during");
	f.ExpectHistoryValid();
}

TEST(Failures, StoreOutageAndAKilledHolderAtOnce)
{
	FleetOptions o;

	o.daemons = 3;
	o.engine_speed = "5";
	Fleet f(o);
	EXPECT_EQ(202, f.SubmitJob(0, "lot", 96).status);
	ASSERT_TRUE(f.WaitChunkCommitted());
	f.InjectFault(f.PlatformUrl(), "{\"outage\":true}");
	f.daemons[0]->Signal(SIGKILL);
	ASSERT_TRUE(f.daemons[1]->WaitLine("store_down"));
	f.InjectFault(f.PlatformUrl(), "{\"lose_answers\":2}");
	EXPECT_TRUE(f.WaitJob(1, "lot"));
	f.ReadResults(2, "lot");
	f.ExpectHistoryValid();
}

TEST(Failures, CancelledJobStops)
{
	FleetOptions o;

	o.daemons = 2;
	o.engine_speed = "2";
	o.flags = {"--batch-inflight-items=8"};
	Fleet f(o);
	EXPECT_EQ(202, f.SubmitJob(0, "lot", 200).status);
	ASSERT_TRUE(f.WaitChunkCommitted());
	EXPECT_EQ(200,
	    Http("POST", f.DaemonUrl(1) + "/v1/batches/lot/cancel", "",
		{"Authorization: Bearer studios-key"})
		.status);
	f.RecordEvent({"job_cancelled", {{"job", "lot"}}});
	f.ReadResults(0, "lot");
	/* Items in flight stop: no daemon has an active call. */
	EXPECT_TRUE(Eventually([&] {
		return f.Metric(0, "savoryflow_active_calls") == 0 &&
		    f.Metric(1, "savoryflow_active_calls") == 0;
	}));
	int runs = f.EngineRuns();
	EXPECT_EQ(200, f.Chat(0, "after", false).status);
	f.ReadResults(1, "lot");
	EXPECT_EQ(runs + 1, f.EngineRuns());
	EXPECT_EQ("cancelled", f.JobState(1, "lot"));
	f.ExpectHistoryValid();
}

TEST(Failures, JobsCancelledWhileTheirItemsStart)
{
	FleetOptions o;

	o.daemons = 1;
	o.slots = 500;
	o.engine_speed = "500";
	o.flags = {"--chunk-items=500", "--batch-inflight-items=500"};
	Fleet f(o);
	for (int i = 0; i < 60; i++) {
		std::string id = "lot-" + std::to_string(i);

		ASSERT_EQ(202, f.SubmitJob(0, id, 3000).status);
		ASSERT_EQ(200,
		    Http("POST",
			f.DaemonUrl(0) + "/v1/batches/" + id + "/cancel", "",
			{"Authorization: Bearer studios-key"})
			.status);
		ASSERT_EQ("cancelled", f.JobState(0, id));
	}
}

TEST(Failures, ItemsThatCanNeverCompleteEndAsFailed)
{
	FleetOptions o;

	o.engines = 4;
	Fleet f(o);
	std::string body = ItemLine("lot", 0) +
	    "{\"id\":\"bad\",\"body\":{\"messages\":[{\"role\":\"user\","
	    "\"content\":\"REJECT\"}]}}\n" +
	    ItemLine("lot", 2);
	EXPECT_EQ(202,
	    Http("POST", f.DaemonUrl(0) + "/v1/batches?service=assistant", body,
		{"Authorization: Bearer studios-key", "Savoryflow-Job-Id: lot"})
		.status);
	f.RecordEvent({"job_accepted", {{"job", "lot"}, {"items", "3"}}});
	EXPECT_TRUE(f.WaitJob(0, "lot"));
	f.ReadResults(1, "lot");
	Reply r = Http("GET", f.DaemonUrl(0) + "/v1/batches/lot/results", "",
	    {"Authorization: Bearer studios-key"});
	EXPECT_NE(
	    std::string::npos, r.body.find("\"error\":\"target_refused\""))
	    << r.body;
	for (auto &engine : f.engines)
		EXPECT_FALSE(engine->HasExited());
	f.ExpectHistoryValid();
}

/* More engines die than a request that crashes targets may use up. */
TEST(Failures, AnItemUnderWhichManyEnginesDiedIsOwed)
{
	FleetOptions o;

	o.engines = 6;
	Fleet f(o);
	for (size_t i = 0; i < f.engines.size(); i++)
		f.InjectFault(f.EngineUrl(i), "{\"die\":1}");
	EXPECT_EQ(202, f.SubmitJob(0, "lot", 1).status);
	for (auto &engine : f.engines) {
		EXPECT_TRUE(Eventually([&] {
			return f.JobState(0, "lot") == "done" ||
			    engine->HasExited();
		}));
		if (f.JobState(0, "lot") == "done")
			break;
	}
	for (size_t i = 0; i < f.engines.size(); i++)
		if (f.engines[i]->HasExited())
			f.StartEngine(i);
	EXPECT_TRUE(f.WaitJob(0, "lot"));
	f.ReadResults(1, "lot");
	Reply r = Http("GET", f.DaemonUrl(0) + "/v1/batches/lot/results", "",
	    {"Authorization: Bearer studios-key"});
	EXPECT_NE(std::string::npos, r.body.find("\"status\":\"ok\""))
	    << r.body;
	EXPECT_EQ(0,
	    f.daemons[0]->Count("request_condemned") +
		f.daemons[1]->Count("request_condemned"));
	f.ExpectHistoryValid();
}

TEST(Failures, AnItemIsOwedThoughAnOnlineRequestLikeItIsBlocked)
{
	FleetOptions o;

	o.engines = 4;
	Fleet f(o);
	std::string messages =
	    "{\"messages\":[{\"content\":\"notice lot-0\",\"role\":\"user\"}]";

	for (size_t i = 0; i < f.engines.size(); i++)
		f.InjectFault(f.EngineUrl(i), "{\"die\":1}");
	Reply online = Http("POST", f.DaemonUrl(0) + "/v1/chat/completions",
	    messages + ",\"model\":\"assistant\",\"stream\":true}",
	    {"Authorization: Bearer students-key"});
	EXPECT_EQ(422, online.status) << online.body;
	for (size_t i = 0; i < f.engines.size(); i++) {
		f.engines[i]->Signal(SIGKILL);
		f.engines[i]->Wait();
		f.StartEngine(i);
	}
	Reply job = Http("POST",
	    f.DaemonUrl(0) + "/v1/batches?service=assistant",
	    "{\"id\":\"lot-0\",\"body\":" + messages +
		",\"model\":\"assistant\"}}\n",
	    {"Authorization: Bearer studios-key", "Savoryflow-Job-Id: lot"});
	EXPECT_EQ(202, job.status) << job.body;
	EXPECT_TRUE(Eventually([&] { return f.JobState(0, "lot") == "done"; }));
	Reply r = Http("GET", f.DaemonUrl(0) + "/v1/batches/lot/results", "",
	    {"Authorization: Bearer studios-key"});
	EXPECT_NE(std::string::npos, r.body.find("\"status\":\"ok\""))
	    << r.body;
}

TEST(Failures, AKeyedCallRunsOnceWhereverItIsResent)
{
	FleetOptions o;

	o.daemons = 3;
	Fleet f(o);
	EXPECT_EQ(200, f.CallBooking(0, "whole").status);
	EXPECT_TRUE(Eventually(
	    [&] { return f.CallBooking(1, "whole").status == 200; }));
	/* It ran and its answer was lost: it must not run again. */
	f.InjectFault(f.PlainServiceUrl(), "{\"cut\":1}");
	Reply lost = f.CallBooking(0, "lost");
	EXPECT_EQ(502, lost.status) << lost.body;
	EXPECT_EQ("unknown", lost.headers["savoryflow-ran"]);
	EXPECT_EQ(409, f.CallBooking(1, "lost").status);
	EXPECT_TRUE(Eventually([&] {
		return f.CallBooking(1, "lost").body.find("outcome_unknown") !=
		    std::string::npos;
	})) << "also while the daemon that ran it is alive";
	EXPECT_EQ(409, f.CallBooking(2, "lost", "{\"other\":1}").status);
	/* The daemon that started it is killed: the outcome is unknown. */
	f.daemons[0]->Signal(SIGKILL);
	EXPECT_TRUE(Eventually([&] {
		return f.CallBooking(1, "lost").body.find("outcome_unknown") !=
		    std::string::npos;
	}));
	f.ExpectHistoryValid();
}

TEST(Failures, DaemonKilledWhileAKeyedCallRuns)
{
	FleetOptions o;

	o.daemons = 2;
	Fleet f(o);
	f.InjectFault(f.PlainServiceUrl(), "{\"delay_ms\":1500}");
	std::thread caller([&] { f.CallBooking(0, "slow"); });
	/* Daemon 0 has started it: the plain service has logged the run. */
	ASSERT_TRUE(Eventually([&] { return f.PlainRuns() == 1; }));
	EXPECT_EQ(409, f.CallBooking(1, "slow").status);
	f.daemons[0]->Signal(SIGKILL);
	caller.join();
	Reply last;
	EXPECT_TRUE(Eventually([&] {
		last = f.CallBooking(1, "slow");
		return last.body.find("outcome_unknown") != std::string::npos;
	})) << last.status
	    << " " << last.body << f.daemons[1]->Output();
	f.ExpectHistoryValid();
}

TEST(Failures, LostStoreResponsesAroundAKeyedCall)
{
	FleetOptions o;
	Fleet f(o);
	int n = 0;

	for (const char *fault : {"{\"lose_answers\":1}",
		 "{\"lose_requests\":1}", "{\"lose_requests\":30}"}) {
		std::string key = "key-" + std::to_string(n++);

		f.InjectFault(f.PlatformUrl(), fault);
		f.CallBooking(0, key);
		f.CallBooking(1, key);
		f.InjectFault(f.PlatformUrl(), "{}");
		f.CallBooking(1, key);
	}
	f.ExpectHistoryValid();
}

/* Deletes the items of a job that no daemon has read yet. */
void
DeleteItems(Fleet &f)
{
	const std::string name = "\\\"upload\\\":\\\"";
	Reply rows = Http("GET", f.PlatformUrl() + "/scan?prefix=job/&limit=9");
	size_t at = rows.body.find(name);

	ASSERT_NE(std::string::npos, at) << rows.body;
	at += name.size();
	std::string upload =
	    rows.body.substr(at, rows.body.find('\\', at) - at);
	for (int i = 0; i < 100; i++) {
		char chunk[16];

		snprintf(chunk, sizeof(chunk), "/%06d", i);
		Http("DELETE",
		    f.PlatformUrl() + "/object/input/" + upload + chunk);
	}
}

int64_t
Number(json_t *line, const char *name)
{
	json_t *val = json_object_get(line, name);

	return json_is_string(val) ? atoll(json_string_value(val))
				   : json_integer_value(val);
}

/* The tries of each chunk are as far apart as the log says, twice as far each
 * time. */
void
ExpectTriesApart(const std::string &log)
{
	/* A line may be written this long after its try. */
	const int64_t late_us = 200000;
	std::map<int64_t, int64_t> due_us;
	int tries = 0;
	std::istringstream in(log);
	std::string text;

	while (std::getline(in, text)) {
		json_t *line = json_loads(text.c_str(), 0, nullptr);
		int64_t chunk = Number(line, "chunk");
		int64_t wait_us = Number(line, "wait_us");

		if (text.find("\"chunk_unread\"") != std::string::npos) {
			EXPECT_LE(due_us[chunk], Number(line, "time_us"));
			EXPECT_EQ(500000 << Number(line, "failures"), wait_us);
			due_us[chunk] =
			    Number(line, "time_us") + wait_us - late_us;
			tries++;
		}
		json_decref(line);
	}
	EXPECT_LE(3, tries);
}

/* Guards against a chunk that is claimed and released with each poll. */
TEST(Failures, AChunkWhoseItemsAreMissingIsTriedSeldom)
{
	FleetOptions o;

	o.daemons = 1;
	o.engine_speed = "2";
	o.flags = {"--batch-inflight-items=8"};
	Fleet f(o);
	ASSERT_EQ(202, f.SubmitJob(0, "lot", 200).status);
	DeleteItems(f);
	ASSERT_TRUE(f.daemons[0]->WaitLine("\"failures\":\"3\""));
	ExpectTriesApart(f.daemons[0]->Output());
	f.ExpectHistoryValid();
}

} // namespace

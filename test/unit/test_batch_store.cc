#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "savoryflow/batch/batch_session.h"
#include "savoryflow/batch/batch_store.h"
#include "savoryflow/call/intent_store.h"
#include "standin/memstore.h"
}

namespace
{

struct BatchStore : ::testing::Test {
	struct memstore *ms = memstore_new();
	struct store *store = memstore_store(ms);
	struct batch_session one = {}, two = {};
	struct batch_job job = {};

	void
	SetUp() override
	{
		job.team = (char *)"t";
		job.id = (char *)"j";
		job.service = (char *)"assistant";
		job.upload = (char *)"u";
		job.digest = (char *)"d";
		job.items = 5;
		job.chunk_items = 2;
		job.weight = 1;
		ASSERT_EQ(kStoreOk, batch_session_start(store, "s1", &one));
		ASSERT_EQ(kStoreOk, batch_session_start(store, "s2", &two));
		ASSERT_EQ(kStoreOk, batch_submit(store, &job));
	}

	~BatchStore() override
	{
		batch_session_clear(&one);
		batch_session_clear(&two);
		memstore_free(ms);
	}

	void
	Faults(bool outage, int lose_answers, int lose_requests)
	{
		struct memstore_faults f = {
		    outage, lose_answers, lose_requests};

		memstore_set_faults(ms, &f);
	}

	/* The chunk as stored now. */
	batch_chunk
	Chunk(int n, std::string *session)
	{
		GPtrArray *chunks = nullptr;
		batch_chunk copy = {};

		EXPECT_EQ(kStoreOk, batch_chunks(store, &job, &chunks));
		copy = *(batch_chunk *)chunks->pdata[n];
		*session = copy.session != nullptr ? copy.session : "";
		copy.session = (char *)session->c_str();
		copy.claim = copy.object = nullptr;
		g_ptr_array_unref(chunks);
		return copy;
	}

	store_result
	Claim(const batch_session *s, int n, const char *claim)
	{
		std::string session;
		batch_chunk chunk = Chunk(n, &session);

		return batch_claim(store, s, &job, &chunk, claim);
	}

	store_result
	Commit(const batch_session *s, int n, const char *claim)
	{
		struct batch_results r = {n, claim, "x\n", 2, 1, 0};

		return batch_commit(store, s, &job, &r);
	}

	void
	End(const char *session)
	{
		bool live;
		int64_t version;

		ASSERT_EQ(kStoreOk,
		    batch_session_read(store, session, &live, &version));
		ASSERT_EQ(kStoreOk, batch_session_end(store, session, version));
	}
};

TEST_F(BatchStore, ResubmittedJobIsTheSameJobAndOtherContentConflicts)
{
	struct batch_job other = job;

	EXPECT_EQ(kStoreOk, batch_submit(store, &job));
	other.digest = (char *)"another";
	EXPECT_EQ(kStoreConflict, batch_submit(store, &other));
}

TEST_F(BatchStore, OnlyOneSessionGetsAChunk)
{
	std::string session;
	batch_chunk seen = Chunk(0, &session);

	EXPECT_EQ(kStoreOk, batch_claim(store, &one, &job, &seen, "c1"));
	EXPECT_EQ(kStoreConflict, batch_claim(store, &two, &job, &seen, "c2"));
	EXPECT_EQ(kStoreConflict, Claim(&two, 0, "c3"))
	    << "the holder's session is live";
}

TEST_F(BatchStore, HolderThatWakesAfterItsSessionEndedCannotCommit)
{
	EXPECT_EQ(kStoreOk, Claim(&one, 0, "c1"));
	End("s1");
	EXPECT_EQ(kStoreConflict, Commit(&one, 0, "c1"))
	    << "even before the chunk is leased again";
	EXPECT_EQ(kStoreOk, Claim(&two, 0, "c2"));
	EXPECT_EQ(kStoreConflict, Commit(&one, 0, "c1"));
	EXPECT_EQ(kStoreOk, Commit(&two, 0, "c2"));
	EXPECT_EQ(kStoreConflict, batch_session_heartbeat(store, &one));
}

TEST_F(BatchStore, SessionCanLeaseItsOwnChunkAgain)
{
	EXPECT_EQ(kStoreOk, Claim(&one, 0, "c1"));
	EXPECT_EQ(kStoreConflict, Claim(&two, 0, "c2"));
	EXPECT_EQ(kStoreOk, Claim(&one, 0, "c3"));
	EXPECT_EQ(kStoreConflict, Commit(&one, 0, "c1"));
	EXPECT_EQ(kStoreOk, Commit(&one, 0, "c3"));
}

TEST_F(BatchStore, HeartbeatRenewsTheSession)
{
	bool live;
	int64_t version;

	ASSERT_EQ(kStoreOk, batch_session_read(store, "s1", &live, &version));
	EXPECT_EQ(kStoreOk, batch_session_heartbeat(store, &one));
	EXPECT_EQ(kStoreConflict, batch_session_end(store, "s1", version))
	    << "an observer of the old counter is too late";
}

TEST_F(BatchStore, LostAnswersAreResolved)
{
	const struct {
		const char *name;
		int answers;
		int requests;
	} cases[] = {{"answer", 1, 0}, {"request", 0, 1}, {"both", 1, 1}};
	int n = 0;

	for (const auto &c : cases) {
		std::string claim = "c" + std::to_string(n);

		Faults(false, c.answers, c.requests);
		EXPECT_EQ(kStoreOk, Claim(&one, n, claim.c_str())) << c.name;
		Faults(false, c.answers, c.requests);
		EXPECT_EQ(kStoreOk, Commit(&one, n, claim.c_str())) << c.name;
		Faults(false, c.answers, c.requests);
		EXPECT_EQ(kStoreOk, batch_session_heartbeat(store, &one))
		    << c.name;
		n++;
	}
	Faults(false, 0, 0);
	bool done;
	EXPECT_EQ(kStoreOk, batch_finish(store, &job, &done));
	EXPECT_TRUE(done);
}

TEST_F(BatchStore, CommitRetriedAfterLostAnswersTakesEffectOnce)
{
	EXPECT_EQ(kStoreOk, Claim(&one, 0, "c1"));
	Faults(false, 9, 0);
	EXPECT_NE(kStoreConflict, Commit(&one, 0, "c1"));
	Faults(false, 0, 0);
	EXPECT_EQ(kStoreOk, Commit(&one, 0, "c1"));
}

TEST_F(BatchStore, NoResultAfterCancel)
{
	struct batch_progress p;

	EXPECT_EQ(kStoreOk, Claim(&one, 0, "c1"));
	EXPECT_EQ(kStoreOk, Claim(&one, 1, "c2"));
	EXPECT_EQ(kStoreOk, Commit(&one, 0, "c1"));
	EXPECT_EQ(kStoreOk, batch_cancel(store, "t", "j"));
	EXPECT_EQ(kStoreOk, batch_cancel(store, "t", "j")) << "again";
	EXPECT_EQ(kStoreConflict, Commit(&one, 1, "c2"));
	EXPECT_EQ(kStoreConflict, Claim(&two, 2, "c3"));
	EXPECT_EQ(kStoreOk, batch_progress(store, "t", "j", &p));
	EXPECT_EQ(kJobCancelled, p.state);
	EXPECT_EQ(1, p.chunks_done);
}

TEST_F(BatchStore, DoneJobCannotBeCancelled)
{
	bool done;

	for (int n = 0; n < 3; n++) {
		std::string claim = "c" + std::to_string(n);

		EXPECT_EQ(kStoreOk, batch_finish(store, &job, &done));
		EXPECT_FALSE(done);
		EXPECT_EQ(kStoreOk, Claim(&one, n, claim.c_str()));
		EXPECT_EQ(kStoreOk, Commit(&one, n, claim.c_str()));
	}
	EXPECT_EQ(kStoreOk, batch_finish(store, &job, &done));
	EXPECT_TRUE(done);
	EXPECT_EQ(kStoreConflict, batch_cancel(store, "t", "j"));
	EXPECT_EQ(kStoreNotFound, batch_cancel(store, "other", "j"));
}

TEST_F(BatchStore, OutageIsReportedAsOutage)
{
	struct batch_job other = job;

	other.id = (char *)"k";
	Faults(true, 0, 0);
	EXPECT_EQ(kStoreUnavailable, batch_submit(store, &other));
	Faults(false, 0, 9);
	EXPECT_EQ(kStoreAmbiguous, batch_submit(store, &other));
}

struct IntentStore : ::testing::Test {
	struct memstore *ms = memstore_new();
	struct store *store = memstore_store(ms);

	~IntentStore() override
	{
		memstore_free(ms);
	}

	intent
	Make(const char *key, const char *attempt, const char *digest = "d")
	{
		struct intent in = {};

		in.team = g_strdup("t");
		in.key = g_strdup(key);
		in.digest = g_strdup(digest);
		in.attempt = g_strdup(attempt);
		in.daemon = g_strdup("127.0.0.1:1/1");
		return in;
	}

	intent_state
	Begin(const char *key, const char *attempt, const char *digest = "d")
	{
		struct intent in = Make(key, attempt, digest);
		GPtrArray *list = g_ptr_array_new();

		g_ptr_array_add(list, &in);
		intent_begin_all(store, list);
		g_ptr_array_unref(list);
		intent_state state = in.state;
		intent_clear(&in);
		return state;
	}
};

TEST_F(IntentStore, KeyRunsOnce)
{
	EXPECT_EQ(kIntentAcquired, Begin("k", "a1"));
	EXPECT_EQ(kIntentInProgress, Begin("k", "a2"));
	EXPECT_EQ(kIntentMismatch, Begin("k", "a3", "other"));
	EXPECT_EQ(kIntentAcquired, Begin("l", "a4"));

	struct intent in = Make("k", "a1");
	in.status = 200;
	in.body = g_strdup("answer");
	EXPECT_EQ(kStoreOk, intent_finish(store, &in));
	intent_clear(&in);
	struct intent late = Make("k", "a9");
	EXPECT_EQ(kStoreConflict, intent_finish(store, &late));
	intent_clear(&late);
	EXPECT_EQ(kIntentDone, Begin("k", "a5"));
}

TEST_F(IntentStore, UnknownOutcomeIsReportedAsUnknown)
{
	struct intent in = Make("k", "a1");

	EXPECT_EQ(kIntentAcquired, Begin("k", "a1"));
	in.is_outcome_unknown = true;
	EXPECT_EQ(kStoreOk, intent_finish(store, &in));
	EXPECT_EQ(kIntentUnknown, Begin("k", "a2"));
	intent_clear(&in);
}

TEST_F(IntentStore, LostAnswersAndOutages)
{
	const struct {
		memstore_faults faults;
		intent_state state;
	} cases[] = {
	    {{false, 1, 0}, kIntentAcquired},
	    {{false, 0, 1}, kIntentAcquired},
	    {{false, 3, 0}, kIntentAcquired},
	    {{false, 0, 3}, kIntentStoreDown},
	    {{true, 0, 0}, kIntentStoreDown},
	};
	int n = 0;

	for (const auto &c : cases) {
		std::string key = "k" + std::to_string(n++);

		memstore_set_faults(ms, &c.faults);
		EXPECT_EQ(c.state, Begin(key.c_str(), "a1")) << key;
	}
}

TEST_F(IntentStore, GroupIsOneWriteAndAResentKeyDoesNotFailIt)
{
	struct intent a = Make("a", "1"), b = Make("b", "2"),
		      c = Make("c", "3"), again = Make("b", "4");
	GPtrArray *list = g_ptr_array_new();
	int64_t before = memstore_get_counts(ms).writes;

	for (auto *in : {&a, &b, &c})
		g_ptr_array_add(list, in);
	intent_begin_all(store, list);
	EXPECT_EQ(before + 1, memstore_get_counts(ms).writes);
	EXPECT_EQ(kIntentAcquired, a.state);
	EXPECT_EQ(kIntentAcquired, b.state);
	g_ptr_array_set_size(list, 0);
	struct intent d = Make("d", "5");
	g_ptr_array_add(list, &again);
	g_ptr_array_add(list, &d);
	intent_begin_all(store, list);
	EXPECT_EQ(kIntentInProgress, again.state);
	EXPECT_EQ(kIntentAcquired, d.state);
	g_ptr_array_unref(list);
	for (auto *in : {&a, &b, &c, &d, &again})
		intent_clear(in);
}

TEST_F(IntentStore, WithdrawnKeyMayRunAgain)
{
	struct intent in = Make("k", "a1");

	EXPECT_EQ(kIntentAcquired, Begin("k", "a1"));
	EXPECT_EQ(kStoreOk, intent_withdraw(store, &in));
	EXPECT_EQ(kIntentAcquired, Begin("k", "a2"));
	EXPECT_EQ(kStoreConflict, intent_withdraw(store, &in));
	intent_clear(&in);
}

/* Guards against jobs past the end of a page that no daemon starts. */
TEST_F(BatchStore, AllOpenJobsAndChunksAreListed)
{
	struct memstore_faults faults = {};
	struct batch_job other = job;
	GPtrArray *jobs = nullptr;
	GPtrArray *chunks = nullptr;
	guint leased = 0;

	job.id = (char *)"k";
	job.items = 40;
	ASSERT_EQ(kStoreOk, batch_submit(store, &job));
	for (int i = 0; i < batch_job_chunks(&job); i++)
		ASSERT_EQ(kStoreOk, Claim(&one, i, "c"));
	for (int i = 0; i < 700; i++) {
		std::string id = "l" + std::to_string(i);

		other.id = (char *)id.c_str();
		ASSERT_EQ(kStoreOk, batch_submit(store, &other));
	}
	for (int page : {0, 7}) {
		faults.page_rows = page;
		memstore_set_faults(ms, &faults);
		ASSERT_EQ(kStoreOk, batch_open_jobs(store, &jobs));
		EXPECT_EQ(702u, jobs->len);
		ASSERT_EQ(kStoreOk, batch_chunks(store, &job, &chunks));
		for (guint i = 0; i < chunks->len; i++)
			leased += ((batch_chunk *)chunks->pdata[i])->state ==
			    kChunkLeased;
		EXPECT_EQ(chunks->len, leased);
		leased = 0;
		g_ptr_array_unref(chunks);
		g_ptr_array_unref(jobs);
	}
}

} // namespace

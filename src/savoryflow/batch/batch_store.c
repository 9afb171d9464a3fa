/* Batch jobs, leases and results in the platform's services. */
#include "savoryflow/batch/batch_store.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "os/json_text.h"
#include "savoryflow/batch/batch_session.h"
#include "store/commit.h"
#include "store/scan.h"

static const char *const job_state_names[] = {"running", "cancelled", "done"};

void
batch_job_free(struct batch_job *job)
{
	if (job == NULL)
		return;
	g_free(job->team);
	g_free(job->id);
	g_free(job->service);
	g_free(job->upload);
	g_free(job->digest);
	g_free(job);
}

void
batch_chunk_free(struct batch_chunk *chunk)
{
	if (chunk == NULL)
		return;
	g_free(chunk->session);
	g_free(chunk->claim);
	g_free(chunk->object);
	g_free(chunk);
}

const char *
batch_job_state_text(enum batch_job_state state)
{
	return job_state_names[state];
}

int32_t
batch_job_chunks(const struct batch_job *job)
{
	return (job->items + job->chunk_items - 1) / job->chunk_items;
}

static char *
job_key(const char *team, const char *id)
{
	return g_strdup_printf("job/%s/%s", team, id);
}

static char *
open_key(const char *team, const char *id)
{
	return g_strdup_printf("open/%s/%s", team, id);
}

static char *
chunk_key(const struct batch_job *job, int32_t chunk)
{
	return g_strdup_printf("chunk/%s/%s/%06d", job->team, job->id, chunk);
}

static char *
input_key(const char *upload, int32_t chunk)
{
	return g_strdup_printf("input/%s/%06d", upload, chunk);
}

static char *
dup_string(const json_t *doc, const char *field)
{
	return g_strdup(json_string_value(json_object_get(doc, field)));
}

static int64_t
integer(const json_t *doc, const char *field)
{
	return json_integer_value(json_object_get(doc, field));
}

static enum batch_job_state
job_state_from_text(const char *text)
{
	for (int i = 0; i < (int)G_N_ELEMENTS(job_state_names); i++)
		if (g_strcmp0(text, job_state_names[i]) == 0)
			return i;
	return kJobRunning;
}

static char *
job_text(const struct batch_job *job, enum batch_job_state state)
{
	json_t *doc = json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:I,s:I}",
	    "state", job_state_names[state], "team", job->team, "id", job->id,
	    "service", job->service, "upload", job->upload, "digest",
	    job->digest, "items", job->items, "chunk_items", job->chunk_items,
	    "weight", job->weight, "due_us", (json_int_t)job->due_us,
	    "created_us", (json_int_t)job->created_us);
	char *text = json_dumps(doc, JSON_COMPACT);

	json_decref(doc);
	return text;
}

static struct batch_job *
job_from_text(const char *text)
{
	json_t *doc = json_text_load(text);
	struct batch_job *job;

	if (doc == NULL)
		return NULL;
	job = g_new0(struct batch_job, 1);
	job->team = dup_string(doc, "team");
	job->id = dup_string(doc, "id");
	job->service = dup_string(doc, "service");
	job->upload = dup_string(doc, "upload");
	job->digest = dup_string(doc, "digest");
	job->items = (int32_t)integer(doc, "items");
	job->chunk_items = (int32_t)MAX(integer(doc, "chunk_items"), 1);
	job->weight = (int32_t)integer(doc, "weight");
	job->due_us = integer(doc, "due_us");
	job->created_us = integer(doc, "created_us");
	job->state = job_state_from_text(
	    json_string_value(json_object_get(doc, "state")));
	json_decref(doc);
	return job;
}

enum store_result
batch_put_input(const struct store *store, const char *upload, int32_t chunk,
    const char *data, size_t len)
{
	char *key = input_key(upload, chunk);
	enum store_result res =
	    store->ops->put_object(store->ctx, kCauseBatch, key, data, len);

	g_free(key);
	return res;
}

enum store_result
batch_get_input(const struct store *store, const struct batch_job *job,
    int32_t chunk, GBytes **data)
{
	char *key = input_key(job->upload, chunk);
	enum store_result res =
	    store->ops->get_object(store->ctx, kCauseBatch, key, data);

	g_free(key);
	return res;
}

enum store_result
batch_get_results(const struct store *store, const char *object, GBytes **data)
{
	return store->ops->get_object(store->ctx, kCauseBatch, object, data);
}

enum store_result
batch_get_job(const struct store *store, const char *team, const char *id,
    struct batch_job **job)
{
	char *key = job_key(team, id);
	struct store_row row = {0};
	enum store_result res =
	    store->ops->get(store->ctx, kCauseBatch, key, &row);

	g_free(key);
	if (res != kStoreOk)
		return res;
	*job = job_from_text(row.value);
	store_row_clear(&row);
	return *job != NULL ? kStoreOk : kStoreNotFound;
}

/* The stored job has this content, whoever submitted it. */
static enum commit_owner
is_same_job(const struct store *store, void *ctx)
{
	const struct batch_job *job = ctx;
	struct batch_job *stored = NULL;
	enum store_result res =
	    batch_get_job(store, job->team, job->id, &stored);
	bool same =
	    res == kStoreOk && g_strcmp0(stored->digest, job->digest) == 0;

	batch_job_free(stored);
	return commit_owner_of(res, same);
}

enum store_result
batch_submit(const struct store *store, const struct batch_job *job)
{
	struct store_txn *txn = store_txn_new();
	char *row_key = job_key(job->team, job->id);
	char *list_key = open_key(job->team, job->id);
	char *text = job_text(job, kJobRunning);
	enum store_result res;

	store_txn_absent(txn, row_key);
	store_txn_write(txn, row_key, text);
	store_txn_write(txn, list_key, text);
	res = store_commit(store, kCauseBatch, txn, is_same_job, (void *)job);
	store_txn_free(txn);
	g_free(row_key);
	g_free(list_key);
	free(text);
	return res;
}

static void
job_destroy(void *job)
{
	batch_job_free(job);
}

enum store_result
batch_open_jobs(const struct store *store, GPtrArray **jobs)
{
	GPtrArray *rows = NULL;
	enum store_result res =
	    store_scan_all(store, kCauseBatch, "open/", &rows);

	if (res != kStoreOk)
		return res;
	*jobs = g_ptr_array_new_with_free_func(job_destroy);
	for (guint i = 0; i < rows->len; i++) {
		const struct store_row *row = rows->pdata[i];
		struct batch_job *job = job_from_text(row->value);

		if (job != NULL)
			g_ptr_array_add(*jobs, job);
	}
	g_ptr_array_unref(rows);
	return kStoreOk;
}

static void
chunk_read(struct batch_chunk *chunk, const struct store_row *row)
{
	json_t *doc = json_text_load(row->value);
	const char *state = json_string_value(json_object_get(doc, "state"));

	chunk->version = row->version;
	chunk->state =
	    g_strcmp0(state, "done") == 0 ? kChunkDone : kChunkLeased;
	if (g_strcmp0(state, "open") == 0)
		chunk->state = kChunkOpen;
	chunk->session = dup_string(doc, "session");
	chunk->claim = dup_string(doc, "claim");
	chunk->object = dup_string(doc, "object");
	chunk->ok = (int32_t)integer(doc, "ok");
	chunk->failed = (int32_t)integer(doc, "failed");
	json_decref(doc);
}

static void
chunk_destroy(void *chunk)
{
	batch_chunk_free(chunk);
}

static GPtrArray *
open_chunks_new(int32_t n)
{
	GPtrArray *chunks = g_ptr_array_new_with_free_func(chunk_destroy);

	for (int32_t i = 0; i < n; i++) {
		struct batch_chunk *chunk = g_new0(struct batch_chunk, 1);

		chunk->number = i;
		g_ptr_array_add(chunks, chunk);
	}
	return chunks;
}

enum store_result
batch_chunks(
    const struct store *store, const struct batch_job *job, GPtrArray **chunks)
{
	char *prefix = g_strdup_printf("chunk/%s/%s/", job->team, job->id);
	GPtrArray *rows = NULL;
	enum store_result res =
	    store_scan_all(store, kCauseBatch, prefix, &rows);

	if (res == kStoreOk) {
		*chunks = open_chunks_new(batch_job_chunks(job));
		for (guint i = 0; i < rows->len; i++) {
			const struct store_row *row = rows->pdata[i];
			int64_t n = g_ascii_strtoll(
			    row->key + strlen(prefix), NULL, 10);

			if (n >= 0 && n < (int64_t)(*chunks)->len)
				chunk_read((*chunks)->pdata[n], row);
		}
		g_ptr_array_unref(rows);
	}
	g_free(prefix);
	return res;
}

static void
progress_add(struct batch_progress *progress, const struct batch_chunk *chunk)
{
	progress->chunks++;
	progress->ok += chunk->ok;
	progress->failed += chunk->failed;
	if (chunk->state == kChunkDone)
		progress->chunks_done++;
	if (chunk->state == kChunkLeased)
		progress->chunks_leased++;
}

enum store_result
batch_progress(const struct store *store, const char *team, const char *id,
    struct batch_progress *progress)
{
	struct batch_job *job = NULL;
	GPtrArray *chunks = NULL;
	enum store_result res = batch_get_job(store, team, id, &job);

	memset(progress, 0, sizeof(*progress));
	if (res != kStoreOk)
		return res;
	res = batch_chunks(store, job, &chunks);
	if (res == kStoreOk) {
		progress->state = job->state;
		progress->items = job->items;
		for (guint i = 0; i < chunks->len; i++)
			progress_add(progress, chunks->pdata[i]);
		g_ptr_array_unref(chunks);
	}
	batch_job_free(job);
	return res;
}

/* Conditions: this session is live and the job is running. */
static void
require_live(struct store_txn *txn, const struct batch_session *session,
    const struct batch_job *job)
{
	char *own = batch_session_key(session->id);
	char *row = job_key(job->team, job->id);

	store_txn_field(txn, own, "state", "live");
	store_txn_field(txn, row, "state", "running");
	g_free(own);
	g_free(row);
}

struct chunk_identity {
	const struct batch_job *job;
	int32_t chunk;
	const char *claim;
	enum batch_chunk_state state;
};

static enum commit_owner
is_own_chunk(const struct store *store, void *ctx)
{
	const struct chunk_identity *id = ctx;
	struct batch_chunk chunk = {0};
	struct store_row row = {0};
	char *key = chunk_key(id->job, id->chunk);
	enum store_result res =
	    store->ops->get(store->ctx, kCauseBatch, key, &row);
	bool is_own = false;

	if (res == kStoreOk) {
		chunk_read(&chunk, &row);
		is_own = chunk.state == id->state &&
		    g_strcmp0(chunk.claim, id->claim) == 0;
		g_free(chunk.session);
		g_free(chunk.claim);
		g_free(chunk.object);
		store_row_clear(&row);
	}
	g_free(key);
	return commit_owner_of(res, is_own);
}

/*
 * Conditions: the chunk is as it was read, and its holder's session ended. A
 * session may lease its own chunk again: it has lost track of the first lease.
 */
static void
require_claimable(struct store_txn *txn, const char *key,
    const struct batch_session *session, const struct batch_chunk *chunk)
{
	char *holder;

	if (chunk->version == 0)
		store_txn_absent(txn, key);
	else
		store_txn_version(txn, key, chunk->version);
	if (chunk->state != kChunkLeased ||
	    strcmp(chunk->session, session->id) == 0)
		return;
	holder = batch_session_key(chunk->session);
	store_txn_field(txn, holder, "state", "ended");
	g_free(holder);
}

enum store_result
batch_claim(const struct store *store, const struct batch_session *session,
    const struct batch_job *job, const struct batch_chunk *chunk,
    const char *claim)
{
	struct store_txn *txn;
	struct chunk_identity id = {job, chunk->number, claim, kChunkLeased};
	enum store_result res;
	char *key;
	char *text;

	if (chunk->state == kChunkDone)
		return kStoreConflict;
	txn = store_txn_new();
	key = chunk_key(job, chunk->number);
	text = g_strdup_printf("{\"state\":\"leased\",\"session\":\"%s\","
			       "\"claim\":\"%s\"}",
	    session->id, claim);
	require_claimable(txn, key, session, chunk);
	require_live(txn, session, job);
	store_txn_write(txn, key, text);
	res = store_commit(store, kCauseBatch, txn, is_own_chunk, &id);
	store_txn_free(txn);
	g_free(key);
	g_free(text);
	return res;
}

enum store_result
batch_release_claim(const struct store *store, const struct batch_job *job,
    int32_t chunk, const char *claim)
{
	struct store_txn *txn = store_txn_new();
	char *key = chunk_key(job, chunk);
	enum store_result res;

	store_txn_field(txn, key, "claim", claim);
	store_txn_field(txn, key, "state", "leased");
	store_txn_write(txn, key, "{\"state\":\"open\"}");
	res = store->ops->txn(store->ctx, kCauseBatch, txn);
	store_txn_free(txn);
	g_free(key);
	return res;
}

static char *
done_text(const struct batch_results *results, const char *object)
{
	json_t *doc = json_pack("{s:s,s:s,s:s,s:i,s:i}", "state", "done",
	    "claim", results->claim, "object", object, "ok", results->ok,
	    "failed", results->failed);
	char *text = json_dumps(doc, JSON_COMPACT);

	json_decref(doc);
	return text;
}

static enum store_result
commit_row(const struct store *store, const struct batch_session *session,
    const struct batch_job *job, const struct batch_results *results,
    const char *object)
{
	struct store_txn *txn = store_txn_new();
	struct chunk_identity id = {
	    job, results->chunk, results->claim, kChunkDone};
	char *key = chunk_key(job, results->chunk);
	char *text = done_text(results, object);
	enum store_result res;

	store_txn_field(txn, key, "claim", results->claim);
	store_txn_field(txn, key, "state", "leased");
	require_live(txn, session, job);
	store_txn_write(txn, key, text);
	res = store_commit(store, kCauseBatch, txn, is_own_chunk, &id);
	store_txn_free(txn);
	g_free(key);
	free(text);
	return res;
}

enum store_result
batch_commit(const struct store *store, const struct batch_session *session,
    const struct batch_job *job, const struct batch_results *results)
{
	char *object = g_strdup_printf("result/%s/%s/%06d/%s", job->team,
	    job->id, results->chunk, results->claim);
	enum store_result res = store->ops->put_object(
	    store->ctx, kCauseBatch, object, results->data, results->len);

	if (res == kStoreOk)
		res = commit_row(store, session, job, results, object);
	g_free(object);
	return res;
}

static enum commit_owner
has_job_ended(const struct store *store, void *ctx)
{
	const struct batch_job *job = ctx;
	struct batch_job *stored = NULL;
	enum store_result res =
	    batch_get_job(store, job->team, job->id, &stored);
	bool ended = res == kStoreOk && stored->state == job->state;

	batch_job_free(stored);
	return commit_owner_of(res, ended);
}

static enum store_result
end_job(const struct store *store, const struct batch_job *job,
    enum batch_job_state state)
{
	struct store_txn *txn = store_txn_new();
	struct batch_job ended = *job;
	char *row_key = job_key(job->team, job->id);
	char *list_key = open_key(job->team, job->id);
	char *text = job_text(job, state);
	enum store_result res;

	ended.state = state;
	store_txn_field(txn, row_key, "state", "running");
	store_txn_write(txn, row_key, text);
	store_txn_write(txn, list_key, NULL);
	res = store_commit(store, kCauseBatch, txn, has_job_ended, &ended);
	store_txn_free(txn);
	g_free(row_key);
	g_free(list_key);
	free(text);
	return res;
}

enum store_result
batch_finish(const struct store *store, const struct batch_job *job, bool *done)
{
	GPtrArray *chunks = NULL;
	enum store_result res = batch_chunks(store, job, &chunks);

	*done = false;
	if (res != kStoreOk)
		return res;
	for (guint i = 0; i < chunks->len; i++) {
		const struct batch_chunk *chunk = chunks->pdata[i];

		if (chunk->state != kChunkDone) {
			g_ptr_array_unref(chunks);
			return kStoreOk;
		}
	}
	g_ptr_array_unref(chunks);
	res = end_job(store, job, kJobDone);
	*done = res == kStoreOk;
	return res;
}

enum store_result
batch_cancel(const struct store *store, const char *team, const char *id)
{
	struct batch_job *job = NULL;
	enum store_result res = batch_get_job(store, team, id, &job);

	if (res != kStoreOk)
		return res;
	if (job->state == kJobCancelled)
		res = kStoreOk;
	else
		res = end_job(store, job, kJobCancelled);
	batch_job_free(job);
	return res;
}

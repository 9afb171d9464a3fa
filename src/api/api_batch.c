/*
 * Endpoints for batch jobs; items and results are JSON lines. An upload is
 * validated and stored chunk by chunk as it arrives, so that a large job is
 * never held in memory as a whole.
 */
#include <inttypes.h>
#include <string.h>

#include "api/request.h"
#include "error/error.h"
#include "log/log.h"
#include "os/json_text.h"
#include "savoryflow/batch/batch_store.h"
#include "serve/batch_run.h"
#include "serve/poller.h"
#include "serve/routes.h"

enum {
	kJobIdMax = 64,
	kItemMaxBytes = 65536,
	/* Buffered bytes above which the connection is suspended. */
	kPendingMaxBytes = 1 << 20,
	/* Chunks of results per response. */
	kMaxResultChunks = 20,
	kStoreRetryUs = 2 * kUsPerS,
};

struct batch_upload {
	struct batch_job job;
	GChecksum *digest;
	/** Lines of the current chunk. */
	GString *chunk;
	int32_t chunk_lines;
	int32_t stored_chunks;
	/** The body is complete: its last line may lack a newline. */
	bool is_body_complete;
	/** The caller chose the job id; otherwise it is the content digest. */
	bool has_caller_id;
	/** The upload was rejected; the rest of the body is discarded. */
	bool is_failed;
};

void
batch_upload_free(struct batch_upload *up)
{
	g_checksum_free(up->digest);
	g_string_free(up->chunk, TRUE);
	g_free(up->job.team);
	g_free(up->job.id);
	g_free(up->job.service);
	g_free(up->job.upload);
	g_free(up->job.digest);
	g_free(up);
}

static bool
is_job_id(const char *id)
{
	size_t len = strlen(id);

	if (len < 1 || len > kJobIdMax)
		return false;
	for (size_t i = 0; i < len; i++)
		if (!g_ascii_isalnum(id[i]) && strchr("-_.", id[i]) == NULL)
			return false;
	return true;
}

static void
upload_fail(struct request *req, int code, const char *message)
{
	bool is_store_error = code == kErrStoreUnavailable;

	req->upload->is_failed = true;
	request_reply_error(
	    req, code, message, is_store_error ? kStoreRetryUs : 0);
}

static bool
is_engine_service(struct request *req, const char *service)
{
	struct config *cfg = config_holder_get(req->d->configs);
	const struct config_service *svc = cfg != NULL && service != NULL
	    ? g_hash_table_lookup(cfg->services, service)
	    : NULL;
	bool is_engine = svc != NULL && svc->is_engine;

	config_unref(cfg);
	return is_engine;
}

static void
upload_begin(struct request *req)
{
	struct batch_upload *up = g_new0(struct batch_upload, 1);
	const char *service = request_query_param(req, "service");
	const char *id = request_header(req, "Savoryflow-Job-Id");
	const char *due = request_header(req, "Savoryflow-Due");

	req->upload = up;
	up->digest = g_checksum_new(G_CHECKSUM_SHA256);
	up->chunk = g_string_new(NULL);
	up->has_caller_id = id != NULL;
	up->job.team = g_strdup(req->team);
	up->job.id = g_strdup(id);
	up->job.service = g_strdup(service);
	up->job.upload =
	    g_strdup_printf("%016" PRIx64, daemon_unique_id(req->d));
	up->job.chunk_items = (int32_t)req->d->set->chunk_items;
	up->job.weight = MAX(req->weight, 1);
	up->job.created_us = clock_wall_us(req->d->clk);
	if (due != NULL)
		up->job.due_us = g_ascii_strtoll(due, NULL, 10) * kUsPerS;
	if (!is_engine_service(req, service))
		upload_fail(req, kErrUnknownService,
		    "the query parameter service names no engine service");
	else if (id != NULL && !is_job_id(id))
		upload_fail(req, kErrBadRequest,
		    "Savoryflow-Job-Id must be 1 to 64 characters out of "
		    "letters, digits, '-', '_' and '.'");
	else
		g_checksum_update(up->digest, (const guchar *)service, -1);
}

static bool
is_valid_item(const char *line, size_t len)
{
	json_t *item =
	    len <= kItemMaxBytes ? json_text_load_bytes(line, len) : NULL;
	json_t *body = json_object_get(item, "body");
	json_t *messages = json_object_get(body, "messages");
	bool is_valid =
	    json_is_array(messages) && json_array_size(messages) > 0;

	json_decref(item);
	return is_valid;
}

static void
flush_chunk(struct request *req)
{
	struct batch_upload *up = req->upload;

	if (up->chunk_lines == 0)
		return;
	if (batch_put_input(req->d->store, up->job.upload, up->stored_chunks,
		up->chunk->str, up->chunk->len) != kStoreOk) {
		upload_fail(req, kErrStoreUnavailable,
		    "the items cannot be stored; no job was created");
		return;
	}
	up->stored_chunks++;
	up->chunk_lines = 0;
	g_string_truncate(up->chunk, 0);
}

static void
append_item(struct request *req, const char *line, size_t len)
{
	struct batch_upload *up = req->upload;
	char text[128];

	if (len == 0)
		return;
	up->job.items++;
	if (up->job.items > req->d->set->job_max_items) {
		upload_fail(req, kErrTooLarge,
		    "the job exceeds the maximum number of items");
		return;
	}
	if (!is_valid_item(line, len)) {
		g_snprintf(text, sizeof(text),
		    "line %d is not {\"id\":...,\"body\":{\"messages\":[...]}}",
		    up->job.items);
		upload_fail(req, kErrBadItem, text);
		return;
	}
	g_checksum_update(up->digest, (const guchar *)line, (gssize)len);
	g_checksum_update(up->digest, (const guchar *)"\n", 1);
	g_string_append_len(up->chunk, line, (gssize)len);
	g_string_append_c(up->chunk, '\n');
	up->chunk_lines++;
	if (up->chunk_lines == up->job.chunk_items)
		flush_chunk(req);
}

/* Parses and removes the complete lines of the buffer; runs on a worker. */
static void
parse_lines(struct request *req)
{
	const char *text = req->body->str;
	size_t len = req->body->len;
	size_t used = 0;

	while (!req->upload->is_failed && used < len) {
		const char *eol = memchr(text + used, '\n', len - used);
		size_t n;

		if (eol == NULL && !req->upload->is_body_complete)
			break;
		n = eol != NULL ? (size_t)(eol - text) - used : len - used;
		append_item(req, text + used, n);
		used += MIN(n + 1, len - used);
	}
	g_string_erase(req->body, 0, (gssize)used);
	if (!req->upload->is_failed && req->body->len > kItemMaxBytes)
		upload_fail(req, kErrBadItem, "an item exceeds 65536 bytes");
}

void
batch_api_on_body(struct request *req)
{
	if (req->upload == NULL)
		upload_begin(req);
	if (req->upload->is_failed)
		g_string_truncate(req->body, 0);
	else if (req->body->len >= kPendingMaxBytes)
		request_offload(req, parse_lines);
}

size_t
batch_api_kept_bytes(const struct request *req)
{
	return req->body->len +
	    (req->upload != NULL ? req->upload->chunk->len : 0);
}

static json_t *
job_json(const struct batch_job *job)
{
	return json_pack("{s:s,s:s,s:i,s:i,s:s}", "id", job->id, "service",
	    job->service, "items", job->items, "chunks", batch_job_chunks(job),
	    "digest", job->digest);
}

static void
accept_job(struct request *req)
{
	struct batch_job *job = &req->upload->job;
	enum store_result res = batch_submit(req->d->store, job);

	switch (res) {
	case kStoreOk:
		log_event(
		    kEvtJobAccepted, "team", job->team, "job", job->id, NULL);
		request_reply_json(req, MHD_HTTP_ACCEPTED, job_json(job));
		poller_trigger_batch(req->d->poller);
		break;
	case kStoreConflict:
		request_reply_error(req, kErrJobConflict,
		    "the job id exists with different content", 0);
		break;
	default:
		request_reply_store_error(
		    req, res, "the job cannot be stored; it was not accepted");
	}
}

/* Stores the last items, then the job; runs on a worker. */
static void
finish_upload(struct request *req)
{
	struct batch_upload *up = req->upload;

	up->is_body_complete = true;
	parse_lines(req);
	if (!up->is_failed)
		flush_chunk(req);
	if (!up->is_failed && up->job.items == 0)
		upload_fail(req, kErrBadItem, "the job has no items");
	if (up->is_failed)
		return;
	up->job.digest = g_strdup(g_checksum_get_string(up->digest));
	if (!up->has_caller_id)
		up->job.id = g_strndup(up->job.digest, 32);
	accept_job(req);
}

void
batch_api_submit(struct request *req)
{
	if (req->upload == NULL)
		upload_begin(req);
	if (!req->upload->is_failed)
		request_offload(req, finish_upload);
}

static void
reply_store_error(struct request *req, enum store_result res)
{
	request_reply_store_error(req, res, "the store does not respond");
}

static void
get_status(struct request *req)
{
	struct batch_progress p;
	enum store_result res =
	    batch_progress(req->d->store, req->team, req->subpath, &p);

	if (res != kStoreOk) {
		reply_store_error(req, res);
		return;
	}
	request_reply_json(req, MHD_HTTP_OK,
	    json_pack("{s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:i}", "id", req->subpath,
		"state", batch_job_state_text(p.state), "items", p.items, "ok",
		p.ok, "failed", p.failed, "chunks", p.chunks, "chunks_done",
		p.chunks_done, "chunks_leased", p.chunks_leased));
}

struct results_page {
	GString *text;
	int32_t next;
	bool is_complete;
};

/*
 * Reads the results from chunk number `from` up to the first chunk that is not
 * done. In a cancelled job, chunks that are not done are skipped.
 */
static enum store_result
read_results(struct request *req, const struct batch_job *job, int32_t from,
    struct results_page *page)
{
	GPtrArray *chunks = NULL;
	enum store_result res = batch_chunks(req->d->store, job, &chunks);
	int32_t n = 0;

	page->next = from;
	for (; res == kStoreOk && page->next < (int32_t)chunks->len &&
	     n < kMaxResultChunks;
	     page->next++) {
		const struct batch_chunk *chunk = chunks->pdata[page->next];
		GBytes *data = NULL;
		gsize len;

		if (chunk->state != kChunkDone && job->state == kJobCancelled)
			continue;
		if (chunk->state != kChunkDone)
			break;
		res = batch_get_results(req->d->store, chunk->object, &data);
		if (res != kStoreOk)
			break;
		g_string_append_len(page->text, g_bytes_get_data(data, &len),
		    (gssize)g_bytes_get_size(data));
		g_bytes_unref(data);
		n++;
	}
	if (chunks != NULL) {
		page->is_complete = page->next == (int32_t)chunks->len;
		g_ptr_array_unref(chunks);
	}
	return res;
}

static void
reply_results(struct request *req, const struct results_page *page)
{
	char next[16];

	g_snprintf(next, sizeof(next), "%d", page->next);
	request_reply_bytes(req, MHD_HTTP_OK, "application/jsonl",
	    page->text->str, page->text->len);
	request_reply_header(req, "Savoryflow-Next", next);
	request_reply_header(
	    req, "Savoryflow-Complete", page->is_complete ? "yes" : "no");
}

static void
get_results(struct request *req)
{
	char *id =
	    g_strndup(req->subpath, strlen(req->subpath) - strlen("/results"));
	const char *from = request_query_param(req, "from");
	struct results_page page = {g_string_new(NULL), 0, false};
	struct batch_job *job = NULL;
	enum store_result res =
	    batch_get_job(req->d->store, req->team, id, &job);

	if (res == kStoreOk)
		res = read_results(req, job,
		    from != NULL ? (int32_t)g_ascii_strtoll(from, NULL, 10) : 0,
		    &page);
	if (res == kStoreOk)
		reply_results(req, &page);
	else
		reply_store_error(req, res);
	batch_job_free(job);
	g_string_free(page.text, TRUE);
	g_free(id);
}

void
batch_api_get(struct request *req)
{
	if (g_str_has_suffix(req->subpath, "/results"))
		request_offload(req, get_results);
	else
		request_offload(req, get_status);
}

static void
notify_cancelled(struct request *req, const char *id)
{
	Sfpeer__Envelope env = SFPEER__ENVELOPE__INIT;
	GPtrArray *peers = routes_random_peers(req->d->routes, INT32_MAX);
	char *name = g_strdup_printf("%s/%s", req->team, id);

	env.n_cancelled_jobs = 1;
	env.cancelled_jobs = &name;
	for (guint i = 0; i < peers->len; i++)
		peer_send(req->d->peer, peers->pdata[i], &env, kPeerControl);
	batch_runner_cancel(req->d->batch, name);
	g_ptr_array_unref(peers);
	g_free(name);
}

static void
cancel_job(struct request *req)
{
	char *id =
	    g_strndup(req->subpath, strlen(req->subpath) - strlen("/cancel"));
	enum store_result res = batch_cancel(req->d->store, req->team, id);

	if (res == kStoreOk) {
		log_event(kEvtJobCancelled, "team", req->team, "job", id, NULL);
		notify_cancelled(req, id);
		request_reply_json(req, MHD_HTTP_OK,
		    json_pack("{s:s,s:s}", "id", id, "state", "cancelled"));
	} else if (res == kStoreConflict) {
		request_reply_error(
		    req, kErrConflict, "the job has already ended", 0);
	} else {
		reply_store_error(req, res);
	}
	g_free(id);
}

void
batch_api_post(struct request *req)
{
	if (g_str_has_suffix(req->subpath, "/cancel"))
		request_offload(req, cancel_job);
	else
		request_reply_error(req, kErrNotFound, "no such path", 0);
}

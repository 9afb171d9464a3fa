/*
 * Stand-in for a model engine: continuous batching with the step times of
 * engine_cost, first come first served, a prefix cache, a delayed load report,
 * resumption of streams, and model orders. The answer depends only on the
 * prompt, so a test can tell which request an answer belongs to.
 *
 * Faults: POST /fault {"cut","stall","cross","die"}: the next N streams are
 * cut, stall, or carry another attempt's id after three tokens, or end the
 * process once their prefill is complete; {"foreign"}: the next N streams are
 * not run and get an answer of another request (http.h); {"pause","pause_ms",
 * "pause_at"}: the next N streams are silent for so long after so many tokens,
 * and then go on. A prompt that contains
 * CRASH always ends the process; one that contains REJECT is answered with 400.
 */
#include <inttypes.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#include "answer.h"
#include "http.h"
#include "os/clock.h"
#include "rate.h"
#include "savoryflow/arbiter/engine_cost.h"

enum {
	kFaultAfterTokens = 3,
	kReportLagUs = 500000,
	kCacheEntriesMax = 256,
	kPrefixBytes = 256,
};

enum stream_fault { kNoFault, kCut, kStall, kCross, kDie };

struct stream {
	char attempt[40];
	uint64_t prompt_hash;
	int32_t prompt_tokens_left;
	int32_t tokens;
	/** Index of the first token that this attempt sends. */
	int32_t first_index;
	/** Tokens generated so far, and sent; both include those before
	 * first_index. */
	int32_t generated;
	int32_t sent;
	bool is_crash_prompt;
	bool is_closed;
	enum stream_fault fault;
	/** Silence that is still to come, and the tokens before it. */
	int32_t pause_ms;
	int32_t pause_at;
	struct engine *en;
};

struct engine {
	pthread_mutex_t lock;
	struct worker_rate rate;
	int32_t busy_left;
	char busy_after[16];
	pthread_cond_t changed;
	struct engine_cost cost;
	double speed;
	const char *name;
	const char *history;
	bool checks_fencing;
	/** struct stream in order of arrival. */
	GPtrArray *streams;
	GHashTable *cache;
	int32_t faults[kDie + 1];
	int32_t pauses_left;
	int32_t pause_ms;
	int32_t pause_at;
	struct standin_foreign foreign;
	bool is_leaving;
	int64_t fence;
	char model[64];
	char version[64];
	int32_t running;
	int32_t prefilling;
	int64_t step_us;
	/** Load report returned to callers, and when it was created. */
	char report[256];
	int64_t report_us;
};

static int64_t
now_us(void)
{
	return clock_mono_us(clock_system());
}

static void
write_history(struct engine *en, const char *kind, const struct stream *st)
{
	char *line =
	    g_strdup_printf("{\"kind\":\"%s\",\"engine\":\"%s\","
			    "\"attempt\":\"%s\",\"prompt\":\"%016" PRIx64
			    "\",\"first\":%d,\"time_us\":%" PRId64 "}",
		kind, en->name, st->attempt, st->prompt_hash, st->first_index,
		now_us());

	standin_append_history(en->history, line);
	g_free(line);
}

/* Prefills at most one step's prompt tokens, first come first served.
 * @return tokens prefilled */
static int32_t
prefill(struct engine *en)
{
	int32_t remaining = en->cost.prompt_tokens_per_step;

	for (guint i = 0; i < en->streams->len && remaining > 0; i++) {
		struct stream *st = en->streams->pdata[i];
		int32_t n = MIN(st->prompt_tokens_left, remaining);

		st->prompt_tokens_left -= n;
		remaining -= n;
	}
	return en->cost.prompt_tokens_per_step - remaining;
}

static void
generate_tokens(struct engine *en)
{
	en->running = 0;
	for (guint i = 0; i < en->streams->len; i++) {
		struct stream *st = en->streams->pdata[i];

		if (st->prompt_tokens_left > 0 || st->generated == st->tokens)
			continue;
		if (st->is_crash_prompt)
			_exit(9);
		en->running++;
		st->generated++;
	}
}

static bool
has_work(struct engine *en)
{
	for (guint i = 0; i < en->streams->len; i++) {
		const struct stream *st = en->streams->pdata[i];

		if (!st->is_closed && st->generated < st->tokens)
			return true;
	}
	return false;
}

static void
free_closed_streams(struct engine *en)
{
	for (guint i = en->streams->len; i > 0; i--) {
		struct stream *st = en->streams->pdata[i - 1];

		if (st->is_closed) {
			g_ptr_array_remove_index(en->streams, i - 1);
			g_free(st);
		}
	}
}

static void *
step_thread(void *arg)
{
	struct engine *en = arg;

	pthread_mutex_lock(&en->lock);
	for (;;) {
		int64_t sleep_us;

		free_closed_streams(en);
		while (!has_work(en)) {
			pthread_cond_wait(&en->changed, &en->lock);
			free_closed_streams(en);
		}
		en->prefilling = prefill(en);
		en->step_us = engine_cost_step_us(
		    &en->cost, (int32_t)en->streams->len, en->prefilling);
		sleep_us = (int64_t)((double)en->step_us / en->speed);
		pthread_mutex_unlock(&en->lock);
		g_usleep((gulong)sleep_us);
		pthread_mutex_lock(&en->lock);
		generate_tokens(en);
		pthread_cond_broadcast(&en->changed);
	}
	return NULL;
}

static void
on_stream_closed(void *ctx)
{
	struct stream *st = ctx;
	struct engine *en = st->en;

	pthread_mutex_lock(&en->lock);
	write_history(en, st->sent >= st->tokens ? "done" : "dropped", st);
	st->is_closed = true;
	pthread_cond_broadcast(&en->changed);
	pthread_mutex_unlock(&en->lock);
}

static bool
is_fault_due(const struct stream *st, enum stream_fault fault)
{
	return st->fault == fault &&
	    st->sent - st->first_index >= kFaultAfterTokens;
}

/* The lock is held, but not during the silence. */
static void
pause_if_due(struct stream *st)
{
	int32_t pause_ms = st->pause_ms;

	if (pause_ms == 0 || st->sent - st->first_index < st->pause_at)
		return;
	st->pause_ms = 0;
	pthread_mutex_unlock(&st->en->lock);
	g_usleep((gulong)pause_ms * 1000);
	pthread_mutex_lock(&st->en->lock);
}

static ssize_t
read_stream(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct stream *st = cls;
	struct engine *en = st->en;
	int n;

	pthread_mutex_lock(&en->lock);
	pause_if_due(st);
	while (st->sent <= st->tokens &&
	    (is_fault_due(st, kStall) ||
		(st->sent == st->generated && st->generated < st->tokens)))
		pthread_cond_wait(&en->changed, &en->lock);
	if (st->sent > st->tokens) {
		pthread_mutex_unlock(&en->lock);
		return MHD_CONTENT_READER_END_OF_STREAM;
	}
	if (is_fault_due(st, kCut)) {
		pthread_mutex_unlock(&en->lock);
		return MHD_CONTENT_READER_END_WITH_ERROR;
	}
	if (st->sent == st->tokens) {
		n = snprintf(buf, max, "data: [DONE]\n\n");
	} else {
		n = snprintf(buf, max,
		    "data: {\"id\":\"%s\",\"index\":%d,\"choices\":[{\"delta\":"
		    "{\"content\":\"w%u \"}}]}\n\n",
		    is_fault_due(st, kCross) ? "0000000000000000" : st->attempt,
		    st->sent, standin_answer_word(st->prompt_hash, st->sent));
	}
	st->sent++;
	pthread_mutex_unlock(&en->lock);
	return n;
}

static enum stream_fault
consume_fault(struct engine *en)
{
	for (int i = kCut; i <= kDie; i++) {
		if (en->faults[i] > 0) {
			en->faults[i]--;
			return i;
		}
	}
	return kNoFault;
}

/* The prompt as sorted JSON, without the fields that a resumed request adds. */
static char *
prompt_text(const json_t *doc)
{
	return json_dumps(
	    json_object_get(doc, "messages"), JSON_COMPACT | JSON_SORT_KEYS);
}

static bool
cache_hit(struct engine *en, const char *prompt)
{
	uint64_t hash = XXH3_64bits(prompt, MIN(strlen(prompt), kPrefixBytes));
	void *key = GSIZE_TO_POINTER((gsize)hash);
	bool hit = g_hash_table_contains(en->cache, key);

	if (g_hash_table_size(en->cache) >= kCacheEntriesMax)
		g_hash_table_remove_all(en->cache);
	g_hash_table_add(en->cache, key);
	return hit;
}

static struct stream *
stream_new(struct engine *en, const json_t *doc, const char *attempt)
{
	struct stream *st = g_new0(struct stream, 1);
	json_t *max = json_object_get(doc, "max_tokens");
	json_t *resume = json_object_get(doc, "resume");
	char *prompt = prompt_text(doc);

	st->en = en;
	g_strlcpy(
	    st->attempt, attempt != NULL ? attempt : "", sizeof(st->attempt));
	st->prompt_hash = XXH3_64bits(prompt, strlen(prompt));
	st->tokens = json_is_integer(max) ? (int32_t)json_integer_value(max)
					  : kStandinAnswerTokens;
	st->first_index =
	    (int32_t)json_integer_value(json_object_get(resume, "index"));
	st->generated = st->sent = st->first_index;
	st->prompt_tokens_left =
	    cache_hit(en, prompt) ? 1 : (int32_t)strlen(prompt) / 4 + 1;
	st->fault = consume_fault(en);
	st->pause_at = en->pause_at;
	if (en->pauses_left > 0) {
		en->pauses_left--;
		st->pause_ms = en->pause_ms;
	}
	st->is_crash_prompt =
	    st->fault == kDie || strstr(prompt, "CRASH") != NULL;
	free(prompt);
	return st;
}

static bool
is_rejected(const json_t *doc)
{
	char *prompt = prompt_text(doc);
	bool found = prompt != NULL && strstr(prompt, "REJECT") != NULL;

	free(prompt);
	return found;
}

static struct MHD_Response *
handle_chat(
    struct engine *en, struct standin_request *req, unsigned int *status)
{
	const char *attempt = MHD_lookup_connection_value(
	    req->con, MHD_HEADER_KIND, "Savoryflow-Attempt");
	json_t *doc = json_loads(req->body->str, 0, NULL);
	struct MHD_Response *res;
	struct stream *st;
	char *rate;

	pthread_mutex_lock(&en->lock);
	worker_rate_record_arrival(&en->rate);
	pthread_mutex_unlock(&en->lock);
	if (doc == NULL) {
		*status = 400;
		return standin_text_response("{\"error\":\"not JSON\"}");
	}
	if (is_rejected(doc)) {
		json_decref(doc);
		*status = 400;
		return standin_text_response("{\"error\":\"rejected\"}");
	}
	res = standin_foreign_take(&en->foreign, "text/event-stream", status);
	if (res != NULL) {
		json_decref(doc);
		return res;
	}
	pthread_mutex_lock(&en->lock);
	if (en->is_leaving) {
		pthread_mutex_unlock(&en->lock);
		json_decref(doc);
		*status = 503;
		res = standin_text_response("{}");
		MHD_add_response_header(res, "Savoryflow-Ran", "no");
		return res;
	}
	if (en->busy_left > 0) {
		en->busy_left--;
		pthread_mutex_unlock(&en->lock);
		json_decref(doc);
		*status = 429;
		res = standin_text_response("{}");
		MHD_add_response_header(res, "Retry-After", en->busy_after);
		if (attempt != NULL)
			MHD_add_response_header(
			    res, "Savoryflow-Attempt", attempt);
		return res;
	}
	rate = g_strdup(worker_rate_of_answer(&en->rate));
	st = stream_new(en, doc, attempt);
	g_ptr_array_add(en->streams, st);
	write_history(en, "run", st);
	pthread_cond_broadcast(&en->changed);
	pthread_mutex_unlock(&en->lock);
	json_decref(doc);
	res = MHD_create_response_from_callback(
	    MHD_SIZE_UNKNOWN, 512, read_stream, st, on_stream_closed);
	MHD_add_response_header(res, "Content-Type", "text/event-stream");
	if (attempt != NULL)
		MHD_add_response_header(res, "Savoryflow-Attempt", attempt);
	if (rate != NULL)
		MHD_add_response_header(res, "Savoryflow-Rate", rate);
	g_free(rate);
	return res;
}

static struct MHD_Response *
handle_seen(struct engine *en)
{
	struct MHD_Response *res;
	json_t *doc;
	char *out;

	pthread_mutex_lock(&en->lock);
	doc = json_pack("{s:O,s:I}", "arrivals_us", en->rate.arrivals,
	    "rate_named_us", (json_int_t)en->rate.named_us);
	out = json_dumps(doc, JSON_COMPACT);
	pthread_mutex_unlock(&en->lock);
	res = standin_text_response(out);
	json_decref(doc);
	free(out);
	return res;
}

static struct MHD_Response *
handle_load(struct engine *en)
{
	char text[256];

	pthread_mutex_lock(&en->lock);
	if (now_us() - en->report_us > kReportLagUs) {
		g_strlcpy(text, en->report, sizeof(text));
		snprintf(en->report, sizeof(en->report),
		    "{\"running\":%d,\"prefilling\":%d,\"step_us\":%" PRId64
		    ",\"leaving\":%s,\"model\":\"%s\",\"version\":\"%s\"}",
		    en->running, en->prefilling, en->step_us,
		    en->is_leaving ? "true" : "false", en->model, en->version);
		en->report_us = now_us();
		if (text[0] == '\0')
			g_strlcpy(text, en->report, sizeof(text));
	} else {
		g_strlcpy(text, en->report, sizeof(text));
	}
	pthread_mutex_unlock(&en->lock);
	return standin_text_response(text);
}

static struct MHD_Response *
handle_order(
    struct engine *en, struct standin_request *req, unsigned int *status)
{
	json_t *doc = json_loads(req->body->str, 0, NULL);
	int64_t fence = json_integer_value(json_object_get(doc, "fence"));
	const char *model = json_string_value(json_object_get(doc, "model"));
	const char *version =
	    json_string_value(json_object_get(doc, "version"));

	pthread_mutex_lock(&en->lock);
	if (en->checks_fencing && fence < en->fence) {
		*status = 409;
	} else if (model != NULL && version != NULL) {
		en->fence = fence;
		g_strlcpy(en->model, model, sizeof(en->model));
		g_strlcpy(en->version, version, sizeof(en->version));
	}
	pthread_mutex_unlock(&en->lock);
	json_decref(doc);
	return standin_text_response("{}");
}

static struct MHD_Response *
set_fault(struct engine *en, struct standin_request *req)
{
	static const char *const names[] = {"", "cut", "stall", "cross", "die"};
	json_t *doc = json_loads(req->body->str, 0, NULL);

	pthread_mutex_lock(&en->lock);
	for (int i = kCut; i <= kDie; i++)
		en->faults[i] =
		    (int32_t)json_integer_value(json_object_get(doc, names[i]));
	en->pauses_left =
	    (int32_t)json_integer_value(json_object_get(doc, "pause"));
	en->pause_ms =
	    (int32_t)json_integer_value(json_object_get(doc, "pause_ms"));
	en->pause_at =
	    (int32_t)json_integer_value(json_object_get(doc, "pause_at"));
	if (json_object_get(doc, "rate") != NULL)
		worker_rate_set(&en->rate, json_object_get(doc, "rate"));
	en->busy_left =
	    (int32_t)json_integer_value(json_object_get(doc, "busy"));
	if (en->busy_left > 0)
		g_strlcpy(en->busy_after,
		    json_string_value(json_object_get(doc, "busy_after")),
		    sizeof(en->busy_after));
	pthread_mutex_unlock(&en->lock);
	standin_foreign_set(&en->foreign, req->body->str);
	json_decref(doc);
	return standin_text_response("{}");
}

static struct MHD_Response *
handle(void *ctx, struct standin_request *req, unsigned int *status)
{
	struct engine *en = ctx;

	if (strcmp(req->url, "/v1/chat/completions") == 0)
		return handle_chat(en, req, status);
	if (strcmp(req->url, "/load") == 0)
		return handle_load(en);
	if (strcmp(req->url, "/seen") == 0)
		return handle_seen(en);
	if (strcmp(req->url, "/order") == 0)
		return handle_order(en, req, status);
	if (strcmp(req->url, "/fault") == 0)
		return set_fault(en, req);
	if (strcmp(req->url, "/leave") == 0) {
		pthread_mutex_lock(&en->lock);
		en->is_leaving = true;
		pthread_mutex_unlock(&en->lock);
		return standin_text_response("{}");
	}
	*status = 404;
	return standin_text_response("{}");
}

int
standin_engine(int argc, char **argv)
{
	struct engine en = {
	    .cost = {15000, 150, 25000, 512, 234},
	    .speed = atof(standin_flag(argc, argv, "--speed", "1")),
	    .name = standin_flag(argc, argv, "--name", "engine"),
	    .history = standin_flag(argc, argv, "--history", NULL),
	    .checks_fencing =
		strcmp(standin_flag(argc, argv, "--fencing", "no"), "yes") == 0,
	};
	pthread_t thread;

	pthread_mutex_init(&en.lock, NULL);
	pthread_cond_init(&en.changed, NULL);
	worker_rate_init(&en.rate);
	en.streams = g_ptr_array_new();
	en.cache = g_hash_table_new(NULL, NULL);
	pthread_create(&thread, NULL, step_thread, &en);
	return standin_serve(
	    (uint16_t)atoi(standin_flag(argc, argv, "--port", "7100")), handle,
	    &en);
}

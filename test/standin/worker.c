/*
 * Stand-in for one of the platform's model workers. The body of a request
 * controls the answer: {"events":N,"pace_ms":M,"status":S,"crash":true}. The
 * data of event n is "PATH-n", so a test can tell which request an answer
 * belongs to and whether it is complete.
 *
 * POST /fault {"cut_after","silent","shed","cross","unsigned","leaving",
 * "trickle","crashes","statuses","pauses","pause_ms","pause_after"}:
 * number of answers to come that are cut after three events, send no event, are
 * rejections, carry another attempt's id, have no signature, or say that the
 * worker leaves; that send a byte now and then and never an event; or that
 * close the connection without an answer. "pauses" streams fall silent for
 * "pause_ms" after "pause_after" events and then go on. "unframed" streams have
 * neither a length nor chunks and end with their connection: as whole ones, or
 * with "unframed_end" "inside" in the middle of an event, or with "reset" by a
 * reset after three events. "odd" answers have the bytes "odd_event" (base64)
 * in place of event number "odd_at" of the run. "statuses" lists the
 * statuses of the answers to come. "surplus":{...} makes complete answers
 * followed by further bytes, see surplus.h. With --crash-part=ID, the process
 * ends as it begins to answer a request whose prompt has that part, other than
 * as its last one. "rate":"3.5" names a rate in all answers, null none.
 * --print-runs=yes prints a line for each attempt that runs. GET
 * /seen: ids of the attempts that ran, how many streams were closed before
 * their end, and the times of all requests and of the first answer with the
 * rate. GET /heads: for each request, also one that is rejected, its path and
 * all header fields as ["NAME: VALUE",...].
 */
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http.h"
#include "rate.h"
#include "surplus.h"

enum {
	kCutAfterEvents = 3,
	kStallUs = 3000000,
	kTrickleUs = 60000,
	kTrickleBytes = 200,
	/* Time that a prompt takes to be read. */
	kPromptUs = 15000,
	kExitCrashed = 3,
};

struct worker {
	pthread_mutex_t lock;
	const char *id;
	/** Part of prompts that ends the process; empty: none. */
	const char *crash_part;
	int cuts_left;
	int stalls_left;
	int rejects_left;
	int crosses_left;
	int unsigned_left;
	int leaving_left;
	int trickles_left;
	int crashes_left;
	int pauses_left;
	int pause_ms;
	int pause_after;
	int unframed_left;
	char unframed_end[16];
	int odd_left;
	int odd_at;
	GBytes *odd_event;
	/* Statuses of the answers to come. */
	json_t *statuses_left;
	struct surplus_fault surplus;
	struct worker_rate rate;
	json_t *attempts_run;
	/** Heads of all requests: {"path","headers"}. */
	json_t *heads;
	/** For callers that end the process. */
	bool prints_runs;
	int closed_early;
};

struct stream {
	struct worker *wk;
	char *path;
	int64_t first;
	int64_t next;
	int64_t total;
	/** Event in the middle of which the stream is cut; -1: none. */
	int64_t cut_at;
	int pace_ms;
	/** Silence before the event pause_at; 0: none. */
	int pause_ms;
	int64_t pause_at;
	bool is_stalled;
	/** Sends a byte now and then, and never a complete event. */
	bool is_trickling;
	bool is_done;
	/** Descriptor that the cut resets; -1: the cut closes it. */
	int reset_fd;
	/** The stream ends at the cut as if it was whole. */
	bool ends_at_cut;
	/** Sent in place of the event odd_at; NULL: none. */
	GBytes *odd_event;
	int64_t odd_at;
};

static bool
consume_fault(int *count)
{
	if (*count <= 0)
		return false;
	(*count)--;
	return true;
}

static ssize_t
read_odd_event(struct stream *st, char *buf, size_t max)
{
	gsize len;
	const void *data = g_bytes_get_data(st->odd_event, &len);

	len = MIN(len, max);
	memcpy(buf, data, len);
	st->next++;
	return (ssize_t)len;
}

static ssize_t
read_events(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct stream *st = cls;
	int n;

	if (st->is_trickling) {
		g_usleep(kTrickleUs);
		buf[0] = 'x';
		return pos < kTrickleBytes ? 1
					   : MHD_CONTENT_READER_END_WITH_ERROR;
	}
	if (st->is_stalled) {
		g_usleep(kStallUs);
		return MHD_CONTENT_READER_END_WITH_ERROR;
	}
	if (st->next > st->total) {
		st->is_done = true;
		return MHD_CONTENT_READER_END_OF_STREAM;
	}
	if (st->next > st->first)
		g_usleep((gulong)st->pace_ms * 1000);
	if (st->next == st->pause_at)
		g_usleep((gulong)st->pause_ms * 1000);
	if (st->next == st->odd_at && st->odd_event != NULL)
		return read_odd_event(st, buf, max);
	n = g_snprintf(buf, max,
	    "id: %" G_GINT64_FORMAT "\ndata: %s-%" G_GINT64_FORMAT "\n\n",
	    st->next, st->path, st->next);
	if (st->next == st->cut_at) {
		/* Cuts the stream in the middle of the event. */
		st->cut_at = -1;
		st->is_stalled = true;
		return n / 2;
	}
	st->next++;
	return n;
}

/* Closing the connection then sends a reset. */
static void
reset_connection(int fd)
{
	struct linger now = {.l_onoff = 1, .l_linger = 0};

	if (fd >= 0)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

static ssize_t
read_cut(void *cls, uint64_t pos, char *buf, size_t max)
{
	struct stream *st = cls;

	if (st->is_stalled && st->cut_at < 0) {
		reset_connection(st->reset_fd);
		return st->ends_at_cut ? MHD_CONTENT_READER_END_OF_STREAM
				       : MHD_CONTENT_READER_END_WITH_ERROR;
	}
	return read_events(cls, pos, buf, max);
}

static void
stream_free(void *cls)
{
	struct stream *st = cls;

	pthread_mutex_lock(&st->wk->lock);
	if (!st->is_done)
		st->wk->closed_early++;
	pthread_mutex_unlock(&st->wk->lock);
	if (st->odd_event != NULL)
		g_bytes_unref(st->odd_event);
	g_free(st->path);
	g_free(st);
}

/* Status of the next answer: the injected one, or the one that the request asks
 * for. */
static int64_t
next_status(struct worker *wk, const json_t *doc)
{
	const json_t *status = json_array_get(wk->statuses_left, 0);
	int64_t code = json_integer_value(
	    status != NULL ? status : json_object_get(doc, "status"));

	if (status != NULL)
		json_array_remove(wk->statuses_left, 0);
	return code;
}

static const char *
request_header(struct standin_request *req, const char *name)
{
	return MHD_lookup_connection_value(req->con, MHD_HEADER_KIND, name);
}

/* What all answers say of the worker. */
static void
add_state(struct worker *wk, struct MHD_Response *res)
{
	const char *rate = worker_rate_of_answer(&wk->rate);

	if (rate != NULL)
		MHD_add_response_header(res, "Server-Limit", rate);
	if (consume_fault(&wk->leaving_left))
		MHD_add_response_header(res, "Server-Leaving", "1");
}

static void
add_signature(struct worker *wk, struct MHD_Response *res, const char *attempt)
{
	bool is_crossed = consume_fault(&wk->crosses_left);

	MHD_add_response_header(
	    res, "X-Attempt-Id", is_crossed ? "other" : attempt);
	add_state(wk, res);
	if (!consume_fault(&wk->unsigned_left))
		MHD_add_response_header(res, "X-Response-Seal", wk->id);
}

static struct MHD_Response *
reject(struct worker *wk, struct standin_request *req, unsigned int code,
    unsigned int *status)
{
	struct MHD_Response *res = standin_text_response("{}");
	struct surplus_answer answer = {
	    .status = code,
	    .headers = code == 421 ? "" : "X-Not-Executed: 1\r\n",
	    .body = "{}",
	};

	*status = code;
	surplus_apply(&wk->surplus, req, &answer);
	add_state(wk, res);
	if (code == 421)
		MHD_add_response_header(res, "X-Instance-Id", wk->id);
	else
		MHD_add_response_header(res, "X-Not-Executed", "1");
	return res;
}

static struct MHD_Response *
fail(struct worker *wk, struct standin_request *req, const char *attempt,
    unsigned int code, unsigned int *status)
{
	struct MHD_Response *res =
	    standin_text_response("injected worker error");
	struct surplus_answer answer = {
	    .status = code,
	    .attempt = attempt,
	    .headers = "X-Response-Seal: copy\r\n",
	    .body = "injected worker error",
	};

	*status = code;
	add_signature(wk, res, attempt);
	surplus_apply(&wk->surplus, req, &answer);
	return res;
}

static void
repeat_stream(struct worker *wk, struct standin_request *req,
    const char *attempt, const struct stream *st)
{
	GString *body = g_string_new(NULL);
	struct surplus_answer answer = {
	    .status = 200,
	    .attempt = attempt,
	    .headers = "X-Response-Seal: copy\r\n"
		       "Content-Type: text/event-stream\r\n",
	};

	for (int64_t n = st->first; wk->surplus.left > 0 && n <= st->total; n++)
		g_string_append_printf(body,
		    "id: %" G_GINT64_FORMAT "\ndata: %s-%" G_GINT64_FORMAT
		    "\n\n",
		    n, st->path, n);
	answer.body = body->str;
	surplus_apply(&wk->surplus, req, &answer);
	g_string_free(body, TRUE);
}

static bool
has_crash_part(const struct worker *wk, struct standin_request *req)
{
	const char *text = request_header(req, "X-Prompt-Prefix");
	char **parts = g_strsplit(text != NULL ? text : "", ",", -1);
	char *entry = g_strconcat(wk->crash_part, ":", NULL);
	bool has = false;

	for (char **p = parts; !has && *p != NULL && p[1] != NULL; p++)
		has = wk->crash_part[0] != '\0' && g_str_has_prefix(*p, entry);
	g_free(entry);
	g_strfreev(parts);
	return has;
}

/* Other connections are served meanwhile. */
static void
crash_by_part(struct worker *wk, const char *attempt)
{
	printf("crashed by %s\n", attempt);
	fflush(stdout);
	pthread_mutex_unlock(&wk->lock);
	g_usleep(kPromptUs);
	_exit(kExitCrashed);
}

static void
unframe(struct worker *wk, struct standin_request *req, struct stream *st)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    req->con, MHD_CONNECTION_INFO_CONNECTION_FD);

	if (strcmp(wk->unframed_end, "whole") == 0)
		return;
	st->cut_at = st->next + kCutAfterEvents;
	st->ends_at_cut = strcmp(wk->unframed_end, "inside") == 0;
	if (!st->ends_at_cut)
		st->reset_fd = info->connect_fd;
}

static enum MHD_Result
collect_header(
    void *cls, enum MHD_ValueKind kind, const char *name, const char *value)
{
	char *text = g_strdup_printf("%s: %s", name, value);

	/* A field that is no UTF-8 is left out. */
	json_array_append_new(cls, json_string(text));
	g_free(text);
	return MHD_YES;
}

static void
record_head(struct worker *wk, struct standin_request *req)
{
	json_t *headers = json_array();

	MHD_get_connection_values(
	    req->con, MHD_HEADER_KIND, collect_header, headers);
	json_array_append_new(wk->heads,
	    json_pack("{s:s,s:o}", "path", req->url, "headers", headers));
}

static struct MHD_Response *
handle_heads(struct worker *wk)
{
	char *out = json_dumps(wk->heads, JSON_COMPACT);
	struct MHD_Response *res = standin_text_response(out);

	free(out);
	return res;
}

static struct MHD_Response *
handle_run(struct worker *wk, struct standin_request *req, unsigned int *status)
{
	const char *attempt = request_header(req, "X-Attempt-Id");
	const char *expect = request_header(req, "X-Expect-Instance");
	const char *last = request_header(req, "Last-Event-Id");
	json_t *doc = json_loads(req->body->str, 0, NULL);
	int64_t code;
	int64_t pace = json_integer_value(json_object_get(doc, "pace_ms"));
	struct MHD_Response *res;
	struct stream *st;
	bool is_unframed;

	worker_rate_record_arrival(&wk->rate);
	record_head(wk, req);
	if (attempt == NULL ||
	    (expect != NULL && strcmp(expect, wk->id) != 0) ||
	    consume_fault(&wk->rejects_left)) {
		json_decref(doc);
		return reject(wk, req,
		    expect != NULL && strcmp(expect, wk->id) != 0 ? 421 : 503,
		    status);
	}
	json_array_append_new(wk->attempts_run, json_string(attempt));
	if (wk->prints_runs) {
		printf("ran %s\n", attempt);
		fflush(stdout);
	}
	if (has_crash_part(wk, req))
		crash_by_part(wk, attempt);
	/* Closes the connection, as if the process had crashed at the start
	 * of the request. */
	if (json_is_true(json_object_get(doc, "crash")) ||
	    consume_fault(&wk->crashes_left)) {
		json_decref(doc);
		return NULL;
	}
	code = next_status(wk, doc);
	if (code >= 400) {
		json_decref(doc);
		return fail(wk, req, attempt, (unsigned int)code, status);
	}
	st = g_new0(struct stream, 1);
	st->wk = wk;
	st->path = g_strdup(req->url);
	st->next = last != NULL ? atoll(last) + 1 : 1;
	st->first = st->next;
	st->total = json_integer_value(json_object_get(doc, "events"));
	st->pace_ms = (int)pace;
	st->cut_at = -1;
	st->reset_fd = -1;
	is_unframed = consume_fault(&wk->unframed_left);
	if (is_unframed)
		unframe(wk, req, st);
	if (consume_fault(&wk->cuts_left))
		st->cut_at = st->next + kCutAfterEvents;
	if (consume_fault(&wk->pauses_left)) {
		st->pause_ms = wk->pause_ms;
		st->pause_at = st->next + wk->pause_after;
	}
	if (consume_fault(&wk->odd_left)) {
		st->odd_event = g_bytes_ref(wk->odd_event);
		st->odd_at = st->first + wk->odd_at;
	}
	st->is_stalled = consume_fault(&wk->stalls_left);
	st->is_trickling = consume_fault(&wk->trickles_left);
	res = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, 4096,
	    st->cut_at >= 0 ? read_cut : read_events, st, stream_free);
	if (is_unframed)
		MHD_set_response_options(
		    res, MHD_RF_HTTP_1_0_COMPATIBLE_STRICT, MHD_RO_END);
	MHD_add_response_header(res, "Content-Type", "text/event-stream");
	add_signature(wk, res, attempt);
	repeat_stream(wk, req, attempt, st);
	json_decref(doc);
	return res;
}

static void
set_odd_fault(struct worker *wk, const json_t *doc)
{
	const char *text = json_string_value(json_object_get(doc, "odd_event"));
	gsize len = 0;
	guchar *data = g_base64_decode(text != NULL ? text : "", &len);

	if (wk->odd_event != NULL)
		g_bytes_unref(wk->odd_event);
	wk->odd_event = g_bytes_new_take(data, len);
	wk->odd_left = (int)json_integer_value(json_object_get(doc, "odd"));
	wk->odd_at = (int)json_integer_value(json_object_get(doc, "odd_at"));
}

static struct MHD_Response *
set_fault(struct worker *wk, struct standin_request *req)
{
	json_t *doc = json_loads(req->body->str, 0, NULL);

	wk->cuts_left =
	    (int)json_integer_value(json_object_get(doc, "cut_after"));
	wk->stalls_left =
	    (int)json_integer_value(json_object_get(doc, "silent"));
	wk->rejects_left =
	    (int)json_integer_value(json_object_get(doc, "shed"));
	wk->crosses_left =
	    (int)json_integer_value(json_object_get(doc, "cross"));
	wk->leaving_left =
	    (int)json_integer_value(json_object_get(doc, "leaving"));
	wk->trickles_left =
	    (int)json_integer_value(json_object_get(doc, "trickle"));
	wk->unsigned_left =
	    (int)json_integer_value(json_object_get(doc, "unsigned"));
	wk->crashes_left =
	    (int)json_integer_value(json_object_get(doc, "crashes"));
	wk->pauses_left =
	    (int)json_integer_value(json_object_get(doc, "pauses"));
	wk->pause_ms =
	    (int)json_integer_value(json_object_get(doc, "pause_ms"));
	wk->pause_after =
	    (int)json_integer_value(json_object_get(doc, "pause_after"));
	wk->unframed_left =
	    (int)json_integer_value(json_object_get(doc, "unframed"));
	g_strlcpy(wk->unframed_end,
	    json_is_string(json_object_get(doc, "unframed_end"))
		? json_string_value(json_object_get(doc, "unframed_end"))
		: "whole",
	    sizeof(wk->unframed_end));
	set_odd_fault(wk, doc);
	json_decref(wk->statuses_left);
	wk->statuses_left = json_incref(json_object_get(doc, "statuses"));
	surplus_fault_parse(&wk->surplus, json_object_get(doc, "surplus"));
	if (json_object_get(doc, "rate") != NULL)
		worker_rate_set(&wk->rate, json_object_get(doc, "rate"));
	json_decref(doc);
	return standin_text_response("{}");
}

static struct MHD_Response *
handle_seen(struct worker *wk)
{
	json_t *doc = json_pack("{s:O,s:i,s:O,s:I}", "ran", wk->attempts_run,
	    "left_early", wk->closed_early, "arrivals_us", wk->rate.arrivals,
	    "rate_named_us", (json_int_t)wk->rate.named_us);
	char *out = json_dumps(doc, JSON_COMPACT);
	struct MHD_Response *res = standin_text_response(out);

	free(out);
	json_decref(doc);
	return res;
}

static struct MHD_Response *
handle(void *ctx, struct standin_request *req, unsigned int *status)
{
	struct worker *wk = ctx;
	struct MHD_Response *res;

	pthread_mutex_lock(&wk->lock);
	if (strcmp(req->url, "/fault") == 0)
		res = set_fault(wk, req);
	else if (strcmp(req->url, "/seen") == 0)
		res = handle_seen(wk);
	else if (strcmp(req->url, "/heads") == 0)
		res = handle_heads(wk);
	else
		res = handle_run(wk, req, status);
	pthread_mutex_unlock(&wk->lock);
	return res;
}

int
standin_worker(int argc, char **argv)
{
	struct worker wk = {.lock = PTHREAD_MUTEX_INITIALIZER};

	wk.id = standin_flag(argc, argv, "--id", "i-1");
	wk.crash_part = standin_flag(argc, argv, "--crash-part", "");
	wk.attempts_run = json_array();
	wk.heads = json_array();
	wk.prints_runs =
	    strcmp(standin_flag(argc, argv, "--print-runs", "no"), "yes") == 0;
	worker_rate_init(&wk.rate);
	return standin_serve(
	    (uint16_t)atoi(standin_flag(argc, argv, "--port", "7200")), handle,
	    &wk);
}

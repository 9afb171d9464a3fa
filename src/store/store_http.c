/*
 * HTTP client of the platform's table service, object store and VM list.
 *
 * GET  /table/KEY             200 {"value","version"} | 404
 * GET  /scan?prefix&after&limit   200 [{"key","value","version"}]
 * POST /txn {"if":[],"set":[]}    200 | 409
 * PUT  /object/KEY, GET /object/KEY
 * GET  /vms?since=N           200 {"cursor","vms":[{"address","state"}]}
 *
 * Each call has an id of its own, Savoryflow-Call; an answer should repeat it.
 * A connection is used again only after an answer that did.
 */
#include "store/store_http.h"

#include <curl/curl.h>
#include <jansson.h>
#include <pthread.h>
#include <string.h>

#include "http/intake.h"
#include "http/send_guard.h"
#include "log/log.h"
#include "metric/metric.h"
#include "os/json_partial.h"
#include "os/text_copy.h"
#include "store/store_answer.h"

enum {
	kHttpOk = 200,
	kHttpNotFound = 404,
	kHttpConflict = 409,
	kHttpUnavailable = 503,
	kConnectTimeoutMs = 1000,
};

struct store_http {
	struct store base;
	char *url;
	long timeout_ms;
	pthread_key_t handle_key;
};

struct http_reply {
	CURLcode curl;
	GByteArray *body;
	CURL *easy;
	/** Id of the call, and the one that the answer names, or empty. */
	char call[20];
	char named[20];
	/** The answer is one to another call; nothing of it is used. */
	bool is_foreign;
	struct intake intake;
	struct send_guard guard;
};

struct http_request {
	const char *method;
	const char *body;
	size_t body_len;
};

static void
handle_destroy(void *h)
{
	curl_easy_cleanup(h);
}

static CURL *
handle_get(struct store_http *sh)
{
	CURL *h = pthread_getspecific(sh->handle_key);

	if (h == NULL) {
		h = curl_easy_init();
		pthread_setspecific(sh->handle_key, h);
	}
	curl_easy_reset(h);
	return h;
}

static size_t
reply_append(char *data, size_t size, size_t n, void *ctx)
{
	struct http_reply *reply = ctx;

	if (!intake_body(&reply->intake, size * n))
		return 0;
	g_byte_array_append(
	    reply->body, (const guint8 *)data, (guint)(size * n));
	return size * n;
}

/* Without an id only the first answer on a connection is certain, so it must be
 * the last one, too. */
static bool
is_own_answer(const struct http_reply *reply)
{
	long connects = 0;

	if (reply->named[0] != '\0')
		return strcmp(reply->named, reply->call) == 0;
	curl_easy_setopt(reply->easy, CURLOPT_FORBID_REUSE, 1L);
	curl_easy_getinfo(reply->easy, CURLINFO_NUM_CONNECTS, &connects);
	return connects > 0;
}

static void
read_call_field(struct http_reply *reply, const char *line, size_t len)
{
	static const char name[] = "Savoryflow-Call:";
	char *text;

	if (len <= sizeof(name) ||
	    g_ascii_strncasecmp(line, name, sizeof(name) - 1) != 0)
		return;
	text = g_strndup(line + sizeof(name) - 1, len - (sizeof(name) - 1));
	/* No call of this daemon has so long an id. */
	if (!text_copy(reply->named, sizeof(reply->named), g_strstrip(text)))
		reply->is_foreign = true;
	g_free(text);
}

static size_t
reply_header(char *data, size_t size, size_t n, void *ctx)
{
	struct http_reply *reply = ctx;
	size_t len = size * n;

	switch (intake_line(&reply->intake, data, len)) {
	case kIntakeLineRefused:
	case kIntakeLineMixed:
	case kIntakeLineMalformed:
		return 0;
	case kIntakeLineStatus:
		reply->named[0] = '\0';
		break;
	case kIntakeLineField:
		read_call_field(reply, data, len);
		break;
	case kIntakeLineEnd:
		reply->is_foreign = !is_own_answer(reply);
		break;
	default:
		break;
	}
	return reply->is_foreign ? 0 : len;
}

static void
count_bytes(CURL *h, enum store_cause cause)
{
	curl_off_t up = 0;
	curl_off_t down = 0;

	if (cause == kCauseBatch)
		return;
	curl_easy_getinfo(h, CURLINFO_SIZE_UPLOAD_T, &up);
	curl_easy_getinfo(h, CURLINFO_SIZE_DOWNLOAD_T, &down);
	metric_add(kMetStoreBytes, up + down);
}

static void
perform_once(struct store_http *sh, enum store_cause cause,
    const struct http_request *req, const char *path, struct http_reply *reply)
{
	CURL *h = handle_get(sh);
	char *url = g_strconcat(sh->url, path, NULL);
	struct curl_slist *headers = NULL;
	char *line;

	*reply = (struct http_reply){.body = g_byte_array_new(), .easy = h};
	g_snprintf(reply->call, sizeof(reply->call), "%08x%08x", g_random_int(),
	    g_random_int());
	line = g_strconcat("Savoryflow-Call: ", reply->call, NULL);
	headers = curl_slist_append(headers, line);
	g_free(line);
	intake_init(&reply->intake, kIntakeStoreBytesMax);
	headers = curl_slist_append(headers, "Expect:");
	curl_easy_setopt(h, CURLOPT_URL, url);
	curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(h, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(h, CURLOPT_TIMEOUT_MS, sh->timeout_ms);
	curl_easy_setopt(h, CURLOPT_CONNECTTIMEOUT_MS, (long)kConnectTimeoutMs);
	curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, reply_append);
	curl_easy_setopt(h, CURLOPT_WRITEDATA, reply);
	curl_easy_setopt(h, CURLOPT_HEADERFUNCTION, reply_header);
	curl_easy_setopt(h, CURLOPT_HEADERDATA, reply);
	send_guard_attach(h, &reply->guard);
	if (req->method != NULL) {
		curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, req->method);
		curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE, (long)req->body_len);
		curl_easy_setopt(h, CURLOPT_POSTFIELDS, req->body);
	}
	store_count_call(cause, req->method != NULL);
	reply->curl = curl_easy_perform(h);
	count_bytes(h, cause);
	intake_record_sent(&reply->intake, h, (int64_t)req->body_len);
	intake_log(&reply->intake, url, reply->curl);
	curl_slist_free_all(headers);
	g_free(url);
	if (reply->is_foreign)
		log_event(kEvtAnswerCrossed, "target", "store", "end", path,
		    (char *)NULL);
}

static void
http_perform(struct store_http *sh, enum store_cause cause,
    const struct http_request *req, const char *path, struct http_reply *reply)
{
	perform_once(sh, cause, req, path, reply);
	if (!reply->is_foreign || req->method != NULL)
		return;
	/* A read may be repeated; no copy waits on a new connection. */
	g_byte_array_unref(reply->body);
	perform_once(sh, cause, req, path, reply);
}

/* Only a request that was not sent, or a 503 for one that was sent once, proves
 * that nothing was applied. */
static enum store_result
reply_result(const struct http_reply *reply)
{
	if (send_guard_is_unsent(&reply->guard))
		return kStoreUnavailable;
	if (!intake_is_whole(&reply->intake, reply->curl))
		return kStoreAmbiguous;
	switch (reply->intake.status) {
	case kHttpOk:
		return kStoreOk;
	case kHttpNotFound:
		return kStoreNotFound;
	case kHttpConflict:
		return kStoreConflict;
	case kHttpUnavailable:
		/* A refused second copy does not undo the first one. */
		return send_guard_is_resent(&reply->guard) ? kStoreAmbiguous
							   : kStoreUnavailable;
	default:
		return kStoreAmbiguous;
	}
}

/* A read has no side effects, so a lost answer counts as an outage. */
static enum store_result
read_result(const struct http_reply *reply)
{
	enum store_result res = reply_result(reply);

	return res == kStoreAmbiguous ? kStoreUnavailable : res;
}

static json_t *
reply_json(const struct http_reply *reply)
{
	return json_partial_load(
	    (const char *)reply->body->data, reply->body->len, kJsonRowLevels);
}

static char *
escape_path(const char *text)
{
	return g_uri_escape_string(text, "/", FALSE);
}

static enum store_result
http_get(
    void *ctx, enum store_cause cause, const char *key, struct store_row *row)
{
	struct http_request req = {0};
	struct http_reply reply;
	enum store_result res;
	char *esc = escape_path(key);
	char *path = g_strconcat("/table/", esc, NULL);

	http_perform(ctx, cause, &req, path, &reply);
	res = read_result(&reply);
	if (res == kStoreOk) {
		json_t *doc = reply_json(&reply);
		const json_t *version = json_object_get(doc, "version");
		char *value = store_answer_value(doc);

		if (value != NULL && json_is_integer(version)) {
			row->key = g_strdup(key);
			row->value = g_steal_pointer(&value);
			row->version = json_integer_value(version);
		} else {
			res = kStoreUnavailable;
		}
		g_free(value);
		json_decref(doc);
	}
	g_byte_array_unref(reply.body);
	g_free(path);
	g_free(esc);
	return res;
}

static enum store_result
http_scan(void *ctx, enum store_cause cause, const char *prefix,
    const char *after, int32_t limit, GPtrArray **rows, bool *has_more)
{
	struct http_request req = {0};
	struct http_reply reply;
	enum store_result res;
	char *esc_prefix = g_uri_escape_string(prefix, NULL, FALSE);
	char *esc_after = g_uri_escape_string(after ? after : "", NULL, FALSE);
	char *path = g_strdup_printf(
	    "/scan?prefix=%s&after=%s&limit=%d", esc_prefix, esc_after, limit);

	http_perform(ctx, cause, &req, path, &reply);
	res = read_result(&reply);
	if (res == kStoreOk) {
		json_t *doc = reply_json(&reply);

		*rows = store_answer_rows(doc);
		if (*rows == NULL)
			res = kStoreUnavailable;
		else
			*has_more = json_array_size(doc) >= (size_t)limit;
		json_decref(doc);
	}
	g_byte_array_unref(reply.body);
	g_free(path);
	g_free(esc_prefix);
	g_free(esc_after);
	return res;
}

static json_t *
cond_to_json(const struct store_cond *cond)
{
	switch (cond->kind) {
	case kCondAbsent:
		return json_pack("{s:s,s:b}", "key", cond->key, "absent", 1);
	case kCondVersion:
		return json_pack("{s:s,s:I}", "key", cond->key, "version",
		    (json_int_t)cond->version);
	case kCondField:
		break;
	}
	return json_pack("{s:s,s:s,s:s}", "key", cond->key, "field",
	    cond->field, "equals", cond->text);
}

static char *
txn_to_json(const struct store_txn *txn)
{
	json_t *conds = json_array();
	json_t *writes = json_array();
	json_t *doc;
	char *text;

	for (guint i = 0; i < txn->conds->len; i++)
		json_array_append_new(
		    conds, cond_to_json(txn->conds->pdata[i]));
	for (guint i = 0; i < txn->writes->len; i++) {
		const struct store_write *w = txn->writes->pdata[i];

		json_array_append_new(writes,
		    json_pack("{s:s,s:s?}", "key", w->key, "value", w->value));
	}
	doc = json_pack("{s:o,s:o}", "if", conds, "set", writes);
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	return text;
}

static enum store_result
http_txn(void *ctx, enum store_cause cause, const struct store_txn *txn)
{
	char *body = txn_to_json(txn);
	struct http_request req = {"POST", body, strlen(body)};
	struct http_reply reply;
	enum store_result res;

	http_perform(ctx, cause, &req, "/txn", &reply);
	res = reply_result(&reply);
	g_byte_array_unref(reply.body);
	free(body);
	return res;
}

static enum store_result
http_put_object(void *ctx, enum store_cause cause, const char *key,
    const char *data, size_t len)
{
	struct http_request req = {"PUT", data, len};
	struct http_reply reply;
	enum store_result res;
	char *esc = escape_path(key);
	char *path = g_strconcat("/object/", esc, NULL);

	http_perform(ctx, cause, &req, path, &reply);
	res = reply_result(&reply);
	g_byte_array_unref(reply.body);
	g_free(path);
	g_free(esc);
	return res;
}

static enum store_result
http_get_object(
    void *ctx, enum store_cause cause, const char *key, GBytes **data)
{
	struct http_request req = {0};
	struct http_reply reply;
	enum store_result res;
	char *esc = escape_path(key);
	char *path = g_strconcat("/object/", esc, NULL);

	http_perform(ctx, cause, &req, path, &reply);
	res = read_result(&reply);
	if (res == kStoreOk)
		*data = g_byte_array_free_to_bytes(reply.body);
	else
		g_byte_array_unref(reply.body);
	g_free(path);
	g_free(esc);
	return res;
}

static enum store_result
http_delete_object(void *ctx, enum store_cause cause, const char *key)
{
	struct http_request req = {"DELETE", "", 0};
	struct http_reply reply;
	enum store_result res;
	char *esc = escape_path(key);
	char *path = g_strconcat("/object/", esc, NULL);

	http_perform(ctx, cause, &req, path, &reply);
	res = reply_result(&reply);
	g_byte_array_unref(reply.body);
	g_free(path);
	g_free(esc);
	return res;
}

/* These services do not report a time of their own. */
static bool
http_now_ms(void *ctx, int64_t *now_ms)
{
	return false;
}

static enum store_result
http_vms(void *ctx, int64_t *cursor, GPtrArray **vms)
{
	struct http_request req = {0};
	struct http_reply reply;
	enum store_result res;
	char *path = g_strdup_printf("/vms?since=%" G_GINT64_FORMAT, *cursor);

	http_perform(ctx, kCauseVms, &req, path, &reply);
	res = read_result(&reply);
	if (res == kStoreOk) {
		json_t *doc = reply_json(&reply);
		const json_t *next = json_object_get(doc, "cursor");
		const json_t *list = json_object_get(doc, "vms");

		if (json_is_integer(next) && json_is_array(list)) {
			*cursor = json_integer_value(next);
			*vms = store_answer_vms(list);
		} else {
			res = kStoreUnavailable;
		}
		json_decref(doc);
	}
	g_byte_array_unref(reply.body);
	g_free(path);
	return res;
}

static const struct store_ops http_ops = {
    .get = http_get,
    .scan = http_scan,
    .txn = http_txn,
    .put_object = http_put_object,
    .get_object = http_get_object,
    .delete_object = http_delete_object,
    .now_ms = http_now_ms,
    .vms = http_vms,
};

struct store *
store_http_new(const struct store_http_options *opt)
{
	struct store_http *sh = g_new0(struct store_http, 1);

	sh->base.ops = &http_ops;
	sh->base.ctx = sh;
	sh->url = g_strdup(opt->url);
	sh->timeout_ms = (long)opt->timeout_ms;
	pthread_key_create(&sh->handle_key, handle_destroy);
	return &sh->base;
}

void
store_http_free(struct store *store)
{
	struct store_http *sh = store->ctx;
	CURL *own = pthread_getspecific(sh->handle_key);

	if (own != NULL)
		curl_easy_cleanup(own);
	pthread_key_delete(sh->handle_key);
	g_free(sh->url);
	g_free(sh);
}

/*
 * HTTP client of the platform's table service, object store and VM list.
 *
 * GET  /table/KEY             200 {"value","version"} | 404
 * GET  /scan?prefix&after&limit   200 [{"key","value","version"}]
 * POST /txn {"if":[],"set":[]}    200 | 409
 * PUT  /object/KEY, GET /object/KEY
 * GET  /vms?since=N           200 {"cursor","vms":[{"address","state"}]}
 */
#include "store/store_http.h"

#include <curl/curl.h>
#include <jansson.h>
#include <pthread.h>
#include <string.h>

#include "http/intake.h"
#include "metric/metric.h"

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
	long status;
	CURLcode curl;
	GByteArray *body;
	struct intake intake;
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

static size_t
reply_header(char *data, size_t size, size_t n, void *ctx)
{
	struct http_reply *reply = ctx;

	return intake_head(&reply->intake, size * n) ? size * n : 0;
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
http_perform(struct store_http *sh, enum store_cause cause,
    const struct http_request *req, const char *path, struct http_reply *reply)
{
	CURL *h = handle_get(sh);
	char *url = g_strconcat(sh->url, path, NULL);
	struct curl_slist *headers = NULL;

	reply->body = g_byte_array_new();
	reply->status = 0;
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
	if (req->method != NULL) {
		curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, req->method);
		curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE, (long)req->body_len);
		curl_easy_setopt(h, CURLOPT_POSTFIELDS, req->body);
	}
	store_count_call(cause, req->method != NULL);
	reply->curl = curl_easy_perform(h);
	curl_easy_getinfo(h, CURLINFO_RESPONSE_CODE, &reply->status);
	count_bytes(h, cause);
	intake_log(&reply->intake, url);
	curl_slist_free_all(headers);
	g_free(url);
}

/* Only a refused connection or a 503 proves that nothing was applied. */
static enum store_result
reply_result(const struct http_reply *reply)
{
	if (reply->curl == CURLE_COULDNT_CONNECT ||
	    reply->curl == CURLE_COULDNT_RESOLVE_HOST)
		return kStoreUnavailable;
	if (reply->curl != CURLE_OK)
		return kStoreAmbiguous;
	switch (reply->status) {
	case kHttpOk:
		return kStoreOk;
	case kHttpNotFound:
		return kStoreNotFound;
	case kHttpConflict:
		return kStoreConflict;
	case kHttpUnavailable:
		return kStoreUnavailable;
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
	return json_loadb(
	    (const char *)reply->body->data, reply->body->len, 0, NULL);
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
		const char *value =
		    json_string_value(json_object_get(doc, "value"));

		row->key = g_strdup(key);
		row->value = g_strdup(value);
		row->version =
		    json_integer_value(json_object_get(doc, "version"));
		if (value == NULL) {
			store_row_clear(row);
			res = kStoreUnavailable;
		}
		json_decref(doc);
	}
	g_byte_array_unref(reply.body);
	g_free(path);
	g_free(esc);
	return res;
}

static GPtrArray *
rows_from_json(const json_t *doc)
{
	GPtrArray *rows = store_rows_new();
	json_t *elem;
	size_t i;

	json_array_foreach(doc, i, elem)
	{
		struct store_row *row = g_new0(struct store_row, 1);

		row->key =
		    g_strdup(json_string_value(json_object_get(elem, "key")));
		row->value =
		    g_strdup(json_string_value(json_object_get(elem, "value")));
		row->version =
		    json_integer_value(json_object_get(elem, "version"));
		g_ptr_array_add(rows, row);
	}
	return rows;
}

static enum store_result
http_scan(void *ctx, enum store_cause cause, const char *prefix,
    const char *after, int32_t limit, GPtrArray **rows)
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

		if (json_is_array(doc))
			*rows = rows_from_json(doc);
		else
			res = kStoreUnavailable;
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
static int64_t
http_now_ms(void *ctx)
{
	return -1;
}

static enum store_vm_state
vm_state_from_text(const char *text)
{
	if (g_strcmp0(text, "leaving") == 0)
		return kVmLeaving;
	if (g_strcmp0(text, "gone") == 0)
		return kVmGone;
	return kVmLive;
}

static GPtrArray *
vms_from_json(const json_t *list)
{
	GPtrArray *vms = store_vms_new();
	json_t *elem;
	size_t i;

	json_array_foreach(list, i, elem)
	{
		struct store_vm *vm = g_new0(struct store_vm, 1);

		vm->address = g_strdup(
		    json_string_value(json_object_get(elem, "address")));
		vm->state = vm_state_from_text(
		    json_string_value(json_object_get(elem, "state")));
		g_ptr_array_add(vms, vm);
	}
	return vms;
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

		*cursor = json_integer_value(json_object_get(doc, "cursor"));
		*vms = vms_from_json(json_object_get(doc, "vms"));
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

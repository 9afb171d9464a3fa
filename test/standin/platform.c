/* Stand-in for the platform: the in-memory store over HTTP. */
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http.h"
#include "memstore.h"

struct platform_server {
	struct memstore *ms;
	struct store *store;
	gint delay_ms;
};

static struct MHD_Response *
respond(enum store_result res, const char *text, unsigned int *status)
{
	switch (res) {
	case kStoreOk:
		*status = 200;
		break;
	case kStoreNotFound:
		*status = 404;
		break;
	case kStoreConflict:
		*status = 409;
		break;
	case kStoreUnavailable:
		*status = 503;
		break;
	case kStoreAmbiguous:
	case kStoreUnreadable:
		return NULL;
	}
	return standin_text_response(text != NULL ? text : "{}");
}

static struct MHD_Response *
respond_json(enum store_result res, json_t *doc, unsigned int *status)
{
	char *text = doc != NULL ? json_dumps(doc, JSON_COMPACT) : NULL;
	struct MHD_Response *response = respond(res, text, status);

	free(text);
	json_decref(doc);
	return response;
}

static struct MHD_Response *
get_row(struct platform_server *ps, const char *key, unsigned int *status)
{
	struct store_row row = {0};
	enum store_result res =
	    ps->store->ops->get(ps->store->ctx, kCauseConfig, key, &row);
	json_t *doc = NULL;

	if (res == kStoreOk)
		doc = json_pack("{s:s,s:I}", "value", row.value, "version",
		    (json_int_t)row.version);
	store_row_clear(&row);
	return respond_json(res, doc, status);
}

static const char *
argument(struct standin_request *req, const char *name)
{
	return MHD_lookup_connection_value(
	    req->con, MHD_GET_ARGUMENT_KIND, name);
}

static struct MHD_Response *
scan(struct platform_server *ps, struct standin_request *req,
    unsigned int *status)
{
	const char *limit = argument(req, "limit");
	GPtrArray *rows = NULL;
	json_t *list = json_array();
	bool has_more;
	enum store_result res = ps->store->ops->scan(ps->store->ctx,
	    kCauseConfig, argument(req, "prefix"), argument(req, "after"),
	    limit != NULL ? atoi(limit) : 100, &rows, &has_more);

	for (guint i = 0; rows != NULL && i < rows->len; i++) {
		const struct store_row *row = rows->pdata[i];

		json_array_append_new(list,
		    json_pack("{s:s,s:s,s:I}", "key", row->key, "value",
			row->value, "version", (json_int_t)row->version));
	}
	if (rows != NULL)
		g_ptr_array_unref(rows);
	return respond_json(res, list, status);
}

static struct store_txn *
parse_txn(const char *text)
{
	json_t *doc = json_loads(text, 0, NULL);
	struct store_txn *txn = store_txn_new();
	json_t *elem;
	size_t i;

	json_array_foreach(json_object_get(doc, "if"), i, elem)
	{
		const char *key =
		    json_string_value(json_object_get(elem, "key"));
		const char *field =
		    json_string_value(json_object_get(elem, "field"));

		if (json_is_true(json_object_get(elem, "absent")))
			store_txn_absent(txn, key);
		else if (field != NULL)
			store_txn_field(txn, key, field,
			    json_string_value(json_object_get(elem, "equals")));
		else
			store_txn_version(txn, key,
			    json_integer_value(
				json_object_get(elem, "version")));
	}
	json_array_foreach(json_object_get(doc, "set"), i, elem)
	{
		store_txn_write(txn,
		    json_string_value(json_object_get(elem, "key")),
		    json_string_value(json_object_get(elem, "value")));
	}
	json_decref(doc);
	return txn;
}

static struct MHD_Response *
run_txn(struct platform_server *ps, struct standin_request *req,
    unsigned int *status)
{
	struct store_txn *txn = parse_txn(req->body->str);
	enum store_result res =
	    ps->store->ops->txn(ps->store->ctx, kCauseConfig, txn);

	store_txn_free(txn);
	return respond(res, NULL, status);
}

static struct MHD_Response *
handle_object(struct platform_server *ps, struct standin_request *req,
    const char *key, unsigned int *status)
{
	GBytes *data = NULL;
	enum store_result res;
	struct MHD_Response *response;
	gsize len;

	if (strcmp(req->method, "PUT") == 0)
		return respond(
		    ps->store->ops->put_object(ps->store->ctx, kCauseConfig,
			key, req->body->str, req->body->len),
		    NULL, status);
	if (strcmp(req->method, "DELETE") == 0)
		return respond(ps->store->ops->delete_object(
				   ps->store->ctx, kCauseConfig, key),
		    NULL, status);
	res = ps->store->ops->get_object(
	    ps->store->ctx, kCauseConfig, key, &data);
	if (res != kStoreOk)
		return respond(res, NULL, status);
	response = MHD_create_response_from_buffer(g_bytes_get_size(data),
	    (void *)g_bytes_get_data(data, &len), MHD_RESPMEM_MUST_COPY);
	g_bytes_unref(data);
	return response;
}

static struct MHD_Response *
vms(struct platform_server *ps, struct standin_request *req,
    unsigned int *status)
{
	static const char *const names[] = {"live", "leaving", "gone"};
	const char *since = argument(req, "since");
	int64_t cursor = since != NULL ? atoll(since) : 0;
	GPtrArray *list = NULL;
	json_t *array = json_array();
	enum store_result res =
	    ps->store->ops->vms(ps->store->ctx, &cursor, &list);

	for (guint i = 0; list != NULL && i < list->len; i++) {
		const struct store_vm *vm = list->pdata[i];

		json_array_append_new(array,
		    json_pack("{s:s,s:s}", "address", vm->address, "state",
			names[vm->state]));
	}
	if (list != NULL)
		g_ptr_array_unref(list);
	return respond_json(res,
	    json_pack("{s:I,s:o}", "cursor", (json_int_t)cursor, "vms", array),
	    status);
}

/* POST /fault {"outage","slow_ms","lose_answers","lose_requests"} */
static struct MHD_Response *
set_fault(struct platform_server *ps, struct standin_request *req)
{
	json_t *doc = json_loads(req->body->str, 0, NULL);
	struct memstore_faults faults = {
	    .outage = json_is_true(json_object_get(doc, "outage")),
	    .lose_answers = (int32_t)json_integer_value(
		json_object_get(doc, "lose_answers")),
	    .lose_requests = (int32_t)json_integer_value(
		json_object_get(doc, "lose_requests")),
	};

	g_atomic_int_set(&ps->delay_ms,
	    (gint)json_integer_value(json_object_get(doc, "slow_ms")));
	memstore_set_faults(ps->ms, &faults);
	json_decref(doc);
	return standin_text_response("{}");
}

/* POST /vm {"address","state"} */
static struct MHD_Response *
set_vm(struct platform_server *ps, struct standin_request *req)
{
	json_t *doc = json_loads(req->body->str, 0, NULL);
	const char *state = json_string_value(json_object_get(doc, "state"));
	enum store_vm_state s = kVmLive;

	if (g_strcmp0(state, "leaving") == 0)
		s = kVmLeaving;
	if (g_strcmp0(state, "gone") == 0)
		s = kVmGone;
	memstore_set_vm_state(
	    ps->ms, json_string_value(json_object_get(doc, "address")), s);
	json_decref(doc);
	return standin_text_response("{}");
}

static struct MHD_Response *
handle_counts(struct platform_server *ps, unsigned int *status)
{
	struct memstore_counts n = memstore_get_counts(ps->ms);

	return respond_json(kStoreOk,
	    json_pack("{s:I,s:I}", "reads", (json_int_t)n.reads, "writes",
		(json_int_t)n.writes),
	    status);
}

static struct MHD_Response *
dispatch(void *ctx, struct standin_request *req, unsigned int *status)
{
	struct platform_server *ps = ctx;

	if (strcmp(req->url, "/fault") == 0)
		return set_fault(ps, req);
	if (strcmp(req->url, "/vm") == 0)
		return set_vm(ps, req);
	if (strcmp(req->url, "/counts") == 0)
		return handle_counts(ps, status);
	if (g_atomic_int_get(&ps->delay_ms) > 0)
		g_usleep((gulong)g_atomic_int_get(&ps->delay_ms) * 1000);
	if (g_str_has_prefix(req->url, "/table/"))
		return get_row(ps, req->url + strlen("/table/"), status);
	if (strcmp(req->url, "/scan") == 0)
		return scan(ps, req, status);
	if (strcmp(req->url, "/txn") == 0)
		return run_txn(ps, req, status);
	if (g_str_has_prefix(req->url, "/object/"))
		return handle_object(
		    ps, req, req->url + strlen("/object/"), status);
	if (strcmp(req->url, "/vms") == 0)
		return vms(ps, req, status);
	*status = 404;
	return standin_text_response("{}");
}

/* An answer names the call that it belongs to. */
static struct MHD_Response *
handle(void *ctx, struct standin_request *req, unsigned int *status)
{
	struct MHD_Response *res = dispatch(ctx, req, status);
	const char *call = MHD_lookup_connection_value(
	    req->con, MHD_HEADER_KIND, "Savoryflow-Call");

	if (res != NULL && call != NULL)
		MHD_add_response_header(res, "Savoryflow-Call", call);
	return res;
}

int
standin_platform(int argc, char **argv)
{
	struct platform_server ps = {0};

	ps.ms = memstore_new();
	ps.store = memstore_store(ps.ms);
	return standin_serve(
	    (uint16_t)atoi(standin_flag(argc, argv, "--port", "7000")), handle,
	    &ps);
}

/*
 * Stand-in for the users' platform: its metadata store over HTTP. One counter
 * versions all rows, transactions are conditional, and a feed reports changes.
 *
 * POST /put {"table","part","key","value"}: writes a row as the operator or a
 * worker does, see also rows_raw.h; without a value, deletes it. The path of a
 * call may start with a segment that names the calling daemon.
 *
 * POST /fault {"outage","turned_away","lose_answers","lose_table",
 * "out_after_loss", "forget","timeless","cut_every"}:
 * rejects all calls, or those of one daemon; drops the answers of the next N
 * transactions; discards the change history of the feed; leaves the time out of
 * the answers to one daemon, except those to reads of jobs; breaks each Nth
 * answer off within its head, and does not perform every other of these calls.
 *
 * POST /way: faults on the way of one daemon, see rows_faults.h.
 */
#include <jansson.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "http.h"
#include "os/clock.h"
#include "rows_dump.h"
#include "rows_faults.h"
#include "rows_raw.h"

enum {
	kFeedPollUs = 5000,
	/* The store started long before the tests. */
	kStoreUptimeMs = 3600000,
	/* Limits of one answer. */
	kRangeRowsMax = 500,
	kRangeBytesMax = 1 << 20,
};

struct row {
	char *table;
	char *part;
	char *key;
	/** Base64 as received; NULL if deleted. */
	char *value;
	int64_t version;
};

struct rows {
	pthread_mutex_t lock;
	/** Ordered; struct row by "TABLE\tPART\tKEY". */
	GTree *rows;
	/** int64_t: version of the last change, by table. */
	GHashTable *changed;
	GHashTable *objects;
	int64_t version;
	/** The feed has only changes after this version. */
	int64_t feed_start_version;
	bool outage;
	/** Calls whose path starts with this name of a daemon are rejected. */
	char *rejected_daemon;
	/** Answers to this daemon tell no time. */
	char *timeless_daemon;
	int lose_answers;
	/** Of transactions that write to this table; NULL: of all. */
	char *lose_table;
	/** The outage begins once these are lost. */
	bool is_out_after_loss;
	struct rows_faults *faults;
	/** 0: none. */
	int cut_every;
	int call_count;
	int cut_count;
};

static int
compare(const void *a, const void *b, void *ctx)
{
	return strcmp(a, b);
}

static const char *
member_text(const json_t *doc, const char *name)
{
	const char *val = json_string_value(json_object_get(doc, name));

	return val != NULL ? val : "";
}

static char *
full_key(const char *table, const char *part, const char *key)
{
	return g_strdup_printf("%s\t%s\t%s", table, part, key);
}

static void
write_row(struct rows *rs, const char *table, const char *part, const char *key,
    const char *value)
{
	char *full = full_key(table, part, key);
	struct row *row = g_tree_lookup(rs->rows, full);

	if (row == NULL) {
		row = g_new0(struct row, 1);
		row->table = g_strdup(table);
		row->part = g_strdup(part);
		row->key = g_strdup(key);
		g_tree_insert(rs->rows, g_strdup(full), row);
	}
	g_free(row->value);
	row->value = g_strdup(value);
	row->version = rs->version;
	g_hash_table_replace(rs->changed, g_strdup(table),
	    g_memdup2(&rs->version, sizeof(rs->version)));
	g_free(full);
	/* The tree owns the row. */
	// cppcheck-suppress memleak
}

static json_t *
row_json(const struct row *row)
{
	json_t *doc = json_pack("{s:s,s:s,s:s,s:I}", "table_name", row->table,
	    "part", row->part, "key", row->key, "row_version",
	    (json_int_t)row->version);

	if (row->value != NULL)
		json_object_set_new(doc, "value", json_string(row->value));
	else
		json_object_set_new(doc, "deleted", json_true());
	return doc;
}

static const char *
argument(struct standin_request *req, const char *name)
{
	const char *val =
	    MHD_lookup_connection_value(req->con, MHD_GET_ARGUMENT_KIND, name);

	return val != NULL ? val : "";
}

static bool
is_from(const struct standin_request *req, const char *daemon)
{
	return daemon != NULL && daemon[0] != '\0' &&
	    rows_url_is_from(req->url, daemon);
}

static struct MHD_Response *
respond(struct rows *rs, struct standin_request *req, json_t *doc)
{
	bool is_timeless = is_from(req, rs->timeless_daemon) &&
	    strcmp(argument(req, "table_name"), "job") != 0;

	json_object_set_new(doc, "row_version", json_integer(rs->version));
	if (!is_timeless)
		json_object_set_new(doc, "now_ms",
		    json_integer(clock_mono_us(clock_system()) / kUsPerMs +
			kStoreUptimeMs));
	return rows_raw_response(doc);
}

static bool
conditions_hold(struct rows *rs, const json_t *conds)
{
	const json_t *c;
	size_t i;

	json_array_foreach((json_t *)conds, i, c)
	{
		char *full = full_key(member_text(c, "table_name"),
		    member_text(c, "part"), member_text(c, "key"));
		const struct row *row = g_tree_lookup(rs->rows, full);
		int64_t actual =
		    row != NULL && row->value != NULL ? row->version : 0;

		g_free(full);
		if (actual !=
		    json_integer_value(json_object_get(c, "row_version")))
			return false;
	}
	return true;
}

/* A transaction is limited to one partition. */
static bool
is_one_part(const json_t *doc)
{
	static const char *const lists[] = {
	    "expected_rev", "upserts", "remove"};
	const char *part = NULL;

	for (size_t n = 0; n < G_N_ELEMENTS(lists); n++) {
		const json_t *e;
		size_t i;

		json_array_foreach(json_object_get(doc, lists[n]), i, e)
		{
			if (part != NULL &&
			    strcmp(part, member_text(e, "part")) != 0)
				return false;
			part = member_text(e, "part");
		}
	}
	return true;
}

static struct MHD_Response *
run_tx(struct rows *rs, struct standin_request *req, unsigned int *status)
{
	json_t *doc = json_loads(req->body->str, 0, NULL);
	bool is_lost = rs->lose_table == NULL;
	const json_t *e;
	size_t i;

	if (!is_one_part(doc)) {
		*status = 400;
		json_decref(doc);
		return standin_text_response("{}");
	}
	if (!conditions_hold(rs, json_object_get(doc, "expected_rev"))) {
		*status = 412;
		json_decref(doc);
		return respond(rs, req, json_object());
	}
	rs->version++;
	json_array_foreach(json_object_get(doc, "upserts"), i, e)
	{
		is_lost |= g_strcmp0(member_text(e, "table_name"),
			       rs->lose_table) == 0;
		write_row(rs, member_text(e, "table_name"),
		    member_text(e, "part"), member_text(e, "key"),
		    member_text(e, "value"));
	}
	json_array_foreach(json_object_get(doc, "remove"), i, e)
	{
		write_row(rs, member_text(e, "table_name"),
		    member_text(e, "part"), member_text(e, "key"), NULL);
	}
	json_decref(doc);
	if (is_lost && rs->lose_answers > 0) {
		rs->lose_answers--;
		rs->outage |= rs->lose_answers == 0 && rs->is_out_after_loss;
		return NULL;
	}
	return respond(rs, req, json_object());
}

struct range {
	const char *table;
	const char *part;
	const char *from;
	const char *until;
	int limit;
	size_t bytes;
	json_t *list;
	bool has_more;
};

/* @return false after the last row of the range */
static bool
collect_in_range(struct range *r, const struct row *row)
{
	if (strcmp(row->table, r->table) != 0 ||
	    strcmp(row->part, r->part) != 0 ||
	    (*r->until != '\0' && strcmp(row->key, r->until) >= 0))
		return false;
	if (row->value == NULL)
		return true;
	r->bytes += strlen(row->value);
	if ((int)json_array_size(r->list) >= r->limit ||
	    (r->bytes > kRangeBytesMax && json_array_size(r->list) > 0)) {
		r->has_more = true;
		return false;
	}
	json_array_append_new(r->list, row_json(row));
	return true;
}

static struct MHD_Response *
get_range(struct rows *rs, struct standin_request *req)
{
	const char *limit = argument(req, "max_results");
	struct range r = {argument(req, "table_name"), argument(req, "part"),
	    argument(req, "from"), argument(req, "target"),
	    *limit != '\0' ? MIN(atoi(limit), kRangeRowsMax) : kRangeRowsMax, 0,
	    json_array(), false};

	char *first = full_key(r.table, r.part, r.from);
	GTreeNode *node = g_tree_lower_bound(rs->rows, first);

	while (node != NULL && collect_in_range(&r, g_tree_node_value(node)))
		node = g_tree_node_next(node);
	g_free(first);
	return respond(rs, req,
	    json_pack(
		"{s:o,s:b}", "rows", r.list, "has_more", (int)r.has_more));
}

static bool
has_changed(const struct rows *rs, const char *table, int64_t after)
{
	const int64_t *version = g_hash_table_lookup(rs->changed, table);

	return version != NULL && *version > after;
}

struct changes {
	const char *table;
	int64_t after;
	json_t *list;
};

static gboolean
collect_changed(void *key, void *val, void *ctx)
{
	struct changes *c = ctx;
	const struct row *row = val;

	if (strcmp(row->table, c->table) == 0 && row->version > c->after)
		json_array_append_new(c->list, row_json(row));
	return FALSE;
}

static struct MHD_Response *
handle_feed(struct rows *rs, struct standin_request *req, unsigned int *status)
{
	struct changes c = {argument(req, "table_name"),
	    strtoll(argument(req, "after"), NULL, 10), json_array()};
	int64_t deadline_us = clock_mono_us(clock_system()) +
	    strtoll(argument(req, "wait_ms"), NULL, 10) * kUsPerMs;

	for (;;) {
		if (c.after < rs->feed_start_version || rs->outage) {
			*status = rs->outage ? 503 : 410;
			json_decref(c.list);
			return standin_text_response("{}");
		}
		if (has_changed(rs, c.table, c.after))
			g_tree_foreach(rs->rows, collect_changed, &c);
		if (json_array_size(c.list) > 0 ||
		    clock_mono_us(clock_system()) >= deadline_us)
			return respond(
			    rs, req, json_pack("{s:o}", "rows", c.list));
		pthread_mutex_unlock(&rs->lock);
		g_usleep(kFeedPollUs);
		pthread_mutex_lock(&rs->lock);
	}
}

static struct MHD_Response *
handle_object(struct rows *rs, struct standin_request *req, const char *verb,
    const char *name, unsigned int *status)
{
	GBytes *found = g_hash_table_lookup(rs->objects, name);
	const void *data;
	gsize len;

	if (strcmp(verb, "put") == 0) {
		if (found != NULL)
			*status = 412;
		else
			g_hash_table_insert(rs->objects, g_strdup(name),
			    g_bytes_new(req->body->str, req->body->len));
		return standin_text_response("{}");
	}
	if (strcmp(verb, "drop") == 0) {
		g_hash_table_remove(rs->objects, name);
		return standin_text_response("{}");
	}
	if (found == NULL) {
		*status = 404;
		return standin_text_response("{}");
	}
	data = g_bytes_get_data(found, &len);
	return MHD_create_response_from_buffer(
	    len, (void *)data, MHD_RESPMEM_MUST_COPY);
}

static struct MHD_Response *
handle_put(struct rows *rs, struct standin_request *req)
{
	json_t *doc = json_loads(req->body->str, 0, NULL);
	const char *value = json_string_value(json_object_get(doc, "value"));
	const char *part = json_string_value(json_object_get(doc, "part"));
	char *b64 = rows_raw_value(value);

	rs->version++;
	write_row(rs, member_text(doc, "table"), part != NULL ? part : "",
	    member_text(doc, "key"), b64);
	g_free(b64);
	json_decref(doc);
	return standin_text_response("{}");
}

static struct MHD_Response *
set_fault(struct rows *rs, struct standin_request *req)
{
	json_t *doc = json_loads(req->body->str, 0, NULL);

	rs->outage = json_is_true(json_object_get(doc, "outage"));
	g_free(rs->rejected_daemon);
	rs->rejected_daemon = g_strdup(member_text(doc, "turned_away"));
	g_free(rs->timeless_daemon);
	rs->timeless_daemon = g_strdup(member_text(doc, "timeless"));
	rs->lose_answers =
	    (int)json_integer_value(json_object_get(doc, "lose_answers"));
	g_free(rs->lose_table);
	rs->lose_table =
	    g_strdup(json_string_value(json_object_get(doc, "lose_table")));
	rs->is_out_after_loss =
	    json_is_true(json_object_get(doc, "out_after_loss"));
	rs->cut_every =
	    (int)json_integer_value(json_object_get(doc, "cut_every"));
	if (json_is_true(json_object_get(doc, "forget")))
		rs->feed_start_version = ++rs->version;
	json_decref(doc);
	return standin_text_response("{}");
}

static struct MHD_Response *
set_way(struct rows *rs, struct standin_request *req)
{
	json_t *doc = json_loads(req->body->str, 0, NULL);

	rows_faults_set(rs->faults, doc);
	json_decref(doc);
	return standin_text_response("{}");
}

static gboolean
dump_row(void *key, void *val, void *ctx)
{
	const struct row *row = val;

	if (strcmp(row->table, "op") != 0)
		rows_dump_row(ctx, key, row->value);
	return FALSE;
}

/* What the daemons have written. */
static struct MHD_Response *
dump(struct rows *rs)
{
	GString *out = g_string_new(NULL);

	g_tree_foreach(rs->rows, dump_row, out);
	return rows_dump_response(out, rs->objects);
}

static struct MHD_Response *
dispatch(struct rows *rs, struct standin_request *req, unsigned int *status)
{
	static const struct {
		const char *path;
		const char *verb;
	} objects[] = {
	    {"/api/blob-put/", "put"},
	    {"/api/blob-get/", "get"},
	    {"/api/blob-drop/", "drop"},
	};
	const char *path;

	if (strcmp(req->url, "/put") == 0)
		return handle_put(rs, req);
	if (strcmp(req->url, "/dump") == 0)
		return dump(rs);
	if (strcmp(req->url, "/fault") == 0)
		return set_fault(rs, req);
	if (strcmp(req->url, "/way") == 0)
		return set_way(rs, req);
	if (rs->outage || is_from(req, rs->rejected_daemon)) {
		*status = 503;
		return standin_text_response("{}");
	}
	path = strstr(req->url, "/api/");
	if (path == NULL)
		return NULL;
	if (strcmp(path, "/api/rows-tx") == 0)
		return run_tx(rs, req, status);
	if (strcmp(path, "/api/rows-get") == 0)
		return get_range(rs, req);
	if (strcmp(path, "/api/rows-feed") == 0)
		return handle_feed(rs, req, status);
	for (size_t i = 0; i < G_N_ELEMENTS(objects); i++)
		if (g_str_has_prefix(path, objects[i].path))
			return handle_object(rs, req, objects[i].verb,
			    path + strlen(objects[i].path), status);
	*status = 404;
	return standin_text_response("{}");
}

static bool
is_cut(struct rows *rs, const struct standin_request *req)
{
	return rs->cut_every > 0 && req->con != NULL &&
	    strstr(req->url, "/api/") != NULL &&
	    ++rs->call_count % rs->cut_every == 0;
}

static struct MHD_Response *
cut_answer(struct rows *rs, struct standin_request *req, unsigned int *status)
{
	static const char head[] = "HTTP/1.1 200 OK\r\nContent-Ty";
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    req->con, MHD_CONNECTION_INFO_CONNECTION_FD);

	if (++rs->cut_count % 2 == 0) {
		struct MHD_Response *res = dispatch(rs, req, status);

		if (res != NULL)
			MHD_destroy_response(res);
	}
	send(info->connect_fd, head, sizeof(head) - 1, MSG_NOSIGNAL);
	return NULL;
}

static struct MHD_Response *
dispatch_locked(
    struct rows *rs, struct standin_request *req, unsigned int *status)
{
	struct MHD_Response *res;

	pthread_mutex_lock(&rs->lock);
	res = is_cut(rs, req) ? cut_answer(rs, req, status)
			      : dispatch(rs, req, status);
	pthread_mutex_unlock(&rs->lock);
	return res;
}

static struct MHD_Response *
perform_later(void *ctx, struct standin_request *req, unsigned int *status)
{
	return dispatch_locked(ctx, req, status);
}

static struct MHD_Response *
handle(void *ctx, struct standin_request *req, unsigned int *status)
{
	struct rows *rs = ctx;
	struct rows_verdict verdict = rows_faults_decide(rs->faults, req);
	struct MHD_Response *res;

	if (verdict.action == kWayLater) {
		rows_faults_perform_later(
		    req, verdict.delay_ms, perform_later, rs);
		return NULL;
	}
	/* Each connection has its own thread. */
	g_usleep((gulong)verdict.delay_ms * 1000);
	switch (verdict.action) {
	case kWayRefuse:
	case kWayTurnAway:
		*status = verdict.action == kWayRefuse ? 503 : 429;
		return standin_text_response("{}");
	case kWayReset:
		rows_faults_reset(req);
		return NULL;
	case kWaySilent:
		return NULL;
	default:
		break;
	}
	res = dispatch_locked(rs, req, status);
	g_usleep((gulong)verdict.hold_ms * 1000);
	if (verdict.action != kWayLose || res == NULL)
		return res;
	MHD_destroy_response(res);
	return NULL;
}

int
standin_rows(int argc, char **argv)
{
	struct rows rs = {.lock = PTHREAD_MUTEX_INITIALIZER};
	int code;

	rs.faults = rows_faults_new();
	rs.rows = g_tree_new_full(compare, NULL, g_free, NULL);
	rs.changed =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	rs.objects = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	code = standin_serve(
	    (uint16_t)atoi(standin_flag(argc, argv, "--port", "7100")), handle,
	    &rs);
	rows_faults_free(rs.faults);
	g_tree_unref(rs.rows);
	g_hash_table_unref(rs.changed);
	g_hash_table_unref(rs.objects);
	return code;
}

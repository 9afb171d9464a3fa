/* Rows and objects of jobs whose results have stable positions. */
#include "savoryflow/job/itemjob_store.h"

#include <stdlib.h>
#include <string.h>

#include "os/clock.h"
#include "os/json_text.h"
#include "savoryflow/job/itemjob_rows.h"
#include "store/commit.h"
#include "store/scan.h"

static char *
job_to_text(const struct itemjob *job)
{
	json_t *doc = json_pack("{s:o,s:o,s:o,s:b,s:i,s:I}", "host",
	    json_text(job->host), "path", json_text(job->path), "input",
	    json_text(job->input), "inline", (int)job->is_inline, "total",
	    job->total, "accepted_ms", (json_int_t)job->accepted_ms);
	char *text;

	if (job->quota_route != NULL)
		json_object_set_new(doc, "quota", json_text(job->quota_route));
	if (job->team != NULL)
		json_object_set_new(doc, "team", json_text(job->team));
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	return text;
}

static const char *
text_field(const json_t *doc, const char *name)
{
	return json_string_value(json_object_get(doc, name));
}

/* @return NULL if a field is missing or out of range */
static struct itemjob *
job_from_text(const char *id, const char *text)
{
	json_t *doc = json_text_load(text);
	const json_t *accepted = json_object_get(doc, "accepted_ms");
	json_int_t total = json_integer_value(json_object_get(doc, "total"));
	struct itemjob *job = NULL;

	if (text_field(doc, "host") != NULL &&
	    text_field(doc, "path") != NULL &&
	    text_field(doc, "input") != NULL && total > 0 &&
	    total <= INT32_MAX) {
		job = itemjob_new(id);
		job->host = g_strdup(text_field(doc, "host"));
		job->path = g_strdup(text_field(doc, "path"));
		job->input = g_strdup(text_field(doc, "input"));
		job->is_inline = json_is_true(json_object_get(doc, "inline"));
		job->total = (int32_t)total;
		job->quota_route = g_strdup(text_field(doc, "quota"));
		job->team = g_strdup(text_field(doc, "team"));
		job->accepted_ms = json_is_integer(accepted)
		    ? json_integer_value(accepted)
		    : -1;
	}
	json_decref(doc);
	return job;
}

enum store_result
itemjob_get(const struct store *st, const char *id, struct itemjob **job)
{
	char *key = itemjob_list_key("job", id);
	struct store_row row = {0};
	enum store_result res = st->ops->get(st->ctx, kCauseBatch, key, &row);

	if (res == kStoreOk) {
		*job = job_from_text(id, row.value);
		if (*job == NULL)
			res = kStoreUnreadable;
	}
	store_row_clear(&row);
	g_free(key);
	return res;
}

struct submission {
	struct itemjob *job;
	/** The stored job was created by this submission. */
	bool is_own;
};

/* The job is stored, whether by this submission or an earlier one. */
static enum commit_owner
job_is_stored(const struct store *st, void *ctx)
{
	struct submission *sub = ctx;
	struct itemjob *found = NULL;
	enum store_result res = itemjob_get(st, sub->job->id, &found);

	sub->is_own =
	    res == kStoreOk && strcmp(found->input, sub->job->input) == 0;
	sub->job->is_id_taken =
	    res == kStoreOk && !itemjob_is_of_team(found, sub->job->team);
	itemjob_free(found);
	return commit_owner_of(res, !sub->job->is_id_taken);
}

/* @param items value of the row with the items, or with their ids, or NULL */
static enum store_result
submit_rows(const struct store *st, struct itemjob *job, const char *items,
    const char *owner, bool *is_new)
{
	struct submission sub = {job, true};
	struct store_txn *txn = store_txn_new();
	char *job_key = itemjob_list_key("job", job->id);
	char *open_key = itemjob_list_key("open", job->id);
	char *input_key = itemjob_list_key("input", job->id);
	char *job_text = job_to_text(job);
	struct itemjob_open open = {.owner = (char *)owner,
	    .quota_route = job->quota_route,
	    .quota_tokens = job->quota_tokens};
	char *open_text = itemjob_open_text(&open);
	enum store_result res;

	store_txn_absent(txn, job_key);
	if (job->quota_route != NULL) {
		char *fence_key = itemjob_list_key("quota", job->quota_route);

		store_txn_version(txn, fence_key, job->quota_fence);
		g_free(fence_key);
	}
	store_txn_write(txn, job_key, job_text);
	store_txn_write(txn, open_key, open_text);
	if (items != NULL)
		store_txn_write(txn, input_key, items);
	res = store_commit(st, kCauseBatch, txn, job_is_stored, &sub);
	*is_new = res == kStoreOk && sub.is_own;
	free(open_text);
	free(job_text);
	g_free(input_key);
	g_free(open_key);
	g_free(job_key);
	store_txn_free(txn);
	return res;
}

static enum store_result
submit_with_object(const struct store *st, struct itemjob *job,
    const GPtrArray *items, const char *text, const char *owner, bool *is_new)
{
	enum store_result res = st->ops->put_object(
	    st->ctx, kCauseBatch, job->input, text, strlen(text));
	char *ids;

	/* No row refers to the object yet: nothing of the job can run. */
	if (res != kStoreOk)
		return kStoreUnavailable;
	ids = itemjob_ids_to_text(items);
	res = submit_rows(st, job,
	    strlen(ids) <= kItemjobTextRowBytes ? ids : NULL, owner, is_new);
	free(ids);
	/* The job existed already, or the store is unavailable: the object is
	 * unused. */
	if (res == kStoreUnavailable || res == kStoreConflict ||
	    (res == kStoreOk && !*is_new))
		st->ops->delete_object(st->ctx, kCauseBatch, job->input);
	return res;
}

/* Sets the time of submission. A daemon that has just started may have had no
 * answer yet that tells the store's time: reading the job's row gets one. */
static enum store_result
set_accepted_time(const struct store *st, struct itemjob *job)
{
	struct itemjob *found = NULL;
	enum store_result res;

	if (st->ops->now_ms(st->ctx, &job->accepted_ms))
		return kStoreOk;
	res = itemjob_get(st, job->id, &found);
	itemjob_free(found);
	if (res != kStoreOk && res != kStoreNotFound)
		return kStoreUnavailable;
	return st->ops->now_ms(st->ctx, &job->accepted_ms) ? kStoreOk
							   : kStoreUnavailable;
}

/* The store may be in another region and the acknowledgement is due within a
 * few hundred ms: one call if the items fit in a row, two otherwise. */
enum store_result
itemjob_submit(const struct store *st, struct itemjob *job,
    const GPtrArray *items, const char *token, const char *owner, bool *is_new)
{
	enum store_result res = set_accepted_time(st, job);
	char *text;

	*is_new = false;
	if (res != kStoreOk)
		return res;
	text = itemjob_items_to_text(items);
	g_free(job->input);
	job->input = g_strdup_printf("input/%s/%s", job->id, token);
	job->is_inline = strlen(text) <= kItemjobTextRowBytes;
	job->total = (int32_t)items->len;
	if (job->is_inline)
		res = submit_rows(st, job, text, owner, is_new);
	else
		res = submit_with_object(st, job, items, text, owner, is_new);
	free(text);
	return res;
}

static enum store_result
decode_items(
    const struct itemjob *job, const char *text, size_t len, GPtrArray **items)
{
	GPtrArray *list = itemjob_items_from_text(text, len);

	if (list == NULL || (int32_t)list->len != job->total) {
		if (list != NULL)
			g_ptr_array_unref(list);
		return kStoreUnreadable;
	}
	*items = list;
	return kStoreOk;
}

static enum store_result
load_items_row(
    const struct store *st, const struct itemjob *job, GPtrArray **items)
{
	char *key = itemjob_list_key("input", job->id);
	struct store_row row = {0};
	enum store_result res = st->ops->get(st->ctx, kCauseBatch, key, &row);

	if (res == kStoreOk)
		res = decode_items(job, row.value, strlen(row.value), items);
	store_row_clear(&row);
	g_free(key);
	return res;
}

static enum store_result
load_items_object(
    const struct store *st, const struct itemjob *job, GPtrArray **items)
{
	GBytes *data = NULL;
	enum store_result res =
	    st->ops->get_object(st->ctx, kCauseBatch, job->input, &data);
	const char *text;
	gsize len;

	if (res != kStoreOk)
		return res;
	text = g_bytes_get_data(data, &len);
	res = decode_items(job, text, len, items);
	g_bytes_unref(data);
	return res;
}

enum store_result
itemjob_load_ids(
    const struct store *st, const struct itemjob *job, GPtrArray **items)
{
	char *key = itemjob_list_key("input", job->id);
	struct store_row row = {0};
	enum store_result res = st->ops->get(st->ctx, kCauseBatch, key, &row);
	GPtrArray *list;

	g_free(key);
	if (res != kStoreOk)
		return res;
	list = itemjob_items_from_ids(row.value);
	store_row_clear(&row);
	if ((int32_t)list->len == job->total) {
		*items = list;
		return kStoreOk;
	}
	g_ptr_array_unref(list);
	return kStoreUnreadable;
}

int64_t
itemjob_age_us(const struct store *st, const struct itemjob *job)
{
	int64_t now_ms;

	if (job->accepted_ms < 0 || !st->ops->now_ms(st->ctx, &now_ms))
		return 0;
	return MAX(now_ms - job->accepted_ms, 0) * kUsPerMs;
}

enum store_result
itemjob_load_items(
    const struct store *st, const struct itemjob *job, GPtrArray **items)
{
	return job->is_inline ? load_items_row(st, job, items)
			      : load_items_object(st, job, items);
}

/* Joins the parts of a text that did not fit in its row. */
static enum store_result
read_parts(const struct store *st, const char *id,
    struct itemjob_result *result, int64_t parts)
{
	char *prefix = g_strdup_printf("text/%s/%06d-", id, result->position);
	GPtrArray *rows = NULL;
	GString *text = g_string_new(NULL);
	enum store_result res = store_scan_all(st, kCauseBatch, prefix, &rows);
	int64_t joined = 0;

	for (guint i = 0; res == kStoreOk && i < rows->len; i++) {
		const struct store_row *row = rows->pdata[i];
		char *key = g_strdup_printf("%s%02d", prefix, (int)joined);

		if (strcmp(row->key, key) == 0) {
			g_string_append(text, row->value);
			joined++;
		} else {
			itemjob_report_foreign(row);
		}
		g_free(key);
	}
	if (res == kStoreOk && joined != parts)
		res = kStoreUnreadable;
	result->text = g_string_free(text, FALSE);
	if (rows != NULL)
		g_ptr_array_unref(rows);
	g_free(prefix);
	return res;
}

/* A row without a text has lost its item's output: earlier versions stored it
 * for output that was not UTF-8. The item has its position, so that it cannot
 * run again. */
static void
set_text(struct itemjob_result *result, const char *text)
{
	result->has_lost_text = text == NULL;
	result->is_completed = result->is_completed && text != NULL;
	result->text = g_strdup(text != NULL ? text : "");
}

static enum store_result
add_result(const struct store *st, const char *id, const struct store_row *row,
    GPtrArray *results)
{
	json_t *doc = json_text_load(row->value);
	int64_t parts = json_integer_value(json_object_get(doc, "parts"));
	enum store_result res = kStoreOk;
	struct itemjob_result *result;

	if (text_field(doc, "item") == NULL) {
		json_decref(doc);
		return kStoreUnreadable;
	}
	result = g_new0(struct itemjob_result, 1);
	result->position = itemjob_number_of_key(row->key);
	result->item_id = g_strdup(text_field(doc, "item"));
	result->is_completed = json_is_true(json_object_get(doc, "completed"));
	if (parts > 0)
		res = read_parts(st, id, result, parts);
	else
		set_text(result, text_field(doc, "text"));
	g_ptr_array_add(results, result);
	json_decref(doc);
	return res;
}

/* Positions are counted from the first result of a page, so that it ends before
 * a row that cannot be read. */
static enum store_result
add_results(const struct store *st, const char *id, const GPtrArray *rows,
    GPtrArray *results)
{
	for (guint i = 0; i < rows->len; i++) {
		const struct store_row *row = rows->pdata[i];
		guint before = results->len;
		enum store_result res;

		if (itemjob_number_of_key(row->key) < 0) {
			itemjob_report_foreign(row);
			continue;
		}
		res = add_result(st, id, row, results);
		if (res == kStoreOk)
			continue;
		g_ptr_array_set_size(results, (gint)before);
		return res == kStoreUnreadable && before > 0 ? kStoreOk : res;
	}
	return kStoreOk;
}

/* A page may have rows of other writers only. */
static enum store_result
read_page(const struct store *st, const char *id, char **after,
    GPtrArray *results, bool *has_more)
{
	char *prefix = itemjob_key("result", id, "");
	GPtrArray *rows = NULL;
	enum store_result res = st->ops->scan(st->ctx, kCauseBatch, prefix,
	    *after, kItemjobResultsMax, &rows, has_more);

	g_free(prefix);
	if (res != kStoreOk)
		return res;
	res = add_results(st, id, rows, results);
	if (rows->len > 0) {
		const struct store_row *last = rows->pdata[rows->len - 1];

		g_free(*after);
		*after = g_strdup(last->key);
	} else {
		*has_more = false;
	}
	g_ptr_array_unref(rows);
	return res;
}

enum store_result
itemjob_read_results(
    const struct store *st, const char *id, int32_t from, GPtrArray **results)
{
	char *after =
	    from > 0 ? itemjob_key_number("result", id, from - 1) : NULL;
	GPtrArray *list = itemjob_results_new();
	enum store_result res;
	bool has_more;

	do {
		has_more = false;
		res = read_page(st, id, &after, list, &has_more);
	} while (res == kStoreOk && has_more && list->len == 0);
	if (res == kStoreOk)
		*results = list;
	else
		g_ptr_array_unref(list);
	g_free(after);
	return res;
}

enum store_result
itemjob_read_done(const struct store *st, const char *id, GArray **done)
{
	char *prefix = itemjob_key("item", id, "");
	GPtrArray *rows = NULL;
	enum store_result res = store_scan_all(st, kCauseBatch, prefix, &rows);

	if (res == kStoreOk) {
		*done = g_array_new(FALSE, TRUE, sizeof(struct itemjob_done));
		for (guint i = 0; i < rows->len; i++) {
			const struct store_row *row = rows->pdata[i];
			struct itemjob_done d = {
			    itemjob_number_of_key(row->key),
			    (int32_t)strtol(row->value, NULL, 10)};

			if (d.index >= 0)
				g_array_append_val(*done, d);
			else
				itemjob_report_foreign(row);
		}
		g_ptr_array_unref(rows);
	}
	g_free(prefix);
	return res;
}

struct commit_item {
	const char *id;
	int32_t index;
};

/* The item has a result, from this commit or another one. */
static enum commit_owner
item_has_result(const struct store *st, void *ctx)
{
	const struct commit_item *ci = ctx;
	char *key = itemjob_key_number("item", ci->id, ci->index);
	struct store_row row = {0};
	enum store_result res = st->ops->get(st->ctx, kCauseBatch, key, &row);

	store_row_clear(&row);
	g_free(key);
	return commit_owner_of(res, true);
}

/* Bytes that fit in one row without splitting a UTF-8 character. */
static size_t
part_len(const char *text, size_t len)
{
	size_t n = MIN(len, kItemjobTextRowBytes);

	while (n < len && n > 1 && ((unsigned char)text[n] & 0xc0) == 0x80)
		n--;
	return n;
}

/* @return the number of rows */
static int
write_parts(
    struct store_txn *txn, const char *id, const struct itemjob_result *result)
{
	size_t len = strlen(result->text);
	int parts = 0;

	for (size_t at = 0; at < len;) {
		size_t n = part_len(result->text + at, len - at);
		char *key = g_strdup_printf(
		    "text/%s/%06d-%02d", id, result->position, parts++);
		char *part = g_strndup(result->text + at, n);

		at += n;

		store_txn_write(txn, key, part);
		g_free(part);
		g_free(key);
	}
	return parts;
}

/* @param parts number of rows with the text; 0: it is part of this one */
static char *
result_to_text(const struct itemjob_result *result, int parts)
{
	json_t *doc = json_pack("{s:o,s:b}", "item", json_text(result->item_id),
	    "completed", (int)result->is_completed);
	char *text;

	if (parts > 0)
		json_object_set_new(doc, "parts", json_integer(parts));
	else
		json_object_set_new(doc, "text", json_text(result->text));
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	return text;
}

/* Escapes may make a text longer than its row may be. */
static char *
write_text(
    struct store_txn *txn, const char *id, const struct itemjob_result *result)
{
	if (strlen(result->text) <= kItemjobTextRowBytes) {
		char *text = result_to_text(result, 0);

		if (strlen(text) <= kItemjobRowBytes)
			return text;
		free(text);
	}
	return result_to_text(result, write_parts(txn, id, result));
}

enum store_result
itemjob_commit(const struct store *st, const char *id, int32_t index,
    const struct itemjob_result *result)
{
	struct commit_item ci = {id, index};
	struct store_txn *txn = store_txn_new();
	char *result_key = itemjob_key_number("result", id, result->position);
	char *item_key = itemjob_key_number("item", id, index);
	char *position = g_strdup_printf("%d", result->position);
	char *text = write_text(txn, id, result);
	enum store_result res;

	store_txn_absent(txn, result_key);
	store_txn_absent(txn, item_key);
	store_txn_write(txn, result_key, text);
	store_txn_write(txn, item_key, position);
	res = store_commit(st, kCauseBatch, txn, item_has_result, &ci);
	free(text);
	g_free(position);
	g_free(item_key);
	g_free(result_key);
	store_txn_free(txn);
	return res;
}

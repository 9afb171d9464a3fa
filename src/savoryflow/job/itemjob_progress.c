/* Progress of unfinished items, for the daemon that takes a job over. */
#include <stdlib.h>
#include <string.h>

#include "os/json_text.h"
#include "savoryflow/job/itemjob_rows.h"
#include "savoryflow/job/itemjob_store.h"
#include "store/scan.h"

enum {
	/* Maximum rows, and bytes of their values, of one transaction. */
	kTxnRowsMax = 50,
	kTxnBytesMax = 600000,
};

/* Value of a row; without a text, it tells only the failures. */
static char *
progress_to_text(const struct itemjob_progress *progress, bool has_text)
{
	json_t *doc = json_pack("{s:I,s:i}", "last",
	    (json_int_t)(has_text ? progress->last_event_id : -1), "failures",
	    progress->failures);
	char *text;

	if (has_text)
		json_object_set_new(doc, "text", json_text(progress->text));
	text = json_dumps(doc, JSON_COMPACT);
	json_decref(doc);
	return text;
}

/* @return value of an item's row, or NULL if it has nothing to tell */
static char *
row_text(const struct itemjob_progress *progress)
{
	char *text;

	if (progress->last_event_id >= 0 &&
	    strlen(progress->text) <= kItemjobTextRowBytes) {
		text = progress_to_text(progress, true);
		if (strlen(text) <= kItemjobRowBytes)
			return text;
		free(text);
	}
	return progress->failures > 0 ? progress_to_text(progress, false)
				      : NULL;
}

/* Writes the rows of a transaction and empties it. */
static enum store_result
flush(const struct store *st, struct store_txn **txn)
{
	enum store_result res = kStoreOk;

	if ((*txn)->writes->len > 0)
		res = st->ops->txn(st->ctx, kCauseBatch, *txn);
	store_txn_free(*txn);
	*txn = store_txn_new();
	return res;
}

enum store_result
itemjob_save_progress(
    const struct store *st, const char *id, const GArray *progress)
{
	struct store_txn *txn = store_txn_new();
	enum store_result res = kStoreOk;
	size_t bytes = 0;

	for (guint i = 0; i < progress->len && res == kStoreOk; i++) {
		const struct itemjob_progress *one =
		    &g_array_index(progress, struct itemjob_progress, i);
		char *text = row_text(one);
		char *key;

		if (text == NULL)
			continue;
		bytes += strlen(text);
		if (bytes > kTxnBytesMax || txn->writes->len >= kTxnRowsMax) {
			res = flush(st, &txn);
			bytes = strlen(text);
		}
		key = itemjob_key_number("progress", id, one->index);
		store_txn_write(txn, key, text);
		g_free(key);
		free(text);
	}
	if (res == kStoreOk)
		res = flush(st, &txn);
	store_txn_free(txn);
	return res;
}

static void
append_progress(GArray *list, int32_t index, const json_t *doc)
{
	const char *text = json_string_value(json_object_get(doc, "text"));
	struct itemjob_progress one = {
	    .index = index,
	    .last_event_id = text != NULL
		? json_integer_value(json_object_get(doc, "last"))
		: -1,
	    .failures =
		(int32_t)json_integer_value(json_object_get(doc, "failures")),
	    .text = g_strdup(text != NULL ? text : ""),
	};

	g_array_append_val(list, one);
}

enum store_result
itemjob_read_progress(const struct store *st, const char *id, GArray **progress)
{
	char *prefix = itemjob_key("progress", id, "");
	GPtrArray *rows = NULL;
	enum store_result res = store_scan_all(st, kCauseBatch, prefix, &rows);

	*progress = itemjob_progress_new();
	for (guint i = 0; res == kStoreOk && i < rows->len; i++) {
		const struct store_row *row = rows->pdata[i];
		int32_t index = itemjob_number_of_key(row->key);
		json_t *doc = index >= 0 ? json_text_load(row->value) : NULL;

		if (index < 0)
			itemjob_report_foreign(row);
		if (doc != NULL)
			append_progress(*progress, index, doc);
		json_decref(doc);
	}
	if (rows != NULL)
		g_ptr_array_unref(rows);
	g_free(prefix);
	return res;
}

/* Progress of unfinished items, for the daemon that takes a job over. */
#include <stdlib.h>
#include <string.h>

#include "os/json_text.h"
#include "savoryflow/job/itemjob_rows.h"
#include "savoryflow/job/itemjob_store.h"
#include "store/scan.h"

enum {
	/* Maximum rows per transaction; the store's limit is higher. */
	kTxnRowsMax = 20,
};

static bool
is_text_stored(const struct itemjob_progress *progress)
{
	return progress->last_event_id >= 0 &&
	    strlen(progress->text) <= kItemjobTextRowBytes;
}

static void
write_progress(struct store_txn *txn, const char *id,
    const struct itemjob_progress *progress)
{
	char *key = itemjob_key_number("progress", id, progress->index);
	bool has_text = is_text_stored(progress);
	/* A row without a text tells only the failures. */
	json_t *doc = json_pack("{s:I,s:i}", "last",
	    (json_int_t)(has_text ? progress->last_event_id : -1), "failures",
	    progress->failures);
	char *text;

	if (has_text)
		json_object_set_new(doc, "text", json_text(progress->text));
	text = json_dumps(doc, JSON_COMPACT);
	store_txn_write(txn, key, text);
	free(text);
	json_decref(doc);
	g_free(key);
}

enum store_result
itemjob_save_progress(
    const struct store *st, const char *id, const GArray *progress)
{
	struct store_txn *txn = store_txn_new();
	enum store_result res = kStoreOk;

	for (guint i = 0; i < progress->len; i++) {
		const struct itemjob_progress *one =
		    &g_array_index(progress, struct itemjob_progress, i);

		if ((is_text_stored(one) || one->failures > 0) &&
		    txn->writes->len < kTxnRowsMax)
			write_progress(txn, id, one);
	}
	if (txn->writes->len > 0)
		res = st->ops->txn(st->ctx, kCauseBatch, txn);
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
		json_t *doc = json_loads(row->value, 0, NULL);

		if (doc != NULL)
			append_progress(
			    *progress, itemjob_number_of_key(row->key), doc);
		json_decref(doc);
	}
	if (rows != NULL)
		g_ptr_array_unref(rows);
	g_free(prefix);
	return res;
}

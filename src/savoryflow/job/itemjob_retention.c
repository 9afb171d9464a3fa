/* Removal of jobs after their retention time. */
#include <jansson.h>
#include <string.h>

#include "os/json_text.h"
#include "savoryflow/job/itemjob_rows.h"
#include "savoryflow/job/itemjob_store.h"

enum {
	kRowsPerScan = 500,
	/* Rows removed by one transaction. */
	kRowsPerRemoval = 50,
	/* Jobs removed in one round; the rest waits for the next round. */
	kJobsPerRound = 200,
};

static bool
is_open(const struct store *st, const char *id, enum store_result *res)
{
	char *key = itemjob_list_key("open", id);
	struct store_row row = {0};

	*res = st->ops->get(st->ctx, kCauseBatch, key, &row);
	store_row_clear(&row);
	g_free(key);
	return *res == kStoreOk;
}

/* Adds the row's job if it is finished and was submitted before `before_ms`; a
 * job whose time of submission is unknown stays. */
static enum store_result
add_if_expired(const struct store *st, const struct store_row *row,
    int64_t before_ms, GPtrArray *ids)
{
	json_t *doc = json_text_load(row->value);
	const json_t *accepted = json_object_get(doc, "accepted_ms");
	const char *id = strrchr(row->key, '/') + 1;
	enum store_result res = kStoreOk;

	if (json_is_integer(accepted) && json_integer_value(accepted) >= 0 &&
	    json_integer_value(accepted) < before_ms && !is_open(st, id, &res))
		g_ptr_array_add(ids, g_strdup(id));
	json_decref(doc);
	return res == kStoreNotFound ? kStoreOk : res;
}

enum store_result
itemjob_read_expired(const struct store *st, int64_t before_ms, GPtrArray **ids)
{
	char *prefix = itemjob_list_key("job", "");
	GPtrArray *rows = NULL;
	char *after = NULL;
	enum store_result res;
	bool has_more;

	*ids = g_ptr_array_new_with_free_func(g_free);
	do {
		res = st->ops->scan(st->ctx, kCauseBatch, prefix, after,
		    kRowsPerScan, &rows, &has_more);
		if (res != kStoreOk)
			break;
		for (guint i = 0; i < rows->len && res == kStoreOk &&
		     (*ids)->len < kJobsPerRound;
		     i++) {
			const struct store_row *row = rows->pdata[i];

			res = add_if_expired(st, row, before_ms, *ids);
			g_free(after);
			after = g_strdup(row->key);
		}
		has_more = has_more && rows->len > 0 &&
		    (*ids)->len < kJobsPerRound && res == kStoreOk;
		g_ptr_array_unref(rows);
	} while (has_more);
	g_free(after);
	g_free(prefix);
	return res;
}

static enum store_result
remove_rows(const struct store *st, const char *table, const char *id)
{
	char *prefix = g_strdup_printf("%s/%s/", table, id);
	GPtrArray *rows = NULL;
	enum store_result res;
	bool has_more = false;
	guint found;

	do {
		struct store_txn *txn = store_txn_new();

		res = st->ops->scan(st->ctx, kCauseBatch, prefix, NULL,
		    kRowsPerRemoval, &rows, &has_more);
		found = res == kStoreOk ? rows->len : 0;
		for (guint i = 0; i < found; i++)
			store_txn_write(txn,
			    ((struct store_row *)rows->pdata[i])->key, NULL);
		if (found > 0)
			res = st->ops->txn(st->ctx, kCauseBatch, txn);
		if (rows != NULL)
			g_ptr_array_unref(rows);
		rows = NULL;
		store_txn_free(txn);
	} while (res == kStoreOk && found > 0 && has_more);
	g_free(prefix);
	return res;
}

static enum store_result
remove_job_row(const struct store *st, const char *id)
{
	struct store_txn *txn = store_txn_new();
	char *input_key = itemjob_list_key("input", id);
	char *job_key = itemjob_list_key("job", id);
	enum store_result res;

	store_txn_write(txn, input_key, NULL);
	store_txn_write(txn, job_key, NULL);
	res = st->ops->txn(st->ctx, kCauseBatch, txn);
	g_free(job_key);
	g_free(input_key);
	store_txn_free(txn);
	return res;
}

enum store_result
itemjob_remove(const struct store *st, const char *id)
{
	static const char *const tables[] = {
	    "result", "text", "item", "progress"};
	struct itemjob *job = NULL;
	enum store_result res = itemjob_get(st, id, &job);

	for (size_t i = 0; i < G_N_ELEMENTS(tables) && res == kStoreOk; i++)
		res = remove_rows(st, tables[i], id);
	if (res == kStoreOk && !job->is_inline)
		res = st->ops->delete_object(st->ctx, kCauseBatch, job->input);
	if (res == kStoreOk)
		res = remove_job_row(st, id);
	itemjob_free(job);
	return res;
}

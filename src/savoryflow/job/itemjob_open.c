/* Rows of unfinished jobs: their owner, and how they end. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "os/json_text.h"
#include "savoryflow/job/itemjob_rows.h"
#include "savoryflow/job/itemjob_store.h"
#include "store/change.h"
#include "store/commit.h"
#include "store/scan.h"

enum { kEndAttemptsMax = 4 };

static struct itemjob_open *
open_from_row(const struct store_row *row)
{
	struct itemjob_open *open = g_new0(struct itemjob_open, 1);
	json_t *doc = json_text_load(row->value);
	const char *owner = json_string_value(json_object_get(doc, "owner"));

	open->id = g_strdup(strrchr(row->key, '/') + 1);
	/* Without an owner, the job is claimed like one of a lost daemon. */
	open->owner = g_strdup(owner != NULL ? owner : "");
	open->is_ended = json_is_true(json_object_get(doc, "ended"));
	open->version = row->version;
	open->quota_route =
	    g_strdup(json_string_value(json_object_get(doc, "quota")));
	open->quota_tokens = json_integer_value(json_object_get(doc, "tokens"));
	json_decref(doc);
	return open;
}

enum store_result
itemjob_read_open(const struct store *st, GPtrArray **list)
{
	char *prefix = itemjob_list_key("open", "");
	GPtrArray *rows = NULL;
	enum store_result res = store_scan_all(st, kCauseBatch, prefix, &rows);

	g_free(prefix);
	if (res != kStoreOk)
		return res;
	*list = g_ptr_array_new_with_free_func(itemjob_open_free);
	for (guint i = 0; i < rows->len; i++)
		g_ptr_array_add(*list, open_from_row(rows->pdata[i]));
	g_ptr_array_unref(rows);
	return kStoreOk;
}

static enum store_result
write_open(const struct store *st, const struct itemjob_open *open,
    const char *owner, bool is_ended)
{
	struct store_txn *txn = store_txn_new();
	char *key = itemjob_list_key("open", open->id);
	struct itemjob_open row = *open;
	char *text;
	enum store_result res;

	row.owner = (char *)owner;
	row.is_ended = is_ended;
	text = itemjob_open_text(&row);
	store_txn_version(txn, key, open->version);
	store_txn_write(txn, key, text);
	res = st->ops->txn(st->ctx, kCauseBatch, txn);
	free(text);
	g_free(key);
	store_txn_free(txn);
	return res;
}

enum store_result
itemjob_claim(
    const struct store *st, const struct itemjob_open *open, const char *owner)
{
	return write_open(st, open, owner, open->is_ended);
}

static enum store_result
read_open_row(
    const struct store *st, const char *id, struct itemjob_open **open)
{
	char *key = itemjob_list_key("open", id);
	struct store_row row = {0};
	enum store_result res = st->ops->get(st->ctx, kCauseBatch, key, &row);

	if (res == kStoreOk)
		*open = open_from_row(&row);
	store_row_clear(&row);
	g_free(key);
	return res;
}

enum store_result
itemjob_end(const struct store *st, const char *id, char **owner)
{
	enum store_result res = kStoreAmbiguous;
	struct store_change change = {false};

	*owner = NULL;

	/* Another daemon may claim the job in between; if an answer was lost,
	 * the next read shows the outcome. */
	for (int i = 0; i < kEndAttemptsMax; i++) {
		struct itemjob_open *open = NULL;
		struct itemjob *job = NULL;

		res = read_open_row(st, id, &open);
		if (res == kStoreNotFound) {
			res = itemjob_get(st, id, &job);
			itemjob_free(job);
			return res;
		}
		if (res == kStoreOk && !open->is_ended)
			res = write_open(st, open, open->owner, true);
		g_free(*owner);
		*owner = open != NULL ? g_strdup(open->owner) : NULL;
		itemjob_open_free(open);
		if (res == kStoreOk || res == kStoreUnavailable)
			return store_change_result(&change, res);
		store_change_add(&change, res);
	}
	return kStoreAmbiguous;
}

static enum store_result
read_fence(
    const struct store *st, const char *key, char **owner, int64_t *version)
{
	struct store_row row = {0};
	enum store_result res = st->ops->get(st->ctx, kCauseBatch, key, &row);
	json_t *doc;

	*owner = NULL;
	*version = 0;
	if (res != kStoreOk)
		return res == kStoreNotFound ? kStoreOk : res;
	doc = json_text_load(row.value);
	*owner = g_strdup(json_string_value(json_object_get(doc, "owner")));
	*version = row.version;
	json_decref(doc);
	store_row_clear(&row);
	return kStoreOk;
}

static enum store_result
write_fence(
    const struct store *st, const char *key, const char *owner, int64_t version)
{
	struct store_txn *txn = store_txn_new();
	json_t *doc = json_pack("{s:s}", "owner", owner);
	char *text = json_dumps(doc, JSON_COMPACT);
	enum store_result res;

	if (version == 0)
		store_txn_absent(txn, key);
	else
		store_txn_version(txn, key, version);
	store_txn_write(txn, key, text);
	res = st->ops->txn(st->ctx, kCauseBatch, txn);
	free(text);
	json_decref(doc);
	store_txn_free(txn);
	return res;
}

enum store_result
itemjob_take_quota_fence(const struct store *st, const char *route,
    const char *owner, int64_t *fence)
{
	char *key = itemjob_list_key("quota", route);
	char *holder = NULL;
	enum store_result res = read_fence(st, key, &holder, fence);

	if (res == kStoreOk)
		res = write_fence(st, key, owner, *fence);
	g_free(holder);
	holder = NULL;
	/* Also after a lost answer or a conflict: the row tells who has it. */
	if (res != kStoreUnavailable)
		res = read_fence(st, key, &holder, fence);
	if (res == kStoreOk && g_strcmp0(holder, owner) != 0)
		res = kStoreConflict;
	g_free(holder);
	g_free(key);
	return res;
}

enum store_result
itemjob_close(const struct store *st, const char *id)
{
	struct store_txn *txn = store_txn_new();
	char *key = itemjob_list_key("open", id);
	enum store_result res;

	store_txn_write(txn, key, NULL);
	res = st->ops->txn(st->ctx, kCauseBatch, txn);
	g_free(key);
	store_txn_free(txn);
	return res;
}

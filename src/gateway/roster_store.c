/* Rows of daemons in the store. */
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "gateway/roster.h"
#include "os/clock.h"
#include "os/json_text.h"
#include "os/text_copy.h"
#include "store/scan.h"

enum {
	/* More than a VM has. */
	kCpuMillicoresMax = 1000000,
};

static char *
row_key(const char *address)
{
	return g_strconcat("daemon/-/", address, NULL);
}

enum store_result
roster_store_heartbeat(
    const struct store *st, const struct roster_row *self, int64_t sequence)
{
	struct store_txn *txn = store_txn_new();
	char *key = row_key(self->address);
	json_t *doc = json_pack("{s:s,s:s,s:s,s:s,s:i,s:I,s:I}", "front",
	    self->front, "region", self->region, "data_center",
	    self->data_center, "session", self->session, "cpu",
	    (int)self->cpu_millicores, "beat", (json_int_t)sequence,
	    "period_us", (json_int_t)self->period_us);
	char *text = json_dumps(doc, JSON_COMPACT);
	enum store_result res;

	store_txn_write(txn, key, text);
	res = st->ops->txn(st->ctx, kCauseSession, txn);
	free(text);
	json_decref(doc);
	g_free(key);
	store_txn_free(txn);
	return res;
}

enum store_result
roster_store_leave(const struct store *st, const struct roster_row *self)
{
	struct store_txn *txn = store_txn_new();
	char *key = row_key(self->address);
	enum store_result res;

	store_txn_write(txn, key, NULL);
	res = st->ops->txn(st->ctx, kCauseSession, txn);
	g_free(key);
	store_txn_free(txn);
	return res;
}

enum store_result
roster_store_remove(
    const struct store *st, const char *address, int64_t version)
{
	struct store_txn *txn = store_txn_new();
	char *key = row_key(address);
	enum store_result res;

	store_txn_version(txn, key, version);
	store_txn_write(txn, key, NULL);
	res = st->ops->txn(st->ctx, kCauseSession, txn);
	g_free(key);
	store_txn_free(txn);
	return res;
}

static void
add_row(GArray *rows, const struct store_row *stored)
{
	json_t *doc = json_text_load(stored->value);
	const char *session =
	    json_string_value(json_object_get(doc, "session"));
	const char *front = json_string_value(json_object_get(doc, "front"));
	const char *region = json_string_value(json_object_get(doc, "region"));
	const char *dc = json_string_value(json_object_get(doc, "data_center"));
	struct roster_row row = {
	    .version = stored->version,
	    .period_us =
		CLAMP(json_integer_value(json_object_get(doc, "period_us")), 0,
		    kRosterHeartbeatMaxUs),
	    .cpu_millicores =
		(int32_t)CLAMP(json_integer_value(json_object_get(doc, "cpu")),
		    0, kCpuMillicoresMax),
	};

	if (text_copy(row.address, sizeof(row.address),
		strrchr(stored->key, '/') + 1) &&
	    text_copy(
		row.front, sizeof(row.front), front != NULL ? front : "") &&
	    text_copy(row.session, sizeof(row.session), session) &&
	    text_copy(row.region, sizeof(row.region), region) &&
	    text_copy(row.data_center, sizeof(row.data_center), dc))
		g_array_append_val(rows, row);
	else
		store_report_row(
		    "daemons", stored->key, "a field is missing or too long");
	json_decref(doc);
}

enum store_result
roster_store_read(const struct store *st, GArray **rows)
{
	GPtrArray *list = NULL;
	enum store_result res =
	    store_scan_all(st, kCauseSession, "daemon/-/", &list);

	if (res != kStoreOk)
		return res;
	*rows = g_array_new(FALSE, TRUE, sizeof(struct roster_row));
	for (guint i = 0; i < list->len; i++)
		add_row(*rows, list->pdata[i]);
	g_ptr_array_unref(list);
	return kStoreOk;
}

/* Intents of at-most-once calls, kept in the table service. */
#include "savoryflow/call/intent_store.h"

#include <jansson.h>
#include <string.h>

#include "os/json_text.h"
#include "store/commit.h"

/* Times that another attempt may change the row meanwhile. */
enum { kRaceAttemptsMax = 3 };

void
intent_clear(struct intent *in)
{
	g_clear_pointer(&in->team, g_free);
	g_clear_pointer(&in->key, g_free);
	g_clear_pointer(&in->digest, g_free);
	g_clear_pointer(&in->attempt, g_free);
	g_clear_pointer(&in->daemon, g_free);
	g_clear_pointer(&in->content_type, g_free);
	g_clear_pointer(&in->body, g_free);
	g_clear_pointer(&in->holder, g_free);
}

/* The key is hashed because it is arbitrary text from the caller. */
static char *
row_key(const struct intent *in)
{
	char *sum =
	    g_compute_checksum_for_string(G_CHECKSUM_SHA256, in->key, -1);
	char *key = g_strdup_printf("intent/%s/%s", in->team, sum);

	g_free(sum);
	return key;
}

/* @param owner name of the field with the attempt */
static char *
row_text(const struct intent *in, const char *state, const char *owner)
{
	json_t *doc = json_pack("{s:s,s:s,s:s,s:s}", "state", state, owner,
	    in->attempt, "digest", in->digest, "daemon", in->daemon);
	char *text = json_dumps(doc, JSON_COMPACT);

	json_decref(doc);
	return text;
}

static void
add_begin(struct store_txn *txn, const struct intent *in)
{
	char *key = row_key(in);
	char *text = row_text(in, "started", "attempt");

	if (in->state == kIntentWithdrawn)
		store_txn_version(txn, key, in->row_version);
	else
		store_txn_absent(txn, key);
	store_txn_write(txn, key, text);
	g_free(key);
	free(text);
}

static const char *
text_field(const json_t *doc, const char *field)
{
	return json_string_value(json_object_get(doc, field));
}

/* Sets the state of a resent key from its existing row. */
static void
state_from_row(struct intent *in, const json_t *doc)
{
	/* An earlier read may have set these. */
	g_clear_pointer(&in->holder, g_free);
	g_clear_pointer(&in->content_type, g_free);
	g_clear_pointer(&in->body, g_free);
	if (g_strcmp0(text_field(doc, "state"), "withdrawn") == 0) {
		in->state = kIntentWithdrawn;
		return;
	}
	if (g_strcmp0(text_field(doc, "attempt"), in->attempt) == 0) {
		in->state = kIntentAcquired;
		return;
	}
	if (g_strcmp0(text_field(doc, "digest"), in->digest) != 0) {
		in->state = kIntentMismatch;
		return;
	}
	if (g_strcmp0(text_field(doc, "state"), "unknown") == 0) {
		in->state = kIntentUnknown;
		return;
	}
	if (g_strcmp0(text_field(doc, "state"), "done") != 0) {
		in->state = kIntentInProgress;
		in->holder = g_strdup(text_field(doc, "daemon"));
		return;
	}
	in->state = kIntentDone;
	in->status =
	    (int32_t)json_integer_value(json_object_get(doc, "status"));
	in->content_type = g_strdup(text_field(doc, "content_type"));
	in->body = g_strdup(text_field(doc, "body"));
}

static void
read_back(const struct store *store, struct intent *in)
{
	char *key = row_key(in);
	struct store_row row = {0};
	enum store_result res =
	    store->ops->get(store->ctx, kCauseIntent, key, &row);

	in->state = kIntentStoreDown;
	if (res == kStoreOk) {
		json_t *doc = json_text_load(row.value);

		state_from_row(in, doc);
		in->row_version = row.version;
		json_decref(doc);
		store_row_clear(&row);
	}
	g_free(key);
}

static enum commit_owner
is_own_begin(const struct store *store, void *ctx)
{
	struct intent *in = ctx;

	read_back(store, in);
	return commit_owner_of(
	    in->state == kIntentStoreDown ? kStoreUnavailable : kStoreOk,
	    in->state == kIntentAcquired);
}

/* After a conflict, is_own_begin has read the state. */
static enum store_result
commit_begin(const struct store *store, struct intent *in)
{
	struct store_txn *txn = store_txn_new();
	enum store_result res;

	add_begin(txn, in);
	res = store_commit(store, kCauseIntent, txn, is_own_begin, in);
	store_txn_free(txn);
	return res;
}

static void
begin_one(const struct store *store, struct intent *in)
{
	for (int i = 0; i < kRaceAttemptsMax; i++) {
		enum store_result res = commit_begin(store, in);

		if (res == kStoreOk) {
			in->state = kIntentAcquired;
			return;
		}
		if (res != kStoreConflict)
			break;
		if (in->state != kIntentWithdrawn)
			return;
	}
	in->state = kIntentStoreDown;
}

void
intent_begin_all(const struct store *store, GPtrArray *intents)
{
	struct store_txn *txn = store_txn_new();
	enum store_result res = kStoreConflict;

	for (guint i = 0; i < intents->len; i++) {
		struct intent *in = intents->pdata[i];

		in->state = kIntentStoreDown;
		add_begin(txn, in);
	}
	if (intents->len > 1)
		res = store->ops->txn(store->ctx, kCauseIntent, txn);
	store_txn_free(txn);
	for (guint i = 0; i < intents->len; i++) {
		struct intent *in = intents->pdata[i];

		if (res == kStoreOk)
			in->state = kIntentAcquired;
		else if (res == kStoreUnavailable)
			in->state = kIntentStoreDown;
		else
			begin_one(store, in);
	}
}

static char *
done_text(const struct intent *in)
{
	json_t *doc = json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:s}", "state",
	    in->is_outcome_unknown ? "unknown" : "done", "attempt", in->attempt,
	    "digest", in->digest, "daemon", in->daemon, "status", in->status,
	    "content_type", in->content_type != NULL ? in->content_type : "",
	    "body", in->body != NULL ? in->body : "");
	char *text = doc != NULL ? json_dumps(doc, JSON_COMPACT) : NULL;

	json_decref(doc);
	return text;
}

enum store_result
intent_finish(const struct store *store, const struct intent *in)
{
	struct store_txn *txn = store_txn_new();
	char *key = row_key(in);
	char *text = done_text(in);
	enum store_result res = kStoreConflict;

	if (text != NULL) {
		store_txn_field(txn, key, "attempt", in->attempt);
		store_txn_write(txn, key, text);
		res = store->ops->txn(store->ctx, kCauseIntent, txn);
	}
	store_txn_free(txn);
	g_free(key);
	free(text);
	return res;
}

/* @param txn holds the condition; is freed */
static enum store_result
write_withdrawn(
    const struct store *store, const struct intent *in, struct store_txn *txn)
{
	char *key = row_key(in);
	char *text = row_text(in, "withdrawn", "withdrawn_by");
	enum store_result res;

	store_txn_write(txn, key, text);
	res = store->ops->txn(store->ctx, kCauseIntent, txn);
	store_txn_free(txn);
	g_free(key);
	free(text);
	return res;
}

static enum store_result
withdraw_begun(const struct store *store, const struct intent *in)
{
	struct store_txn *txn = store_txn_new();
	char *key = row_key(in);

	store_txn_field(txn, key, "attempt", in->attempt);
	g_free(key);
	return write_withdrawn(store, in, txn);
}

/* A late begin of this attempt fails at a row that another attempt began, or
 * that this one withdrew. */
static bool
is_final(const struct intent *in, const struct store_row *row)
{
	json_t *doc = json_text_load(row->value);
	bool is_withdrawn =
	    g_strcmp0(text_field(doc, "state"), "withdrawn") == 0;
	bool is_own =
	    g_strcmp0(text_field(doc, "withdrawn_by"), in->attempt) == 0 ||
	    g_strcmp0(text_field(doc, "attempt"), in->attempt) == 0;

	json_decref(doc);
	return is_withdrawn == is_own;
}

/*
 * Replaces the row on which a begin of this attempt may still depend.
 * @param is_done set if no row does
 */
static enum store_result
withdraw_late_begin(
    const struct store *store, const struct intent *in, bool *is_done)
{
	struct store_txn *txn = store_txn_new();
	char *key = row_key(in);
	struct store_row row = {0};
	enum store_result res =
	    store->ops->get(store->ctx, kCauseIntent, key, &row);

	*is_done = res == kStoreOk && is_final(in, &row);
	if (res == kStoreNotFound)
		store_txn_absent(txn, key);
	else if (res == kStoreOk)
		store_txn_version(txn, key, row.version);
	store_row_clear(&row);
	g_free(key);
	if (!*is_done && (res == kStoreOk || res == kStoreNotFound))
		return write_withdrawn(store, in, txn);
	store_txn_free(txn);
	return *is_done ? kStoreConflict : kStoreUnavailable;
}

enum store_result
intent_withdraw(const struct store *store, const struct intent *in)
{
	enum store_result res = withdraw_begun(store, in);
	bool is_done = false;

	for (int i = 0;
	     i < kRaceAttemptsMax && res == kStoreConflict && !is_done; i++)
		res = withdraw_late_begin(store, in, &is_done);
	return res == kStoreConflict && !is_done ? kStoreUnavailable : res;
}

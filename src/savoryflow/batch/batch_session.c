/* Sessions of daemons: the heartbeat that renews all their leases. */
#include "savoryflow/batch/batch_session.h"

#include <inttypes.h>
#include <jansson.h>

#include "os/json_text.h"
#include "store/commit.h"

void
batch_session_clear(struct batch_session *session)
{
	g_clear_pointer(&session->id, g_free);
}

char *
batch_session_key(const char *id)
{
	return g_strdup_printf("session/%s", id);
}

static char *
session_text(const char *state, int64_t counter)
{
	return g_strdup_printf(
	    "{\"state\":\"%s\",\"counter\":\"%" PRId64 "\"}", state, counter);
}

static enum store_result
session_read(const struct store *store, const char *id, bool *is_live,
    int64_t *counter, int64_t *version)
{
	char *key = batch_session_key(id);
	struct store_row row = {0};
	enum store_result res =
	    store->ops->get(store->ctx, kCauseSession, key, &row);
	const char *text;
	json_t *doc;

	g_free(key);
	if (res != kStoreOk)
		return res;
	doc = json_text_load(row.value);
	*is_live = g_strcmp0(json_string_value(json_object_get(doc, "state")),
		       "live") == 0;
	text = json_string_value(json_object_get(doc, "counter"));
	*counter = text != NULL ? g_ascii_strtoll(text, NULL, 10) : 0;
	*version = row.version;
	json_decref(doc);
	store_row_clear(&row);
	return kStoreOk;
}

/* The row holds the heartbeat that this session was writing. */
static enum commit_owner
is_own_heartbeat(const struct store *store, void *ctx)
{
	const struct batch_session *session = ctx;
	bool is_live = false;
	int64_t counter = 0;
	int64_t version;
	enum store_result res =
	    session_read(store, session->id, &is_live, &counter, &version);

	return commit_owner_of(res, is_live && counter == session->counter + 1);
}

static void
require_last_heartbeat(struct store_txn *txn, const char *key, int64_t counter)
{
	char *text = g_strdup_printf("%" PRId64, counter);

	store_txn_field(txn, key, "state", "live");
	store_txn_field(txn, key, "counter", text);
	g_free(text);
}

static enum store_result
session_write(const struct store *store, struct batch_session *session)
{
	struct store_txn *txn = store_txn_new();
	char *key = batch_session_key(session->id);
	char *text = session_text("live", session->counter + 1);
	enum store_result res;

	if (session->counter == 0)
		store_txn_absent(txn, key);
	else
		require_last_heartbeat(txn, key, session->counter);
	store_txn_write(txn, key, text);
	res =
	    store_commit(store, kCauseSession, txn, is_own_heartbeat, session);
	if (res == kStoreOk)
		session->counter++;
	store_txn_free(txn);
	g_free(key);
	g_free(text);
	return res;
}

enum store_result
batch_session_start(
    const struct store *store, const char *id, struct batch_session *session)
{
	session->id = g_strdup(id);
	session->counter = 0;
	return session_write(store, session);
}

enum store_result
batch_session_heartbeat(
    const struct store *store, struct batch_session *session)
{
	return session_write(store, session);
}

enum store_result
batch_session_read(
    const struct store *store, const char *id, bool *is_live, int64_t *version)
{
	int64_t counter;

	return session_read(store, id, is_live, &counter, version);
}

static enum commit_owner
has_session_ended(const struct store *store, void *ctx)
{
	bool is_live = true;
	int64_t counter;
	int64_t version;
	enum store_result res =
	    session_read(store, ctx, &is_live, &counter, &version);

	return commit_owner_of(res, !is_live);
}

enum store_result
batch_session_end(const struct store *store, const char *id, int64_t version)
{
	struct store_txn *txn = store_txn_new();
	char *key = batch_session_key(id);
	char *text = session_text("ended", 0);
	enum store_result res;

	store_txn_version(txn, key, version);
	store_txn_write(txn, key, text);
	res = store_commit(
	    store, kCauseSession, txn, has_session_ended, (void *)id);
	store_txn_free(txn);
	g_free(key);
	g_free(text);
	return res;
}

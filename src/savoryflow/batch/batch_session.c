/* Sessions of daemons: the heartbeat that keeps all their leases. */
#include "savoryflow/batch/batch_session.h"

#include <inttypes.h>
#include <jansson.h>

#include "platform/commit.h"

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

static enum platform_result
session_read(const struct platform *plat, const char *id, bool *is_live,
    int64_t *counter, int64_t *version)
{
	char *key = batch_session_key(id);
	struct platform_row row = {0};
	enum platform_result res =
	    plat->ops->get(plat->ctx, kCauseSession, key, &row);
	const char *text;
	json_t *doc;

	g_free(key);
	if (res != kPlatformOk)
		return res;
	doc = json_loads(row.value, 0, NULL);
	*is_live = g_strcmp0(json_string_value(json_object_get(doc, "state")),
		       "live") == 0;
	text = json_string_value(json_object_get(doc, "counter"));
	*counter = text != NULL ? g_ascii_strtoll(text, NULL, 10) : 0;
	*version = row.version;
	json_decref(doc);
	platform_row_clear(&row);
	return kPlatformOk;
}

/* The row shows the heartbeat that this session was writing. */
static bool
beat_is_mine(const struct platform *plat, void *ctx)
{
	const struct batch_session *session = ctx;
	bool is_live;
	int64_t counter;
	int64_t version;

	return session_read(plat, session->id, &is_live, &counter, &version) ==
	    kPlatformOk &&
	    is_live && counter == session->counter + 1;
}

static void
require_last_beat(struct platform_txn *txn, const char *key, int64_t counter)
{
	char *text = g_strdup_printf("%" PRId64, counter);

	platform_txn_field(txn, key, "state", "live");
	platform_txn_field(txn, key, "counter", text);
	g_free(text);
}

static enum platform_result
session_write(const struct platform *plat, struct batch_session *session)
{
	struct platform_txn *txn = platform_txn_new();
	char *key = batch_session_key(session->id);
	char *text = session_text("live", session->counter + 1);
	enum platform_result res;

	if (session->counter == 0)
		platform_txn_absent(txn, key);
	else
		require_last_beat(txn, key, session->counter);
	platform_txn_write(txn, key, text);
	res = platform_commit(plat, kCauseSession, txn, beat_is_mine, session);
	if (res == kPlatformOk)
		session->counter++;
	platform_txn_free(txn);
	g_free(key);
	g_free(text);
	return res;
}

enum platform_result
batch_session_start(
    const struct platform *plat, const char *id, struct batch_session *session)
{
	session->id = g_strdup(id);
	session->counter = 0;
	return session_write(plat, session);
}

enum platform_result
batch_session_beat(const struct platform *plat, struct batch_session *session)
{
	return session_write(plat, session);
}

enum platform_result
batch_session_look(const struct platform *plat, const char *id, bool *is_live,
    int64_t *version)
{
	int64_t counter;

	return session_read(plat, id, is_live, &counter, version);
}

static bool
session_has_ended(const struct platform *plat, void *ctx)
{
	bool is_live;
	int64_t counter;
	int64_t version;

	return session_read(plat, ctx, &is_live, &counter, &version) ==
	    kPlatformOk &&
	    !is_live;
}

enum platform_result
batch_session_end(const struct platform *plat, const char *id, int64_t version)
{
	struct platform_txn *txn = platform_txn_new();
	char *key = batch_session_key(id);
	char *text = session_text("ended", 0);
	enum platform_result res;

	platform_txn_version(txn, key, version);
	platform_txn_write(txn, key, text);
	res = platform_commit(
	    plat, kCauseSession, txn, session_has_ended, (void *)id);
	platform_txn_free(txn);
	g_free(key);
	g_free(text);
	return res;
}

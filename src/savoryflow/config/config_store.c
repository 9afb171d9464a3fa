/* Configuration in the platform's table service and object store. */
#include "savoryflow/config/config_store.h"

#include <inttypes.h>
#include <string.h>

#include "error/error.h"
#include "os/json_text.h"
#include "os/text_copy.h"
#include "savoryconf/savoryconf.h"
#include "store/commit.h"

#define HEAD_KEY     "config/head"
#define AUDIT_PREFIX "config/audit/"

enum {
	/* Audit rows per scan. */
	kAuditRowsPerScan = 100,
};

struct config_head {
	int64_t generation;
	char digest[65];
	/* Version of the row, 0 if it does not exist. */
	int64_t row_version;
};

static char *
document_key(const char *digest)
{
	return g_strdup_printf("config/doc/%s", digest);
}

static char *
audit_key(int64_t generation)
{
	return g_strdup_printf(AUDIT_PREFIX "%010" PRId64, generation);
}

static bool
head_read(const struct store *store, struct config_head *head, GError **err)
{
	struct store_row row = {0};
	enum store_result res;
	bool is_valid;
	json_t *doc;

	memset(head, 0, sizeof(*head));
	res = store->ops->get(store->ctx, kCauseConfig, HEAD_KEY, &row);
	if (res == kStoreNotFound)
		return true;
	if (res != kStoreOk) {
		g_set_error(err, SF_ERROR, kErrStoreUnavailable,
		    "cannot read the configuration head from the store");
		return false;
	}
	doc = json_text_load(row.value);
	head->generation =
	    json_integer_value(json_object_get(doc, "generation"));
	is_valid = text_copy(head->digest, sizeof(head->digest),
	    json_string_value(json_object_get(doc, "digest")));
	head->row_version = row.version;
	json_decref(doc);
	store_row_clear(&row);
	if (!is_valid)
		g_set_error(err, SF_ERROR, kErrStoreUnavailable,
		    "the stored configuration head names no document");
	return is_valid;
}

static json_t *
document_read(const struct store *store, const char *digest, GError **err)
{
	char *key = document_key(digest);
	GBytes *data = NULL;
	json_t *doc = NULL;

	if (store->ops->get_object(store->ctx, kCauseConfig, key, &data) ==
	    kStoreOk) {
		gsize len;
		const char *text = g_bytes_get_data(data, &len);

		doc = json_text_load_bytes(text, len);
		g_bytes_unref(data);
	}
	if (doc == NULL)
		g_set_error(err, SF_ERROR, kErrStoreUnavailable,
		    "cannot read configuration document %s from the store",
		    digest);
	g_free(key);
	return doc;
}

static void
set_conflict(GError **err, const struct config_head *head, int64_t from)
{
	g_set_error(err, SF_ERROR, kErrConflict,
	    "based on generation %" PRId64 ", but generation %" PRId64
	    " is in force",
	    from, head->generation);
}

static char *
audit_text(
    const struct config_submission *sub, const char *digest, json_t *diff)
{
	json_t *row = json_pack("{s:I,s:I,s:s,s:I,s:s,s:O}", "generation",
	    (json_int_t)sub->base_generation + 1, "from",
	    (json_int_t)sub->base_generation, "who", sub->author, "time_us",
	    (json_int_t)sub->wall_us, "digest", digest, "diff", diff);
	char *text = json_dumps(row, JSON_COMPACT);

	json_decref(row);
	return text;
}

struct commit_identity {
	const struct config_submission *sub;
	const char *digest;
};

/* The generation's audit row identifies the commit that took effect. */
static enum commit_owner
is_own_commit(const struct store *store, void *ctx)
{
	const struct commit_identity *id = ctx;
	char *key = audit_key(id->sub->base_generation + 1);
	struct store_row row = {0};
	enum store_result res =
	    store->ops->get(store->ctx, kCauseConfig, key, &row);
	bool is_own = false;

	if (res == kStoreOk) {
		json_t *doc = json_text_load(row.value);
		const char *author =
		    json_string_value(json_object_get(doc, "who"));
		const char *digest =
		    json_string_value(json_object_get(doc, "digest"));
		int64_t time_us =
		    json_integer_value(json_object_get(doc, "time_us"));

		is_own = g_strcmp0(author, id->sub->author) == 0 &&
		    g_strcmp0(digest, id->digest) == 0 &&
		    time_us == id->sub->wall_us;
		json_decref(doc);
		store_row_clear(&row);
	}
	g_free(key);
	return commit_owner_of(res, is_own);
}

static enum store_result
commit_head(const struct store *store, const struct config_head *head,
    const struct config_submission *sub, const char *digest, json_t *diff)
{
	struct store_txn *txn = store_txn_new();
	struct commit_identity id = {sub, digest};
	char *audit = audit_key(sub->base_generation + 1);
	char *audit_row = audit_text(sub, digest, diff);
	char *head_row =
	    g_strdup_printf("{\"generation\":%" PRId64 ",\"digest\":\"%s\"}",
		sub->base_generation + 1, digest);
	enum store_result res;

	if (head->row_version == 0)
		store_txn_absent(txn, HEAD_KEY);
	else
		store_txn_version(txn, HEAD_KEY, head->row_version);
	store_txn_absent(txn, audit);
	store_txn_write(txn, HEAD_KEY, head_row);
	store_txn_write(txn, audit, audit_row);
	res = store_commit(store, kCauseConfig, txn, is_own_commit, &id);
	store_txn_free(txn);
	g_free(audit);
	g_free(head_row);
	free(audit_row);
	return res;
}

static bool
document_write(
    const struct store *store, const struct config *cfg, GError **err)
{
	char *text = savoryconf_dump(cfg->doc);
	char *key = document_key(cfg->digest);
	enum store_result res = store->ops->put_object(
	    store->ctx, kCauseConfig, key, text, strlen(text));

	g_free(key);
	free(text);
	if (res == kStoreOk)
		return true;
	g_set_error(err, SF_ERROR, kErrStoreUnavailable,
	    "cannot write the configuration document to the store; the "
	    "configuration was not committed");
	return false;
}

static bool
commit_checked(const struct store *store, const struct config_head *head,
    const struct config_submission *sub, struct config *cfg, json_t *diff,
    GError **err)
{
	struct config_head actual;
	enum store_result res =
	    commit_head(store, head, sub, cfg->digest, diff);

	switch (res) {
	case kStoreOk:
		return true;
	case kStoreConflict:
		if (head_read(store, &actual, err))
			set_conflict(err, &actual, sub->base_generation);
		return false;
	case kStoreAmbiguous:
		g_set_error(err, SF_ERROR, kErrStoreAmbiguous,
		    "no answer from the store: the configuration may have been "
		    "committed; see 'config history'");
		return false;
	default:
		g_set_error(err, SF_ERROR, kErrStoreUnavailable,
		    "store unavailable; the configuration was not committed");
		return false;
	}
}

struct config *
config_store_submit(const struct store *store,
    const struct config_submission *sub, GError **err)
{
	struct config_head head;
	struct config *cfg =
	    config_new(sub->doc, sub->base_generation + 1, err);
	json_t *old = NULL;
	json_t *diff;
	bool done;

	if (cfg == NULL)
		return NULL;
	done = head_read(store, &head, err);
	if (done && head.generation != sub->base_generation) {
		set_conflict(err, &head, sub->base_generation);
		done = false;
	}
	if (done && head.generation > 0) {
		old = document_read(store, head.digest, err);
		done = old != NULL;
	}
	diff = config_diff(old, sub->doc);
	done = done && document_write(store, cfg, err) &&
	    commit_checked(store, &head, sub, cfg, diff, err);
	json_decref(diff);
	json_decref(old);
	if (done)
		return cfg;
	config_unref(cfg);
	return NULL;
}

json_t *
config_store_history(
    const struct store *store, int64_t after, int32_t limit, GError **err)
{
	char *key = audit_key(after);
	GPtrArray *rows = NULL;
	json_t *list = NULL;
	bool has_more;

	if (store->ops->scan(store->ctx, kCauseConfig, AUDIT_PREFIX, key, limit,
		&rows, &has_more) == kStoreOk) {
		list = json_array();
		for (guint i = 0; i < rows->len; i++) {
			const struct store_row *row = rows->pdata[i];

			json_array_append_new(list, json_text_load(row->value));
		}
		g_ptr_array_unref(rows);
	} else {
		g_set_error(err, SF_ERROR, kErrStoreUnavailable,
		    "cannot read the audit trail from the store");
	}
	g_free(key);
	return list;
}

/* Builds the head's document by applying the differences since current. */
static json_t *
document_from_diffs(const struct store *store, const struct config *current,
    const struct config_head *head)
{
	json_t *list = config_store_history(
	    store, current->generation, kAuditRowsPerScan, NULL);
	json_t *doc = json_incref(current->doc);
	int64_t reached = current->generation;
	char digest[65];
	json_t *row;
	size_t i;

	json_array_foreach(list, i, row)
	{
		json_t *next;

		if (reached == head->generation)
			break;
		next = config_apply(doc, json_object_get(row, "diff"));
		json_decref(doc);
		doc = next;
		reached =
		    json_integer_value(json_object_get(row, "generation"));
	}
	json_decref(list);
	config_digest(doc, digest);
	if (reached == head->generation && strcmp(digest, head->digest) == 0)
		return doc;
	json_decref(doc);
	return NULL;
}

bool
config_store_catch_up(
    const struct store *store, struct config_holder *holder, GError **err)
{
	struct config_head head;
	struct config *current;
	struct config *next;
	json_t *doc = NULL;

	if (!head_read(store, &head, err))
		return false;
	if (head.generation <= config_holder_generation(holder))
		return true;
	current = config_holder_get(holder);
	if (current != NULL)
		doc = document_from_diffs(store, current, &head);
	config_unref(current);
	if (doc == NULL)
		doc = document_read(store, head.digest, err);
	if (doc == NULL)
		return false;
	next = config_new(doc, head.generation, err);
	json_decref(doc);
	if (next == NULL)
		return false;
	config_holder_offer(holder, next);
	config_unref(next);
	return true;
}

/* Daemons of the installation, tracked by their heartbeats in the store. */
#include "gateway/roster.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "os/clock.h"
#include "savoryflow/routing/rendezvous.h"

enum {
	kRowsPerScan = 500,
	/* Heartbeats of all daemons together: half of the write rate of one
	 * store partition, so that they get through while it is slow. */
	kHeartbeatsPerS = 100,
	kHeartbeatMinUs = kUsPerS,
	kHeartbeatMaxUs = 10 * kUsPerS,
	/* Heartbeats that may be missed before the lease expires. */
	kLeasePeriods = 4,
	/* A daemon takes about this long to stop. */
	kDepartureUs = 8 * kUsPerS,
};

struct roster_member {
	struct roster_row row;
	/** Time of the last lease renewal. */
	int64_t renewed_us;
	/** Time of the last message received directly from it. */
	int64_t last_message_us;
	int64_t suspect_until_us;
	bool is_leaving;
	/** It reported that it cannot reach the store. */
	bool is_store_unreachable;
	/** Time of the store's last answer to it, as it reported. */
	int64_t store_answered_us;
	/** Time when its row was first missing; 0 while it is listed. */
	int64_t unlisted_us;
	/** Its expiry or removal was reported. */
	bool is_removal_reported;
};

struct roster {
	struct roster_options opt;
	/** struct roster_member by address, excluding this daemon. */
	GHashTable *members;
	bool is_self_leaving;
};

struct roster *
roster_new(const struct roster_options *opt)
{
	struct roster *ro = g_new0(struct roster, 1);

	ro->opt = *opt;
	ro->members =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	return ro;
}

void
roster_free(struct roster *ro)
{
	g_hash_table_unref(ro->members);
	g_free(ro);
}

static void
apply_row(struct roster *ro, const struct roster_row *row, int64_t now_us,
    struct roster_changes *changes)
{
	struct roster_member *m =
	    g_hash_table_lookup(ro->members, row->address);

	if (strcmp(row->address, ro->opt.self.address) == 0)
		return;
	if (m == NULL) {
		m = g_new0(struct roster_member, 1);
		m->row = *row;
		m->renewed_us = now_us;
		g_hash_table_insert(ro->members, m->row.address, m);
		g_ptr_array_add(changes->joined, g_strdup(row->address));
		return;
	}
	if (m->row.version == row->version)
		return;
	if (strcmp(m->row.session, row->session) != 0) {
		m->is_leaving = false;
		g_ptr_array_add(changes->removed, g_strdup(row->address));
	}
	m->row = *row;
	m->renewed_us = now_us;
	m->unlisted_us = 0;
	m->is_removal_reported = false;
}

static bool
is_alive(const struct roster *ro, const struct roster_member *m, int64_t now_us)
{
	return now_us - m->renewed_us <=
	    MAX(ro->opt.lease_us, kLeasePeriods * m->row.period_us);
}

/* Reports a daemon whose lease has expired, once. */
static void
record_expiry(struct roster *ro, struct roster_member *m, int64_t now_us,
    struct roster_changes *changes)
{
	if (m->is_removal_reported || is_alive(ro, m, now_us))
		return;
	m->is_removal_reported = true;
	g_ptr_array_add(changes->removed, g_strdup(m->row.address));
}

/*
 * Records that a row was removed: its daemon stops. It still finishes its
 * requests, and so is notified for a while of which daemons arbitrate.
 * @return true once that time is over
 */
static bool
record_unlisted(
    struct roster_member *m, int64_t now_us, struct roster_changes *changes)
{
	if (m->unlisted_us != 0)
		return now_us - m->unlisted_us > kDepartureUs;
	if (!m->is_removal_reported)
		g_ptr_array_add(changes->removed, g_strdup(m->row.address));
	m->is_removal_reported = true;
	m->unlisted_us = now_us;
	m->renewed_us = INT64_MIN / 2;
	m->last_message_us = 0;
	return false;
}

void
roster_apply_rows(struct roster *ro, const GArray *rows, int64_t now_us,
    struct roster_changes *changes)
{
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter it;
	void *key;
	void *val;

	for (guint i = 0; i < rows->len; i++) {
		struct roster_row *row =
		    &g_array_index(rows, struct roster_row, i);

		g_hash_table_add(listed, row->address);
		apply_row(ro, row, now_us, changes);
	}
	g_hash_table_iter_init(&it, ro->members);
	while (g_hash_table_iter_next(&it, &key, &val)) {
		record_expiry(ro, val, now_us, changes);
		if (g_hash_table_contains(listed, key))
			continue;
		if (record_unlisted(val, now_us, changes))
			g_hash_table_iter_remove(&it);
	}
	g_hash_table_unref(listed);
}

void
roster_on_store_unreachable(struct roster *ro, int64_t now_us)
{
	GHashTableIter it;
	void *val;

	/* Heartbeats could not be written, or not be read. Leases start again
	 * when the store is back. */
	g_hash_table_iter_init(&it, ro->members);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct roster_member *m = val;

		if (is_alive(ro, m, now_us))
			m->renewed_us = now_us;
	}
}

void
roster_suspect(struct roster *ro, const char *address, int64_t until_us)
{
	struct roster_member *m = g_hash_table_lookup(ro->members, address);

	if (m != NULL)
		m->suspect_until_us = until_us;
}

void
roster_leave(struct roster *ro)
{
	ro->is_self_leaving = true;
}

void
roster_record_leaving(struct roster *ro, const char *address)
{
	struct roster_member *m = g_hash_table_lookup(ro->members, address);

	if (m != NULL)
		m->is_leaving = true;
}

void
roster_record_message(struct roster *ro, const char *address,
    const struct roster_store_status *status, int64_t now_us)
{
	struct roster_member *m = g_hash_table_lookup(ro->members, address);

	if (m == NULL)
		return;
	m->suspect_until_us = 0;
	m->last_message_us = now_us;
	if (status == NULL)
		return;
	m->is_store_unreachable = status->is_store_unreachable;
	m->store_answered_us = now_us - status->age_us;
}

/* True if the daemon may be an arbiter. */
static bool
is_eligible(
    const struct roster *ro, const struct roster_member *m, int64_t now_us)
{
	return !m->is_leaving && m->unlisted_us == 0 &&
	    (is_alive(ro, m, now_us) ||
		(m->last_message_us != 0 &&
		    now_us - m->last_message_us <= ro->opt.contact_timeout_us));
}

static bool
is_usable(
    const struct roster *ro, const struct roster_member *m, int64_t now_us)
{
	return is_eligible(ro, m, now_us) && m->suspect_until_us <= now_us;
}

bool
roster_is_session_alive(
    const struct roster *ro, const char *session, int64_t now_us)
{
	GHashTableIter it;
	void *val;

	if (strcmp(session, ro->opt.self.session) == 0)
		return true;
	g_hash_table_iter_init(&it, ro->members);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		const struct roster_member *m = val;

		if (strcmp(m->row.session, session) == 0)
			return is_alive(ro, m, now_us);
	}
	return false;
}

static void
consider(
    const char *key, const char *address, const char **best, uint64_t *weight)
{
	uint64_t w = rendezvous_weight(key, address);

	if (*best != NULL && w <= *weight)
		return;
	*best = address;
	*weight = w;
}

/* @param include_suspects also consider daemons that did not answer in time */
static const char *
find_owner(const struct roster *ro, const char *key, const char *data_center,
    bool include_suspects, int64_t now_us)
{
	const char *near = NULL;
	const char *any = NULL;
	uint64_t near_weight = 0;
	uint64_t any_weight = 0;
	GHashTableIter it;
	void *val;

	if (!ro->is_self_leaving) {
		consider(key, ro->opt.self.address, &any, &any_weight);
		if (data_center == NULL ||
		    strcmp(data_center, ro->opt.self.data_center) == 0)
			consider(
			    key, ro->opt.self.address, &near, &near_weight);
	}
	g_hash_table_iter_init(&it, ro->members);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		const struct roster_member *m = val;

		if (!is_usable(ro, m, now_us) &&
		    !(include_suspects && is_eligible(ro, m, now_us)))
			continue;
		consider(key, m->row.address, &any, &any_weight);
		if (data_center == NULL ||
		    strcmp(data_center, m->row.data_center) == 0)
			consider(key, m->row.address, &near, &near_weight);
	}
	if (near != NULL)
		return near;
	return any != NULL ? any : ro->opt.self.address;
}

const char *
roster_owner(const struct roster *ro, const char *key, const char *data_center,
    int64_t now_us)
{
	return find_owner(ro, key, data_center, false, now_us);
}

bool
roster_is_elected_owner(const struct roster *ro, const char *key,
    const char *data_center, int64_t now_us)
{
	return strcmp(find_owner(ro, key, data_center, true, now_us),
		   ro->opt.self.address) == 0;
}

GPtrArray *
roster_peers(const struct roster *ro, int64_t now_us)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, ro->members);
	while (g_hash_table_iter_next(&it, NULL, &val))
		if (is_alive(ro, val, now_us) ||
		    ((struct roster_member *)val)->unlisted_us != 0)
			g_ptr_array_add(
			    list, ((struct roster_member *)val)->row.address);
	return list;
}

GPtrArray *
roster_peers_in_data_center(
    const struct roster *ro, const char *data_center, int64_t now_us)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, ro->members);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct roster_member *m = val;

		if (is_eligible(ro, m, now_us) &&
		    strcmp(m->row.data_center, data_center) == 0)
			g_ptr_array_add(list, m->row.address);
	}
	return list;
}

const char *
roster_front_reaching_store(
    const struct roster *ro, const char *excluded_front, int64_t now_us)
{
	const char *best = NULL;
	bool best_is_near = false;
	int64_t best_seen_us = 0;
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, ro->members);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		const struct roster_member *m = val;
		bool is_near =
		    strcmp(m->row.data_center, ro->opt.self.data_center) == 0;

		if (!is_usable(ro, m, now_us) || m->is_store_unreachable ||
		    m->row.front[0] == '\0' ||
		    strcmp(m->row.front, excluded_front) == 0)
			continue;
		/* Of the nearby peers, prefers the one that the store answered
		 * last: a peer that was just cut off may not have noticed
		 * yet. */
		if (best != NULL &&
		    (best_is_near > is_near ||
			(best_is_near == is_near &&
			    m->store_answered_us <= best_seen_us)))
			continue;
		best = m->row.front;
		best_is_near = is_near;
		best_seen_us = m->store_answered_us;
	}
	return best;
}

GArray *
roster_stale(const struct roster *ro, int64_t max_age_us, int64_t now_us)
{
	GArray *list = g_array_new(FALSE, TRUE, sizeof(struct roster_row));
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, ro->members);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		const struct roster_member *m = val;

		if (m->unlisted_us == 0 && now_us - m->renewed_us > max_age_us)
			g_array_append_val(list, m->row);
	}
	return list;
}

int32_t
roster_count(const struct roster *ro, const char *data_center, int64_t now_us)
{
	int32_t n = strcmp(data_center, ro->opt.self.data_center) == 0 ? 1 : 0;
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, ro->members);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		const struct roster_member *m = val;

		if (is_alive(ro, m, now_us) &&
		    strcmp(m->row.data_center, data_center) == 0)
			n++;
	}
	return n;
}

int32_t
roster_count_all(const struct roster *ro, int64_t now_us)
{
	int32_t n = 1;
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, ro->members);
	while (g_hash_table_iter_next(&it, NULL, &val))
		n += is_alive(ro, val, now_us);
	return n;
}

int64_t
roster_heartbeat_period_us(int32_t daemons)
{
	return CLAMP((int64_t)daemons * kUsPerS / kHeartbeatsPerS,
	    kHeartbeatMinUs, kHeartbeatMaxUs);
}

const char *
roster_region(const struct roster *ro, const char *data_center)
{
	GHashTableIter it;
	void *val;

	if (strcmp(data_center, ro->opt.self.data_center) == 0)
		return ro->opt.self.region;
	g_hash_table_iter_init(&it, ro->members);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		const struct roster_member *m = val;

		if (strcmp(m->row.data_center, data_center) == 0)
			return m->row.region;
	}
	return "";
}

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
	json_t *doc = json_pack("{s:s,s:s,s:s,s:s,s:I,s:I}", "front",
	    self->front, "region", self->region, "data_center",
	    self->data_center, "session", self->session, "beat",
	    (json_int_t)sequence, "period_us", (json_int_t)self->period_us);
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
	json_t *doc = json_loads(stored->value, 0, NULL);
	const char *session =
	    json_string_value(json_object_get(doc, "session"));
	const char *front = json_string_value(json_object_get(doc, "front"));
	const char *region = json_string_value(json_object_get(doc, "region"));
	const char *dc = json_string_value(json_object_get(doc, "data_center"));
	struct roster_row row = {
	    .version = stored->version,
	    .period_us =
		CLAMP(json_integer_value(json_object_get(doc, "period_us")), 0,
		    kHeartbeatMaxUs),
	};

	if (session != NULL && region != NULL && dc != NULL) {
		g_strlcpy(row.address, strrchr(stored->key, '/') + 1,
		    sizeof(row.address));
		g_strlcpy(
		    row.front, front != NULL ? front : "", sizeof(row.front));
		g_strlcpy(row.session, session, sizeof(row.session));
		g_strlcpy(row.region, region, sizeof(row.region));
		g_strlcpy(row.data_center, dc, sizeof(row.data_center));
		g_array_append_val(rows, row);
	}
	json_decref(doc);
}

enum store_result
roster_store_read(const struct store *st, GArray **rows)
{
	GPtrArray *page = NULL;
	char *after = NULL;
	enum store_result res;

	*rows = g_array_new(FALSE, TRUE, sizeof(struct roster_row));
	do {
		if (page != NULL)
			g_ptr_array_unref(page);
		page = NULL;
		res = st->ops->scan(st->ctx, kCauseSession, "daemon/-/", after,
		    kRowsPerScan, &page);
		for (guint i = 0; res == kStoreOk && i < page->len; i++) {
			const struct store_row *row = page->pdata[i];

			add_row(*rows, row);
			g_free(after);
			after = g_strdup(row->key);
		}
	} while (res == kStoreOk && page->len == kRowsPerScan);
	if (page != NULL)
		g_ptr_array_unref(page);
	g_free(after);
	if (res != kStoreOk) {
		g_array_unref(*rows);
		*rows = NULL;
	}
	return res;
}

/* Daemons of the installation, tracked by their heartbeats in the store. */
#include "gateway/roster.h"

#include <string.h>
#include <xxhash.h>

#include "gateway/roster_internal.h"
#include "os/clock.h"
#include "savoryflow/arbiter/u64_hash.h"
#include "savoryflow/membership/contacts.h"

enum {
	/* Heartbeats of all daemons together: half of the write rate of one
	 * store partition, so that they get through while it is slow. */
	kHeartbeatsPerS = 100,
	kHeartbeatMinUs = kUsPerS,
	/* Heartbeats that may be missed before the lease expires. */
	kLeasePeriods = 4,
	/* A daemon takes about this long to stop. */
	kDepartureUs = 8 * kUsPerS,
};

struct roster *
roster_new(const struct roster_options *opt)
{
	struct roster *ro = g_new0(struct roster, 1);

	ro->opt = *opt;
	ro->contact_timeout_us = opt->contact_timeout_us;
	ro->members =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	ro->sessions = u64_hash_new(NULL);
	return ro;
}

void
roster_free(struct roster *ro)
{
	g_hash_table_unref(ro->sessions);
	g_hash_table_unref(ro->members);
	g_free(ro);
}

uint64_t
roster_session_hash(const char *session)
{
	return XXH3_64bits(session, strlen(session));
}

uint64_t
roster_epoch(const struct roster *ro)
{
	return ro->epoch;
}

static void
set_session(struct roster *ro, struct roster_member *m)
{
	if (g_hash_table_lookup(ro->sessions, &m->session) == m)
		g_hash_table_remove(ro->sessions, &m->session);
	m->session = roster_session_hash(m->row.session);
	g_hash_table_replace(ro->sessions, &m->session, m);
	ro->epoch++;
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
		set_session(ro, m);
		g_ptr_array_add(changes->joined, g_strdup(row->address));
		return;
	}
	if (m->row.version == row->version)
		return;
	if (strcmp(m->row.session, row->session) != 0) {
		m->is_leaving = false;
		m->row = *row;
		set_session(ro, m);
		g_ptr_array_add(changes->removed, g_strdup(row->address));
	}
	if (m->unlisted_us != 0)
		ro->epoch++;
	m->row = *row;
	m->renewed_us = now_us;
	m->restart_outage = 0;
	m->unlisted_us = 0;
	m->is_removal_reported = false;
}

bool
roster_member_is_alive(
    const struct roster *ro, const struct roster_member *m, int64_t now_us)
{
	return now_us - m->renewed_us <=
	    MAX(ro->opt.lease_us, kLeasePeriods * m->row.period_us);
}

/* Reports a daemon whose lease has expired, once. */
static void
record_expiry(struct roster *ro, struct roster_member *m, int64_t now_us,
    struct roster_changes *changes)
{
	if (m->is_removal_reported || roster_member_is_alive(ro, m, now_us))
		return;
	m->is_removal_reported = true;
	ro->epoch++;
	g_ptr_array_add(changes->removed, g_strdup(m->row.address));
}

/*
 * Records that a row was removed: its daemon stops. It still finishes its
 * requests, and so is notified for a while of which daemons arbitrate.
 * @return true once that time is over
 */
static bool
record_unlisted(struct roster *ro, struct roster_member *m, int64_t now_us,
    struct roster_changes *changes)
{
	if (m->unlisted_us != 0)
		return now_us - m->unlisted_us > kDepartureUs;
	ro->epoch++;
	if (!m->is_removal_reported)
		g_ptr_array_add(changes->removed, g_strdup(m->row.address));
	m->is_removal_reported = true;
	m->unlisted_us = now_us;
	m->renewed_us = INT64_MIN / 2;
	m->last_message_us = 0;
	return false;
}

static void
update_contact_timeout(struct roster *ro, int64_t now_us)
{
	ro->contact_timeout_us = MAX(ro->opt.contact_timeout_us,
	    contacts_timeout_us(
		roster_count(ro, ro->opt.self.data_center, now_us)));
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
		if (!record_unlisted(ro, val, now_us, changes))
			continue;
		if (g_hash_table_lookup(ro->sessions,
			&((struct roster_member *)val)->session) == val)
			g_hash_table_remove(ro->sessions,
			    &((struct roster_member *)val)->session);
		g_hash_table_iter_remove(&it);
	}
	g_hash_table_unref(listed);
	ro->is_store_out = false;
	ro->read_us = now_us;
	update_contact_timeout(ro, now_us);
}

void
roster_learn(struct roster *ro, const GArray *rows, int64_t now_us,
    struct roster_changes *changes)
{
	for (guint i = 0; i < rows->len; i++) {
		const struct roster_row *row =
		    &g_array_index(rows, struct roster_row, i);

		if (!g_hash_table_contains(ro->members, row->address))
			apply_row(ro, row, now_us, changes);
	}
	update_contact_timeout(ro, now_us);
}

GArray *
roster_rows(const struct roster *ro, int64_t now_us)
{
	GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct roster_row));
	GHashTableIter it;
	void *val;

	g_array_append_val(rows, ro->opt.self);
	g_hash_table_iter_init(&it, ro->members);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		const struct roster_member *m = val;

		if (roster_member_is_alive(ro, m, now_us))
			g_array_append_val(rows, m->row);
	}
	return rows;
}

/*
 * Heartbeats could not be written, or not be read. A lease starts again when
 * the store is back; without a heartbeat since, later outages only stop it, so
 * that it ends while some reads fail.
 */
static void
extend_lease(const struct roster *ro, struct roster_member *m, int64_t now_us)
{
	if (m->restart_outage == 0)
		m->restart_outage = ro->outages;
	if (m->restart_outage == ro->outages)
		m->renewed_us = now_us;
	else
		m->renewed_us += now_us - ro->read_us;
}

void
roster_on_store_unreachable(struct roster *ro, int64_t now_us)
{
	GHashTableIter it;
	void *val;

	if (!ro->is_store_out)
		ro->outages++;
	ro->is_store_out = true;
	g_hash_table_iter_init(&it, ro->members);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct roster_member *m = val;

		if (roster_member_is_alive(ro, m, now_us))
			extend_lease(ro, m, now_us);
	}
	ro->read_us = now_us;
}

void
roster_suspect(struct roster *ro, const char *address, int64_t until_us)
{
	struct roster_member *m = g_hash_table_lookup(ro->members, address);

	if (m == NULL)
		return;
	m->suspect_until_us = until_us;
	ro->epoch++;
}

void
roster_leave(struct roster *ro)
{
	ro->is_self_leaving = true;
	ro->epoch++;
}

void
roster_record_leaving(struct roster *ro, const char *address)
{
	struct roster_member *m = g_hash_table_lookup(ro->members, address);

	if (m == NULL || m->is_leaving)
		return;
	m->is_leaving = true;
	ro->epoch++;
}

void
roster_record_message(struct roster *ro, const char *address,
    const struct roster_store_status *status, int64_t now_us)
{
	struct roster_member *m = g_hash_table_lookup(ro->members, address);

	if (m == NULL)
		return;
	if (m->suspect_until_us != 0)
		ro->epoch++;
	m->suspect_until_us = 0;
	m->last_message_us = now_us;
	if (status == NULL)
		return;
	m->is_store_unreachable = status->is_store_unreachable;
	m->store_answered_us = now_us - status->age_us;
}

static void
record_indirect(struct roster *ro, struct roster_member *m, int64_t at_us)
{
	if (m->unlisted_us == 0)
		m->last_message_us = MAX(m->last_message_us, at_us);
}

void
roster_record_relayed(struct roster *ro, const char *address, int64_t at_us)
{
	struct roster_member *m = g_hash_table_lookup(ro->members, address);

	if (m != NULL)
		record_indirect(ro, m, at_us);
}

void
roster_record_contact(struct roster *ro, const struct contact *contact)
{
	struct roster_member *m =
	    g_hash_table_lookup(ro->sessions, &contact->session);

	if (m == NULL)
		return;
	record_indirect(ro, m, contact->beat_us);
	if (contact->is_leaving && !m->is_leaving) {
		m->is_leaving = true;
		ro->epoch++;
	}
	/* A daemon that has had no answer of the store yet has no time to
	 * report, but its report that it cannot reach the store counts. */
	if (contact->store_answered_us != 0)
		m->store_answered_us = contact->store_answered_us;
	if (contact->store_answered_us != 0 || contact->is_store_unreachable)
		m->is_store_unreachable = contact->is_store_unreachable;
}

bool
roster_member_is_eligible(
    const struct roster *ro, const struct roster_member *m, int64_t now_us)
{
	return !m->is_leaving && m->unlisted_us == 0 &&
	    (roster_member_is_alive(ro, m, now_us) ||
		(m->last_message_us != 0 &&
		    now_us - m->last_message_us <= ro->contact_timeout_us));
}

bool
roster_member_is_usable(
    const struct roster *ro, const struct roster_member *m, int64_t now_us)
{
	return roster_member_is_eligible(ro, m, now_us) &&
	    m->suspect_until_us <= now_us;
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
			return roster_member_is_alive(ro, m, now_us);
	}
	return false;
}

GPtrArray *
roster_peers(const struct roster *ro, const char *data_center, int64_t now_us)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, ro->members);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct roster_member *m = val;

		if (data_center != NULL &&
		    strcmp(data_center, m->row.data_center) != 0)
			continue;
		if (roster_member_is_alive(ro, m, now_us) ||
		    m->unlisted_us != 0)
			g_ptr_array_add(list, m->row.address);
	}
	return list;
}

const char *
roster_data_center(const struct roster *ro, const char *address)
{
	const struct roster_member *m =
	    g_hash_table_lookup(ro->members, address);

	return m != NULL ? m->row.data_center : "";
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

		if (roster_member_is_eligible(ro, m, now_us) &&
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

		if (!roster_member_is_usable(ro, m, now_us) ||
		    m->is_store_unreachable || m->row.front[0] == '\0' ||
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

const char *
roster_session_address(const struct roster *ro, const char *session)
{
	uint64_t hash = roster_session_hash(session);
	const struct roster_member *m =
	    g_hash_table_lookup(ro->sessions, &hash);

	return m != NULL ? m->row.address : NULL;
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

		if (roster_member_is_alive(ro, m, now_us) &&
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
		n += roster_member_is_alive(ro, val, now_us);
	return n;
}

int64_t
roster_heartbeat_period_us(int32_t daemons)
{
	return CLAMP((int64_t)daemons * kUsPerS / kHeartbeatsPerS,
	    kHeartbeatMinUs, kRosterHeartbeatMaxUs);
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

/* Sessions of other daemons, and whether their heartbeats still advance. */
#include "serve/session_watch.h"

#include <string.h>

#include "log/log.h"
#include "savoryflow/batch/batch_session.h"
#include "serve/routes.h"

enum {
	/* A call of the store that takes this part of a lease is slow. */
	kSlowCallDivisor = 10,
};

struct session_seen {
	int64_t since_us;
	int64_t version;
};

struct session_watch {
	struct daemon *d;
	/** When each lease was first seen, by claim. */
	GHashTable *leases;
	/** struct session_seen by session. */
	GHashTable *sessions;
	/** End of the last call of the store. */
	int64_t last_call_us;
	/** Time without a usable store so far, and the end of its last part. */
	int64_t lost_us;
	int64_t lost_until_us;
};

struct session_watch *
session_watch_new(struct daemon *d)
{
	struct session_watch *sw = g_new0(struct session_watch, 1);

	sw->d = d;
	sw->leases =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sw->sessions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	sw->last_call_us = clock_mono_us(d->clk);
	return sw;
}

void
session_watch_free(struct session_watch *sw)
{
	g_hash_table_unref(sw->leases);
	g_hash_table_unref(sw->sessions);
	g_free(sw);
}

static int64_t
lease_us(const struct session_watch *sw)
{
	return sw->d->set->session_lease_ms * kUsPerMs;
}

void
session_watch_record_call(
    struct session_watch *sw, int64_t began_us, enum store_result res)
{
	int64_t now_us = clock_mono_us(sw->d->clk);
	int64_t took_us = now_us - began_us;
	bool is_usable = res != kStoreUnavailable && res != kStoreAmbiguous &&
	    took_us <= lease_us(sw) / kSlowCallDivisor;

	if (!is_usable) {
		int64_t from_us = MAX(sw->last_call_us, sw->lost_until_us);
		/* Another daemon may have begun such a call just now. */
		int64_t until_us = now_us + took_us;

		sw->lost_us += MAX(until_us - from_us, 0);
		sw->lost_until_us = MAX(sw->lost_until_us, until_us);
	}
	sw->last_call_us = now_us;
}

/* Time that stands still while the store is of no use. */
static int64_t
usable_now_us(const struct session_watch *sw)
{
	return clock_mono_us(sw->d->clk) - sw->lost_us;
}

bool
session_watch_is_lease_stale(
    struct session_watch *sw, const struct batch_chunk *chunk)
{
	int64_t now_us = usable_now_us(sw);
	char **parts = g_strsplit(chunk->session, "/", 2);
	bool alive = routes_is_alive(sw->d->routes, parts[0]);
	int64_t *since = g_hash_table_lookup(sw->leases, chunk->claim);

	g_strfreev(parts);
	if (since == NULL) {
		since = g_new(int64_t, 1);
		*since = now_us;
		g_hash_table_insert(sw->leases, g_strdup(chunk->claim), since);
	}
	return !alive || now_us - *since > lease_us(sw);
}

static void
record_heartbeat(struct session_watch *sw, const char *id, int64_t version)
{
	struct session_seen *seen = g_new0(struct session_seen, 1);

	seen->since_us = usable_now_us(sw);
	seen->version = version;
	g_hash_table_replace(sw->sessions, g_strdup(id), seen);
}

bool
session_watch_end_if_stale(struct session_watch *sw, const char *id)
{
	const struct session_seen *seen = g_hash_table_lookup(sw->sessions, id);
	int64_t began_us = clock_mono_us(sw->d->clk);
	int64_t version = 0;
	bool is_live = true;
	enum store_result res =
	    batch_session_read(sw->d->store, id, &is_live, &version);

	session_watch_record_call(sw, began_us, res);
	if (res != kStoreOk)
		return false;
	if (!is_live)
		return true;
	if (seen == NULL || seen->version != version) {
		record_heartbeat(sw, id, version);
		return false;
	}
	if (usable_now_us(sw) - seen->since_us <= lease_us(sw) ||
	    batch_session_end(sw->d->store, id, version) != kStoreOk)
		return false;
	log_event(kEvtSessionEnded, "session", id, NULL);
	return true;
}

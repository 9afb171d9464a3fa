#ifndef SAVORYFLOW_GATEWAY_ROSTER_H
#define SAVORYFLOW_GATEWAY_ROSTER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "savoryflow/fleet/fleet.h"
#include "store/store.h"

/** A daemon as its row in the store says it. */
struct roster_row {
	char address[kFleetAddressMax];
	/** Where it takes requests of callers. */
	char front[kFleetAddressMax];
	char region[kFleetNameMax];
	char data_center[kFleetNameMax];
	/** Unique name of this run of the daemon. */
	char session[kFleetNameMax];
	int64_t version;
	/** Time between its heartbeats; 0 if the row does not tell. */
	int64_t period_us;
};

struct roster_options {
	struct roster_row self;
	/** A daemon whose row stays unchanged for so long is gone, unless its
	 * own period asks for more. */
	int64_t lease_us;
	/** A daemon that was heard within this arbitrates, whatever its row
	 * says: it may be cut off from the store only. */
	int64_t heard_us;
};

/**
 * The daemons of the installation. A daemon lives while its heartbeat changes
 * its row, as seen on this daemon's own clock. No I/O, no clock.
 */
struct roster;

struct roster *roster_new(const struct roster_options *opt);
void roster_free(struct roster *ro);

/** Daemons that came or went; arrays of addresses, which free them. */
struct roster_changes {
	GPtrArray *joined;
	/** Also those that started anew. */
	GPtrArray *removed;
};

/** Takes all rows of a read that succeeded: array of struct roster_row. */
void roster_apply_rows(struct roster *ro, const GArray *rows, int64_t now_us,
    struct roster_changes *changes);

/** The store did not answer: silence says nothing until it does again. */
void roster_on_store_unreachable(struct roster *ro, int64_t now_us);

/** A peer did not answer in time: it is passed over for a while. */
void roster_suspect(struct roster *ro, const char *address, int64_t until_us);

/** This daemon stops soon: others arbitrate, if there are any. */
void roster_leave(struct roster *ro);

/** A peer stops soon. */
void roster_record_leaving(struct roster *ro, const char *address);

/** What a daemon says of its sight of the store. */
struct roster_store_status {
	bool is_store_unreachable;
	/** Time since the store last answered it. */
	int64_t age_us;
};

/**
 * A message came straight from the peer.
 * @param sight NULL if the message does not say
 */
void roster_record_message(struct roster *ro, const char *address,
    const struct roster_store_status *sight, int64_t now_us);

/**
 * Front address of a peer that reaches the store, near ones first.
 * @param but front address of a peer that is not to be returned, or empty
 * @return NULL if none is known
 */
const char *roster_front_reaching_store(
    const struct roster *ro, const char *but, int64_t now_us);

/** True if the session is that of a daemon that lives. */
bool roster_is_session_alive(
    const struct roster *ro, const char *session, int64_t now_us);

/**
 * The daemon that a key belongs to in a data centre, by rendezvous hash; one
 * of another data centre if none of that one lives.
 * @param data_center NULL: any
 * @return address, borrowed; this daemon's own if there is no other
 */
const char *roster_owner(const struct roster *ro, const char *key,
    const char *data_center, int64_t now_us);

/** True if the key is this daemon's also when suspicions are left aside. */
bool roster_is_elected_owner(const struct roster *ro, const char *key,
    const char *data_center, int64_t now_us);

/** Addresses of the peers that live or have just left: array of strings,
 * borrowed. */
GPtrArray *roster_peers(const struct roster *ro, int64_t now_us);

/** The same for one data centre, with those that were heard lately. */
GPtrArray *roster_peers_in_data_center(
    const struct roster *ro, const char *data_center, int64_t now_us);

/** Rows that no heartbeat has changed for so long: array of struct roster_row.
 */
GArray *roster_stale(
    const struct roster *ro, int64_t silence_us, int64_t now_us);

/** Daemons that live anywhere, this one among them. */
int32_t roster_count_all(const struct roster *ro, int64_t now_us);

/** Time between heartbeats at so many daemons. */
int64_t roster_heartbeat_period_us(int32_t daemons);

/** Daemons that live in a data centre, this one among them. */
int32_t roster_count(
    const struct roster *ro, const char *data_center, int64_t now_us);

/** Region of a data centre where a daemon is known, or "". */
const char *roster_region(const struct roster *ro, const char *data_center);

/* The rows themselves; these block in the store. */

/** Writes the daemon's heartbeat, with its period. */
enum store_result roster_store_heartbeat(
    const struct store *st, const struct roster_row *self, int64_t beat);

/** The daemon leaves. */
enum store_result roster_store_leave(
    const struct store *st, const struct roster_row *self);

/** Reads the rows of all daemons: array of struct roster_row. */
enum store_result roster_store_read(const struct store *st, GArray **rows);

/** Removes the row of a daemon that is long gone. */
enum store_result roster_store_remove(
    const struct store *st, const char *address, int64_t version);

#endif

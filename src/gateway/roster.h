#ifndef SAVORYFLOW_GATEWAY_ROSTER_H
#define SAVORYFLOW_GATEWAY_ROSTER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "savoryflow/fleet/fleet.h"
#include "savoryflow/membership/contacts.h"
#include "store/store.h"

enum {
	/** Longest heartbeat period. */
	kRosterHeartbeatMaxUs = 10000000,
};

/** A daemon as described by its row in the store. */
struct roster_row {
	char address[kFleetAddressMax];
	/** Address for requests of callers. */
	char front[kFleetAddressMax];
	char region[kFleetNameMax];
	char data_center[kFleetNameMax];
	/** Unique id of this run of the daemon. */
	char session[kFleetNameMax];
	int64_t version;
	/** Heartbeat period; 0 if the row does not contain it. */
	int64_t period_us;
	/** Processor capacity; 0 if the row does not contain it. */
	int32_t cpu_millicores;
};

struct roster_options {
	struct roster_row self;
	/** Lease of a daemon whose row does not change, unless its own
	 * heartbeat period requires a longer one. */
	int64_t lease_us;
	/** A daemon known to run within this time may arbitrate even if its
	 * lease has expired: it may merely be cut off from the store. Extended
	 * to the time that contacts need in a large data centre. */
	int64_t contact_timeout_us;
};

/**
 * The daemons of the installation. A daemon is alive while its heartbeats
 * change its row, timed by this daemon's own clock. Does no I/O and reads no
 * clock.
 */
struct roster;

struct roster *roster_new(const struct roster_options *opt);
void roster_free(struct roster *ro);

/** Changes of the set of daemons: arrays of addresses, which own them. */
struct roster_changes {
	GPtrArray *joined;
	/** Includes daemons that have restarted. */
	GPtrArray *removed;
};

/** Applies the rows of a successful read: array of struct roster_row. */
void roster_apply_rows(struct roster *ro, const GArray *rows, int64_t now_us,
    struct roster_changes *changes);

/**
 * Adds the daemons that a peer knows, for a daemon that has not read the rows
 * from the store: array of struct roster_row. Daemons already known stay as
 * they are.
 */
void roster_learn(struct roster *ro, const GArray *rows, int64_t now_us,
    struct roster_changes *changes);

/**
 * Rows of this daemon and of all that are alive: array of struct roster_row,
 * owned by the caller.
 */
GArray *roster_rows(const struct roster *ro, int64_t now_us);

/**
 * Extends all leases that have not expired: while the store is unreachable, a
 * missing heartbeat does not show that a daemon is down. A lease starts again
 * after the first outage since the daemon's last heartbeat; time in later ones
 * does not count.
 */
void roster_on_store_unreachable(struct roster *ro, int64_t now_us);

/**
 * Excludes a peer that did not answer in time from arbitration until
 * `until_us`, or until a message from it arrives.
 */
void roster_suspect(struct roster *ro, const char *address, int64_t until_us);

/**
 * Excludes this daemon from arbitration, as it stops soon, unless there is no
 * other daemon.
 */
void roster_leave(struct roster *ro);

/** Excludes a peer from arbitration, as it stops soon. */
void roster_record_leaving(struct roster *ro, const char *address);

/** Whether a daemon reaches the store, as it reports. */
struct roster_store_status {
	bool is_store_unreachable;
	/** Time since the store's last answer to it. */
	int64_t age_us;
};

/**
 * Records a message received directly from a peer.
 * @param status NULL if the message does not contain it
 */
void roster_record_message(struct roster *ro, const char *address,
    const struct roster_store_status *status, int64_t now_us);

/** Records that a peer passed on a report of a daemon from a time. */
void roster_record_relayed(
    struct roster *ro, const char *address, int64_t at_us);

/** Records what neighbours passed on about a daemon. */
void roster_record_contact(struct roster *ro, const struct contact *contact);

/** Hash that identifies a session in contacts. */
uint64_t roster_session_hash(const char *session);

/** Address of the daemon with a session, borrowed; NULL if it is unknown. */
const char *roster_session_address(
    const struct roster *ro, const char *session);

/** Changes whenever the owner of a key may have changed, except by time. */
uint64_t roster_epoch(const struct roster *ro);

/**
 * Front address of a peer that reaches the store, preferably a nearby one.
 * @param excluded_front front address of a peer to exclude, or ""
 * @return NULL if none is known
 */
const char *roster_front_reaching_store(
    const struct roster *ro, const char *excluded_front, int64_t now_us);

/** True if the session belongs to a daemon that is alive. */
bool roster_is_session_alive(
    const struct roster *ro, const char *session, int64_t now_us);

/**
 * The daemon in a data centre that owns a key, by rendezvous hashing among the
 * daemons with the most processor capacity; one of another data centre if none
 * is available there.
 * @param data_center NULL: any
 * @return address, borrowed; this daemon's own if there is no other
 */
const char *roster_owner(const struct roster *ro, const char *key,
    const char *data_center, int64_t now_us);

/** Sets whether this daemon reaches the store. */
void roster_set_store_status(struct roster *ro, bool is_store_unreachable);

/**
 * The daemon of any data centre that owns a key, among those that are believed
 * to reach the store.
 */
const char *roster_owner_reaching_store(
    const struct roster *ro, const char *key, int64_t now_us);

/** True if this daemon owns the key even if suspected daemons are counted. */
bool roster_is_elected_owner(const struct roster *ro, const char *key,
    const char *data_center, int64_t now_us);

/**
 * Addresses of the peers that are alive or have just left: array of strings,
 * borrowed.
 * @param data_center NULL: any
 */
GPtrArray *roster_peers(
    const struct roster *ro, const char *data_center, int64_t now_us);

/** Data centre of a peer, or "" if it is unknown. */
const char *roster_data_center(const struct roster *ro, const char *address);

/**
 * Addresses of the peers in a data centre that are alive or have recently sent
 * a message: array of strings, borrowed.
 */
GPtrArray *roster_peers_in_data_center(
    const struct roster *ro, const char *data_center, int64_t now_us);

/**
 * Rows without a heartbeat for longer than a time: array of struct roster_row.
 */
GArray *roster_stale(
    const struct roster *ro, int64_t max_age_us, int64_t now_us);

/** Number of daemons that are alive, including this one. */
int32_t roster_count_all(const struct roster *ro, int64_t now_us);

/** Heartbeat period for a number of daemons, in microseconds. */
int64_t roster_heartbeat_period_us(int32_t daemons);

/** Number of daemons alive in a data centre, including this one. */
int32_t roster_count(
    const struct roster *ro, const char *data_center, int64_t now_us);

/** Region of a data centre, or "" if no daemon there is known. */
const char *roster_region(const struct roster *ro, const char *data_center);

/* Rows in the store; these functions block. */

/** Writes this daemon's row with its heartbeat and period. */
enum store_result roster_store_heartbeat(
    const struct store *st, const struct roster_row *self, int64_t sequence);

/** Removes this daemon's row. */
enum store_result roster_store_leave(
    const struct store *st, const struct roster_row *self);

/** Reads the rows of all daemons: array of struct roster_row. */
enum store_result roster_store_read(const struct store *st, GArray **rows);

/** Removes the row of a daemon, unless it has changed since that version. */
enum store_result roster_store_remove(
    const struct store *st, const char *address, int64_t version);

#endif

#ifndef SAVORYFLOW_GATEWAY_ROSTER_INTERNAL_H
#define SAVORYFLOW_GATEWAY_ROSTER_INTERNAL_H

#include "gateway/roster.h"

/* Internal to the roster module. */

struct roster_member {
	struct roster_row row;
	/** Hash of the row's session. */
	uint64_t session;
	/** Time of the last lease renewal. */
	int64_t renewed_us;
	/** Outage after which its lease started again; 0: none since its last
	 * heartbeat. */
	uint64_t restart_outage;
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
	/** struct roster_member by session, borrowed. */
	GHashTable *sessions;
	int64_t contact_timeout_us;
	/** Outages of the store so far, and whether the last one goes on. */
	uint64_t outages;
	bool is_store_out;
	/** Time of the last read of the rows, answered or not. */
	int64_t read_us;
	bool is_self_leaving;
	bool is_self_cut_off;
	uint64_t epoch;
};

/** True if the lease has not expired. */
bool roster_member_is_alive(
    const struct roster *ro, const struct roster_member *m, int64_t now_us);

/** True if the daemon may take roles that serve others. */
bool roster_member_is_eligible(
    const struct roster *ro, const struct roster_member *m, int64_t now_us);

/** True if it is eligible and has not failed to answer this daemon. */
bool roster_member_is_usable(
    const struct roster *ro, const struct roster_member *m, int64_t now_us);

#endif

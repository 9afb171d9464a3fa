#ifndef SAVORYFLOW_MEMBERSHIP_DEFS_H
#define SAVORYFLOW_MEMBERSHIP_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	/** Size of a peer address "IP:PORT" with its terminator. */
	kMemberAddressMax = 64,
	/** Size of the name of a region or data centre with its terminator. */
	kMemberLocationMax = 256,
	/** Entries per message, except in a full exchange. */
	kMemberEntriesMax = 14,
};

enum member_state {
	kMemberAlive,
	kMemberSuspect,
	kMemberDown,
	kMemberLeft,
};

/** State of a member as disseminated between daemons. */
struct member_entry {
	char address[kMemberAddressMax];
	char http[kMemberAddressMax];
	char region[kMemberLocationMax];
	char data_center[kMemberLocationMax];
	/** Increases with each restart and each refuted suspicion. */
	uint64_t incarnation;
	enum member_state state;
};

struct member {
	struct member_entry entry;
	/** Time of the last change of state or incarnation. */
	int64_t changed_us;
	/** Time of the last message received directly from this member. */
	int64_t last_message_us;
	/** Number of messages that carried the entry since it changed. */
	int32_t sends;
	/** Sort key of the round-robin selection. */
	uint64_t sent_order;
};

enum member_message_kind {
	/** Requests an ack. */
	kMemberPing = 1,
	kMemberAck,
	/** Reports that `subject` answered a ping made for the receiver. */
	kMemberAckForwarded,
	/** Requests that the receiver pings `subject` for the sender. */
	kMemberPingRequest,
	/** Carries the whole table and requests the receiver's. */
	kMemberExchange,
	/** Carries the whole table in reply to an exchange. */
	kMemberExchangeReply,
};

struct member_message {
	enum member_message_kind kind;
	char to[kMemberAddressMax];
	char from[kMemberAddressMax];
	/** Member to ping (request), member the ping is for (ping and ack), or
	 * member that answered (forwarded ack). */
	char subject[kMemberAddressMax];
	/** Digest of the sender's table of usable members. */
	uint64_t digest;
	/** struct member_entry; the first is the sender's own. */
	GArray *entries;
};

struct membership;

/**
 * Selects the entries that a message carries in addition to the sender's own.
 */
struct member_selection_ops {
	const char *name;
	void (*select)(struct membership *ms, GPtrArray *members, int32_t max,
	    GArray *entries);
};

struct membership_options {
	struct member_entry self;
	/** Period of pings, each to one member, and time-out of the ack. */
	int64_t period_us;
	/** Time for a suspected member to refute. */
	int64_t suspect_us;
	/** Time for which a member that is down is kept and pinged again. */
	int64_t forget_us;
	const struct member_selection_ops *selection;
	/** Disables full exchanges, for measurements. */
	bool no_exchange;
	uint64_t seed;
};

#endif

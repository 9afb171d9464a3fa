#ifndef SAVORYFLOW_MEMBERSHIP_DEFS_H
#define SAVORYFLOW_MEMBERSHIP_DEFS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	/** Longest peer address "IP:PORT" with its terminator. */
	kMemberAddressMax = 64,
	/** Longest name of a region or data centre with its terminator. */
	kMemberLocationMax = 64,
	/** Most entries in one message, a full exchange apart. */
	kMemberEntriesMax = 14,
};

enum member_state {
	kMemberAlive,
	kMemberSuspect,
	kMemberDown,
	kMemberLeft,
};

/** What one daemon says of another. */
struct member_entry {
	char address[kMemberAddressMax];
	char http[kMemberAddressMax];
	char region[kMemberLocationMax];
	char data_center[kMemberLocationMax];
	/** Grows with each restart and each refuted suspicion. */
	uint64_t incarnation;
	enum member_state state;
};

struct member {
	struct member_entry entry;
	/** Time of the last change of state or incarnation. */
	int64_t changed_us;
	/** Time of the last message straight from this member. */
	int64_t heard_us;
	/** Messages that carried the entry since it changed. */
	int32_t sends;
	/** Position that the round-robin selection compares. */
	uint64_t sent_order;
};

enum member_message_kind {
	/** Asks for an ack. */
	kMemberPing = 1,
	kMemberAck,
	/** Tells the receiver that `subject` answered a ping made for it. */
	kMemberAckForwarded,
	/** Asks the receiver to ping `subject` for the sender. */
	kMemberPingRequest,
	/** Carries the whole table and asks for the receiver's. */
	kMemberExchange,
	/** Carries the whole table as the answer. */
	kMemberExchangeReply,
};

struct member_message {
	enum member_message_kind kind;
	char to[kMemberAddressMax];
	char from[kMemberAddressMax];
	/** Member to be pinged (request), pinged for (ping), or heard (ack). */
	char subject[kMemberAddressMax];
	/** Digest of the sender's table of live members. */
	uint64_t digest;
	/** struct member_entry; the sender's own is first. */
	GArray *entries;
};

struct membership;

/** Chooses the entries that a message carries beside the sender's own. */
struct member_selection_ops {
	const char *name;
	void (*select)(struct membership *ms, GPtrArray *members, int32_t most,
	    GArray *entries);
};

struct membership_options {
	struct member_entry self;
	/** Period of the ping to one member, and time for its ack. */
	int64_t period_us;
	/** Time for a suspected member to refute. */
	int64_t suspect_us;
	/** Time for which a lost member is remembered and tried again. */
	int64_t forget_us;
	const struct member_selection_ops *selection;
	/** Never exchange whole tables (for measurements). */
	bool no_exchange;
	uint64_t seed;
};

#endif

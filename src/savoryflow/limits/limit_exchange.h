#ifndef SAVORYFLOW_LIMIT_EXCHANGE_H
#define SAVORYFLOW_LIMIT_EXCHANGE_H

#include "savoryflow/limits/limit_pot.h"

/*
 * Allowances of teams over all daemons, without a store write per request.
 *
 * A request is admitted at its entry daemon by the delegate of the data centre,
 * which holds short leases from the team's owner. A small team thus needs one
 * prefetched request per data centre rather than one per daemon, and most
 * requests wait for a message within the data centre only. Teams are divided
 * into shards, each with one delegate per data centre and one owner.
 *
 * Entry and delegate are tied to their parent while it answers them. Without a
 * tie they give out their equal share, see limit_pot.h. A tie is confirmed in
 * both directions: the parent counts a child until kLimitTie...Us after the
 * time of the last own answer that the child has repeated, the child is tied
 * for that time after the receipt. A child that turns to another parent is not
 * counted there before its last tie has expired. The share of a daemon that is
 * restarted may be counted twice for kLimitTieEntryUs.
 *
 * Does no I/O and reads no clock. Times are those of a clock that advances
 * during suspension.
 */
struct limit_exchange;

enum limit_role {
	/** Daemon that a caller sent a request to. */
	kLimitEntry,
	/** Admits for a data centre. */
	kLimitDelegate,
	/** Leases the rates. */
	kLimitOwner,
	kLimitRoles,
};

enum {
	/** Teams are divided among so many owners. */
	kLimitShards = 4,
	/** A request waits for an answer for at most this time. */
	kLimitWaitUs = 150000,
	/** Period of limit_exchange_tick while requests wait. */
	kLimitTickUs = 10000,
	/** Duration of the tie of an entry to its delegate: longer than that of
	 * the delegate by two periods of messages. */
	kLimitTieEntryUs = 2000000,
	/** Duration of the tie of a delegate to an owner. */
	kLimitTieDelegateUs = 700000,
	/** Parents of a node in order; one is skipped while it is silent. */
	kLimitRanks = 3,
};

struct limit_ask_item {
	uint64_t team;
	/** sent_us of the request whose answer was applied last; 0: none. */
	int64_t last_us;
	/** Unused requests of earlier leases. */
	int64_t returned;
	/** Requests that wait. */
	int64_t wanted;
	/** Requests that are expected, granted if plenty is left. */
	int64_t prefetch;
	/** As the sender knows it. */
	struct limit_rate rate;
};

/** Request for leases, from a child to its parent. */
struct limit_ask {
	/** Role of the receiver. */
	enum limit_role role;
	int32_t shard;
	/** Daemons that the sender stands for. */
	int32_t members;
	/** at_us of the last lease message received; 0: none. */
	int64_t heard_us;
	/** Time of sending, on the sender's clock. */
	int64_t sent_us;
	const struct limit_ask_item *items;
	guint count;
};

struct limit_lease_item {
	uint64_t team;
	int64_t granted;
	/** Fewer were granted than wanted and expected: when to try again. */
	int64_t retry_us;
	/** sent_us of the request. */
	int64_t asked_us;
};

/** Answer from a parent. */
struct limit_lease {
	/** Role of the sender. */
	enum limit_role role;
	int32_t shard;
	/** Time of sending, on the sender's clock. */
	int64_t at_us;
	const struct limit_lease_item *items;
	guint count;
};

enum limit_outcome {
	kLimitAdmitted,
	kLimitRejected,
	/** on_verdict follows. */
	kLimitPending,
};

struct limit_result {
	enum limit_outcome outcome;
	/** Rejected: when a request of the team is likely to be admitted. */
	int64_t retry_us;
	/** Decided by the equal share. */
	bool is_equal_share;
};

struct limit_exchange_ops {
	/** Address of the daemon with a role in a shard; the delegate is that
	 * of this data centre.
	 * @param rank 0 to kLimitRanks - 1: alternatives, in order */
	const char *(*parent)(
	    void *ctx, enum limit_role role, int32_t shard, int32_t rank);
	/** @return false if the team is not known here */
	bool (*rate)(void *ctx, uint64_t team, struct limit_rate *rate);
	/** Messages; may be to this daemon itself, but must not be delivered
	 * from within these calls. */
	void (*send_ask)(
	    void *ctx, const char *to, const struct limit_ask *ask);
	void (*send_lease)(
	    void *ctx, const char *to, const struct limit_lease *lease);
	/** A request that waited; from limit_exchange_on_lease and _tick. */
	void (*on_verdict)(
	    void *ctx, uint64_t id, const struct limit_result *result);
	/** A parent did not answer and is skipped; may be NULL. */
	void (*on_silent)(void *ctx, enum limit_role role, int32_t shard,
	    const char *address);
};

struct limit_exchange_options {
	/** Address of this daemon. */
	const char *address;
	const struct limit_exchange_ops *ops;
	void *ctx;
	int64_t now_us;
};

struct limit_exchange *limit_exchange_new(
    const struct limit_exchange_options *opt);
void limit_exchange_free(struct limit_exchange *ex);

/** Sets the number of daemons that are alive, this one included. */
void limit_exchange_set_daemons(
    struct limit_exchange *ex, int32_t daemons, int64_t now_us);

/**
 * Asks for the admission of a request.
 * @param id of the request, for on_verdict
 */
struct limit_result limit_exchange_request(struct limit_exchange *ex,
    uint64_t id, uint64_t team, const struct limit_rate *rate, int64_t now_us);

/** The answer for a request that waits is not wanted any more. */
void limit_exchange_cancel(
    struct limit_exchange *ex, uint64_t id, uint64_t team);

/** A request that was admitted was refused without having run. */
void limit_exchange_refund(struct limit_exchange *ex, uint64_t team,
    const struct limit_rate *rate, int64_t admitted_us, int64_t now_us);

void limit_exchange_on_ask(struct limit_exchange *ex, const char *from,
    const struct limit_ask *ask, int64_t now_us);
void limit_exchange_on_lease(struct limit_exchange *ex, const char *from,
    const struct limit_lease *lease, int64_t now_us);

/** True if limit_exchange_flush has messages to send. */
bool limit_exchange_is_dirty(const struct limit_exchange *ex);

/** Sends the messages that have become due, one per receiver. */
void limit_exchange_flush(struct limit_exchange *ex, int64_t now_us);

/** Repeats requests, ends waits, keeps ties; then flushes. */
void limit_exchange_tick(struct limit_exchange *ex, int64_t now_us);

/** When limit_exchange_tick is to be called next. */
int64_t limit_exchange_next_us(const struct limit_exchange *ex, int64_t now_us);

/** State, for operators. */
struct limit_exchange_state {
	/** Shards in which this daemon is tied to a delegate. */
	int32_t tied_shards;
	/** Shards that this daemon owns, and daemons counted in them. */
	int32_t owned_shards;
	/** Teams remembered in all roles. */
	int32_t teams;
	int32_t waiting;
};

void limit_exchange_get_state(const struct limit_exchange *ex, int64_t now_us,
    struct limit_exchange_state *state);

#endif

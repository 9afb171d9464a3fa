#ifndef SAVORYFLOW_LIMIT_NODE_H
#define SAVORYFLOW_LIMIT_NODE_H

#include "savoryflow/limits/limit_exchange.h"

/* Internal to limit_exchange: one role in one shard. */

enum {
	kLimitAddressMax = 64,
	/* Demand is counted in windows of this length. */
	kLimitWindowUs = 500000,
	/* A team without requests for this time gets no more leases. */
	kLimitActiveUs = 30000000,
	/* Leases that would expire before the next tick are renewed. */
	kLimitRenewTickUs = 110000,
};

/** What a child or request waits for. */
struct limit_waiter {
	/** Entry: id of the request. Delegate: hash of the child. */
	uint64_t id;
	int64_t count;
	int64_t since_us;
	/** Delegate: sent_us of the child's request. */
	int64_t asked_us;
};

/** A team at an entry or a delegate. */
struct limit_team {
	uint64_t team;
	struct limit_rate rate;
	/** Requests that may be admitted until expires_us. */
	int64_t credit;
	int64_t expires_us;
	/** Time of the request to the parent that is not answered yet; 0: none.
	 */
	int64_t asked_us;
	/** Requests that waited then, and those expected. */
	int64_t asked_wanted;
	int64_t asked_count;
	/** The request gave back the credit: what was spent of it since. */
	int64_t spent;
	/** Time of the request whose answer was applied last. */
	int64_t last_us;
	/** Requests in the current and the previous window. */
	int64_t requests;
	int64_t prev_requests;
	int64_t window_us;
	int64_t used_us;
	/** The parent has nothing for the team until then, or nothing for
	 * requests that do not wait yet. */
	int64_t refuse_until_us;
	int64_t no_prefetch_until_us;
	/** Time that was told to the last request that was refused. */
	int64_t next_retry_us;
	/** struct limit_waiter. */
	GArray *waiters;
	/** Leases that expire within this time are renewed. */
	int64_t renew_us;
	bool is_dirty;
};

/** What a child got for its last request. It is undone if the next request
 * shows that the answer was lost. */
struct limit_record {
	uint64_t team;
	int64_t asked_us;
	int64_t returned;
	int64_t granted;
	/** On the clock of this daemon. */
	int64_t at_us;
};

struct limit_child {
	uint64_t id;
	char address[kLimitAddressMax];
	/** struct limit_lease_item to be sent. */
	GArray *items;
	/** struct limit_record by team. */
	GHashTable *records;
	bool must_answer;
	int64_t seen_us;
};

struct limit_node {
	struct limit_exchange *ex;
	enum limit_role role;
	int32_t shard;
	struct limit_pot *pot;
	/** struct limit_team; not of an owner. */
	GHashTable *teams;
	/** uint64_t: teams with is_dirty. */
	GArray *dirty;
	/** struct limit_child by id. */
	GHashTable *children;
	bool has_answers;
	char parent[kLimitAddressMax];
	int32_t rank;
	int64_t rank_until_us;
	int64_t heard_us;
	/** The tie to an earlier parent lasts until then. */
	int64_t bound_until_us;
	int64_t beat_us;
	/** Times of requests increase, so that each can be told apart. */
	int64_t sent_us;
	/** Time of the first request without an answer since; 0: none. */
	int64_t unanswered_us;
	int32_t unanswered;
	/** Time of the parent's last answer. */
	int64_t answered_us;
	int64_t swept_us;
	int32_t waiting;
};

/** A verdict that is delivered at the end of the present call. */
struct limit_verdict_due {
	uint64_t id;
	struct limit_result result;
};

struct limit_exchange {
	struct limit_exchange_options opt;
	char address[kLimitAddressMax];
	int32_t daemons;
	bool has_work;
	/** struct limit_verdict_due. */
	GArray *verdicts;
	/** NULL until the role is taken. */
	struct limit_node *nodes[kLimitRoles][kLimitShards];
};

uint64_t limit_address_hash(const char *address);

struct limit_node *limit_node_new(struct limit_exchange *ex,
    enum limit_role role, int32_t shard, int64_t now_us);
void limit_node_free(struct limit_node *node);

struct limit_team *limit_node_team(struct limit_node *node, uint64_t team,
    const struct limit_rate *rate, int64_t now_us);

/** Counts requests of a team towards its demand. */
void limit_team_record(struct limit_team *te, int64_t count, int64_t now_us);

/** Begins a new window of the demand if it is time. */
void limit_team_roll(struct limit_team *te, int64_t now_us);

/** Drops a lease that has expired; a debt stays. */
void limit_team_expire(struct limit_team *te, int64_t now_us);

/** Takes all of `count` requests from the lease or the equal share, or none.
 * @param is_equal_share set if the equal share gave them; may be NULL */
bool limit_node_spend(struct limit_node *node, struct limit_team *te,
    int64_t count, bool *is_equal_share, int64_t now_us);

/** The team is to be looked at when messages are sent. */
void limit_node_mark(struct limit_node *node, struct limit_team *te);

/** Requests that a node gets back with a child's request for a team.
 * @return false if the request is older than one that was handled */
bool limit_child_reconcile(struct limit_child *child,
    const struct limit_ask_item *item, int64_t sent_us, int64_t *returned,
    int64_t now_us);

/** Sends the request to the parent, if there is one to send. */
void limit_node_send_ask(struct limit_node *node, bool is_beat, int64_t now_us);
void limit_node_send_leases(struct limit_node *node, int64_t now_us);

/** Handles the parent's answer for one team. */
void limit_node_on_item(struct limit_node *node,
    const struct limit_lease_item *item, int64_t now_us);

/** Repeats requests, ends waits and forgets idle teams. */
void limit_node_tick(struct limit_node *node, int64_t now_us);

/** Answers a child later, with the next message. */
void limit_node_answer(struct limit_node *node, uint64_t child,
    const struct limit_lease_item *item);

/** When to try again, after a refusal; each call gives a later time. */
int64_t limit_node_retry_us(struct limit_node *node, struct limit_team *te,
    int64_t wait_us, int64_t now_us);

#endif

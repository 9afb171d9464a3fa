#ifndef SAVORYFLOW_GATEWAY_SLOTS_INTERNAL_H
#define SAVORYFLOW_GATEWAY_SLOTS_INTERNAL_H

#include "gateway/slots.h"
#include "savoryflow/slotpool/slotpool.h"
#include "target/target_rates.h"

/* Internal to the slots module. */

enum {
	kPoolKeyMax = 2 * kFleetNameMax,
	/* Each attempt at another pool takes time, and a refusal has to reach
	 * the caller early. */
	kPoolsTriedMax = 2,
};

/** Key of a pool in the tables of this module, and for the election of its
 * arbiter. Names that are too long for a pool's have the key of none. */
struct pool_key {
	char text[kPoolKeyMax];
};

struct pool_key slots_pool_key(const char *service, const char *data_center);

/** An arbiter hosted by this daemon. */
struct hosted_pool {
	char service[kFleetNameMax];
	char data_center[kFleetNameMax];
	struct slotpool *pool;
	/** Since when this daemon arbitrates the pool. */
	int64_t started_us;
	struct slotpool_load reported;
	int64_t reported_us;
	/** Time of the last report to the arbiters of other data centres. */
	int64_t reported_far_us;
	int64_t logged_us;
	int64_t used_us;
	/** Time of the last report that listed the targets that name a rate;
	 * whether one of them has changed since, and whether it listed any. */
	int64_t rates_reported_us;
	bool has_rate_changed;
	bool has_reported_rates;
};

/** This daemon's view of a pool. */
struct pool_view {
	char service[kFleetNameMax];
	char data_center[kFleetNameMax];
	char key[kPoolKeyMax];
	/** Slots of the listed targets that accept work. */
	int32_t listed_slots;
	struct slotpool_load load;
	int64_t load_at_us;
	/** Epoch of the arbiter that reported the load. */
	uint64_t epoch;
	/** The arbiter that reported the load to this one, which is to pass it
	 * on to its data centre. */
	char reporter[kFleetAddressMax];
	/** Time of the last report of another daemon than this one, received
	 * directly or passed on. */
	int64_t other_report_us;
	/** Time when the connection to the reporter was last used. */
	int64_t connected_us;
	bool is_relay_due;
	/** Owner of the pool's key, and when it was determined. */
	char owner[kFleetAddressMax];
	uint64_t owner_epoch;
	int64_t owner_at_us;
	/** Time of the owner's last message. */
	int64_t owner_heard_us;
	/** Since when this daemon owns the pool; 0 if it does not. */
	int64_t owned_since_us;
	/** Online slots requested or granted since the last load report, minus
	 * those released. */
	int32_t local_delta;
};

enum hold_phase {
	kHoldRequested,
	kHoldQueued,
	kHoldGranted,
	/** Granted from this daemon's own share, as no arbiter answered. */
	kHoldLocal,
};

/** A slot that a request of this daemon holds or waits for. */
struct hold {
	struct slot_request request;
	char service[kFleetNameMax];
	enum hold_phase phase;
	/** The target names a rate, as far as the arbiter knows. */
	bool is_rate_limited;
	/** The excluded target is never chosen. */
	bool is_exclusion_strict;
	struct pool_view *view;
	char arbiter[kFleetAddressMax];
	char target[kFleetNameMax];
	struct slot_run_times run;
	/** Time of slots_acquire, and of the request at the current arbiter. */
	int64_t acquired_us;
	int64_t requested_us;
	/** Time when the arbiter that had queued the request was replaced or
	 * asked again; 0: never. */
	int64_t lost_us;
	/** Requests sent to arbiters. */
	int32_t requested_count;
	int64_t granted_us;
	int64_t renewed_us;
	/** Longest retry delay of the pools that refused. */
	int64_t retry_after_us;
	/** Arbiters that did not answer in time. */
	int32_t unresponsive_count;
	/** Pools that refused the request. */
	struct pool_view *tried[kPoolsTriedMax];
	int32_t tried_count;
	const struct slots_ops *ops;
	void *ctx;
};

struct delivery {
	uint64_t id;
	enum slotpool_verdict verdict;
	char target[kFleetNameMax];
	int64_t retry_after_us;
	/** Refused: no target of the pool is healthy. */
	bool has_no_healthy_target;
	bool is_rate_limited;
};

struct slots {
	struct slots_options opt;
	uint64_t epoch;
	uint64_t next_id;
	/** struct hold by id. */
	GHashTable *holds;
	/** struct pool_view and struct hosted_pool by key. */
	GHashTable *views;
	GHashTable *hosted;
	/** Addresses of the requesting daemons; the index identifies the
	 * holder. */
	GPtrArray *holders;
	struct target_rates *rates;
	GArray *deliveries;
	uint64_t timer;
	int64_t next_tick_us;
	/** The last tick was late and judged nothing. */
	bool is_tick_put_off;
	/** Lines logged about long waits in the second that began then. */
	int64_t wait_logged_us;
	int32_t wait_logged_count;
};

/* slots_send.c */

/** The request with the expected run time that remains, if it has started. */
struct slot_request slots_remaining_request(
    const struct slots *sl, const struct hold *h);

/**
 * Sends a slot request to the arbiter of a hold.
 * @param adopt_target target of a slot that is already held, or NULL
 */
void slots_send_request(
    struct slots *sl, const struct hold *h, const char *adopt_target);

/** Sends the release of a slot, with the outcome of its use, to the arbiter. */
void slots_send_release(
    struct slots *sl, const struct hold *h, enum slot_outcome outcome);

/* slots_wait.c */

/**
 * Logs the end of an online request's wait, if it was long.
 * @param end the decision, or that the request was withdrawn
 */
void slots_log_wait(struct slots *sl, const struct hold *h, const char *end);

/** True if this daemon is the arbiter that was asked. */
bool slots_is_hosted_here(const struct slots *sl, const struct hold *h);

/** True while an arbiter that acknowledged the request keeps it queued. */
bool slots_is_kept(const struct slots *sl, const struct hold *h);

/** True if the request is to be decided now, whatever its arbiter does. */
bool slots_is_wait_over(struct slots *sl, const struct hold *h);

/** Grants this daemon's share of the nearby targets, as no arbiter answers.
 * @return false if it is in use */
bool slots_grant_local_share(struct slots *sl, struct hold *h);

/* slots_choice.c */

/** The daemon that arbitrates a pool, borrowed. */
const char *slots_arbiter(struct slots *sl, struct pool_view *view);

/** Returns the view of a pool; creates it if needed. */
struct pool_view *slots_view(
    struct slots *sl, const char *service, const char *data_center);

/** Records a message of a daemon that arbitrates. */
void slots_record_contact(struct slots *sl, const char *arbiter);

/** Time that a request to the pool's arbiter and its answer take, in
 * microseconds, including the connections that have to be opened first. */
int64_t slots_request_us(struct slots *sl, struct pool_view *view);

/** Time after which the pool's arbiter, which may be in another data centre
 * than the pool, is taken not to answer a request, in microseconds. */
int64_t slots_answer_us(struct slots *sl, struct pool_view *view);

/** Expected wait of another online request at the pool, in microseconds. */
int64_t slots_view_wait_us(
    const struct slots *sl, const struct pool_view *view);

/**
 * Chooses a pool other than those that have refused the request.
 * @param retry_after_us receives the retry delay if there is none
 * @return NULL if there is none
 */
struct pool_view *slots_choose_pool(
    struct slots *sl, const struct hold *h, int64_t *retry_after_us);

/** True if no pool of the service has a healthy target. */
bool slots_all_unhealthy(const struct slots *sl, const char *service);

/* slots_exclusion.c */

/**
 * @param data_center NULL: any
 * @return true if a listed target of the service other than the excluded one
 *         takes requests
 */
bool slots_has_other_target(const struct slots *sl, const char *service,
    const char *data_center, const char *excluded);

/** True if a listed target of the pool may serve the request. */
bool slots_may_serve(
    const struct slots *sl, const struct pool_view *view, const struct hold *h);

/** Lets the excluded target be chosen, and all pools be tried again.
 * @return false if no target is excluded, or it has to be */
bool slots_end_exclusion(struct hold *h);

/** Ends the exclusion if no other target is left, or it has lasted its time. */
void slots_expire_exclusion(const struct slots *sl, struct hold *h);

/* slots_report.c */

/** Reports the load of a hosted pool to the daemons that use it, if due. */
void slots_report_load(
    struct slots *sl, struct hosted_pool *hp, int64_t now_us);

/* slots_rate.c */

/** The rate of a target that this daemon knows, borrowed; NULL: none. */
const struct target_rate *slots_find_rate(
    const struct slots *sl, const struct fleet_target *t);

/** Rates as they are sent between daemons. */
struct wire_rates {
	Sfpeer__TargetRate *rows;
	/** The same as protobuf lists them. */
	Sfpeer__TargetRate **refs;
	size_t count;
};

/** @param rates array of struct slotpool_rate, borrowed until wire_rates_clear
 */
void wire_rates_init(struct wire_rates *wire, const GArray *rates);
void wire_rates_clear(struct wire_rates *wire);

/** Rates of a pool's targets that this daemon knows: array of struct
 * slotpool_rate. */
GArray *slots_known_rates(
    const struct slots *sl, const char *service, const char *data_center);

/** Lists the rates that are to go with a request: all that are known, if the
 * arbiter may not know them. */
void slots_rates_for_arbiter(
    struct slots *sl, const struct hold *h, struct wire_rates *wire);

/** Learns the complete rates of a pool that this daemon arbitrates. */
void slots_on_own_rates(
    struct slots *sl, const struct hosted_pool *hp, const GArray *rates);

/** Learns rates that came with a request. */
void slots_on_rates(
    struct slots *sl, Sfpeer__TargetRate *const *rates, size_t count);

/** Learns the complete rates of a pool from its arbiter's report. */
void slots_on_reported_rates(struct slots *sl, const struct pool_view *view,
    const Sfpeer__PoolLoad *wire);

/** Passes what an answer says of its target's rate to the hosted arbiter. */
void slots_on_slot_rate(struct slots *sl, const Sfpeer__SlotRate *wire);

/* slots_host.c */

/** The pool hosted by this daemon, or NULL. */
struct hosted_pool *slots_hosted_find(
    struct slots *sl, const char *service, const char *data_center);

/** Applies a rate at a hosted pool. */
void slots_host_record_rate(
    struct slots *sl, struct hosted_pool *hp, const struct slotpool_rate *rate);

/** Passes a slot request to an arbiter hosted by this daemon. */
void slots_host_request(struct slots *sl, const struct slot_request *request,
    const char *service, const char *data_center, const char *adopt_target);
void slots_host_release(struct slots *sl, const char *service,
    const char *data_center, uint64_t id, enum slot_outcome outcome);

/** Records the run of a slot at a hosted arbiter, before its release. */
void slots_host_record_run(struct slots *sl, const char *service,
    const char *data_center, uint64_t id, const struct slot_run_times *run);
void slots_host_targets_changed(struct slots *sl);
void slots_host_remove_holder(struct slots *sl, const char *address);
void slots_host_tick(struct slots *sl, int64_t now_us);
void slots_host_free(void *p);
uint32_t slots_holder_index(struct slots *sl, const char *address);
void slots_host_on_request(
    struct slots *sl, const char *from, const Sfpeer__SlotAsk *wire);
void slots_host_on_release(
    struct slots *sl, const char *from, const Sfpeer__SlotNote *wire);

/** Queues an answer to a slot request of this daemon. */
void slots_deliver(struct slots *sl, const struct delivery *del);

#endif

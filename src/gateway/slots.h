#ifndef SAVORYFLOW_GATEWAY_SLOTS_H
#define SAVORYFLOW_GATEWAY_SLOTS_H

#include "gateway/loop.h"
#include "gateway/roster.h"
#include "peer/peer.pb-c.h"
#include "savoryflow/fleet/fleet.h"
#include "savoryflow/limits/stated_rate.h"
#include "savoryflow/slotpool/slotpool_defs.h"

struct slots_wire_ops {
	/** Sends a message to another daemon; delivery is not guaranteed. */
	void (*send)(void *ctx, const char *to, Sfpeer__Envelope *env);
	/** Opens the connection to a daemon that messages will follow to. */
	void (*connect)(void *ctx, const char *to);
	/** Replaces the connection to a daemon that does not answer. */
	void (*reconnect)(void *ctx, const char *to);
};

struct slots_options {
	struct loop *lp;
	struct roster *roster;
	const struct fleet *fleet;
	/** Address of this daemon. */
	const char *address;
	const char *data_center;
	/** Makes request ids unique across daemons and restarts. */
	uint64_t seed;
	const struct slots_wire_ops *wire;
	void *wire_ctx;
};

struct slots_acquire_options {
	const char *service;
	bool is_batch;
	/** Online: latest useful time of a grant. Batch: due time. */
	int64_t deadline_us;
	/** Batch: expected run time; 0 if unknown. */
	int64_t expected_run_us;
	uint64_t prefix;
	struct slot_parts parts;
	/** Online: team that the request is attributed to, NULL or "": none;
	 * and whether there are teams. */
	const char *team;
	bool has_teams;
	/** The team's weight, thousandths of requests a second; 0: usual. */
	uint32_t weight;
	/** 0 first. */
	uint32_t priority;
	/** Target to avoid for a while, or NULL. */
	const char *excluded_target;
	/** The excluded target still runs the request, or has no room: it is
	 * not chosen until slots_relax_exclusion. */
	bool is_exclusion_strict;
};

/** Callbacks of a slot request; never called from within slots_acquire. */
struct slots_ops {
	void (*on_granted)(void *ctx, uint64_t id, const char *target);
	void (*on_refused)(void *ctx, uint64_t id, int64_t retry_after_us);
	/** The arbiter revokes the slot; it must be released. */
	void (*on_revoked)(void *ctx, uint64_t id);
};

/**
 * Slots of targets for this daemon's requests: pool selection, arbiter lookup
 * and the slots held; also the arbiters hosted by this daemon. Must be used on
 * the event loop only.
 */
struct slots;

struct slots *slots_new(const struct slots_options *opt);
void slots_free(struct slots *sl);

/**
 * Requests a slot.
 * @return id for slots_release
 */
uint64_t slots_acquire(struct slots *sl,
    const struct slots_acquire_options *request, const struct slots_ops *ops,
    void *ctx);

/** The excluded target of a slot request no longer runs the request. */
void slots_relax_exclusion(struct slots *sl, uint64_t id);

/** Records the run of a slot, for its arbiter; sent with the release. */
void slots_record_run(
    struct slots *sl, uint64_t id, const struct slot_run_times *run);

/** Releases a slot or withdraws its request; no further callback follows. */
void slots_release(struct slots *sl, uint64_t id, enum slot_outcome outcome);

/**
 * Applies what the head of the answer to an attempt says of its target's rate.
 * The answer must be the attempt's own.
 * @param id slot of the attempt, still held
 * @param started_ms start of the target that was sent the attempt
 */
void slots_record_rate(struct slots *sl, uint64_t id, int64_t started_ms,
    const struct stated_rate *said, const char *attempt_id);

/** Applies a changed list of targets to all pools. */
void slots_targets_changed(struct slots *sl);

/**
 * Moves held slots and pending requests to the current arbiters, after the set
 * of daemons has changed.
 */
void slots_reassign_arbiters(struct slots *sl);

/** Frees the slots held by a daemon that was removed or has restarted. */
void slots_remove_daemon(struct slots *sl, const char *address);

/** The daemon that arbitrates a pool, borrowed. */
const char *slots_pool_arbiter(
    struct slots *sl, const char *service, const char *data_center);

/** True if this daemon arbitrates a pool. */
bool slots_is_arbiter(const struct slots *sl);

/** Handles the slot messages of a peer's envelope. */
void slots_on_envelope(struct slots *sl, const Sfpeer__Envelope *env);

/**
 * Network latency, in microseconds, of opening a connection to a data centre
 * and sending one request on it.
 */
int64_t slots_link_us(const struct slots *sl, const char *data_center);

#endif

#ifndef SAVORYFLOW_GATEWAY_SLOTS_H
#define SAVORYFLOW_GATEWAY_SLOTS_H

#include "gateway/loop.h"
#include "gateway/roster.h"
#include "peer/peer.pb-c.h"
#include "savoryflow/fleet/fleet.h"
#include "savoryflow/slotpool/slotpool_defs.h"

/** Sends a message to another daemon; it may be lost. */
struct slots_wire_ops {
	void (*send)(void *ctx, const char *to, Sfpeer__Envelope *env);
};

struct slots_options {
	struct loop *lp;
	struct roster *roster;
	const struct fleet *fleet;
	/** This daemon. */
	const char *address;
	const char *data_center;
	/** Makes ids unique over all daemons and restarts. */
	uint64_t seed;
	const struct slots_wire_ops *wire;
	void *wire_ctx;
};

struct slots_acquire_options {
	const char *service;
	bool is_batch;
	/** Online: a slot is of no use after that. Batch: when it is due. */
	int64_t deadline_us;
	/** Batch: expected time of the run; 0 if that is not known. */
	int64_t expected_run_us;
	uint64_t prefix;
	/** Target that is to be avoided, or NULL. */
	const char *excluded_target;
};

/** Answers to a request for a slot; never called from within slots_acquire. */
struct slots_ops {
	void (*on_granted)(void *ctx, uint64_t id, const char *target);
	void (*on_refused)(void *ctx, uint64_t id, int64_t retry_after_us);
	/** The slot is taken back; it is to be released. */
	void (*on_revoked)(void *ctx, uint64_t id);
};

/**
 * Slots of targets, for this daemon's requests: which pool to ask, its
 * arbiter, what is held; and the arbiters that this daemon hosts. Loop only.
 */
struct slots;

struct slots *slots_new(const struct slots_options *opt);
void slots_free(struct slots *sl);

/** Asks for a slot. @return its id, for slots_release */
uint64_t slots_acquire(struct slots *sl,
    const struct slots_acquire_options *ask, const struct slots_ops *ops,
    void *ctx);

/** Gives a slot back or withdraws the request; no further answer comes. */
void slots_release(struct slots *sl, uint64_t id, enum slot_outcome outcome);

/** The list of targets has changed. */
void slots_targets_changed(struct slots *sl);

/** Tells the present arbiters what is held: the daemons have changed. */
void slots_reassign_arbiters(struct slots *sl);

/** A daemon is gone, or started anew: it holds nothing. */
void slots_forget_daemon(struct slots *sl, const char *address);

/** Takes a peer's messages. */
void slots_on_envelope(struct slots *sl, const Sfpeer__Envelope *env);

/** Time that a new connection to a data centre and a request on it spend on
 * the links. */
int64_t slots_link_us(const struct slots *sl, const char *data_center);

#endif

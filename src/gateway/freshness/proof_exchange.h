#ifndef SAVORYFLOW_GATEWAY_PROOF_EXCHANGE_H
#define SAVORYFLOW_GATEWAY_PROOF_EXCHANGE_H

#include "gateway/front.h"
#include "gateway/roster.h"
#include "gateway/slots.h"

/*
 * Proofs that the routes in force are the newest, from the store and from
 * peers, and the requests that wait for one. Loop only.
 */

struct proof_exchange_options {
	struct loop *lp;
	const struct clock_source *clk;
	/** Time after which a revoked key must not be let in. */
	int64_t bound_us;
	struct roster *roster;
	const char *data_center;
	const struct slots_wire_ops *wire;
	void *wire_ctx;
	/** Reads the configuration; proof_exchange_on_read follows. */
	void (*read)(void *ctx);
	/** Fetches the configuration from a peer that has a newer one. */
	void (*fetch)(void *ctx, const char *peer);
	void *ctx;
};

struct proof_exchange;

struct proof_exchange *proof_exchange_new(
    const struct proof_exchange_options *opt);

/** Does not answer the requests that wait. */
void proof_exchange_free(struct proof_exchange *px);

/** Reads the store or asks peers if the proof gets old; updates the gauge. */
void proof_exchange_tick(struct proof_exchange *px);

/** The routes of this version of the row are in force. */
void proof_exchange_on_routes(struct proof_exchange *px, int64_t row_version);

/** See struct watch_ops. */
void proof_exchange_on_proof(
    struct proof_exchange *px, int64_t sent_us, int64_t row_version);
void proof_exchange_on_read(struct proof_exchange *px, bool is_ok);

/** Answers the questions of a peer, and records its answers. */
void proof_exchange_on_envelope(
    struct proof_exchange *px, const Sfpeer__Envelope *env);

/** Whether a request may be let in, or sent to a target, by the routes in
 * force. */
bool proof_exchange_admits(struct proof_exchange *px);

/** Whether a key that the routes in force lack is certainly unknown. */
bool proof_exchange_shows_unknown(const struct proof_exchange *px);

/**
 * A request waits for a proof: reads the store or asks peers, if possible.
 * @return false if no proof is to be expected soon
 */
bool proof_exchange_improve(struct proof_exchange *px);

/**
 * Holds a request for which no recent enough proof is known, if one may arrive
 * soon; resume is called for it once, unless the caller leaves.
 * @return false if it is to be refused
 */
bool proof_exchange_hold(struct proof_exchange *px, struct front_request *req,
    void (*resume)(void *ctx, struct front_request *req), void *ctx);

#endif

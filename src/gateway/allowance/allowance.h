#ifndef SAVORYFLOW_GATEWAY_ALLOWANCE_H
#define SAVORYFLOW_GATEWAY_ALLOWANCE_H

#include "gateway/slots.h"
#include "savoryflow/limits/limit_exchange.h"
#include "savoryflow/routebook/routebook.h"

/*
 * Allowances of teams: connects limit_exchange to the peers, the roster and the
 * routes in force. Without a team that has a limit nothing is sent and no timer
 * runs. Loop only.
 */

struct allowance_options {
	struct loop *lp;
	const struct roster *roster;
	/** Address and data centre of this daemon. */
	const char *address;
	const char *data_center;
	const struct slots_wire_ops *wire;
	void *wire_ctx;
	/** Routes in force; NULL if there are none. */
	const struct routebook *(*routes)(void *ctx);
	/** Microseconds of a clock that advances during suspension. */
	int64_t (*now_us)(void *ctx);
	void *ctx;
};

struct allowance;

/** Decision about a request. */
struct allowance_result {
	struct limit_result limit;
	/** Rejected: this daemon has just started and knows no peers, so that
	 * it cannot tell what is left of the allowance. */
	bool is_starting;
};

/** What a request has taken from its team's allowance. */
struct allowance_ticket {
	/** 0: the request is not counted. */
	uint64_t team;
	struct limit_rate rate;
	/** While the request waits; 0: it does not. */
	uint64_t wait_id;
	/** 0: it has not been admitted. */
	int64_t admitted_us;
};

/** @param result kLimitAdmitted or kLimitRejected */
typedef void (*allowance_fn)(void *ctx, const struct limit_result *result);

struct allowance *allowance_new(const struct allowance_options *opt);
void allowance_free(struct allowance *al);

/**
 * Counts a request of a team.
 * @param ticket receives what is needed to end the wait or to give the request
 * back; it must stay valid while the request waits
 * @param fn called if the outcome is kLimitPending, never from within this call
 */
struct allowance_result allowance_request(struct allowance *al,
    const char *team, struct allowance_ticket *ticket, allowance_fn fn,
    void *ctx);

/** The request has ended without having run, or waits no more: it is not
 * counted. Does nothing if it was not counted. */
void allowance_give_back(struct allowance *al, struct allowance_ticket *ticket);

/** Starts when a team has a limit; several times a second. */
void allowance_housekeeping(struct allowance *al);

/** Handles the messages of a peer's envelope. */
void allowance_on_envelope(struct allowance *al, const Sfpeer__Envelope *env);

#endif

#ifndef STANDIN_ROWS_FAULTS_H
#define STANDIN_ROWS_FAULTS_H

#include <jansson.h>

#include "http.h"

/** What happens to one call of a daemon. */
enum rows_way_action {
	kWayPass,
	kWayRefuse,
	kWayTurnAway,
	kWayReset,
	kWaySilent,
	/** The call is performed, its answer is lost. */
	kWayLose,
	/** The connection ends at once, the call is performed later. */
	kWayLater,
};

struct rows_verdict {
	enum rows_way_action action;
	/** Before the call is performed or ended. */
	int delay_ms;
	/** After it was performed, before its answer. */
	int hold_ms;
};

/** Faults on the ways of single daemons to the store. */
struct rows_faults;

struct rows_faults *rows_faults_new(void);

void rows_faults_free(struct rows_faults *rf);

/**
 * Sets the way of one daemon, or with the daemon "*" of all that have none of
 * their own, from {"daemon","mode","delay_ms","seed"}. Modes: "pass", "refuse",
 * "turn_away", "reset", "silent", "slow", "lose"; "late" (a change is made
 * after the caller has given up), "later" (the connection ends, then the change
 * is made); "lose_refuse" and "later_refuse" (so for the next change of an open
 * job, then all calls are refused); "hold" (a change of an open job is made at
 * once and answered after the delay); "mix" (drawn from the seed, call by
 * call).
 */
void rows_faults_set(struct rows_faults *rf, const json_t *doc);

/** Decides on a call; its path starts with the daemon's name. */
struct rows_verdict rows_faults_decide(
    struct rows_faults *rf, const struct standin_request *req);

/** @return true if the first segment of the path is the name */
bool rows_url_is_from(const char *url, const char *daemon);

/**
 * Performs a call after its connection has ended.
 * @param perform called with a copy of the request that has no connection
 */
void rows_faults_perform_later(const struct standin_request *req, int delay_ms,
    standin_handler perform, void *ctx);

/** Makes the end of the call's connection a reset. */
void rows_faults_reset(const struct standin_request *req);

#endif

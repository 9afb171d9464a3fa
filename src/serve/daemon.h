#ifndef SAVORYFLOW_SERVE_DAEMON_H
#define SAVORYFLOW_SERVE_DAEMON_H

#include "os/clock.h"
#include "os/pool.h"
#include "peer/peer.h"
#include "savoryflow/config/config.h"
#include "settings/settings.h"
#include "store/store.h"
#include "target/target.h"

/*
 * Parts of one daemon. Lock order, first to last: request (api), call, grants,
 * routes, limiter, config holder, log. No lock is held while a part that comes
 * before it is called.
 */
struct daemon {
	struct settings *set;
	const struct clock_source *clk;
	struct store *store;
	struct config_holder *configs;
	struct peer *peer;
	struct target_client *targets;
	/** Requests that wait for the platform. */
	struct pool *workers;
	/** Periodic work with the platform. */
	struct pool *pollers;
	struct timers *timers;
	struct routes *routes;
	struct grants *grants;
	struct limiter *limiter;
	struct intents *intents;
	struct batch_runner *batch;
	struct poller *poller;
	struct api *api;
	/** Grows with each start under the same address. */
	uint64_t incarnation;
	/** Atomic: takes requests / is leaving / the store answered last. */
	int is_ready;
	int is_draining;
	int is_store_up;
};

/** Runs the daemon until it is told to stop. @return exit code */
int daemon_run(struct settings *set);

/** Asks the daemon to leave gracefully; any thread. */
void daemon_drain(struct daemon *d);

/** Notes whether the store answered; logs a change. */
void daemon_record_store_state(struct daemon *d, bool is_up);

/** Id that is unique over all daemons and restarts. */
uint64_t daemon_unique_id(struct daemon *d);

#endif

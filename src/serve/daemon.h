#ifndef SAVORYFLOW_SERVE_DAEMON_H
#define SAVORYFLOW_SERVE_DAEMON_H

#include "os/clock.h"
#include "os/thread_pool.h"
#include "peer/peer.h"
#include "savoryflow/config/config.h"
#include "savoryflow/drain/drain_plan.h"
#include "settings/settings.h"
#include "store/store.h"
#include "target/target.h"

/*
 * Components of one daemon. Lock order, first to last: request (api), call,
 * grants, routes, limiter, config holder, crash watch, log. A component is not
 * called while a lock that comes after its own is held.
 */
struct daemon {
	struct settings *set;
	const struct clock_source *clk;
	struct store *store;
	struct config_holder *configs;
	struct peer *peer;
	struct target_client *targets;
	/** Runs requests that block on the store. */
	struct thread_pool *workers;
	/** Periodic work against the store. */
	struct thread_pool *pollers;
	struct timers *timers;
	struct routes *routes;
	struct grants *grants;
	struct limiter *limiter;
	struct crash_watch *crashes;
	/** Memory for answers of targets. */
	struct answer_room *answers;
	struct intents *intents;
	struct batch_runner *batch;
	struct poller *poller;
	struct api *api;
	/** Increases with each start under the same address. */
	uint64_t incarnation;
	/* Atomic flags. */
	/** A configuration is in force. */
	int is_ready;
	int is_draining;
	/** The drain plan is set, and does not change. */
	int has_drain_plan;
	/** The store answered the last operation. */
	int is_store_up;
	struct drain_plan drain;
};

/** Runs the daemon until SIGTERM or SIGINT. @return exit code */
int daemon_run(struct settings *set);

/** Starts a graceful shutdown; thread-safe. */
void daemon_drain(struct daemon *d);

/** Whether new work is taken: always, unless the daemon shuts down and the work
 * could not end before. Thread-safe. */
bool daemon_accepts(struct daemon *d, const struct drain_work *work);

/** Time left for running requests; -1 if the daemon does not shut down. */
int64_t daemon_drain_left_us(struct daemon *d);

/** Records whether the store answered, and logs a change. */
void daemon_record_store_state(struct daemon *d, bool is_up);

/** @return id that is unique across daemons and restarts */
uint64_t daemon_unique_id(struct daemon *d);

#endif

#ifndef SAVORYFLOW_SERVE_BATCH_RUN_H
#define SAVORYFLOW_SERVE_BATCH_RUN_H

#include "serve/daemon.h"

/** Executes chunks of batch jobs on this daemon. */
struct batch_runner;

struct batch_runner *batch_runner_new(struct daemon *d);
void batch_runner_free(struct batch_runner *br);

/** Advances the held chunks and claims new ones; called by a poller thread. */
void batch_runner_poll(struct batch_runner *br);

/** Starts the session or writes its heartbeat; called by a poller thread. */
void batch_runner_heartbeat(struct batch_runner *br);

/** Aborts the running items of a cancelled job. @param job "TEAM/ID" */
void batch_runner_cancel(struct batch_runner *br, const char *job);

/** Stops claiming chunks, aborts the held ones and releases their leases. */
void batch_runner_stop(struct batch_runner *br);

#endif

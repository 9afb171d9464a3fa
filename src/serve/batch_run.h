#ifndef SAVORYFLOW_SERVE_BATCH_RUN_H
#define SAVORYFLOW_SERVE_BATCH_RUN_H

#include "serve/daemon.h"

/** Runs chunks of batch jobs on this daemon. */
struct batch_runner;

struct batch_runner *batch_runner_new(struct daemon *d);
void batch_runner_free(struct batch_runner *br);

/** Looks for work and moves finished chunks on; a keeper thread calls it. */
void batch_runner_poll(struct batch_runner *br);

/** Writes the session's heartbeat; a keeper thread calls it. */
void batch_runner_heartbeat(struct batch_runner *br);

/** Stops the items of a cancelled job at once. @param job "TEAM/ID" */
void batch_runner_cancel(struct batch_runner *br, const char *job);

/** Takes no new chunks and gives leases back. */
void batch_runner_stop(struct batch_runner *br);

#endif

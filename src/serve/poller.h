#ifndef SAVORYFLOW_SERVE_POLLER_H
#define SAVORYFLOW_SERVE_POLLER_H

#include "serve/daemon.h"

/** Threads that poll the store: configuration, batch jobs and the VM list. */
struct poller;

struct poller *poller_new(struct daemon *d);

void poller_start(struct poller *po);

/** Stops the threads and waits for them. */
void poller_stop(struct poller *po);
void poller_free(struct poller *po);

/**
 * Triggers the poll of the configuration or of batch jobs before its period
 * ends.
 */
void poller_trigger_config(struct poller *po);
void poller_trigger_batch(struct poller *po);

/** Handles a peer's message that it holds a configuration generation. */
void poller_on_config_hint(
    struct poller *po, const char *from, const Sfpeer__ConfigHint *hint);

/**
 * Applies a new configuration on this daemon: logs it and notifies some peers.
 */
void poller_config_in_force(struct poller *po);

#endif

#ifndef SAVORYFLOW_SERVE_POLLER_H
#define SAVORYFLOW_SERVE_POLLER_H

#include "serve/daemon.h"

/** Threads for periodic work with the platform: configuration, batch, VMs. */
struct poller;

struct poller *poller_new(struct daemon *d);

/** Starts the threads. */
void poller_start(struct poller *kp);

/** Ends the threads. */
void poller_stop(struct poller *kp);
void poller_free(struct poller *kp);

/** Runs the look at the configuration, or at batch work, soon. */
void poller_trigger_config(struct poller *kp);
void poller_trigger_batch(struct poller *kp);

/** A peer says that it holds a generation. */
void poller_on_config_hint(
    struct poller *kp, const char *from, const Sfpeer__ConfigHint *hint);

/** A new configuration is in force here: log it and tell some peers. */
void poller_config_in_force(struct poller *kp);

#endif

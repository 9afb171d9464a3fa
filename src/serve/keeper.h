#ifndef SAVORYFLOW_SERVE_KEEPER_H
#define SAVORYFLOW_SERVE_KEEPER_H

#include "serve/daemon.h"

/** Threads for periodic work with the platform: configuration, batch, VMs. */
struct keeper;

struct keeper *keeper_new(struct daemon *d);

/** Starts the threads. */
void keeper_start(struct keeper *kp);

/** Ends the threads. */
void keeper_stop(struct keeper *kp);
void keeper_free(struct keeper *kp);

/** Runs the look at the configuration, or at batch work, soon. */
void keeper_kick_config(struct keeper *kp);
void keeper_kick_batch(struct keeper *kp);

/** A peer says that it holds a generation. */
void keeper_on_hint(
    struct keeper *kp, const char *from, const Sfpeer__ConfigHint *hint);

/** A new configuration is in force here: log it and tell some peers. */
void keeper_config_in_force(struct keeper *kp);

#endif

#ifndef SAVORYFLOW_GATEWAY_OFFLOAD_H
#define SAVORYFLOW_GATEWAY_OFFLOAD_H

#include "gateway/loop.h"
#include "os/pool.h"

/** Runs work that waits for the store on a pool's thread. */
struct offload;

struct offload *offload_new(struct loop *lp, const struct pool_options *opt);

/** Waits for the work that runs; what has not come back is dropped. */
void offload_free(struct offload *off);

/**
 * Runs work(ctx) on a thread of the pool, then done(ctx) on the loop.
 * @return false if too much waits; nothing was done
 */
bool offload_run(struct offload *off, loop_fn work, loop_fn done, void *ctx);

#endif

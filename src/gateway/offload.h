#ifndef SAVORYFLOW_GATEWAY_OFFLOAD_H
#define SAVORYFLOW_GATEWAY_OFFLOAD_H

#include "gateway/loop.h"
#include "os/thread_pool.h"

/** Runs blocking store calls on a thread pool. */
struct offload;

struct offload *offload_new(
    struct loop *lp, const struct thread_pool_options *opt);

/** Waits until all work has run; the done callbacks of the last ones are
 * dropped. */
void offload_free(struct offload *off);

/**
 * Runs work(ctx) on a thread of the pool, then done(ctx) on the loop.
 * @return false if the queue is full; nothing was done
 */
bool offload_run(struct offload *off, loop_fn work, loop_fn done, void *ctx);

#endif

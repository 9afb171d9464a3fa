#ifndef SAVORYFLOW_OS_THREAD_POOL_H
#define SAVORYFLOW_OS_THREAD_POOL_H

#include <stdbool.h>
#include <stdint.h>

typedef void (*thread_pool_task_fn)(void *ctx);

struct thread_pool_options {
	/** Number of threads, at least 1. */
	int32_t threads;
	/** Capacity of the queue; tasks beyond it are rejected. */
	int32_t max_queued_tasks;
};

/** Thread pool for tasks that block on the platform. */
struct thread_pool;

struct thread_pool *thread_pool_new(const struct thread_pool_options *opt);

/** Runs the queued tasks, then joins the threads and frees the pool. */
void thread_pool_free(struct thread_pool *pool);

/**
 * Queues fn(ctx); thread-safe.
 * @return false if the queue is full or the pool is stopping; fn does not run
 */
bool thread_pool_submit(
    struct thread_pool *pool, thread_pool_task_fn fn, void *ctx);

#endif

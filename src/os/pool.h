#ifndef SAVORYFLOW_OS_POOL_H
#define SAVORYFLOW_OS_POOL_H

#include <stdbool.h>
#include <stdint.h>

typedef void (*pool_task_fn)(void *ctx);

struct pool_options {
	/** Threads, 1 or more. */
	int32_t threads;
	/** Tasks that may wait; more are refused. */
	int32_t waiting_max;
};

/** A pool of threads for tasks that wait for the platform. */
struct pool;

struct pool *pool_new(const struct pool_options *opt);

/** Finishes the tasks that wait, then ends the threads. */
void pool_free(struct pool *pool);

/** Hands over a task. @return false if too many wait; nothing was done */
bool pool_submit(struct pool *pool, pool_task_fn fn, void *ctx);

#endif

#ifndef SAVORYFLOW_OS_THREAD_POOL_H
#define SAVORYFLOW_OS_THREAD_POOL_H

#include <stdbool.h>
#include <stdint.h>

typedef void (*thread_pool_task_fn)(void *ctx);

struct thread_pool_options {
	/** Threads, 1 or more. */
	int32_t threads;
	/** Tasks that may wait; more are refused. */
	int32_t max_queued_tasks;
};

/** A pool of threads for tasks that wait for the platform. */
struct thread_pool;

struct thread_pool *thread_pool_new(const struct thread_pool_options *opt);

/** Finishes the tasks that wait, then ends the threads. */
void thread_pool_free(struct thread_pool *pool);

/** Hands over a task. @return false if too many wait; nothing was done */
bool thread_pool_submit(
    struct thread_pool *pool, thread_pool_task_fn fn, void *ctx);

#endif

#ifndef SAVORYFLOW_GATEWAY_LOOP_H
#define SAVORYFLOW_GATEWAY_LOOP_H

#include <stdbool.h>
#include <stdint.h>

#include "os/clock.h"

/*
 * The event loop that owns all of the gateway's state: descriptors, timers, and
 * functions posted by other threads. All functions must be called on the loop's
 * thread, except loop_post and loop_stop, which any thread may call.
 */
struct loop;

typedef void (*loop_fn)(void *ctx);
typedef void (*loop_io_fn)(void *ctx, uint32_t events);

/** @param clk clock of the timers */
struct loop *loop_new(const struct clock_source *clk);
void loop_free(struct loop *lp);

/** Runs until loop_stop. */
void loop_run(struct loop *lp);
void loop_stop(struct loop *lp);

/** Runs one iteration without waiting for events. */
void loop_run_once(struct loop *lp);

/** Monotonic time, microseconds. */
int64_t loop_now_us(struct loop *lp);

/** Queues fn(ctx) to run on the loop's thread. */
void loop_post(struct loop *lp, loop_fn fn, void *ctx);

/** Runs fn(ctx) once, at or after the time. @return id of the timer */
uint64_t loop_timer(struct loop *lp, int64_t at_us, loop_fn fn, void *ctx);

/** Cancels a timer; 0 and the id of one that has run are allowed. */
void loop_timer_cancel(struct loop *lp, uint64_t id);

/**
 * Watches a descriptor for epoll events, such as EPOLLIN; another call for it
 * replaces the events and the callback.
 */
void loop_watch(
    struct loop *lp, int fd, uint32_t events, loop_io_fn fn, void *ctx);
void loop_unwatch(struct loop *lp, int fd);

/** Runs fn(ctx) once at the end of each iteration of the loop. */
void loop_on_iteration_end(struct loop *lp, loop_fn fn, void *ctx);

/** The next iteration does not wait for events: work is left to do. */
void loop_skip_wait(struct loop *lp);

#endif

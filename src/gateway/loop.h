#ifndef SAVORYFLOW_GATEWAY_LOOP_H
#define SAVORYFLOW_GATEWAY_LOOP_H

#include <stdbool.h>
#include <stdint.h>

#include "os/clock.h"

/*
 * The event loop that all of the gateway's state belongs to: descriptors,
 * timers, and functions that other threads hand over. Functions run on the
 * loop's thread but for loop_post and loop_stop, which any thread may call.
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

/** Monotonic time, microseconds. */
int64_t loop_now_us(struct loop *lp);

/** Runs fn(ctx) soon on the loop's thread. */
void loop_post(struct loop *lp, loop_fn fn, void *ctx);

/** Runs fn(ctx) at or after the time, once. @return number of the timer */
uint64_t loop_timer(struct loop *lp, int64_t at_us, loop_fn fn, void *ctx);

/** Drops a timer; 0 or one that has run is allowed. */
void loop_timer_cancel(struct loop *lp, uint64_t number);

/**
 * Watches a descriptor for EPOLLIN and the like; another call changes the
 * events. @return a handle for loop_unwatch
 */
void loop_watch(
    struct loop *lp, int fd, uint32_t events, loop_io_fn fn, void *ctx);
void loop_unwatch(struct loop *lp, int fd);

/** fn runs once at the end of each turn of the loop. */
void loop_on_iteration_end(struct loop *lp, loop_fn fn, void *ctx);

/** The next turn does not wait: something is left to do. */
void loop_skip_wait(struct loop *lp);

#endif

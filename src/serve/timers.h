#ifndef SAVORYFLOW_SERVE_TIMERS_H
#define SAVORYFLOW_SERVE_TIMERS_H

#include <stdbool.h>
#include <stdint.h>

typedef void (*timer_fn)(void *ctx);

/** One-shot timers, executed by the thread that calls timers_run. */
struct timers;

struct timers *timers_new(void);

/** Discards pending timers without calling their functions. */
void timers_free(struct timers *tm);

/** Calls fn(ctx) at or after the time; thread-safe. @return timer id */
uint64_t timers_add(struct timers *tm, int64_t at_us, timer_fn fn, void *ctx);

/** Cancels a timer. @return false if it has run or is running */
bool timers_cancel(struct timers *tm, uint64_t id);

/** @return time of the earliest timer, -1 if there is none */
int64_t timers_next_us(struct timers *tm);

/** Runs the timers that are due. */
void timers_run(struct timers *tm, int64_t now_us);

#endif

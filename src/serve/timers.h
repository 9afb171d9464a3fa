#ifndef SAVORYFLOW_SERVE_TIMERS_H
#define SAVORYFLOW_SERVE_TIMERS_H

#include <stdbool.h>
#include <stdint.h>

typedef void (*timer_fn)(void *ctx);

/** One-shot timers, run by the thread that calls timers_run. */
struct timers;

struct timers *timers_new(void);

/** Drops what has not run; the functions are not called. */
void timers_free(struct timers *tm);

/** Runs fn(ctx) at or after the time; any thread. @return its number */
uint64_t timers_add(struct timers *tm, int64_t at_us, timer_fn fn, void *ctx);

/** Drops a timer. @return false if it has run or is running */
bool timers_cancel(struct timers *tm, uint64_t number);

/** Time of the first timer; -1 if there is none. */
int64_t timers_next_us(struct timers *tm);

/** Runs what is due. */
void timers_run(struct timers *tm, int64_t now_us);

#endif

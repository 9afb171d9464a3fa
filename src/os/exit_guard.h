#ifndef SAVORYFLOW_OS_EXIT_GUARD_H
#define SAVORYFLOW_OS_EXIT_GUARD_H

#include "os/clock.h"

/**
 * Ends the process with code 0 at a time, whatever its threads wait for, unless
 * exit_guard_stop is called before. To be started once.
 * @param last_fn called before the process ends, on another thread
 */
void exit_guard_start(const struct clock_source *clk, int64_t at_us,
    void (*last_fn)(void *ctx), void *ctx);

/** Ends the guard; not needed if it was not started. */
void exit_guard_stop(void);

#endif

#ifndef SAVORYFLOW_OS_CLOCK_H
#define SAVORYFLOW_OS_CLOCK_H

#include <stdint.h>
#include <time.h>

enum {
	kUsPerMs = 1000,
	kUsPerS = 1000000,
	kNsPerUs = 1000,
};

struct clock_ops {
	/** Monotonic time: never decreases, unrelated to the date. */
	struct timespec (*mono)(void *ctx);
	/** Date and time (UTC). */
	struct timespec (*wall)(void *ctx);
	/** Monotonic time that advances while the VM is suspended. */
	struct timespec (*boot)(void *ctx);
};

/** Clock interface: operations and their context. */
struct clock_source {
	const struct clock_ops *ops;
	void *ctx;
};

/** @return clock of the operating system */
const struct clock_source *clock_system(void);

/** Converts a timespec to microseconds. */
int64_t clock_ts_us(struct timespec ts);

/** Monotonic time in microseconds. */
int64_t clock_mono_us(const struct clock_source *clk);

/** Monotonic time in microseconds; includes the time that the VM was
 * suspended. */
int64_t clock_boot_us(const struct clock_source *clk);

/** Date and time in microseconds since 1970-01-01 (UTC). */
int64_t clock_wall_us(const struct clock_source *clk);

#endif

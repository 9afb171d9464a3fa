#ifndef SAVORYFLOW_STORE_CLOCK_H
#define SAVORYFLOW_STORE_CLOCK_H

#include <stdbool.h>
#include <stdint.h>

/**
 * The store's monotonic time, estimated from its answers. Initialize with zero.
 * An answer was sent before it is received, so the latest of the recent
 * estimates is the best. Estimates are dropped after some time, since the
 * clocks of the store and of this machine differ in rate and may jump.
 */
struct store_clock {
	bool is_known;
	/** Store's time minus this machine's monotonic time: the maximum of the
	 * current window, and of the one before it. */
	int64_t offset_us;
	int64_t previous_offset_us;
	int64_t window_start_us;
};

/**
 * Records the time that an answer told.
 * @param received_us monotonic time when it was received
 */
void store_clock_record(
    struct store_clock *sc, int64_t store_ms, int64_t received_us);

/** Store's time at a monotonic time. @return false if no answer has told it;
 * store_ms is unchanged then */
bool store_clock_now(
    const struct store_clock *sc, int64_t now_us, int64_t *store_ms);

#endif

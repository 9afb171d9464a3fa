/* Estimate of the store's monotonic time. */
#include "store/store_clock.h"

#include <glib.h>

#include "os/clock.h"

enum {
	/* Longer than an answer may wait in the socket of a frozen daemon. */
	kWindowUs = 30 * kUsPerS,
};

static void
start_window(struct store_clock *sc, int64_t offset_us, int64_t received_us)
{
	sc->previous_offset_us = sc->is_known ? sc->offset_us : offset_us;
	sc->offset_us = offset_us;
	sc->window_start_us = received_us;
	sc->is_known = true;
}

void
store_clock_record(
    struct store_clock *sc, int64_t store_ms, int64_t received_us)
{
	int64_t offset_us = store_ms * kUsPerMs - received_us;

	if (!sc->is_known || received_us - sc->window_start_us > kWindowUs)
		start_window(sc, offset_us, received_us);
	else
		sc->offset_us = MAX(sc->offset_us, offset_us);
}

bool
store_clock_now(const struct store_clock *sc, int64_t now_us, int64_t *store_ms)
{
	if (sc->is_known)
		*store_ms =
		    (now_us + MAX(sc->offset_us, sc->previous_offset_us)) /
		    kUsPerMs;
	return sc->is_known;
}

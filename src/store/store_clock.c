/* Estimate of the store's monotonic time. */
#include "store/store_clock.h"

#include <glib.h>

#include "os/clock.h"

void
store_clock_record(
    struct store_clock *sc, int64_t store_ms, int64_t received_us)
{
	int64_t offset_us = store_ms * kUsPerMs - received_us;

	sc->offset_us =
	    sc->is_known ? MAX(sc->offset_us, offset_us) : offset_us;
	sc->is_known = true;
}

bool
store_clock_now(const struct store_clock *sc, int64_t now_us, int64_t *store_ms)
{
	if (sc->is_known)
		*store_ms = (now_us + sc->offset_us) / kUsPerMs;
	return sc->is_known;
}

#ifndef SAVORYFLOW_ITEM_PACE_H
#define SAVORYFLOW_ITEM_PACE_H

#include <stdint.h>

/** Means over the items that ended; all 0 until the first one did. */
struct item_pace {
	/** Time of a run per event. */
	int64_t event_us;
	/** Events of a whole item per 1,000 tokens of its size. */
	int64_t events_per_ktoken;
};

/** A run of an item that came to the item's end. */
struct item_pace_run {
	/** Size of the item: longest prompt and output together. */
	int64_t tokens;
	/** Events of the whole item, and of this run. */
	int64_t events;
	int64_t run_events;
	/** Time that the run held a slot. */
	int64_t run_us;
};

void item_pace_record(struct item_pace *pace, const struct item_pace_run *run);

/** Expected time of the rest of an item. @return 0 if nothing is known */
int64_t item_pace_expected_run_us(
    const struct item_pace *pace, int64_t tokens, int64_t events_done);

#endif

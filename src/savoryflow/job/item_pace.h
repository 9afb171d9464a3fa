#ifndef SAVORYFLOW_ITEM_PACE_H
#define SAVORYFLOW_ITEM_PACE_H

#include <stdint.h>

/** Running means over finished items; 0 until the first has finished. */
struct item_pace {
	/** Run time per event. */
	int64_t event_us;
	/** Events of a complete item per 1,000 tokens of its size. */
	int64_t events_per_ktoken;
};

/** A run that finished its item. */
struct item_pace_run {
	/** Size of the item: prompt plus longest output. */
	int64_t tokens;
	/** Events of the complete item, and of this run. */
	int64_t events;
	int64_t run_events;
	/** Time for which the run held a slot. */
	int64_t run_us;
};

void item_pace_record(struct item_pace *pace, const struct item_pace_run *run);

/** Expected run time of the rest of an item. @return 0 if unknown */
int64_t item_pace_expected_run_us(
    const struct item_pace *pace, int64_t tokens, int64_t events_done);

#endif

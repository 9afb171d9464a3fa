/* Estimates the run time of items from finished ones. */
#include "savoryflow/job/item_pace.h"

#include <glib.h>

enum {
	/* Weight of one item in the means: 1/8, so that they follow a change of
	 * load within a job. */
	kMeanShift = 3,
	kTokensPerKtoken = 1000,
};

static void
mean_add(int64_t *mean, int64_t value)
{
	if (*mean == 0)
		*mean = value;
	else
		*mean += (value - *mean) / (1 << kMeanShift);
}

void
item_pace_record(struct item_pace *pace, const struct item_pace_run *run)
{
	if (run->tokens <= 0 || run->run_events <= 0)
		return;
	mean_add(&pace->event_us, run->run_us / run->run_events);
	mean_add(&pace->events_per_ktoken,
	    run->events * kTokensPerKtoken / run->tokens);
}

int64_t
item_pace_expected_run_us(
    const struct item_pace *pace, int64_t tokens, int64_t events_done)
{
	int64_t events = pace->events_per_ktoken * tokens / kTokensPerKtoken;

	return MAX(events - events_done, 0) * pace->event_us;
}

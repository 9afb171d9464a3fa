/* Selection of open jobs: where other daemons run the first ones, later polls
 * look at the others. */
#include "savoryflow/batch/batch_window.h"

uint32_t
batch_window_next(
    struct batch_window *window, uint32_t jobs, uint32_t max, uint32_t *count)
{
	uint32_t first = window->passed < jobs ? window->passed : 0;

	*count = jobs < max ? jobs : max;
	window->passed = first + *count < jobs ? first + *count : 0;
	return first;
}

void
batch_window_reset(struct batch_window *window)
{
	window->passed = 0;
}

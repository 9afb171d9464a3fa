#ifndef SAVORYFLOW_BATCH_WINDOW_H
#define SAVORYFLOW_BATCH_WINDOW_H

#include <stdint.h>

/** Which of the open jobs a poll looks at; initially zero. */
struct batch_window {
	/** Jobs passed by the last polls, which found nothing to run. */
	uint32_t passed;
};

/**
 * Selects the jobs of the next poll: from the returned index on, wrapping
 * around after the last job.
 * @param jobs number of open jobs, the most urgent first
 * @param max most jobs of one poll
 * @param count set to the number of jobs selected
 */
uint32_t batch_window_next(
    struct batch_window *window, uint32_t jobs, uint32_t max, uint32_t *count);

/** A selected job had work: the next poll begins with the most urgent one. */
void batch_window_reset(struct batch_window *window);

#endif

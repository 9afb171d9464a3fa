#ifndef SAVORYFLOW_LOG_LOG_H
#define SAVORYFLOW_LOG_LOG_H

#include <stdint.h>
#include <stdio.h>

#include "log/events.h"

/**
 * Opens the log: JSON lines on standard output, through log4c. Writers never
 * wait: a thread writes the lines, and what it cannot keep up with is counted.
 * @param level lowest level written: "debug", "info", "notice", "warn" or
 *        "error"
 * @param daemon name put on each line; copied
 */
void log_open(const char *level, const char *daemon);

/** Sets the lowest level that is written. */
void log_set_level(const char *level);

/** Closes the log; later events are dropped. */
void log_close(void);

/**
 * Writes one event. The fields follow as pairs of strings, closed by NULL.
 * Bodies and keys are never passed here.
 */
void log_event(enum log_event_id id, ...) __attribute__((sentinel));

/**
 * Text of a number for a field of log_event; valid on this thread until some
 * more numbers were written.
 */
const char *log_number(int64_t n);

/** Prints the catalogue of events as a Markdown table. */
void log_print_catalogue(FILE *out);

#endif

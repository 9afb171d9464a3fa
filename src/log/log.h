#ifndef SAVORYFLOW_LOG_LOG_H
#define SAVORYFLOW_LOG_LOG_H

#include <stdio.h>

#include "log/events.h"

/**
 * Opens the log: JSON lines on standard error, through log4c.
 * @param level lowest level written: "debug", "info", "notice", "warn" or
 *        "error"
 * @param daemon name put on each line; copied
 */
void log_open(const char *level, const char *daemon);

/** Closes the log; later events are dropped. */
void log_close(void);

/**
 * Writes one event. The fields follow as pairs of strings, closed by NULL.
 * Bodies and keys are never passed here.
 */
void log_event(enum log_event_id id, ...) __attribute__((sentinel));

/** Prints the catalogue of events as a Markdown table. */
void log_print_catalogue(FILE *out);

#endif

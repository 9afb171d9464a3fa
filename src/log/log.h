#ifndef SAVORYFLOW_LOG_LOG_H
#define SAVORYFLOW_LOG_LOG_H

#include <stdint.h>
#include <stdio.h>

#include "log/events.h"

/**
 * Opens the log: JSON lines on standard output, through log4c. log_event never
 * blocks on output: a thread writes the lines; those that it cannot keep up
 * with are dropped and counted.
 * @param level lowest level written: "debug", "info", "notice", "warn" or
 *        "error"
 * @param daemon name of the daemon, written on each line; copied
 */
void log_open(const char *level, const char *daemon);

/** Changes the lowest level written; thread-safe. */
void log_set_level(const char *level);

/** Writes the queued lines and closes the log; later events are dropped. */
void log_close(void);

/**
 * Logs one event; thread-safe. The fields follow as pairs of strings,
 * terminated by NULL. Request bodies and keys must not be passed.
 */
void log_event(enum log_event_id id, ...) __attribute__((sentinel));

/**
 * Formats a number for a field of log_event, in a buffer of this thread that
 * the 16th call after this one reuses.
 */
const char *log_number(int64_t n);

/** Prints the catalogue of events as a Markdown table. */
void log_print_catalogue(FILE *out);

#endif

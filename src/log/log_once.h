#ifndef SAVORYFLOW_LOG_ONCE_H
#define SAVORYFLOW_LOG_ONCE_H

#include <stdbool.h>

/**
 * True the first time that this process asks for a subject, for events about a
 * state that is met again at each read. Thread-safe; keeps the last few
 * thousand subjects.
 * @param subject for example the key of a row and its version
 */
bool log_once(const char *subject);

#endif

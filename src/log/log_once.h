#ifndef SAVORYFLOW_LOG_ONCE_H
#define SAVORYFLOW_LOG_ONCE_H

#include <stdbool.h>

/**
 * True the first time that this process asks for a subject: for events about
 * what is met again at each read. Thread-safe. Keeps the last 4,096 subjects;
 * an older one is new again.
 * @param subject for example the table and the key of a row
 */
bool log_once(const char *subject);

#endif

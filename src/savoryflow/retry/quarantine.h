#ifndef SAVORYFLOW_QUARANTINE_H
#define SAVORYFLOW_QUARANTINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Requests that crash targets, by fingerprint. The set is bounded: when it is
 * full the oldest entry is evicted.
 */
struct quarantine;

/** @param capacity maximum number of entries, 1 or more */
struct quarantine *quarantine_new(int32_t capacity);
void quarantine_free(struct quarantine *set);

/** Fingerprint of a request, from its service and body. */
uint64_t quarantine_fingerprint(
    const char *service, const char *body, size_t len);

/** Adds a fingerprint. @return false if it is already in the set */
bool quarantine_add(struct quarantine *set, uint64_t fingerprint);

bool quarantine_has(const struct quarantine *set, uint64_t fingerprint);

#endif

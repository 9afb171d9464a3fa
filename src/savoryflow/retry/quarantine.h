#ifndef SAVORYFLOW_CONDEMNED_H
#define SAVORYFLOW_CONDEMNED_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Requests that crash targets, by fingerprint. A bounded set: the entry that
 * was added first is dropped when it is full.
 */
struct quarantine;

/** @param most entries kept, 1 or more */
struct quarantine *quarantine_new(int32_t most);
void quarantine_free(struct quarantine *set);

/** Fingerprint of a request: its service and body. */
uint64_t quarantine_fingerprint(
    const char *service, const char *body, size_t len);

/** Adds a fingerprint. @return false if it was known */
bool quarantine_add(struct quarantine *set, uint64_t fingerprint);

bool quarantine_has(const struct quarantine *set, uint64_t fingerprint);

#endif

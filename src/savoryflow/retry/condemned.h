#ifndef SAVORYFLOW_CONDEMNED_H
#define SAVORYFLOW_CONDEMNED_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Requests that crash targets, by fingerprint. A bounded set: the entry that
 * was added first is dropped when it is full.
 */
struct condemned;

/** @param most entries kept, 1 or more */
struct condemned *condemned_new(int32_t most);
void condemned_free(struct condemned *set);

/** Fingerprint of a request: its service and body. */
uint64_t condemned_fingerprint(
    const char *service, const char *body, size_t len);

/** Adds a fingerprint. @return false if it was known */
bool condemned_add(struct condemned *set, uint64_t fingerprint);

bool condemned_has(const struct condemned *set, uint64_t fingerprint);

#endif

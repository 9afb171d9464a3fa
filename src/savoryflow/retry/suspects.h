#ifndef SAVORYFLOW_SUSPECTS_H
#define SAVORYFLOW_SUSPECTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Requests whose runs break off before they bring anything. One that did so
 * several times is taken to crash its targets and is not run any more for a
 * while. Counts of all daemons are added up. No I/O, no clock.
 */
struct suspects;

struct suspects *suspects_new(void);
void suspects_free(struct suspects *sus);

/** The same request in another attempt has the same fingerprint. */
uint64_t suspects_fingerprint(const char *uri, const char *body, size_t len);

/**
 * A run of the request broke off without any part of an answer.
 * @return true if the request is condemned by this
 */
bool suspects_record_interrupted(
    struct suspects *sus, uint64_t fingerprint, int64_t now_us);

/** A run brought something: the request is innocent. */
void suspects_record_progress(struct suspects *sus, uint64_t fingerprint);

bool suspects_is_quarantined(
    const struct suspects *sus, uint64_t fingerprint, int64_t now_us);

/** Forgets what is old. */
void suspects_tick(struct suspects *sus, int64_t now_us);

#endif

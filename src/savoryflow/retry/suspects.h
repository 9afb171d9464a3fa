#ifndef SAVORYFLOW_SUSPECTS_H
#define SAVORYFLOW_SUSPECTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * Requests whose runs are interrupted before any part of an answer arrives.
 * After several such interruptions a request is assumed to crash its targets
 * and is quarantined until the entry expires. The counts include reports of
 * other daemons. No I/O, no clock.
 */
struct suspects;

struct suspects *suspects_new(void);
void suspects_free(struct suspects *sus);

/** Fingerprint of a request, the same for all its attempts. */
uint64_t suspects_fingerprint(const char *uri, const char *body, size_t len);

/**
 * Records a run that was interrupted without any part of an answer.
 * @return true if this interruption quarantines the request
 */
bool suspects_record_interrupted(
    struct suspects *sus, uint64_t fingerprint, int64_t now_us);

/** Quarantines a request, as a daemon that counts its interruptions says. */
void suspects_quarantine(
    struct suspects *sus, uint64_t fingerprint, int64_t now_us);

/** Records a run that returned part of an answer; clears the request. */
void suspects_record_progress(struct suspects *sus, uint64_t fingerprint);

bool suspects_is_quarantined(
    const struct suspects *sus, uint64_t fingerprint, int64_t now_us);

/** Removes expired entries. */
void suspects_tick(struct suspects *sus, int64_t now_us);

#endif

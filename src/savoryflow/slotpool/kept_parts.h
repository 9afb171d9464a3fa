#ifndef SAVORYFLOW_KEPT_PARTS_H
#define SAVORYFLOW_KEPT_PARTS_H

#include "savoryflow/slotpool/slotpool_defs.h"

/*
 * Estimate of the shared prompt parts that one target keeps, from those that it
 * was sent. A part is kept together with all parts before it, so a key stands
 * for the whole beginning of a prompt. The least recently used parts are
 * evicted when parts and running requests exceed the memory. Designed for
 * targets that keep up to 1,000 parts; operations take constant time. No I/O,
 * no clock.
 */
struct kept_parts;

struct kept_parts *kept_parts_new(void);
void kept_parts_free(struct kept_parts *kp);

/** Forgets all parts: the target has started anew. */
void kept_parts_clear(struct kept_parts *kp);

/** Tokens at the beginning of the prompt that are kept. */
int32_t kept_parts_find(
    const struct kept_parts *kp, const struct slot_parts *parts);

/**
 * Records that the target processes a prompt.
 * @param runs requests that run there, with this one; they use memory too
 */
void kept_parts_record(
    struct kept_parts *kp, const struct slot_parts *parts, int32_t runs);

#endif

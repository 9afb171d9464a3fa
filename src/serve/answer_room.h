#ifndef SAVORYFLOW_ANSWER_ROOM_H
#define SAVORYFLOW_ANSWER_ROOM_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Memory for answers that targets are sending, beside that of the API's clients
 * (api_budget): both share one limit. Calls run on several threads and API
 * clients on one, so each side tells the other what it uses. Thread-safe.
 */
struct answer_room;

/** @param memory_mib memory of the VM; 0: no limit */
struct answer_room *answer_room_new(int64_t memory_mib);
void answer_room_free(struct answer_room *ar);

/**
 * Changes what one answer holds.
 * @param held what it holds now, which becomes bytes
 * @param bytes an answer of more than an ordinary request's size does not use
 *        the reserve
 * @return false if there is no room; nothing changes then. Less is always
 *         allowed.
 */
bool answer_room_set(struct answer_room *ar, int64_t *held, int64_t bytes);

/** Bytes of all answers. */
int64_t answer_room_used(const struct answer_room *ar);

/** What the API's clients use. */
void answer_room_set_clients(struct answer_room *ar, int64_t bytes);

#endif

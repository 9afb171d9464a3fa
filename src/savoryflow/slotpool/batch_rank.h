#ifndef SAVORYFLOW_BATCH_RANK_H
#define SAVORYFLOW_BATCH_RANK_H

#include "savoryflow/slotpool/slotpool_defs.h"

/*
 * Which batch item is worth a slot more. Earliest due date first serves nobody
 * in time once there is too much work: items that can't be done in time come
 * after all that can. Of items due together the one with the least work left
 * is first, so that the most of them end in time.
 */

/** True if an item that starts now ends after it is due. */
bool batch_rank_is_late(const struct slot_request *ask, int64_t now_us);

/** GCompareDataFunc for struct slot_request; the more worth is less. */
int batch_rank_compare(const void *a, const void *b, void *ctx);

/** The item as it would be asked for now, after running since `since_us`. */
struct slot_request batch_rank_remaining(
    const struct slot_request *ask, int64_t since_us, int64_t now_us);

#endif

#ifndef SAVORYFLOW_BATCH_RANK_H
#define SAVORYFLOW_BATCH_RANK_H

#include "savoryflow/slotpool/slotpool_defs.h"

/*
 * Priority of batch items for slots. Under overload, plain
 * earliest-deadline-first finishes nothing in time, so items that can no longer
 * meet their deadline come after all that can. Among items with the same
 * deadline the one with the least remaining work comes first, so that as many
 * as possible finish in time.
 */

/** True if an item that starts now would end after its deadline. */
bool batch_rank_is_late(const struct slot_request *req, int64_t now_us);

/** GCompareDataFunc for struct slot_request; higher priority sorts first. */
int batch_rank_compare(const void *a, const void *b, void *ctx);

/** The item's request at `now_us` if it has been running since `since_us`: with
 * the run time that remains. */
struct slot_request batch_rank_remaining(
    const struct slot_request *req, int64_t since_us, int64_t now_us);

#endif

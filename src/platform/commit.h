#ifndef SAVORYFLOW_PLATFORM_COMMIT_H
#define SAVORYFLOW_PLATFORM_COMMIT_H

#include <stdbool.h>

#include "platform/platform.h"

/** Says whether the store shows the caller's own commit; false if unsure. */
typedef bool (*commit_is_mine_fn)(const struct platform *plat, void *ctx);

/**
 * Runs a conditional transaction and settles lost answers. The transaction is
 * sent again, which its conditions make safe: only one copy can take effect,
 * also if the first is still on its way. If a copy then meets a conflict, the
 * store is read to see whose commit won.
 *
 * The transaction must make its own conditions false.
 * @return kPlatformOk, kPlatformConflict, kPlatformUnavailable (not done, for
 *         certain) or kPlatformAmbiguous (still not settled)
 */
enum platform_result platform_commit(const struct platform *plat,
    enum platform_cause cause, const struct platform_txn *txn,
    commit_is_mine_fn is_mine, void *ctx);

#endif

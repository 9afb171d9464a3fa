#ifndef SAVORYFLOW_STORE_COMMIT_H
#define SAVORYFLOW_STORE_COMMIT_H

#include <stdbool.h>

#include "store/store.h"

/**
 * @return true if the store holds the caller's own commit; false if that cannot
 * be determined
 */
typedef bool (*commit_is_mine_fn)(const struct store *store, void *ctx);

/**
 * Runs a conditional transaction and resolves its outcome if an answer is lost.
 * The transaction is retried, which its conditions make safe: only one copy can
 * take effect, even if the first is still in transit. If a copy then fails with
 * a conflict, is_mine reads the store to determine whose commit was applied.
 *
 * The transaction must invalidate its own conditions.
 * @return kStoreOk, kStoreConflict, kStoreUnavailable (certainly not applied)
 * or kStoreAmbiguous (outcome still unknown)
 */
enum store_result store_commit(const struct store *store,
    enum store_cause cause, const struct store_txn *txn,
    commit_is_mine_fn is_mine, void *ctx);

#endif

#ifndef SAVORYFLOW_STORE_COMMIT_H
#define SAVORYFLOW_STORE_COMMIT_H

#include <stdbool.h>

#include "store/store.h"

/** Says whether the store shows the caller's own commit; false if unsure. */
typedef bool (*commit_is_mine_fn)(const struct store *store, void *ctx);

/**
 * Runs a conditional transaction and settles lost answers. The transaction is
 * sent again, which its conditions make safe: only one copy can take effect,
 * also if the first is still on its way. If a copy then meets a conflict, the
 * store is read to see whose commit won.
 *
 * The transaction must make its own conditions false.
 * @return kStoreOk, kStoreConflict, kStoreUnavailable (not done, for
 *         certain) or kStoreAmbiguous (still not settled)
 */
enum store_result store_commit(const struct store *store,
    enum store_cause cause, const struct store_txn *txn,
    commit_is_mine_fn is_mine, void *ctx);

#endif

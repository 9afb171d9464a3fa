#ifndef SAVORYFLOW_STORE_COMMIT_H
#define SAVORYFLOW_STORE_COMMIT_H

#include <stdbool.h>

#include "store/store.h"

/** Whose commit the store holds. */
enum commit_owner {
	kCommitOwn,
	kCommitForeign,
	/** The store could not be read. */
	kCommitUnknown,
};

typedef enum commit_owner (*commit_find_owner_fn)(
    const struct store *store, void *ctx);

/**
 * Owner of a commit after reading its row.
 * @param res result of the read
 * @param is_own whether the row, if it was read, is of the caller's commit
 */
enum commit_owner commit_owner_of(enum store_result res, bool is_own);

/**
 * Runs a conditional transaction and resolves its outcome if an answer is lost.
 * The transaction is retried, which its conditions make safe: only one copy can
 * take effect, even if the first is still in transit. If a copy then fails with
 * a conflict, find_owner reads the store to determine whose commit was
 * applied.
 *
 * The transaction must invalidate its own conditions, and a condition that
 * failed once must not hold again, or a late copy takes effect after a
 * conflict: rows that are to be absent are not removed.
 * @return kStoreOk, kStoreConflict, kStoreUnavailable (certainly not applied)
 * or kStoreAmbiguous (outcome still unknown)
 */
enum store_result store_commit(const struct store *store,
    enum store_cause cause, const struct store_txn *txn,
    commit_find_owner_fn find_owner, void *ctx);

#endif

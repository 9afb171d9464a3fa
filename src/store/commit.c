/* Conditional transactions whose outcome is resolved after a lost answer. */
#include "store/commit.h"

enum { kCommitAttemptsMax = 3 };

enum store_result
store_commit(const struct store *store, enum store_cause cause,
    const struct store_txn *txn, commit_is_mine_fn is_mine, void *ctx)
{
	enum store_result res = kStoreAmbiguous;
	bool was_ambiguous = false;

	for (int i = 0; i < kCommitAttemptsMax && res == kStoreAmbiguous; i++) {
		res = store->ops->txn(store->ctx, cause, txn);
		was_ambiguous = was_ambiguous || res == kStoreAmbiguous;
	}
	/* Checked even if no answer was lost: an earlier call, or the
	 * transport, may have sent a copy that took effect. */
	if (res == kStoreConflict && is_mine(store, ctx))
		return kStoreOk;
	if (res == kStoreUnavailable && was_ambiguous)
		return kStoreAmbiguous;
	return res;
}

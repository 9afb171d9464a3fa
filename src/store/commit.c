/* Transactions whose lost answers are settled. */
#include "store/commit.h"

enum { kCommitTries = 3 };

enum store_result
store_commit(const struct store *store, enum store_cause cause,
    const struct store_txn *txn, commit_is_mine_fn is_mine, void *ctx)
{
	enum store_result res = kStoreAmbiguous;
	bool answer_lost = false;

	for (int i = 0; i < kCommitTries && res == kStoreAmbiguous; i++) {
		res = store->ops->txn(store->ctx, cause, txn);
		answer_lost = answer_lost || res == kStoreAmbiguous;
	}
	/* Also without a lost answer: an earlier call, or the transport, may
	 * have sent a copy that took effect. */
	if (res == kStoreConflict && is_mine(store, ctx))
		return kStoreOk;
	if (res == kStoreUnavailable && answer_lost)
		return kStoreAmbiguous;
	return res;
}

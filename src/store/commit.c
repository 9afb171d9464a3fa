/* Conditional transactions whose outcome is resolved after a lost answer. */
#include "store/commit.h"

#include "store/change.h"

enum { kCommitAttemptsMax = 3 };

enum commit_owner
commit_owner_of(enum store_result res, bool is_own)
{
	if (res != kStoreOk && res != kStoreNotFound)
		return kCommitUnknown;
	return res == kStoreOk && is_own ? kCommitOwn : kCommitForeign;
}

static enum store_result
resolve_conflict(
    const struct store *store, commit_find_owner_fn find_owner, void *ctx)
{
	switch (find_owner(store, ctx)) {
	case kCommitOwn:
		return kStoreOk;
	case kCommitForeign:
		return kStoreConflict;
	default:
		return kStoreAmbiguous;
	}
}

enum store_result
store_commit(const struct store *store, enum store_cause cause,
    const struct store_txn *txn, commit_find_owner_fn find_owner, void *ctx)
{
	enum store_result res = kStoreAmbiguous;
	struct store_change change = {false};

	for (int i = 0; i < kCommitAttemptsMax && res == kStoreAmbiguous; i++) {
		res = store->ops->txn(store->ctx, cause, txn);
		/* No answer to a transaction: something else sent it. */
		if (res == kStoreNotFound)
			res = kStoreAmbiguous;
		store_change_add(&change, res);
	}
	/* Checked even if no answer was lost: an earlier call may have sent a
	 * copy that took effect. */
	if (res == kStoreConflict)
		return resolve_conflict(store, find_owner, ctx);
	return store_change_result(&change, res);
}

/* Transactions whose lost answers are settled. */
#include "platform/commit.h"

enum { kCommitTries = 3 };

enum platform_result
platform_commit(const struct platform *plat, enum platform_cause cause,
    const struct platform_txn *txn, commit_is_mine_fn is_mine, void *ctx)
{
	enum platform_result res = kPlatformAmbiguous;
	bool answer_lost = false;

	for (int i = 0; i < kCommitTries && res == kPlatformAmbiguous; i++) {
		res = plat->ops->txn(plat->ctx, cause, txn);
		answer_lost = answer_lost || res == kPlatformAmbiguous;
	}
	/* Also without a lost answer: an earlier call, or the transport, may
	 * have sent a copy that took effect. */
	if (res == kPlatformConflict && is_mine(plat, ctx))
		return kPlatformOk;
	if (res == kPlatformUnavailable && answer_lost)
		return kPlatformAmbiguous;
	return res;
}

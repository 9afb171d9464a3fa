/* Transactions whose answers are lost. */
#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "store/commit.h"
}

namespace
{

struct Answers {
	std::vector<store_result> list;
	size_t next = 0;
};

store_result
Txn(void *ctx, enum store_cause, const struct store_txn *)
{
	Answers *a = (Answers *)ctx;

	return a->list[std::min(a->next++, a->list.size() - 1)];
}

TEST(Commit, AnAnswerThatIsNotTheStoresIsNoRefusal)
{
	const struct {
		const char *name;
		std::vector<store_result> answers;
		store_result result;
	} cases[] = {
	    {"not found", {kStoreNotFound}, kStoreAmbiguous},
	    {"unknown, then not found", {kStoreAmbiguous, kStoreNotFound},
		kStoreAmbiguous},
	    {"not found, then refused", {kStoreNotFound, kStoreUnavailable},
		kStoreAmbiguous},
	    {"not found, then made", {kStoreNotFound, kStoreOk}, kStoreOk},
	    {"refused", {kStoreUnavailable}, kStoreUnavailable},
	};
	auto foreign = [](const struct store *, void *) {
		return kCommitForeign;
	};

	for (const auto &c : cases) {
		Answers a = {c.answers};
		struct store_ops ops = {};
		ops.txn = Txn;
		struct store st = {&ops, &a};
		struct store_txn *txn = store_txn_new();

		EXPECT_EQ(c.result,
		    store_commit(&st, kCauseBatch, txn, foreign, nullptr))
		    << c.name;
		store_txn_free(txn);
	}
}

} // namespace

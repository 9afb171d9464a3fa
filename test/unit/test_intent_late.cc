/* Copies of an intent that the store performs late. */
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "savoryflow/call/intent_store.h"
#include "standin/memstore.h"
}

namespace
{

/* A store that performs some transactions late, if their conditions hold
 * then. */
struct LateStore {
	struct memstore *ms = memstore_new();
	struct store *real = memstore_store(ms);
	struct store_ops ops = *real->ops;
	struct store own = {&ops, this};
	/** The next transactions are performed at once, those after them late.
	 */
	int on_time = 0;
	int late = 0;
	/** Later transactions are refused, as by a store that is out. */
	int refused = 0;
	std::vector<struct store_txn *> pending;

	LateStore()
	{
		ops.txn = Txn;
		ops.get = [](void *c, enum store_cause cause, const char *key,
			      struct store_row *row) {
			LateStore *ls = (LateStore *)c;
			return ls->real->ops->get(
			    ls->real->ctx, cause, key, row);
		};
	}
	~LateStore()
	{
		memstore_free(ms);
	}
	static struct store_txn *
	Copy(const struct store_txn *from)
	{
		struct store_txn *to = store_txn_new();

		for (guint i = 0; i < from->conds->len; i++) {
			auto *c = (struct store_cond *)from->conds->pdata[i];

			if (c->kind == kCondAbsent)
				store_txn_absent(to, c->key);
			else if (c->kind == kCondVersion)
				store_txn_version(to, c->key, c->version);
			else
				store_txn_field(to, c->key, c->field, c->text);
		}
		for (guint i = 0; i < from->writes->len; i++) {
			auto *w = (struct store_write *)from->writes->pdata[i];

			store_txn_write(to, w->key, w->value);
		}
		return to;
	}
	static enum store_result
	Txn(void *ctx, enum store_cause cause, const struct store_txn *txn)
	{
		LateStore *ls = (LateStore *)ctx;

		if (ls->on_time > 0) {
			ls->on_time--;
			return ls->real->ops->txn(ls->real->ctx, cause, txn);
		}
		if (ls->late > 0) {
			ls->late--;
			ls->pending.push_back(Copy(txn));
			return kStoreAmbiguous;
		}
		if (ls->refused > 0) {
			ls->refused--;
			return kStoreUnavailable;
		}
		return ls->real->ops->txn(ls->real->ctx, cause, txn);
	}
	void
	PerformPending()
	{
		for (auto *txn : pending) {
			real->ops->txn(real->ctx, kCauseIntent, txn);
			store_txn_free(txn);
		}
		pending.clear();
	}
};

struct IntentLate : ::testing::Test {
	LateStore ls;

	static struct intent
	Make(const char *attempt)
	{
		struct intent in = {};

		in.team = g_strdup("t");
		in.key = g_strdup("k");
		in.digest = g_strdup("d");
		in.attempt = g_strdup(attempt);
		in.daemon = g_strdup("127.0.0.1:1/1");
		return in;
	}
	intent_state
	Begin(const char *attempt)
	{
		struct intent in = Make(attempt);
		GPtrArray *list = g_ptr_array_new();

		g_ptr_array_add(list, &in);
		intent_begin_all(&ls.own, list);
		g_ptr_array_unref(list);
		intent_state state = in.state;
		intent_clear(&in);
		return state;
	}
	intent_state
	BeginLate(const char *attempt)
	{
		ls.late = 1;
		ls.refused = 3;
		intent_state state = Begin(attempt);
		ls.refused = 0;
		return state;
	}
	/* As intents.c does until the store has answered. */
	store_result
	Withdraw(const char *attempt)
	{
		struct intent in = Make(attempt);
		store_result res = intent_withdraw(&ls.own, &in);

		intent_clear(&in);
		return res;
	}
};

TEST_F(IntentLate, AnIntentThatIsWrittenAfterItsWithdrawalDoesNotStay)
{
	ASSERT_EQ(kIntentStoreDown, BeginLate("a1"));
	/* After anything else, intents.c withdraws again. */
	store_result res = Withdraw("a1");
	EXPECT_TRUE(res == kStoreOk || res == kStoreConflict);
	ls.PerformPending();
	EXPECT_EQ(kIntentAcquired, Begin("a2"));
	EXPECT_EQ(kIntentInProgress, Begin("a3"));
}

TEST_F(IntentLate, AnIntentThatMetAnotherOneDoesNotTakeEffectLater)
{
	ASSERT_EQ(kIntentAcquired, Begin("first"));
	ls.late = 1;
	EXPECT_EQ(kIntentInProgress, Begin("second"));
	EXPECT_EQ(kStoreOk, Withdraw("first"));
	ls.PerformPending();
	EXPECT_EQ(kIntentAcquired, Begin("third"));
	EXPECT_EQ(kIntentInProgress, Begin("fourth"));
}

TEST_F(IntentLate, AnIntentThatReplacesAWithdrawnOneLateDoesNotStay)
{
	ASSERT_EQ(kIntentAcquired, Begin("first"));
	ASSERT_EQ(kStoreOk, Withdraw("first"));
	/* The transaction that expects no row is answered. */
	ls.on_time = 1;
	ASSERT_EQ(kIntentStoreDown, BeginLate("second"));
	ASSERT_EQ(1u, ls.pending.size());
	store_result res = Withdraw("second");
	EXPECT_TRUE(res == kStoreOk || res == kStoreConflict);
	ls.PerformPending();
	EXPECT_EQ(kIntentAcquired, Begin("third"));
	EXPECT_EQ(kIntentInProgress, Begin("fourth"));
}

TEST_F(IntentLate, AWithdrawalDoesNotUndoAnotherAttempt)
{
	ASSERT_EQ(kIntentStoreDown, BeginLate("first"));
	ASSERT_EQ(kIntentAcquired, Begin("second"));
	EXPECT_EQ(kStoreConflict, Withdraw("first"));
	ls.PerformPending();
	EXPECT_EQ(kIntentInProgress, Begin("third"));
}

} // namespace

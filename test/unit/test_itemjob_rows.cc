/* Rows of jobs that lack fields, or hold none: each decoder says so. */
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "savoryflow/job/itemjob_rows.h"
#include "savoryflow/job/itemjob_store.h"
#include "standin/memstore.h"
}

namespace
{

const char kJob[] =
    R"({"host":"h","path":"/p","input":"i","inline":true,"total":1})";
const char kItems[] = R"([{"id":"a","path":"/p","body":""}])";

struct ItemjobRows : ::testing::Test {
	struct memstore *ms = memstore_new();
	struct store *st = memstore_store(ms);

	~ItemjobRows() override
	{
		memstore_free(ms);
	}

	void
	Put(const std::string &key, const std::string &value)
	{
		struct store_txn *txn = store_txn_new();

		store_txn_write(txn, key.c_str(), value.c_str());
		EXPECT_EQ(kStoreOk, st->ops->txn(st->ctx, kCauseBatch, txn));
		store_txn_free(txn);
	}

	store_result
	LoadItems(const char *job_text, const char *items)
	{
		struct itemjob *job = nullptr;
		GPtrArray *list = nullptr;

		Put("job/jobs/j", job_text);
		Put("input/jobs/j", items);
		store_result res = itemjob_get(st, "j", &job);
		if (res == kStoreOk)
			res = itemjob_load_items(st, job, &list);
		if (list != nullptr)
			g_ptr_array_unref(list);
		itemjob_free(job);
		return res;
	}
};

/* Guards against a daemon that ends at a row without a field. */
TEST_F(ItemjobRows, AJobWithoutAFieldIsUnreadable)
{
	const struct {
		const char *name;
		const char *job;
		const char *items;
		store_result result;
	} cases[] = {
	    {"sound", kJob, kItems, kStoreOk},
	    {"no JSON", "\x01", kItems, kStoreUnreadable},
	    {"no object", "[]", kItems, kStoreUnreadable},
	    {"no host", R"({"path":"/p","input":"i","total":1})", kItems,
		kStoreUnreadable},
	    {"no input", R"({"host":"h","path":"/p","total":1})", kItems,
		kStoreUnreadable},
	    {"total of another type",
		R"({"host":"h","path":"/p","input":"i","total":"1"})", kItems,
		kStoreUnreadable},
	    {"total too large",
		R"({"host":"h","path":"/p","input":"i","total":4294967297})",
		kItems, kStoreUnreadable},
	    {"items are no list", kJob, "{}", kStoreUnreadable},
	    {"an item without an id", kJob, R"([{"path":"/p","body":""}])",
		kStoreUnreadable},
	    {"another number of items", kJob, "[]", kStoreUnreadable},
	};

	for (const auto &c : cases)
		EXPECT_EQ(c.result, LoadItems(c.job, c.items)) << c.name;
}

TEST_F(ItemjobRows, APageOfResultsEndsBeforeARowWithoutItem)
{
	const struct {
		const char *name;
		const char *value;
		/* Of the page from position 0, which holds it at 1. */
		size_t count;
		store_result at_it;
	} cases[] = {
	    {"sound", R"({"item":"b","completed":true,"text":"x"})", 3,
		kStoreOk},
	    {"no text", R"({"item":"b","completed":true})", 3, kStoreOk},
	    {"no item", R"({"completed":true,"text":"x"})", 1,
		kStoreUnreadable},
	    {"no JSON", "{", 1, kStoreUnreadable},
	    {"parts that are gone", R"({"item":"b","parts":2})", 1,
		kStoreUnreadable},
	};
	const char *sound = R"({"item":"a","completed":true,"text":"x"})";

	Put("result/j/000000", sound);
	Put("result/j/000002", sound);
	for (const auto &c : cases) {
		GPtrArray *list = nullptr;

		Put("result/j/000001", c.value);
		ASSERT_EQ(kStoreOk, itemjob_read_results(st, "j", 0, &list));
		EXPECT_EQ(c.count, list->len) << c.name;
		for (guint i = 0; i < list->len; i++) {
			auto *r = (itemjob_result *)list->pdata[i];

			EXPECT_NE(nullptr, r->text) << c.name;
			EXPECT_EQ(!r->has_lost_text, r->is_completed);
		}
		g_ptr_array_unref(list);
		list = nullptr;
		EXPECT_EQ(c.at_it, itemjob_read_results(st, "j", 1, &list))
		    << c.name;
		if (list != nullptr)
			g_ptr_array_unref(list);
	}
}

/* Bytes that are no text keep their row: a lost field ended its readers. */
TEST_F(ItemjobRows, AResultOfAnyBytesIsReadAgain)
{
	char item[] = "a\xff";
	char text[] = "caf\xc3 \xff\xfe";
	itemjob_result result = {0, item, true, false, text};
	GPtrArray *list = nullptr;

	ASSERT_EQ(kStoreOk, itemjob_commit(st, "j", 0, &result));
	ASSERT_EQ(kStoreOk, itemjob_read_results(st, "j", 0, &list));
	ASSERT_EQ(1u, list->len);
	auto *read = (itemjob_result *)list->pdata[0];
	EXPECT_STREQ("a\xef\xbf\xbd", read->item_id);
	EXPECT_STREQ("caf\xef\xbf\xbd \xef\xbf\xbd\xef\xbf\xbd", read->text);
	g_ptr_array_unref(list);
}

} // namespace

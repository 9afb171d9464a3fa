/* Lists that are longer than one answer of the metadata store. */
#include <map>

#include "platform/late_copies.h"

extern "C" {
#include "gateway/roster.h"
#include "rows_client.h"
#include "savoryflow/job/itemjob_store.h"
}

namespace
{

/* A store whose answers hold a limited number of rows and of bytes. */
struct RowsPages : ::testing::Test {
	size_t rows_max = 500;
	size_t bytes_max = 1 << 20;
	int reads = 0;
	int now_ms = 0;
	/* Value by TABLE/KEY; all rows are of the partition asked for. */
	std::map<std::string, std::string> rows;
	CopyingServer server{[this](const std::string &r) { return Reply(r); }};
	struct store *st = rows_client_new(server.Address().c_str());

	~RowsPages() override
	{
		rows_client_free(st);
	}

	static std::string
	Argument(const std::string &request, const std::string &name)
	{
		std::string line = request.substr(0, request.find("\r\n"));
		size_t at = line.find(name + "=");

		if (at == std::string::npos)
			return "";
		at += name.size() + 1;
		char *text = g_uri_unescape_string(
		    line.substr(at, line.find_first_of("& ", at) - at).c_str(),
		    nullptr);
		std::string value = text;

		g_free(text);
		return value;
	}

	std::string
	Reply(const std::string &request)
	{
		std::string table = Argument(request, "table_name") + "/";
		std::string until = Argument(request, "target");
		size_t max = strtoul(
		    Argument(request, "max_results").c_str(), nullptr, 10);
		std::string list;
		size_t n = 0;
		bool has_more = false;
		auto it = rows.lower_bound(table + Argument(request, "from"));

		reads++;
		for (; it != rows.end() &&
		     it->first.compare(0, table.size(), table) == 0 &&
		     (until.empty() || it->first < table + until);
		     it++) {
			char *b64 =
			    g_base64_encode((const guchar *)it->second.data(),
				it->second.size());
			std::string row = "{\"key\":\"" +
			    it->first.substr(table.size()) +
			    "\",\"row_version\":7,\"value\":\"" + b64 + "\"}";

			g_free(b64);
			has_more = n >= std::min(max, rows_max) ||
			    (n > 0 && list.size() + row.size() > bytes_max);
			if (has_more)
				break;
			list += (n++ > 0 ? "," : "") + row;
		}
		return CopyingServer::Http(200,
		    "{\"now_ms\":" + std::to_string(++now_ms) + ",\"rows\":[" +
			list + "],\"has_more\":" +
			(has_more ? "true" : "false") + "}");
	}

	/* The table's only rows, numbered after a common start of their keys.
	 */
	void
	Fill(const std::string &table, size_t count, const std::string &value,
	    const std::string &start = "")
	{
		rows.clear();
		for (size_t i = 0; i < count; i++) {
			char number[16];

			g_snprintf(number, sizeof(number), "%06zu", i);
			rows[table + "/" + start + number] = value;
		}
	}
};

const struct {
	size_t count;
	size_t rows_max;
	size_t bytes_max;
	int reads;
} kLists[] = {
    {0, 500, 1 << 20, 1},
    {499, 500, 1 << 20, 1},
    {500, 500, 1 << 20, 1},
    {501, 500, 1 << 20, 2},
    {999, 500, 1 << 20, 2},
    {1001, 500, 1 << 20, 3},
    {1700, 500, 1 << 20, 4},
    {300, 500, 10000, -1},
    {700, 500, 60000, -1},
};

/* Guards against open jobs past the end of a page that nobody runs: their
 * daemon drops them, and no other takes them over. */
TEST_F(RowsPages, AllOpenJobsAreListed)
{
	for (const auto &c : kLists) {
		SCOPED_TRACE(c.count);
		GPtrArray *list = nullptr;

		Fill("open", c.count, "{\"owner\":\"s\",\"ended\":false}");
		rows_max = c.rows_max;
		bytes_max = c.bytes_max;
		reads = 0;
		ASSERT_EQ(kStoreOk, itemjob_read_open(st, &list));
		EXPECT_EQ(c.count, list->len);
		EXPECT_TRUE(c.reads < 0 || c.reads == reads) << reads;
		g_ptr_array_unref(list);
	}
}

TEST_F(RowsPages, AllDaemonsAreListed)
{
	for (const auto &c : kLists) {
		SCOPED_TRACE(c.count);
		GArray *list = nullptr;

		Fill("daemon", c.count,
		    "{\"session\":\"s\",\"region\":\"r\",\"data_center\":"
		    "\"d\"}");
		rows_max = c.rows_max;
		bytes_max = c.bytes_max;
		ASSERT_EQ(kStoreOk, roster_store_read(st, &list));
		EXPECT_EQ(c.count, list->len);
		g_array_unref(list);
	}
}

/* Guards against a takeover that starts items anew whose progress is past the
 * end of a page, and against results that no page holds. */
TEST_F(RowsPages, AllProgressAndResultsOfAJobAreRead)
{
	GArray *progress = nullptr;
	GArray *done = nullptr;

	Fill("progress", 200,
	    "{\"last\":3,\"text\":\"" + std::string(39000, 'x') + "\"}");
	ASSERT_EQ(kStoreOk, itemjob_read_progress(st, "j", &progress));
	EXPECT_EQ(200u, progress->len);
	g_array_unref(progress);
	Fill("item", 200, "7");
	bytes_max = 1000;
	ASSERT_EQ(kStoreOk, itemjob_read_done(st, "j", &done));
	EXPECT_EQ(200u, done->len);
	g_array_unref(done);
}

TEST_F(RowsPages, ATextOfManyPartsIsRead)
{
	const size_t kParts = 26;
	GPtrArray *results = nullptr;

	for (size_t i = 0; i < kParts; i++) {
		char key[32];

		g_snprintf(key, sizeof(key), "text/000000-%02zu", i);
		rows[key] = std::string(kItemjobTextRowBytes, 'x');
	}
	rows["result/000000"] =
	    "{\"item\":\"i\",\"completed\":true,\"parts\":26}";
	ASSERT_EQ(kStoreOk, itemjob_read_results(st, "j", 0, &results));
	ASSERT_EQ(1u, results->len);
	EXPECT_EQ(kParts * kItemjobTextRowBytes,
	    strlen(((struct itemjob_result *)results->pdata[0])->text));
	g_ptr_array_unref(results);
}

/* Guards against a store that tells of more rows without sending any. */
TEST_F(RowsPages, AListThatDoesNotGoOnIsNotRead)
{
	GPtrArray *list = nullptr;

	Fill("open", 3, "{}");
	rows_max = 0;
	EXPECT_EQ(kStoreUnavailable, itemjob_read_open(st, &list));
	EXPECT_EQ(nullptr, list);
}

} // namespace

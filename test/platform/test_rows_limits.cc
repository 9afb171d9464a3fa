/* Results that the metadata store must be able to hold. */
#include <jansson.h>

#include "platform/late_copies.h"

extern "C" {
#include "rows_client.h"
#include "savoryflow/job/itemjob_store.h"
}

namespace
{

/* A store that rejects transactions beyond its limits. */
struct RowsLimits : ::testing::Test {
	static constexpr size_t kRowBytes = 65536;
	static constexpr size_t kCallBytes = 1000000;
	static constexpr size_t kCallEntries = 100;
	std::string rejected;
	int now_ms = 0;
	size_t written = 0;
	CopyingServer server{[this](const std::string &r) { return Reply(r); }};
	struct store *st = rows_client_new(server.Address().c_str());

	~RowsLimits() override
	{
		rows_client_free(st);
	}

	std::string
	Reply(const std::string &request)
	{
		std::string body = request.substr(request.find("\r\n\r\n") + 4);
		json_t *doc = json_loads(body.c_str(), 0, nullptr);
		json_t *upserts = json_object_get(doc, "upserts");
		size_t entries = json_array_size(upserts) +
		    json_array_size(json_object_get(doc, "expected_rev"));
		json_t *row;
		size_t i;

		rejected = body.size() > kCallBytes ? "bytes of the call"
		    : entries > kCallEntries	    ? "entries"
						    : "";
		json_array_foreach(upserts, i, row)
		{
			gsize len = 0;

			g_free(g_base64_decode(
			    json_string_value(json_object_get(row, "value")),
			    &len));
			if (len > kRowBytes)
				rejected = "bytes of a row";
		}
		written += rejected.empty() ? json_array_size(upserts) : 0;
		json_decref(doc);
		return CopyingServer::Http(rejected.empty() ? 200 : 413,
		    "{\"now_ms\":" + std::to_string(++now_ms) + "}");
	}
};

/* Guards against a result that the store rejects each time: its item never
 * ends, nor do the others of its job, which are listed after it. */
TEST_F(RowsLimits, EachTextOfAnItemFits)
{
	const struct {
		const char *name;
		size_t len;
		char c;
	} cases[] = {
	    {"empty", 0, 'x'},
	    {"one row", kItemjobTextRowBytes, 'x'},
	    {"one row, escaped", kItemjobTextRowBytes, '"'},
	    {"one row, escaped longer", kItemjobTextRowBytes, '\x01'},
	    {"two rows", kItemjobTextRowBytes + 1, 'x'},
	    {"longest", kItemjobTextBytesMax, 'x'},
	    {"longest, escaped", kItemjobTextBytesMax, '\n'},
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.name);
		std::string text(c.len, c.c);
		struct itemjob_result result = {};

		result.item_id = (char *)"item";
		result.is_completed = true;
		result.text = (char *)text.c_str();
		EXPECT_EQ(kStoreOk, itemjob_commit(st, "j", 0, &result))
		    << rejected;
	}
}

/* Guards against progress of long texts that the store rejects as a whole: all
 * items of the job start anew. */
TEST_F(RowsLimits, TheProgressOfAllItemsFits)
{
	const struct {
		char c;
		int32_t failures;
		size_t written;
	} cases[] = {{'x', 0, 200}, {'"', 0, 0}, {'"', 1, 200}};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.c);
		std::string text(kItemjobTextRowBytes, c.c);
		GArray *progress = itemjob_progress_new();

		for (int i = 0; i < 200; i++) {
			struct itemjob_progress one = {
			    i, 3, c.failures, g_strdup(text.c_str())};

			g_array_append_val(progress, one);
		}
		EXPECT_EQ(kStoreOk, itemjob_save_progress(st, "j", progress))
		    << rejected;
		EXPECT_EQ(c.written, written);
		written = 0;
		g_array_unref(progress);
	}
}

} // namespace

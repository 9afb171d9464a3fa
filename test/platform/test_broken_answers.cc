/* Answers of both stores that end before their heads or bodies do. */
#include "platform/broken_answers.h"
#include "platform/store_texts.h"

extern "C" {
#include "rows_client.h"
#include "store/store_http.h"
}

namespace
{

struct Case {
	const char *call;
	int status;
	const char *body;
	/* Of the whole answer, and of one that broke off. */
	const char *whole;
	const char *broken;
};

struct BrokenAnswers : ::testing::Test {
	std::string answer;
	CopyingServer server{[this](const std::string &) { return answer; }};

	static std::string
	Get(struct store *st)
	{
		struct store_row row = {};
		std::string text = store_result_text(
		    st->ops->get(st->ctx, kCauseBatch, "t/p/a", &row));

		if (row.value != nullptr)
			text += std::string(" ") + row.value;
		store_row_clear(&row);
		return text;
	}

	static std::string
	Scan(struct store *st)
	{
		GPtrArray *rows = nullptr;
		bool has_more;
		std::string text = store_result_text(st->ops->scan(st->ctx,
		    kCauseBatch, "t/p/", nullptr, 9, &rows, &has_more));

		if (rows != nullptr) {
			text += " " + std::to_string(rows->len);
			g_ptr_array_unref(rows);
		}
		return text;
	}

	static std::string
	Vms(struct store *st)
	{
		GPtrArray *vms = nullptr;
		int64_t cursor = 5;
		std::string text =
		    store_result_text(st->ops->vms(st->ctx, &cursor, &vms));

		if (vms != nullptr) {
			text += " " + std::to_string(cursor);
			g_ptr_array_unref(vms);
		}
		return text;
	}

	static std::string
	Page(enum store_result res, struct rows_page *page)
	{
		std::string text = store_result_text(res);

		if (page->rows != nullptr)
			text += " " + std::to_string(page->version);
		rows_page_clear(page);
		return text;
	}

	static std::string
	Call(struct store *st, const std::string &call)
	{
		struct rows_page page = {};

		if (call == "get")
			return Get(st);
		if (call == "scan")
			return Scan(st);
		if (call == "vms")
			return Vms(st);
		if (call == "object")
			return StoreObjectText(st);
		if (call == "list")
			return Page(
			    rows_client_list(st, "t", nullptr, &page), &page);
		if (call == "feed")
			return Page(
			    rows_client_feed(st, "t", 5, 1, &page), &page);
		if (call == "put")
			return store_result_text(st->ops->put_object(
			    st->ctx, kCauseBatch, "o", "x", 1));
		if (call == "delete")
			return store_result_text(
			    st->ops->delete_object(st->ctx, kCauseBatch, "o"));
		return StoreTxnText(st, "t/p/a");
	}

	template <size_t N>
	void
	ExpectBrokenHeadsAreNoAnswers(
	    struct store *st, const std::string &fields, const Case (&cases)[N])
	{
		for (const Case &c : cases) {
			auto whole =
			    AnswersInEachForm(c.status, fields, c.body);
			std::string name = c.call;

			server.EndAfterAnswers(End::kClose);
			for (const auto &w : whole) {
				answer = w.bytes;
				EXPECT_EQ(c.whole, Call(st, c.call))
				    << name << " " << w.name;
			}
			ForEachBrokenHead(whole,
			    [&](const std::string &bytes, End end,
				const std::string &at) {
				    answer = bytes;
				    server.EndAfterAnswers(end);
				    ASSERT_EQ(c.broken, Call(st, c.call))
					<< name << " " << at;
			    });
		}
	}

	/* Another answer follows where the head was broken off, as one of a
	 * server that wrote twice on a connection. */
	template <size_t N>
	void
	ExpectMixedHeadsAreNoAnswers(struct store *st, const Case (&cases)[N])
	{
		for (const Case &c : cases) {
			std::string other =
			    CopyingServer::Http(c.status, c.body);

			for (const char *start :
			    {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 404 X\r\nX-A",
				"HTTP/1.1 503 X\r\nX-A: ", "HTTP/1.1 2",
				"HTTP/1.1 200 O"}) {
				std::string name = c.call;

				answer = start + other;
				server.EndAfterAnswers(End::kClose);
				EXPECT_EQ(c.broken, Call(st, c.call))
				    << name << " " << start;
			}
		}
	}

	/* A body that has no end of its own may be broken off by a reset. */
	template <size_t N>
	void
	ExpectBrokenBodiesAreNoAnswers(
	    struct store *st, const std::string &fields, const Case (&cases)[N])
	{
		for (const Case &c : cases)
			for (const auto &w :
			    AnswersInEachForm(c.status, fields, c.body)) {
				std::string name = c.call + (" " + w.name);
				bool has_end = w.name.find("neither") ==
					std::string::npos &&
				    w.name.find("1.0") == std::string::npos;

				for (End end : {End::kClose, End::kReset}) {
					if (!has_end && end == End::kClose)
						continue;
					answer = w.bytes;
					/* The last line feed of chunks tells
					 * nothing. */
					answer.resize(answer.size() -
					    (w.name.find("chunks") ==
							std::string::npos
						    ? 1
						    : 2));
					server.EndAfterAnswers(end);
					EXPECT_EQ(c.broken, Call(st, c.call))
					    << name;
				}
			}
	}
};

const char kTime[] = "X-Filler: filler\r\n";

const char kRow[] =
    "{\"now_ms\":7,\"row_version\":9,\"has_more\":false,\"rows\":["
    "{\"table_name\":\"t\",\"part\":\"p\",\"key\":\"a\",\"row_version\":7,"
    "\"value\":\"YQ==\"}]}";
const char kNoRow[] =
    "{\"now_ms\":7,\"row_version\":9,\"has_more\":false,\"rows\":[]}";

const Case kRowsCases[] = {
    {"txn", 200, "{}", "ok", "ambiguous"},
    {"txn", 412, "{}", "conflict", "ambiguous"},
    {"txn", 429, "{}", "unavailable", "ambiguous"},
    {"txn", 503, "{}", "unavailable", "ambiguous"},
    {"txn", 507, "{}", "unavailable", "ambiguous"},
    {"put", 200, "{}", "ok", "ambiguous"},
    {"put", 412, "{}", "ok", "ambiguous"},
    {"put", 503, "{}", "unavailable", "ambiguous"},
    {"delete", 200, "{}", "ok", "ambiguous"},
    {"delete", 404, "{}", "ok", "ambiguous"},
    {"get", 200, kRow, "ok a", "unavailable"},
    {"get", 200, kNoRow, "not_found", "unavailable"},
    {"scan", 200, kNoRow, "ok 0", "unavailable"},
    {"object", 200, "object", "ok object", "unavailable"},
    {"object", 404, "{}", "not_found", "unavailable"},
    {"list", 200, kNoRow, "ok 9", "unavailable"},
    {"feed", 200, kNoRow, "ok 9", "unavailable"},
    {"feed", 410, "{}", "not_found", "unavailable"},
};

const Case kHttpCases[] = {
    {"txn", 200, "{}", "ok", "ambiguous"},
    {"txn", 409, "{}", "conflict", "ambiguous"},
    {"txn", 404, "{}", "not_found", "ambiguous"},
    {"txn", 503, "{}", "unavailable", "ambiguous"},
    {"put", 200, "{}", "ok", "ambiguous"},
    {"put", 503, "{}", "unavailable", "ambiguous"},
    {"delete", 200, "{}", "ok", "ambiguous"},
    {"get", 200, "{\"value\":\"a\",\"version\":1}", "ok a", "unavailable"},
    {"get", 404, "{}", "not_found", "unavailable"},
    {"scan", 200, "[]", "ok 0", "unavailable"},
    {"object", 200, "object", "ok object", "unavailable"},
    {"object", 404, "{}", "not_found", "unavailable"},
    {"vms", 200, "{\"cursor\":9,\"vms\":[]}", "ok 9", "unavailable"},
};

struct BrokenRows : BrokenAnswers {
	struct store *st = rows_client_new(server.Address().c_str());

	~BrokenRows()
	{
		rows_client_free(st);
	}
};

struct BrokenStoreHttp : BrokenAnswers {
	std::string url = "http://" + server.Address();
	struct store_http_options opt = {url.c_str(), 2000};
	struct store *st = store_http_new(&opt);

	~BrokenStoreHttp()
	{
		store_http_free(st);
	}
};

/* Guards against changes that count as made, or as refused, and reads that
 * count as empty, after an answer that ended within its head. */
TEST_F(BrokenRows, AnAnswerThatEndsWithinItsHeadIsNoAnswer)
{
	ExpectBrokenHeadsAreNoAnswers(st, kTime, kRowsCases);
}

TEST_F(BrokenRows, AnAnswerThatEndsWithinItsBodyIsNoAnswer)
{
	ExpectBrokenBodiesAreNoAnswers(st, kTime, kRowsCases);
}

TEST_F(BrokenStoreHttp, AnAnswerThatEndsWithinItsHeadIsNoAnswer)
{
	ExpectBrokenHeadsAreNoAnswers(st, kTime, kHttpCases);
}

TEST_F(BrokenStoreHttp, AnAnswerThatEndsWithinItsBodyIsNoAnswer)
{
	ExpectBrokenBodiesAreNoAnswers(st, kTime, kHttpCases);
}

/* Guards against an answer that is put together from two. */
TEST_F(BrokenRows, AnAnswerWithinAnothersHeadIsNoAnswer)
{
	ExpectMixedHeadsAreNoAnswers(st, kRowsCases);
}

TEST_F(BrokenStoreHttp, AnAnswerWithinAnothersHeadIsNoAnswer)
{
	ExpectMixedHeadsAreNoAnswers(st, kHttpCases);
}

/* Guards against an own answer that is dropped for another's interim head. */
TEST_F(BrokenStoreHttp, AnInterimHeadNamesNoCall)
{
	answer = "HTTP/1.1 102 Wait\r\nSavoryflow-Call: other\r\n\r\n" +
	    CopyingServer::Http(200, "object");
	server.EndAfterAnswers(End::kClose);
	EXPECT_EQ("ok object", StoreObjectText(st));
	EXPECT_EQ("ok", StoreTxnText(st, "t/p/a"));
}

} // namespace

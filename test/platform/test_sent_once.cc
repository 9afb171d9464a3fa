/* Calls whose kept connection ends without an answer: libcurl sends them again
 * by itself, and the second copy may be refused. */
#include "platform/late_copies.h"
#include "platform/store_texts.h"

extern "C" {
#include "rows_client.h"
#include "store/store_http.h"
}

namespace
{

/* A store that is up until it has executed a call without an answer. */
struct SentOnce : ::testing::Test {
	bool is_out = false;
	/* The next call is executed, and its connection ends. */
	bool loses_next = false;
	int changes = 0;
	CopyingServer server{[this](const std::string &r) { return Reply(r); }};

	static bool
	IsChange(const std::string &request)
	{
		return request.find("rows-tx") != std::string::npos ||
		    request.find("POST /txn") == 0;
	}

	static std::string
	CallId(const std::string &request)
	{
		size_t at = request.find("Savoryflow-Call: ");

		return at == std::string::npos
		    ? ""
		    : request.substr(at, request.find("\r\n", at) + 2 - at);
	}

	std::string
	Reply(const std::string &request)
	{
		std::string body = IsChange(request)
		    ? "{\"now_ms\":2}"
		    : "{\"rows\":[],\"now_ms\":1,\"value\":\"v\",\"version\":"
		      "1}";

		changes += IsChange(request);
		if (loses_next) {
			loses_next = false;
			is_out = true;
			return "";
		}
		return "HTTP/1.1 " + std::string(is_out ? "503" : "200") +
		    " X\r\n" + CallId(request) +
		    "Content-Length: " + std::to_string(body.size()) +
		    "\r\n\r\n" + body;
	}

	/* The result of a transaction that is executed and not answered. */
	std::string
	LostTxn(struct store *st)
	{
		struct store_row row = {};

		is_out = false;
		st->ops->get(st->ctx, kCauseBatch, "t/p/a", &row);
		store_row_clear(&row);
		changes = 0;
		loses_next = true;
		return StoreTxnText(st, "t/p/a");
	}
};

/* Guards against a change that is told as not made after its second copy was
 * refused: its object was deleted, and its job ran nevertheless. */
TEST_F(SentOnce, AChangeIsNotRefusedAfterACopyWithoutAnswer)
{
	std::string url = "http://" + server.Address();
	struct store_http_options opt = {url.c_str(), 2000};
	struct store *rows = rows_client_new(server.Address().c_str());
	struct store *table = store_http_new(&opt);

	EXPECT_EQ("ambiguous", LostTxn(rows));
	EXPECT_EQ(2, changes) << "a second copy was refused";
	EXPECT_EQ("ambiguous", LostTxn(table));
	EXPECT_EQ(2, changes) << "a second copy was refused";
	store_http_free(table);
	rows_client_free(rows);
}

} // namespace

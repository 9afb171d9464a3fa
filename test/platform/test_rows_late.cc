/* A second copy of the store's answer, late, on a connection in use again. */
#include <jansson.h>

#include "platform/late_copies.h"
#include "platform/store_texts.h"

extern "C" {
#include "rows_client.h"
}

namespace
{

/* Of the partition "p" of table "t": the rows "a" and "b"; "new" is absent. */
struct RowsLate : ::testing::Test {
	int64_t now_ms = 1000;
	int64_t version = 10;
	bool tells_time = true;
	CopyingServer server{[this](const std::string &r) { return Reply(r); }};
	struct store *st = rows_client_new(server.Address().c_str());

	~RowsLate()
	{
		rows_client_free(st);
	}

	static bool
	Has(const std::string &text, const std::string &part)
	{
		return text.find(part) != std::string::npos;
	}

	std::string
	Json(json_t *doc)
	{
		json_object_set_new(doc, "row_version", json_integer(version));
		if (tells_time)
			json_object_set_new(
			    doc, "now_ms", json_integer(now_ms));
		char *out = json_dumps(doc, 0);
		std::string text = out;

		free(out);
		json_decref(doc);
		return CopyingServer::Http(200, text);
	}

	std::string
	Rows(const std::string &request)
	{
		json_t *rows = json_array();

		for (const char *key : {"a", "b"}) {
			char *b64 = g_base64_encode((const guchar *)key, 1);

			if (Has(request, std::string("&from=") + key + "&"))
				json_array_append_new(rows,
				    json_pack("{s:s,s:s,s:s,s:i,s:s}",
					"table_name", "t", "part", "p", "key",
					key, "row_version", 7, "value", b64));
			g_free(b64);
		}
		return Json(
		    json_pack("{s:o,s:b}", "rows", rows, "has_more", 0));
	}

	/* A transaction on "new" is applied; one on "a" is not. */
	std::string
	Reply(const std::string &request)
	{
		now_ms += 5;
		if (Has(request, "rows-get"))
			return Rows(request);
		if (Has(request, "rows-tx")) {
			if (Has(request, "\"a\""))
				return CopyingServer::Http(412, "{}");
			version++;
			return Json(json_object());
		}
		if (Has(request, "blob-get"))
			return CopyingServer::Http(200, "object");
		return CopyingServer::Http(
		    Has(request, "blob-put/full") ? 507 : 200, "{}");
	}

	std::string
	Get(const char *key)
	{
		struct store_row row = {};
		std::string text = store_result_text(st->ops->get(st->ctx,
		    kCauseBatch, (std::string("t/p/") + key).c_str(), &row));

		if (row.value != nullptr)
			text += std::string(" ") + row.value;
		store_row_clear(&row);
		return text;
	}

	std::string
	Put(const char *key)
	{
		return store_result_text(
		    st->ops->put_object(st->ctx, kCauseBatch, key, "x", 1));
	}

	std::string
	Call(const std::string &call)
	{
		if (call == "get a" || call == "get b" || call == "get new")
			return Get(call.c_str() + 4);
		if (call == "txn a" || call == "txn new")
			return StoreTxnText(st, "t/p/" + call.substr(4));
		return call == "object" ? StoreObjectText(st)
					: Put(call.c_str() + 4);
	}
};

struct Case {
	const char *first;
	const char *second;
	/* Of the second call, if the store sends each answer once. */
	const char *expected;
	/* What it may say instead if it cannot tell. */
	const char *unknown;
};

const Case kCases[] = {
    {"get a", "get b", "ok b", "unavailable"},
    {"get a", "get new", "not_found", "unavailable"},
    {"get new", "get b", "ok b", "unavailable"},
    {"txn new", "get b", "ok b", "unavailable"},
    {"txn a", "get b", "ok b", "unavailable"},
    {"get a", "txn a", "conflict", "ambiguous"},
    {"txn new", "txn a", "conflict", "ambiguous"},
    {"txn a", "txn new", "ok", "ambiguous"},
    {"put full", "txn new", "ok", "ambiguous"},
    {"get a", "object", "ok object", "unavailable"},
    {"txn new", "object", "ok object", "unavailable"},
    {"txn a", "put full", "unavailable", "ambiguous"},
    {"get a", "put full", "unavailable", "ambiguous"},
};

/* Those that the rows alone tell apart. */
const Case kRowCases[] = {
    {"get a", "get b", "ok b", "unavailable"},
    {"get a", "get new", "not_found", "unavailable"},
    {"txn new", "get b", "ok b", "unavailable"},
    {"get a", "txn a", "conflict", "ambiguous"},
};

template <size_t N>
void
ExpectOwnAnswers(RowsLate *t, Copy copy, const Case (&cases)[N])
{
	for (const Case &c : cases) {
		std::string name = std::string(c.first) + ", " + c.second;

		t->server.CopyNext(copy);
		t->Call(c.first);
		if (copy == Copy::kIdle)
			t->server.AwaitIdleCopy();
		std::string got = t->Call(c.second);
		EXPECT_TRUE(got == c.expected || got == c.unknown)
		    << name << ": " << got;
		/* And the calls after it. */
		EXPECT_EQ("ok a", t->Call("get a")) << name;
		EXPECT_EQ("conflict", t->Call("txn a")) << name;
	}
}

TEST_F(RowsLate, ACopyOnAnIdleConnectionIsNotTheNextCallsAnswer)
{
	for (bool tells : {true, false}) {
		tells_time = tells;
		ExpectOwnAnswers(this, Copy::kIdle, kCases);
	}
}

TEST_F(RowsLate, ACopyBeforeTheAnswerIsNotTakenForIt)
{
	ExpectOwnAnswers(this, Copy::kAfterNextRequest, kCases);
}

TEST_F(RowsLate, RowsOfAnotherRangeAreNotTakenIfNoTimeIsTold)
{
	tells_time = false;
	ExpectOwnAnswers(this, Copy::kAfterNextRequest, kRowCases);
}

TEST_F(RowsLate, WithoutACopyEachCallHasItsAnswer)
{
	for (const Case &c : kCases) {
		Call(c.first);
		EXPECT_EQ(c.expected, Call(c.second));
	}
}

} // namespace

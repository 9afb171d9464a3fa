/* Answers of the store that are late copies, or lack what they must tell. */
#include "platform/late_copies.h"
#include "platform/store_texts.h"

extern "C" {
#include "store/store_http.h"
}

namespace
{

const char kCall[] = "Savoryflow-Call: ";

/* Rows "t/p/a" and "t/p/b" exist; a transaction on the first one conflicts. */
std::string
Answer(const std::string &request, bool names_call)
{
	std::string status = "200";
	std::string body = "{}";
	size_t at = request.find(kCall);
	std::string id;

	if (at != std::string::npos && names_call)
		id = request.substr(at, request.find("\r\n", at) + 2 - at);
	if (request.find("GET /table/t/p/a ") == 0)
		body = "{\"value\":\"a\",\"version\":1}";
	else if (request.find("GET /table/t/p/b ") == 0)
		body = "{\"value\":\"b\",\"version\":2}";
	else if (request.find("GET /table/") == 0)
		status = "404";
	else if (request.find("GET /object/") == 0)
		body = "object";
	else if (request.find("t/p/a\"") != std::string::npos)
		status = "409";
	return "HTTP/1.1 " + status + " X\r\n" + id +
	    "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
	    body;
}

struct StoreHttpLate : ::testing::Test {
	bool names_call = true;
	/* Body of the next answer, which names no call. */
	std::string stray;
	CopyingServer server{[this](const std::string &r) {
		std::string body;

		stray.swap(body);
		return body.empty() ? Answer(r, names_call)
				    : CopyingServer::Http(200, body);
	}};
	std::string url = "http://" + server.Address();
	struct store_http_options opt = {url.c_str(), 2000};
	struct store *st = store_http_new(&opt);

	~StoreHttpLate()
	{
		store_http_free(st);
	}

	std::string
	Get(const std::string &key)
	{
		struct store_row row = {};
		std::string text = store_result_text(
		    st->ops->get(st->ctx, kCauseBatch, key.c_str(), &row));

		if (row.value != nullptr)
			text += std::string(" ") + row.value;
		store_row_clear(&row);
		return text;
	}

	std::string
	Call(const std::string &call)
	{
		if (call == "object")
			return StoreObjectText(st);
		std::string key = "t/p/" + call.substr(4);
		return call.substr(0, 3) == "get" ? Get(key)
						  : StoreTxnText(st, key);
	}

	void
	ExpectOwnAnswers(Copy copy)
	{
		const struct {
			const char *first;
			const char *second;
			const char *expected;
			const char *unknown;
		} cases[] = {
		    {"get a", "get b", "ok b", "ok b"},
		    {"get a", "get new", "not_found", "not_found"},
		    {"get new", "get b", "ok b", "ok b"},
		    {"txn a", "get b", "ok b", "ok b"},
		    {"get a", "txn a", "conflict", "ambiguous"},
		    {"txn new", "txn a", "conflict", "ambiguous"},
		    {"txn a", "txn new", "ok", "ambiguous"},
		    {"get a", "object", "ok object", "ok object"},
		};

		for (const auto &c : cases) {
			std::string name =
			    std::string(c.first) + ", " + c.second;

			server.CopyNext(copy);
			Call(c.first);
			if (copy == Copy::kIdle)
				server.AwaitIdleCopy();
			std::string got = Call(c.second);
			EXPECT_TRUE(got == c.expected || got == c.unknown)
			    << name << ": " << got;
			EXPECT_EQ("ok a", Call("get a")) << name;
			EXPECT_EQ("conflict", Call("txn a")) << name;
		}
	}
};

/* What is missing is not 0, live or empty. */
TEST(StoreHttpMalformed, AnAnswerThatLacksAFieldIsUnavailable)
{
	const struct {
		const char *call;
		const char *body;
		bool is_sound;
		/* Of those listed; an entry of the VM list that cannot be read
		 * is left out. */
		guint count;
	} cases[] = {
	    {"get", "{\"value\":\"x\",\"version\":3}", true},
	    {"get", "{\"value\":\"x\"}", false},
	    {"get", "{\"value\":\"x\",\"version\":\"3\"}", false},
	    {"get", "{\"version\":3}", false},
	    {"get", "[]", false},
	    {"scan", "[{\"key\":\"k\",\"value\":\"x\",\"version\":3}]", true,
		1},
	    {"scan", "[]", true},
	    {"scan", "[{\"value\":\"x\",\"version\":3}]", false},
	    {"scan", "[{\"key\":\"k\",\"version\":3}]", false},
	    {"scan", "[{\"key\":\"k\",\"value\":\"x\"}]", false},
	    {"scan", "[7]", false},
	    /* Rows of other writers. */
	    {"get", "{\"value\":7,\"version\":3}", true},
	    {"get", "{\"value\":\"\\u0000\",\"version\":3}", true},
	    {"scan",
		"[{\"key\":\"a\",\"value\":\"x\",\"version\":3},"
		"{\"key\":\"b\",\"value\":\"\\u0000\",\"version\":4},"
		"{\"key\":\"c\",\"value\":[1e999],\"version\":5},"
		"{\"key\":\"\\ud800\",\"value\":\"x\",\"version\":6},"
		"{\"key\":\"d\",\"value\":\"\xff\",\"version\":7}]",
		true, 4},
	    {"scan", "[{\"key\":\"a\",\"value\":\"\xff\"", false},
	    {"scan", "{}", false},
	    {"vms",
		"{\"cursor\":9,\"vms\":[{\"address\":\"a\",\"state\":\"gone\"}]"
		"}",
		true, 1},
	    {"vms", "{\"cursor\":9,\"vms\":[]}", true},
	    {"vms", "{\"vms\":[]}", false},
	    {"vms", "{\"cursor\":\"9\",\"vms\":[]}", false},
	    {"vms", "{\"cursor\":9}", false},
	    {"vms", "{\"cursor\":9,\"vms\":[{\"state\":\"gone\"}]}", true, 0},
	    {"vms", "{\"cursor\":9,\"vms\":[{\"address\":\"a\"}]}", true, 0},
	    {"vms",
		"{\"cursor\":9,\"vms\":[{\"address\":\"a\",\"state\":\"odd\"},"
		"{\"address\":\"b\",\"state\":\"live\"}]}",
		true, 1},
	    {"vms",
		"{\"cursor\":9,\"vms\":[{\"address\":\"\xff\",\"state\":"
		"\"live\"},{\"address\":\"b\",\"state\":\"live\"}]}",
		true, 1},
	    {"vms", "no JSON", false},
	};
	std::string body;
	CopyingServer server([&](const std::string &) {
		return CopyingServer::Http(200, body);
	});
	std::string url = "http://" + server.Address();
	struct store_http_options opt = {url.c_str(), 2000};
	struct store *st = store_http_new(&opt);

	for (const auto &c : cases) {
		struct store_row row = {};
		GPtrArray *list = nullptr;
		int64_t cursor = 5;
		bool has_more;
		enum store_result res;

		body = c.body;
		if (std::string(c.call) == "get")
			res = st->ops->get(st->ctx, kCauseBatch, "k", &row);
		else if (std::string(c.call) == "scan")
			res = st->ops->scan(st->ctx, kCauseBatch, "", nullptr,
			    9, &list, &has_more);
		else
			res = st->ops->vms(st->ctx, &cursor, &list);
		EXPECT_EQ(c.is_sound ? kStoreOk : kStoreUnavailable, res)
		    << c.call << " " << c.body;
		EXPECT_EQ(
		    c.is_sound && std::string(c.call) == "vms" ? 9 : 5, cursor)
		    << c.call << " " << c.body;
		EXPECT_EQ(c.is_sound && row.key == nullptr, list != nullptr)
		    << c.call << " " << c.body;
		EXPECT_EQ(c.count, list != nullptr ? list->len : 0)
		    << c.call << " " << c.body;
		store_row_clear(&row);
		if (list != nullptr)
			g_ptr_array_unref(list);
	}
	store_http_free(st);
}

TEST_F(StoreHttpLate, ACopyIsNotTheNextCallsAnswer)
{
	for (bool names : {true, false}) {
		names_call = names;
		ExpectOwnAnswers(Copy::kIdle);
		ExpectOwnAnswers(Copy::kAfterNextRequest);
	}
}

/* As of something between the daemon and the store. */
TEST_F(StoreHttpLate, AnAnswerWithoutAnIdIsNotTakenOnAUsedConnection)
{
	EXPECT_EQ("ok a", Call("get a"));
	stray = "{\"value\":\"a\",\"version\":1}";
	EXPECT_EQ("ok b", Call("get b"));
	stray = "{}";
	EXPECT_EQ("ambiguous", Call("txn a"));
	EXPECT_EQ("conflict", Call("txn a"));
}

} // namespace

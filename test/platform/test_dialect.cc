#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "dialect.h"
#include "error/error.h"
#include "gateway/answer.h"
}

namespace
{

dialect_forward
Sent(const char *id)
{
	dialect_forward sent = {};

	sent.attempt_id = id;
	sent.target_id = "t";
	return sent;
}

struct Headers {
	struct header_list *list = header_list_new();

	Headers(std::initializer_list<std::pair<const char *, const char *>> h)
	{
		for (auto &p : h)
			header_list_add(list, p.first, p.second);
	}

	~Headers()
	{
		header_list_free(list);
	}
};

TEST(Dialect, CallsAreDecoded)
{
	const struct {
		const char *method;
		const char *uri;
		dialect_endpoint endpoint;
		const char *job;
		int from;
		const char *item;
	} cases[] = {
	    {"POST", "/q/1?a=b", kEndpointRoute, "", 0, ""},
	    {"GET", "/api/lots/j1?after=12", kEndpointJobResults, "j1", 12, ""},
	    {"GET", "/api/lots/j1", kEndpointJobResults, "j1", 0, ""},
	    {"GET", "/api/lots/j1?after=-3", kEndpointJobResults, "j1", 0, ""},
	    {"DELETE", "/api/lots/j1", kEndpointJobEnd, "j1", 0, ""},
	    {"GET", "/api/items/j1?id=i%202", kEndpointJobItem, "j1", 0, "i 2"},
	    {"POST", "/api/lots/j1", kEndpointRoute, "", 0, ""},
	};
	Headers headers = {{"x-attempt-id", "a1"}, {"X-Deadline-Ms", "1500"},
	    {"Last-Event-Id", "12"}, {"X-Prompt-Prefix", "5c:800,91:410,e4:2"}};

	for (const auto &c : cases) {
		dialect_call call;

		platform_dialect.decode_call(
		    c.method, c.uri, headers.list, &call);
		EXPECT_EQ(c.endpoint, call.endpoint) << c.uri;
		EXPECT_STREQ(c.job, call.job_id) << c.uri;
		EXPECT_EQ(c.from, call.from_position) << c.uri;
		EXPECT_STREQ(c.item, call.item_id) << c.uri;
		EXPECT_STREQ("a1", call.attempt_id);
		EXPECT_EQ(1500000, call.wait_us);
		EXPECT_EQ(12, call.last_event_id);
		EXPECT_NE(0u, call.prefix);
		dialect_call_clear(&call);
	}
}

/* Guards against ids that are cut: the beginning of an id is another id. */
TEST(Dialect, IdsOfAnyLengthAreWhole)
{
	for (size_t len : {1, 16, 126, 127, 128, 160, 200, 1000, 8000, 16000}) {
		std::string id(len - 1, 'i');
		std::string other = id + "b";
		dialect_call call;
		dialect_response res;

		id += "a";
		Headers headers = {{"X-Attempt-Id", id.c_str()}};
		platform_dialect.decode_call("GET",
		    ("/api/items/" + id + "?id=" + other).c_str(), headers.list,
		    &call);
		EXPECT_EQ(id, call.attempt_id);
		EXPECT_EQ(id, call.job_id);
		EXPECT_EQ(other, call.item_id);
		dialect_forward own = Sent(call.attempt_id);
		dialect_forward another = Sent(call.item_id);
		platform_dialect.decode_response(200, headers.list, &own, &res);
		EXPECT_TRUE(res.has_matching_attempt) << len;
		platform_dialect.decode_response(
		    200, headers.list, &another, &res);
		EXPECT_FALSE(res.has_matching_attempt) << len;
		dialect_call_clear(&call);
	}
}

TEST(Dialect, LastPartOfAPromptIsNotShared)
{
	Headers one = {{"X-Prompt-Prefix", "5c:800,91:410,e4:2"}};
	Headers two = {{"X-Prompt-Prefix", "5c:800,91:410,ff:9"}};
	Headers other = {{"X-Prompt-Prefix", "5c:800,92:410,e4:2"}};
	Headers own = {{"X-Prompt-Prefix", "e4:2"}};
	dialect_call a, b, c, d;

	platform_dialect.decode_call("POST", "/", one.list, &a);
	platform_dialect.decode_call("POST", "/", two.list, &b);
	platform_dialect.decode_call("POST", "/", other.list, &c);
	platform_dialect.decode_call("POST", "/", own.list, &d);
	EXPECT_EQ(a.prefix, b.prefix);
	EXPECT_NE(a.prefix, c.prefix);
	EXPECT_EQ(0u, d.prefix);
	EXPECT_EQ(-1, a.last_event_id);
	for (dialect_call *call : {&a, &b, &c, &d})
		dialect_call_clear(call);
}

TEST(Dialect, RatesOfAnswersAreDecoded)
{
	const struct {
		const char *value;
		stated_rate_kind kind;
		int64_t milli_per_s;
	} cases[] = {
	    {"4", kRateNamed, 4000},
	    {"2.75", kRateNamed, 2750},
	    {" 0.02 ", kRateNamed, 20},
	    {"0", kRateNamed, 0},
	    {"1e3", kRateNamed, 1000000},
	    {"1e9", kRateNone, 0},
	    {"", kRateUnreadable, 0},
	    {"-1", kRateUnreadable, 0},
	    {"nan", kRateUnreadable, 0},
	    {"inf", kRateUnreadable, 0},
	    {"four", kRateUnreadable, 0},
	    {"4 a second", kRateUnreadable, 0},
	};
	dialect_response res;

	dialect_forward sent = Sent("a");

	for (const auto &c : cases) {
		Headers headers = {{"server-limit", c.value}};

		platform_dialect.decode_response(
		    200, headers.list, &sent, &res);
		EXPECT_EQ(c.kind, res.rate.kind) << c.value;
		EXPECT_EQ(c.milli_per_s, res.rate.milli_per_s) << c.value;
	}
	Headers none = {{"X-Attempt-Id", "a"}};

	platform_dialect.decode_response(200, none.list, &sent, &res);
	EXPECT_EQ(kRateNone, res.rate.kind);
}

TEST(Dialect, ResponsesAreDecoded)
{
	const struct {
		const char *name;
		int status;
		Headers headers;
		/* matching, not executed, misdirected, signed, stream,
		 * leaving, id */
		dialect_response response;
	} cases[] = {
	    {"own stream", 200,
		{{"X-Attempt-Id", "a"}, {"X-Response-Seal", "s"},
		    {"Content-Type", "text/event-stream; charset=utf-8"}},
		{true, false, false, true, true, false, "a"}},
	    {"id of another attempt", 200,
		{{"X-Attempt-Id", "b"}, {"X-Response-Seal", "s"}},
		{false, false, false, true, false, false, "b"}},
	    {"success without an id", 200, {{"X-Response-Seal", "s"}},
		{false, false, false, true, false}},
	    {"not executed", 503, {{"X-Not-Executed", "1"}},
		{false, true, false, false, false}},
	    {"another target", 421, {{"X-Instance-Id", "i"}},
		{false, true, true, false, false}},
	    {"refusal of a leaving target", 503,
		{{"X-Not-Executed", "1"}, {"Server-Leaving", "1"}},
		{false, true, false, false, false, true}},
	    {"answer of a leaving target", 200,
		{{"X-Attempt-Id", "a"}, {"X-Response-Seal", "s"},
		    {"server-leaving", "1"}},
		{true, false, false, true, false, true, "a"}},
	    {"another target, which leaves", 421,
		{{"X-Instance-Id", "i"}, {"Server-Leaving", "1"}},
		{false, true, true, false, false, false}},
	    {"no announcement", 500, {{"Server-Leaving", "0"}},
		{false, false, false, false, false, false}},
	    {"failure of this attempt", 500,
		{{"X-Attempt-Id", "a"}, {"X-Response-Seal", "s"}},
		{true, false, false, true, false, false, "a"}},
	};

	dialect_forward sent = Sent("a");

	for (const auto &c : cases) {
		dialect_response f;

		platform_dialect.decode_response(
		    c.status, c.headers.list, &sent, &f);
		EXPECT_EQ(
		    c.response.has_matching_attempt, f.has_matching_attempt)
		    << c.name;
		EXPECT_EQ(c.response.was_not_executed, f.was_not_executed)
		    << c.name;
		EXPECT_EQ(c.response.is_misdirected, f.is_misdirected)
		    << c.name;
		EXPECT_EQ(c.response.is_signed, f.is_signed) << c.name;
		EXPECT_EQ(c.response.is_event_stream, f.is_event_stream)
		    << c.name;
		EXPECT_EQ(c.response.is_target_leaving, f.is_target_leaving)
		    << c.name;
		EXPECT_STREQ(c.response.attempt_id, f.attempt_id) << c.name;
	}
}

/* Guards against a status that is taken for the statement that a request has
 * not run: only the target's field states it, or another target's name. */
TEST(Dialect, AStatusAloneDoesNotStateThatARequestHasNotRun)
{
	const struct {
		const char *name;
		std::vector<int> statuses;
		Headers headers;
		bool was_not_executed, is_unconfirmed_refusal;
	} cases[] = {
	    {"refusal", {408, 421, 429, 503}, {{"X-Not-Executed", "1"}}, true,
		false},
	    {"refusal without an id", {400}, {{"X-Not-Executed", "1"}}, true,
		false},
	    {"another worker", {421}, {{"X-Instance-Id", "i"}}, true, false},
	    {"nothing stated", {408, 421, 429, 503}, {}, false, true},
	    {"of the worker itself", {408, 421, 429, 503},
		{{"X-Instance-Id", "t"}}, false, true},
	    {"of no worker", {408, 421, 429, 503}, {{"X-Instance-Id", ""}},
		false, true},
	    {"name of another worker", {408, 429, 503},
		{{"X-Instance-Id", "i"}}, false, true},
	    {"signed", {408, 421, 429, 503},
		{{"X-Attempt-Id", "a"}, {"X-Response-Seal", "s"},
		    {"Retry-After", "1"}},
		false, true},
	    {"no promise", {200, 400, 404, 409, 422, 500, 502, 504}, {}, false,
		false},
	};
	dialect_forward sent = Sent("a");

	for (const auto &c : cases)
		for (int status : c.statuses) {
			dialect_response f;

			platform_dialect.decode_response(
			    status, c.headers.list, &sent, &f);
			EXPECT_EQ(c.was_not_executed, f.was_not_executed)
			    << c.name << " " << status;
			EXPECT_EQ(
			    c.is_unconfirmed_refusal, f.is_unconfirmed_refusal)
			    << c.name << " " << status;
		}
}

TEST(Dialect, OnlyAnswersThatIdentifyThemselvesDecide)
{
	const struct {
		const char *name;
		int status;
		Headers headers;
		answer_verdict first, later;
	} cases[] = {
	    {"own success", 200, {{"X-Attempt-Id", "a"}}, kAnswerOwn,
		kAnswerOwn},
	    {"own 422", 422, {{"x-attempt-id", "a"}}, kAnswerOwn, kAnswerOwn},
	    {"own 500", 500, {{"X-Attempt-Id", "a"}}, kAnswerOwn, kAnswerOwn},
	    {"own refusal", 503,
		{{"X-Attempt-Id", "a"}, {"X-Not-Executed", "1"}}, kAnswerOwn,
		kAnswerOwn},
	    {"success without an id", 200, {}, kAnswerForeign, kAnswerForeign},
	    {"400 without an id", 400, {}, kAnswerForeign, kAnswerForeign},
	    {"422 without an id", 422, {}, kAnswerForeign, kAnswerForeign},
	    {"500 without an id", 500, {}, kAnswerForeign, kAnswerForeign},
	    {"503 without an id", 503, {}, kAnswerForeign, kAnswerForeign},
	    {"504 with an empty id", 504, {{"X-Attempt-Id", ""}},
		kAnswerForeign, kAnswerForeign},
	    {"refusal without an id", 503, {{"X-Not-Executed", "1"}},
		kAnswerOwn, kAnswerUnproven},
	    {"421 of another worker", 421, {{"X-Instance-Id", "i"}}, kAnswerOwn,
		kAnswerUnproven},
	    {"421 of nobody", 421, {}, kAnswerForeign, kAnswerForeign},
	    {"421 of the worker itself", 421, {{"X-Instance-Id", "t"}},
		kAnswerForeign, kAnswerForeign},
	    {"another's success", 200, {{"X-Attempt-Id", "b"}}, kAnswerForeign,
		kAnswerForeign},
	    {"another's 422", 422, {{"X-Attempt-Id", "b"}}, kAnswerForeign,
		kAnswerForeign},
	    {"another's refusal", 503,
		{{"X-Attempt-Id", "b"}, {"X-Not-Executed", "1"}},
		kAnswerForeign, kAnswerForeign},
	    {"another's 421", 421, {{"X-Attempt-Id", "b"}}, kAnswerForeign,
		kAnswerForeign},
	    {"a longer id", 500, {{"X-Attempt-Id", "a1"}}, kAnswerForeign,
		kAnswerForeign},
	};

	dialect_forward sent = Sent("a");

	for (const auto &c : cases) {
		dialect_response f;

		platform_dialect.decode_response(
		    c.status, c.headers.list, &sent, &f);
		EXPECT_EQ(c.first, answer_judge(&f, true)) << c.name;
		EXPECT_EQ(c.later, answer_judge(&f, false)) << c.name;
	}
}

TEST(Dialect, BadSubmissionsAreTypedErrors)
{
	const char *const cases[] = {
	    "",
	    "[]",
	    "{\"requests\":[]}",
	    "{\"requests\":[{\"id\":\"a\",\"target_path\":\"/p\"}]}",
	    "{\"requests\":[{\"id\":\"a\",\"body\":\"eA==\"}]}",
	    "{\"requests\":[7]}",
	    R"({"requests":[{"id":"","target_path":"/p","body":""}]})",
	    R"({"requests":[{"id":"a\r\nX: 1","target_path":"/p",
	    "body":""}]})",
	    R"({"requests":[{"id":"a","target_path":"/p HTTP/1.1\r\n\r\nGET /",
	    "body":""}]})",
	    R"({"requests":[{"id":"a","target_path":"/p q","body":""}]})",
	    R"({"requests":[{"id":"a","target_path":"p","body":""}]})",
	    R"({"requests":[{"id":"a","target_path":"/p","body":"",
	    "headers":{"X-A":"1\r\nX-B: 2"}}]})",
	    R"({"requests":[{"id":"a","target_path":"/p","body":"",
	    "headers":{"X-A: 1\r\nX-B":"2"}}]})",
	    R"({"requests":[{"id":"a","target_path":"/p","body":"",
	    "headers":{"":"2"}}]})",
	};

	for (const char *text : cases) {
		GError *err = nullptr;

		EXPECT_EQ(nullptr,
		    platform_dialect.decode_job(text, strlen(text), &err));
		ASSERT_NE(nullptr, err) << text;
		EXPECT_EQ(kErrBadRequest, err->code);
		g_error_free(err);
	}
}

TEST(Dialect, SubmissionsAreDecoded)
{
	const char text[] =
	    R"({"requests":[{"id":"i1","target_path":"/p/3","headers":
	    {"X-Model":"m"},"body":"q80=","tokens":940}]})";
	GError *err = nullptr;
	GPtrArray *items =
	    platform_dialect.decode_job(text, strlen(text), &err);

	ASSERT_NE(nullptr, items);
	auto *item = (itemjob_item *)items->pdata[0];
	EXPECT_STREQ("i1", item->id);
	EXPECT_STREQ("/p/3", item->path);
	EXPECT_EQ(940, item->tokens);
	EXPECT_EQ(2u, g_bytes_get_size(item->body));
	EXPECT_STREQ(
	    "m", g_array_index(item->headers, itemjob_header, 0).value);
	g_ptr_array_unref(items);
}

TEST(Dialect, PartsOfAPromptAreDecodedButTheLast)
{
	const struct {
		const char *text;
		std::vector<uint64_t> ids;
	} cases[] = {
	    {"5c1e07a2:800,91bd3f06:410,e4402b7d:250",
		{0x5c1e07a2, 0x91bd3f06}},
	    {"a:1, b:2,c:3", {0xa, 0xb}},
	    {"a:1", {}},
	    {"", {}},
	    {",", {0}},
	    {"1:1,2:1,3:1,4:1,5:1,6:1,7:1,8:1,9:1,a:1,b:1,c:1,d:1,e:1,f:1,"
	     "10:1,11:1",
		{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15}},
	};

	for (const auto &c : cases) {
		header_list *headers = header_list_new();
		prompt_parts parts;

		header_list_add(headers, "X-Prompt-Prefix", c.text);
		platform_dialect.decode_parts(headers, &parts);
		EXPECT_EQ(c.ids,
		    std::vector<uint64_t>(parts.ids, parts.ids + parts.count))
		    << c.text;
		header_list_free(headers);
	}
}

/* The record of what targets keep would be evicted too early, or never. */
TEST(Dialect, TokensOfPartsAreCountedAndBounded)
{
	const struct {
		const char *text;
		std::vector<int32_t> tokens;
	} cases[] = {
	    {"5c:800,91:410,e4:250", {800, 410}},
	    {"a,b:2,c:3", {1, 2}},
	    {"a:,b:x,c:3", {1, 1}},
	    {"a:-5,b:0,c:3", {1, 1}},
	    {"a:99999999999999999999,b:2000000,c:3", {1000000, 1000000}},
	};

	for (const auto &c : cases) {
		header_list *headers = header_list_new();
		prompt_parts parts;

		header_list_add(headers, "X-Prompt-Prefix", c.text);
		platform_dialect.decode_parts(headers, &parts);
		EXPECT_EQ(c.tokens,
		    std::vector<int32_t>(
			parts.tokens, parts.tokens + parts.count))
		    << c.text;
		header_list_free(headers);
	}
}

} // namespace

#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "decode.h"
#include "error/error.h"
}

namespace
{

const char kConfig[] = R"({"version":7,"routes":[
 {"name":"q","host":"a.example","path_prefix":"/q/","kind":"streaming",
  "timeout_ms":5000,"target_latency_ms":300,"priority":0,
  "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
  "max_attempts":2,"sticky":true,"resumable":true,"target_gap_ms":300},
 {"name":"b","host":"a.example","path_prefix":"/b/","kind":"batch",
  "timeout_ms":15000,"target_latency_ms":500,"service":"s1","max_attempts":3,
  "target_done_ms":18000,"item_ttl_s":60}],
 "services":[{"name":"s1","health_path":"/health","max_conns":360,
  "engine_name":{"slot_count":8}}],
 "limits":{"header_bytes":16384,"body_bytes":4194304,
  "header_timeout_ms":3000,"idle_timeout_ms":15000}})";

/* A request with this id that was sent to the target "t". */
TEST(DecodeRoutebook, DecodesAllFields)
{
	GError *err = nullptr;
	routebook *book = decode_routebook(kConfig, &err);

	ASSERT_NE(nullptr, book) << err->message;
	EXPECT_EQ(7, book->version);
	EXPECT_EQ(4194304, book->limits.body_bytes);
	const routebook_route *q = routebook_find(book, "a.example", "/q/1");
	ASSERT_NE(nullptr, q);
	EXPECT_EQ(kRoutebookStream, q->kind);
	EXPECT_EQ(300000, q->objective_us);
	EXPECT_EQ(5000000, q->timeout_us);
	EXPECT_EQ(2, q->attempts_max);
	EXPECT_TRUE(q->is_resumable);
	EXPECT_EQ(2u, q->shares->len);
	const routebook_route *b = routebook_find(book, "a.example", "/b/1");
	EXPECT_EQ(18000000, b->job_due_us);
	EXPECT_EQ(60000000, b->item_ttl_us);
	auto *svc =
	    (routebook_service *)g_hash_table_lookup(book->services, "s1");
	EXPECT_EQ(8, svc->slots);
	routebook_unref(book);
}

TEST(DecodeRoutebook, InvalidDocumentsAreTypedErrors)
{
	const struct {
		const char *text;
		const char *mentions;
	} cases[] = {
	    {"", "not a JSON object"},
	    {"[]", "not a JSON object"},
	    {"{\"routes\":[]}", "version"},
	    {"{\"version\":\"7\",\"routes\":[]}", "version"},
	    {"{\"version\":7}", "routes"},
	    {"{\"version\":7,\"routes\":[{\"name\":\"x\"}]}", "route 'x'"},
	    {"{\"version\":7,\"routes\":[{\"name\":\"x\",\"host\":\"h\","
	     "\"path_prefix\":\"/\",\"kind\":\"odd\",\"service\":\"s\"}]}",
		"kind"},
	    {"{\"version\":7,\"routes\":[{\"name\":\"x\",\"host\":\"h\","
	     "\"path_prefix\":\"/\",\"kind\":\"batch\"}]}",
		"no service"},
	};

	for (const auto &c : cases) {
		GError *err = nullptr;

		EXPECT_EQ(nullptr, decode_routebook(c.text, &err)) << c.text;
		ASSERT_NE(nullptr, err) << c.text;
		EXPECT_EQ(kErrBadConfig, err->code);
		EXPECT_NE(nullptr, strstr(err->message, c.mentions))
		    << err->message;
		g_error_free(err);
	}
}

const char kTarget[] =
    R"({"service":"s1","addr":"10.0.0.9:8080","zone":"dc1","version":"v1",
 "slot_count":8,"state":"ready","cold_left_ms":0,"sequence":4,
 "born":1791559812381})";

TEST(DecodeTarget, DecodesAllFields)
{
	fleet_target t;
	GError *err = nullptr;

	ASSERT_TRUE(decode_target("i-1", kTarget, 42, &t, &err));
	EXPECT_STREQ("i-1", t.id);
	EXPECT_STREQ("s1", t.service);
	EXPECT_STREQ("10.0.0.9:8080", t.address);
	EXPECT_STREQ("dc1", t.data_center);
	EXPECT_EQ(8, t.slots);
	EXPECT_FALSE(t.is_draining);
	EXPECT_EQ(1791559812381, t.started_ms);
	EXPECT_EQ(42, t.version);
}

/* Entries may be written by other software. */
TEST(DecodeTarget, InvalidEntriesAreTypedErrors)
{
	const struct {
		const char *from;
		const char *to;
	} cases[] = {
	    {"\"service\":\"s1\"", "\"service\":7"},
	    {"\"service\":\"s1\",", ""},
	    {"\"addr\":\"10.0.0.9:8080\",", ""},
	    {"10.0.0.9:8080", "10.0.0.9:65536"},
	    {"10.0.0.9:8080", "10.0.0.9:0"},
	    {"10.0.0.9:8080", "10.0.0.9:-80"},
	    {"10.0.0.9:8080", "10.0.0.9:73616"},
	    {"10.0.0.9:8080", "10.0.0.9:99999999999999999999"},
	    {"10.0.0.9:8080", "10.0.0.9"},
	    {"10.0.0.9:8080", "10.0.0.9:"},
	    {"10.0.0.9:8080", "10.0.0.9:80 "},
	    {"10.0.0.9:8080", "10.0.0.9:80/x"},
	    {"10.0.0.9:8080", "a@10.0.0.9:80"},
	    {"10.0.0.9:8080", "10.0.0.256:80"},
	    {"10.0.0.9:8080", "0.0.0.0:80"},
	    {"10.0.0.9:8080", "224.0.0.1:80"},
	    {"10.0.0.9:8080", "host:80"},
	    {"10.0.0.9:8080", "[::1]:80"},
	    {"10.0.0.9:8080", ""},
	    {"\"service\":\"s1\"", "\"service\":\"\""},
	    {"\"service\":\"s1\"", "\"service\":\"s\\u0001\""},
	    {"\"slot_count\":8", "\"slot_count\":4294967304"},
	    {"\"slot_count\":8", "\"slot_count\":99999999999999999999"},
	    {"\"slot_count\":8", "\"slot_count\":1e999"},
	    {"\"sequence\":4", "\"sequence\":[[[[[]"},
	    {"\"zone\":\"dc1\",", ""},
	    {"\"state\":\"ready\"", "\"state\":\"odd\""},
	    {"\"state\":\"ready\"", "\"state\":null"},
	    {"\"slot_count\":8", "\"slot_count\":\"8\""},
	    {"\"slot_count\":8", "\"slot_count\":0"},
	    {"\"slot_count\":8", "\"slot_count\":8.5"},
	    {"\"born\":1791559812381", "\"born\":1.5"},
	    {"{", "["},
	};

	for (const auto &c : cases) {
		std::string text = kTarget;
		fleet_target t;
		GError *err = nullptr;

		text.replace(text.find(c.from), strlen(c.from), c.to);
		EXPECT_FALSE(decode_target("i", text.c_str(), 1, &t, &err))
		    << text;
		ASSERT_NE(nullptr, err);
		EXPECT_EQ(kErrBadRequest, err->code);
		g_error_free(err);
	}
}

/* The name of an entry goes into the head of requests. */
TEST(DecodeTarget, NamesThatNoHeaderCanHoldAreRefused)
{
	const std::string names[] = {
	    "i\r\nX-A: 1", "i\n", "i\x01", std::string(256, 'i')};

	for (const auto &name : names) {
		fleet_target t;
		GError *err = nullptr;

		EXPECT_FALSE(decode_target(name.c_str(), kTarget, 1, &t, &err))
		    << name;
		ASSERT_NE(nullptr, err);
		g_error_free(err);
	}
}

/* A key of the store has up to 200 bytes, the other names are texts: the
 * longest ones are whole, longer ones a typed error. */
TEST(DecodeTarget, LongNamesAreWholeOrRefused)
{
	for (size_t len : {96, 200, 255, 256, 1000}) {
		std::string id(len, 'i'), service(len, 's'), zone(len, 'z');
		std::string text = "{\"service\":\"" + service +
		    "\",\"zone\":\"" + zone +
		    "\",\"addr\":\"10.0.0.1:1\",\"slot_count\":1,"
		    "\"state\":\"ready\",\"born\":1}";
		fleet_target t;
		GError *err = nullptr;
		bool ok = decode_target(id.c_str(), text.c_str(), 1, &t, &err);

		EXPECT_EQ(len < 256, ok) << len;
		g_clear_error(&err);
		if (!ok)
			continue;
		EXPECT_EQ(id, t.id);
		EXPECT_EQ(service, t.service);
		EXPECT_EQ(zone, t.data_center);
	}
}

/* Guards against a route whose service's name is cut to that of another
 * service. */
TEST(DecodeRoutebook, AServiceWhoseNameIsTooLongIsATypedError)
{
	for (size_t len : {255, 256}) {
		std::string text = R"({"version":1,"routes":[{"name":"r",
		    "host":"h","path_prefix":"/r/","kind":"idempotent",
		    "service":")" +
		    std::string(len, 's') + "\"}]}";
		GError *err = nullptr;
		routebook *book = decode_routebook(text.c_str(), &err);

		EXPECT_EQ(len < 256, book != nullptr) << len;
		if (book != nullptr)
			routebook_unref(book);
		g_clear_error(&err);
	}
}

/* Guards against text that is nested so deeply that its reader ends. */
TEST(DecodeTarget, DeepNestingIsATypedError)
{
	std::string deep = std::string(100000, '[');
	fleet_target t;

	for (const std::string &text : {deep, "{\"service\":" + deep}) {
		GError *err = nullptr;

		EXPECT_FALSE(decode_target("i", text.c_str(), 1, &t, &err));
		ASSERT_NE(nullptr, err);
		g_error_free(err);
		err = nullptr;
		EXPECT_EQ(nullptr, decode_routebook(text.c_str(), &err));
		ASSERT_NE(nullptr, err);
		g_error_free(err);
	}
}

TEST(DecodeRoutebook, NumbersOutOfRangeAreClamped)
{
	const char *const numbers[] = {
	    "1e300", "9223372036854775807", "-1e300", "4294967297"};

	for (const char *number : numbers) {
		std::string n = number;
		std::string text =
		    R"({"version":1,"routes":[{"name":"r","host":"h",
		    "path_prefix":"/p/","kind":"batch","service":"s",
		    "timeout_ms":)" +
		    n + R"(,"max_attempts":)" + n + R"(,"priority":)" + n +
		    R"(,"max_count":)" + n + R"(,"item_ttl_s":)" + n +
		    R"(}],"limits":{"body_bytes":)" + n + "}}";
		GError *err = nullptr;
		struct routebook *book = decode_routebook(text.c_str(), &err);

		ASSERT_NE(nullptr, book) << text;
		auto *route = (routebook_route *)book->routes->pdata[0];
		EXPECT_EQ(*number == '-', route->timeout_us < 0) << number;
		EXPECT_GE(route->attempts_max, 1) << number;
		EXPECT_GE(route->waiting_tokens_max, 0) << number;
		if (*number != '-') {
			EXPECT_GT(route->timeout_us, 1000000000) << number;
			EXPECT_GT(route->attempts_max, 1) << number;
		}
		routebook_unref(book);
	}
}

} // namespace

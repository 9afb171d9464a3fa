// Teams and keys of the configuration, and credentials of requests: a key that
// leaves the daemon that read it, or that is taken for another, would let
// somebody act for a team.
#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <utility>
#include <vector>

extern "C" {
#include "decode.h"
#include "decode_teams.h"
#include "dialect.h"
#include "error/error.h"
}

namespace
{

const char kRoutes[] =
    R"("routes":[{"name":"q","host":"h","path_prefix":"/q/",
    "kind":"streaming","service":"s","target_latency_ms":1.25},
    {"name":"p","host":"h","path_prefix":"/p/","kind":"streaming",
    "service":"s","public":true}])";

std::string
Document(const std::string &teams, int version = 7)
{
	return "{\"version\":" + std::to_string(version) + "," + kRoutes +
	    ",\"tenants\":" + teams + "}";
}

struct Book {
	explicit Book(const std::string &text)
	{
		book = decode_routebook(text.c_str(), &err);
	}
	~Book()
	{
		g_clear_error(&err);
		if (book != nullptr)
			routebook_unref(book);
	}
	std::string
	TeamOf(const std::string &key) const
	{
		team_digest d =
		    team_keys_digest(book->keys, key.data(), key.size());
		const char *team = team_keys_find(book->keys, &d);

		return team != nullptr ? team : "";
	}

	GError *err = nullptr;
	routebook *book;
};

std::string
WithoutKeys(const std::string &text)
{
	char *copy = decode_without_keys(text.c_str());
	std::string res = copy != nullptr ? copy : "(none)";

	g_free(copy);
	return res;
}

const char kTeams[] = R"([
    {"name":"alpha","api_keys":["sk-alpha-1","sk-alpha-2"],"priority":1,
     "rate_per_s":2.5,"burst_size":4},
    {"name":"beta \"b\"","api_keys":["sk-beta \u00e9"]},
    {"name":"gamma","api_keys":[]},
    {"name":"delta"},
    {"name":"odd","api_keys":["",7,null,["sk-nested"]]}])";

TEST(DecodeTeams, BothFormsHaveTheSameTeamsAndDigests)
{
	std::string text = Document(kTeams);
	std::string once = WithoutKeys(text);
	std::string twice = WithoutKeys(once);

	EXPECT_EQ(std::string::npos, once.find("sk-")) << once;
	EXPECT_EQ(once, twice) << "a daemon passes on what it got";
	Book of_store(text);
	ASSERT_NE(nullptr, of_store.book) << of_store.err->message;
	for (const std::string &form : {text, once, twice}) {
		Book b(form);
		struct {
			const char *key;
			const char *team;
		} cases[] = {
		    {"sk-alpha-1", "alpha"},
		    {"sk-alpha-2", "alpha"},
		    {"sk-beta \xc3\xa9", "beta \"b\""},
		    {"sk-nested", ""},
		    {"7", ""},
		    {"", ""},
		};

		ASSERT_NE(nullptr, b.book) << b.err->message;
		EXPECT_EQ(7, b.book->version);
		EXPECT_EQ(0,
		    memcmp(team_keys_secret(b.book->keys),
			team_keys_secret(of_store.book->keys),
			kTeamDigestBytes));
		for (const auto &c : cases)
			EXPECT_EQ(c.team, b.TeamOf(c.key)) << c.key;
		const struct routebook_team *t =
		    routebook_team(b.book, "alpha");
		ASSERT_NE(nullptr, t);
		EXPECT_EQ(2500, t->rate_milli_per_s);
		EXPECT_EQ(4, t->burst);
		EXPECT_EQ(1, t->priority);
		EXPECT_NE(nullptr, routebook_team(b.book, "delta"));
		EXPECT_TRUE(routebook_find(b.book, "h", "/p/1")->is_public);
		EXPECT_EQ(
		    1250, routebook_find(b.book, "h", "/q/1")->objective_us);
	}
}

/* Guards against a digest of one version that is valid in the next one. */
TEST(DecodeTeams, VersionsHaveSecretsOfTheirOwn)
{
	Book a(Document(kTeams, 7));
	Book b(Document(kTeams, 8));

	EXPECT_NE(0,
	    memcmp(team_keys_secret(a.book->keys),
		team_keys_secret(b.book->keys), kTeamDigestBytes));
}

TEST(DecodeTeams, ADocumentWithoutTeamsIsKeptAsItIs)
{
	for (const char *teams : {"[]", "null"}) {
		std::string text = Document(teams);
		Book b(text);

		EXPECT_EQ(text, WithoutKeys(text));
		ASSERT_NE(nullptr, b.book) << b.err->message;
		EXPECT_EQ(nullptr, b.book->keys) << "nobody needs a key";
	}
	std::string none = std::string("{\"version\":1,") + kRoutes + "}";
	EXPECT_EQ(none, WithoutKeys(none));
}

/* Guards against a document that lets everybody in because of a slip, and
 * against a message that quotes it. */
TEST(DecodeTeams, InvalidDocumentsAreErrorsThatQuoteNoKey)
{
	const std::string cases[] = {
	    Document(R"({"name":"a","api_keys":["sk-secret"]})"),
	    Document(R"("sk-secret")"),
	    Document(R"([{"api_keys":["sk-secret"]}])"),
	    Document(R"([{"name":"","api_keys":["sk-secret"]}])"),
	    Document(R"([{"name":"a\nb","api_keys":["sk-secret"]}])"),
	    Document(R"([7])"),
	    Document(R"([{"name":"a","api_keys":["sk-secret" "sk-secret"]}])"),
	    Document(R"([{"name":"a","api_keys":["sk-secret)"),
	    Document("[{\"name\":\"a\",\"api_keys\":[\"sk-secret\x01\"]}]"),
	    Document("[{\"name\":\"a\",\"api_keys\":[sk-secret]}]"),
	};

	for (const auto &text : cases) {
		Book b(text);

		EXPECT_EQ(nullptr, b.book) << text;
		ASSERT_NE(nullptr, b.err) << text;
		EXPECT_EQ(kErrBadConfig, b.err->code);
		EXPECT_EQ(nullptr, strstr(b.err->message, "sk-secret"))
		    << b.err->message;
		EXPECT_EQ(
		    std::string::npos, WithoutKeys(text).find("sk-secret"))
		    << text;
	}
}

TEST(DecodeTeams, KeysOverTheLimitAreNoKeys)
{
	std::string longest(kTeamKeyBytesMax, 'k');
	Book b(Document("[{\"name\":\"a\",\"api_keys\":[\"" + longest +
	    "\",\"" + longest + "k\"]}]"));

	EXPECT_EQ("a", b.TeamOf(longest));
	EXPECT_EQ("", b.TeamOf(longest + "k"));
}

struct Call {
	explicit Call(const std::vector<std::pair<std::string, std::string>> &h)
	{
		for (const auto &p : h)
			header_list_add(
			    headers, p.first.c_str(), p.second.c_str());
		platform_dialect.decode_call("POST", "/q/1", headers, &call);
	}
	~Call()
	{
		dialect_call_clear(&call);
		header_list_free(headers);
	}

	header_list *headers = header_list_new();
	dialect_call call;
};

TEST(Credentials, EachDefectIsToldApart)
{
	const std::string longest(512, 'k');
	struct {
		std::vector<std::pair<std::string, std::string>> headers;
		dialect_key_state state;
		std::string key;
	} cases[] = {
	    {{}, kKeyMissing, ""},
	    {{{"X-Tenant", "alpha"}}, kKeyMissing, ""},
	    {{{"Authorization", "Bearer k1"}}, kKeyGiven, "k1"},
	    {{{"authorization", "bearer k1"}}, kKeyGiven, "k1"},
	    {{{"AUTHORIZATION", "BEARER   k1"}}, kKeyGiven, "k1"},
	    {{{"Authorization", "Bearer k1"}, {"X-Tenant", "beta"}}, kKeyGiven,
		"k1"},
	    {{{"Authorization", "Bearer " + longest}}, kKeyGiven, longest},
	    {{{"Authorization", "Bearer k,1"}}, kKeyGiven, "k,1"},
	    {{{"Authorization", "Bearer \xc3\xa9\xff"}}, kKeyGiven,
		"\xc3\xa9\xff"},
	    {{{"Authorization", "Bearer " + longest + "k"}}, kKeyTooLong, ""},
	    {{{"Authorization", "Bearer " + std::string(15000, 'k')}},
		kKeyTooLong, ""},
	    {{{"Authorization", ""}}, kKeyEmpty, ""},
	    {{{"Authorization", "Bearer"}}, kKeyEmpty, ""},
	    {{{"Authorization", "Bearer  "}}, kKeyEmpty, ""},
	    {{{"Authorization", "Bearer k1"}, {"Authorization", "Bearer k1"}},
		kKeyDoubled, ""},
	    {{{"Authorization", "Bearer k1"}, {"authorization", ""}},
		kKeyDoubled, ""},
	    {{{"Authorization", "Bearer k1, Bearer k2"}}, kKeyMalformed, ""},
	    {{{"Authorization", "Bearer k1 k2"}}, kKeyMalformed, ""},
	    {{{"Authorization", "Bearer\tk1"}}, kKeyMalformed, ""},
	    {{{"Authorization", "Bearer k1\t"}}, kKeyMalformed, ""},
	    {{{"Authorization", "Bearerk1"}}, kKeyMalformed, ""},
	    {{{"Authorization", "Basic azE6"}}, kKeyMalformed, ""},
	    {{{"Authorization", "k1"}}, kKeyMalformed, ""},
	    {{{"Authorization", " Bearer k1"}}, kKeyMalformed, ""},
	    {{{"X-Authorization", "Bearer k1"}}, kKeyMissing, ""},
	};

	for (const auto &c : cases) {
		Call call(c.headers);
		std::string name = c.headers.empty()
		    ? "none"
		    : c.headers.back().first + ": " + c.headers.back().second;

		EXPECT_EQ(c.state, call.call.key_state) << name;
		if (c.state != kKeyGiven)
			continue;
		EXPECT_EQ(c.key, std::string(call.call.key, call.call.key_len))
		    << name;
	}
}

TEST(Credentials, AllFieldsThatIdentifyTheCallerAreRemoved)
{
	Call call({{"Authorization", "Bearer k1"}, {"X-Tenant", "alpha"},
	    {"x-tenant", "beta"}, {"AUTHORIZATION", "Bearer k2"},
	    {"X-Model", "m"}});

	platform_dialect.strip_credentials(call.headers);
	ASSERT_EQ(1u, header_list_len(call.headers));
	EXPECT_STREQ("X-Model", header_list_at(call.headers, 0)->name);
}

std::string
StripJob(const std::string &text)
{
	GBytes *body = g_bytes_new(text.data(), text.size());
	GBytes *stripped = platform_dialect.strip_job(body);
	gsize len;
	const char *data = (const char *)g_bytes_get_data(stripped, &len);
	std::string res(data, len);

	g_bytes_unref(stripped);
	g_bytes_unref(body);
	return res;
}

/* Guards against a key in the body of a submission that peers are sent. */
TEST(Credentials, ItemsOfAForwardedJobCarryNone)
{
	struct {
		const char *text;
		const char *stripped;
	} cases[] = {
	    {R"({"requests":[{"id":"a","headers":{"authorization":"Bearer k",)"
	     R"("X-TENANT":"t","X-Model":"m"}}]})",
		R"({"requests":[{"id":"a","headers":{"X-Model":"m"}}]})"},
	    {R"({"requests":[{"headers":{"\u0041uthorization":"Bearer k"}},7]})",
		R"({"requests":[{"headers":{}},7]})"},
	    {R"({ "requests": [{"headers":{"X-Model":"m"}}, {}] })",
		R"({ "requests": [{"headers":{"X-Model":"m"}}, {}] })"},
	    {"not JSON", "not JSON"},
	    {"", ""},
	};

	for (const auto &c : cases)
		EXPECT_EQ(c.stripped, StripJob(c.text)) << c.text;
}

} // namespace

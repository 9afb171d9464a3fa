/* JSON of other writers: how deeply it may nest. */
#include <gtest/gtest.h>

#include <string>

#include "nested_text.h"

extern "C" {
#include "os/json_partial.h"
#include "os/json_text.h"
}

namespace
{

const struct {
	const char *name;
	std::string text;
	bool is_allowed;
} kTexts[] = {
    {"array", NestedText("[", "", "]", kJsonLevelsMax), true},
    {"array, a level more", NestedText("[", "", "]", kJsonLevelsMax + 1),
	false},
    {"object", NestedText("{\"a\":", "1", "}", kJsonLevelsMax), true},
    {"object, a level more",
	NestedText("{\"a\":", "1", "}", kJsonLevelsMax + 1), false},
    {"both", NestedText("[{\"a\":", "1", "}]", kJsonLevelsMax / 2), true},
    {"thousands", NestedText("[", "", "]", 30000), false},
    {"without an end", std::string(30000, '['), false},
    {"side by side", "[" + NestedText("[],", "[]", "", 5000) + "]", true},
    {"within a text", "[\"" + std::string(5000, '[') + "\"]", true},
    {"after an escape", "[\"\\\"" + std::string(5000, '{') + "\"]", true},
    {"after an escaped backslash",
	"[\"\\\\\"," + NestedText("[", "", "]", kJsonLevelsMax) + "]", false},
    {"closed before it is opened",
	std::string(5000, ']') + std::string(5000, '['), false},
    {"empty", "", false},
};

TEST(JsonText, NestingIsLimited)
{
	for (const auto &c : kTexts) {
		json_t *doc =
		    json_text_load_bytes(c.text.data(), c.text.size());

		EXPECT_EQ(c.is_allowed, doc != nullptr) << c.name;
		json_decref(doc);
		doc = json_text_load(c.text.c_str());
		EXPECT_EQ(c.is_allowed, doc != nullptr) << c.name;
		json_decref(doc);
	}
	EXPECT_EQ(nullptr, json_text_load(nullptr));
}

TEST(JsonText, TheErrorNamesThePlace)
{
	std::string text = "[1,\n" + NestedText("[", "", "]", 200) + "]";
	json_error_t err;

	EXPECT_EQ(
	    nullptr, json_text_load_checked(text.data(), text.size(), &err));
	EXPECT_EQ(2, err.line);
	EXPECT_EQ(kJsonLevelsMax, err.column);
	EXPECT_STREQ("nested too deeply", err.text);
}

const struct {
	const char *name;
	std::string text;
	/* Sorted, or empty: nothing can be read. */
	std::string read;
} kPartial[] = {
    {"sound", "{\"a\":[1,{\"b\":\"x\"}]}", "{\"a\":[1,{\"b\":\"x\"}]}"},
    {"blanks", " { \"a\" : [ ] , \"b\" : \"\\u0000\" } ",
	"{\"a\":[],\"b\":null}"},
    {"NUL", "[{\"k\":\"a\",\"v\":\"\\u0000\"},{\"k\":\"b\"}]",
	"[{\"k\":\"a\",\"v\":null},{\"k\":\"b\"}]"},
    {"no UTF-8", "[\"\xff\",\"b\"]", "[null,\"b\"]"},
    {"integer", "[99999999999999999999,2]", "[null,2]"},
    {"number", "[1e999,2]", "[null,2]"},
    {"word", "[nonsense,2]", "[null,2]"},
    {"brackets in a text", "[\"]}\\\"[{\",\"\\ud800\"]", "[\"]}\\\"[{\",null]"},
    {"nested", "[" + NestedText("[", "", "]", 3000) + ",2]", "[[[null]],2]"},
    {"name", "{\"\\u0000\":1,\"b\":2}", "{\"b\":2}"},
    {"other bracket within", "[[1},2]", "[null,2]"},
    {"level below the last", "[[[[\"\xff\",1],2],3],4]", "[[[null,2],3],4]"},
    {"cut", "[\"\xff\",[2", ""},
    {"cut in a text", "[\"\xff\",\"b", ""},
    {"closed too often", "[\"\xff\"]]", ""},
    {"other bracket", "[\"\xff\"}", ""},
    {"no comma", "{\"a\":\"\xff\" \"b\":2", ""},
    {"missing part", "[\"\xff\",,2]", ""},
    {"blank part", "[\"\xff\", ,2]", ""},
    {"comma at the end", "[\"\xff\",]", ""},
    {"no member", "{\"\xff\"}", ""},
    {"a text alone", "\"\xff\"", ""},
    {"empty", "", ""},
};

TEST(JsonPartial, APartThatCannotBeReadHidesNoOther)
{
	for (const auto &c : kPartial) {
		json_t *doc = json_partial_load(
		    c.text.data(), c.text.size(), kJsonRowLevels);
		char *text = doc != nullptr
		    ? json_dumps(doc, JSON_COMPACT | JSON_SORT_KEYS)
		    : nullptr;

		EXPECT_EQ(c.read, text != nullptr ? text : "") << c.name;
		free(text);
		json_decref(doc);
	}
}

} // namespace

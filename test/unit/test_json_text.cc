/* JSON of other writers: how deeply it may nest. */
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "os/json_text.h"
}

namespace
{

std::string
Nested(const std::string &open, const std::string &inner,
    const std::string &close, int levels)
{
	std::string text;

	for (int i = 0; i < levels; i++)
		text += open;
	text += inner;
	for (int i = 0; i < levels; i++)
		text += close;
	return text;
}

const struct {
	const char *name;
	std::string text;
	bool is_allowed;
} kTexts[] = {
    {"array", Nested("[", "", "]", kJsonLevelsMax), true},
    {"array, a level more", Nested("[", "", "]", kJsonLevelsMax + 1), false},
    {"object", Nested("{\"a\":", "1", "}", kJsonLevelsMax), true},
    {"object, a level more", Nested("{\"a\":", "1", "}", kJsonLevelsMax + 1),
	false},
    {"both", Nested("[{\"a\":", "1", "}]", kJsonLevelsMax / 2), true},
    {"thousands", Nested("[", "", "]", 30000), false},
    {"without an end", std::string(30000, '['), false},
    {"side by side", "[" + Nested("[],", "[]", "", 5000) + "]", true},
    {"within a text", "[\"" + std::string(5000, '[') + "\"]", true},
    {"after an escape", "[\"\\\"" + std::string(5000, '{') + "\"]", true},
    {"after an escaped backslash",
	"[\"\\\\\"," + Nested("[", "", "]", kJsonLevelsMax) + "]", false},
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
	std::string text = "[1,\n" + Nested("[", "", "]", 200) + "]";
	json_error_t err;

	EXPECT_EQ(
	    nullptr, json_text_load_checked(text.data(), text.size(), &err));
	EXPECT_EQ(2, err.line);
	EXPECT_EQ(kJsonLevelsMax, err.column);
	EXPECT_STREQ("nested too deeply", err.text);
}

} // namespace

#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "os/text_copy.h"
}

namespace
{

/* Guards against the beginning of a text that is taken for the whole. */
TEST(TextCopy, ATextIsCopiedWholeOrNotAtAll)
{
	const struct {
		const char *name, *text;
		bool fits;
	} cases[] = {
	    {"empty", "", true},
	    {"short", "a", true},
	    {"longest", "1234567", true},
	    {"too long by one", "12345678", false},
	    {"too long", "123456789abcdef", false},
	    {"none", nullptr, false},
	};

	for (const auto &c : cases) {
		char buffer[8] = "before";
		std::string whole = c.fits ? c.text : "";

		EXPECT_EQ(c.fits, text_fits(sizeof(buffer), c.text)) << c.name;
		EXPECT_EQ(c.fits, text_copy(buffer, sizeof(buffer), c.text))
		    << c.name;
		EXPECT_EQ(whole, buffer) << c.name;
		text_copy_or_none(buffer, sizeof(buffer), c.text);
		EXPECT_EQ(whole, buffer) << c.name;
	}
}

} // namespace

#ifndef TEST_NESTED_TEXT_H
#define TEST_NESTED_TEXT_H

#include <string>

/** A text between so many opening and closing brackets. */
inline std::string
NestedText(const std::string &open, const std::string &inner,
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

#endif

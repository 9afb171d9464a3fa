#ifndef TEST_PLATFORM_BROKEN_ANSWERS_H
#define TEST_PLATFORM_BROKEN_ANSWERS_H

#include <string>
#include <vector>

#include "platform/late_copies.h"

/* An answer, and how many of its bytes are its heads. */
struct WholeAnswer {
	std::string name;
	std::string bytes;
	size_t head_bytes;
};

/* How the body of an answer is framed. */
enum class Framing { kLength, kChunks, kConnection };

inline std::string
WithBareLineFeeds(const std::string &text)
{
	std::string out;

	for (char c : text)
		if (c != '\r')
			out += c;
	return out;
}

/*
 * @param fields further lines of the head, each with its end
 */
inline std::vector<WholeAnswer>
AnswersInEachForm(
    int status, const std::string &fields, const std::string &body)
{
	static const char interim[] = "HTTP/1.1 102 Wait\r\nX-A: 1\r\n\r\n";
	std::string start = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
	std::string old = "HTTP/1.0 " + std::to_string(status) + " X\r\n";
	std::string length =
	    "Content-Length: " + std::to_string(body.size()) + "\r\n";
	std::string chunked = "Transfer-Encoding: chunked\r\n";
	char size[16];

	snprintf(size, sizeof(size), "%zx\r\n", body.size());
	std::string chunks =
	    (body.empty() ? "" : size + body + "\r\n") + "0\r\n\r\n";
	const struct {
		const char *name;
		std::string head, body;
	} forms[] = {
	    {"length", start + fields + length, body},
	    {"length first", start + length + fields, body},
	    {"chunks", start + fields + chunked, chunks},
	    {"chunks first", start + chunked + fields, chunks},
	    {"neither", start + fields, body},
	    {"HTTP/1.0", old + fields, body},
	    {"bare line feeds", WithBareLineFeeds(start + fields + length),
		body},
	    {"interim head", interim + start + fields + length, body},
	    {"interim head, chunks", interim + start + chunked + fields,
		chunks},
	};
	std::vector<WholeAnswer> all;

	for (const auto &f : forms) {
		bool is_bare = f.head.find('\r') == std::string::npos;
		std::string head = f.head + (is_bare ? "\n" : "\r\n");

		all.push_back({std::to_string(status) + " " + f.name,
		    head + f.body, head.size()});
	}
	return all;
}

/* Calls the function with each answer that ends within its heads. */
template <typename Function>
void
ForEachBrokenHead(const std::vector<WholeAnswer> &answers, Function call)
{
	for (const auto &a : answers)
		for (End end : {End::kClose, End::kReset})
			/* A reset differs by what was read before it. */
			for (size_t n = 1; n < a.head_bytes;
			     n += end == End::kClose ? 1 : 7)
				call(a.bytes.substr(0, n), end,
				    a.name +
					(end == End::kClose ? " closed at "
							    : " reset at ") +
					std::to_string(n));
}

#endif

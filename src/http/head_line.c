/* Lines of the heads and trailers of answers. */
#include "http/head_line.h"

#include <glib.h>
#include <string.h>

enum {
	kStatusFirst = 100,
	kStatusLast = 599,
};

/* @return length without CRLF or a bare LF */
static size_t
len_without_end(const char *line, size_t len)
{
	if (len > 0 && line[len - 1] == '\n')
		len--;
	else
		return len;
	return len > 0 && line[len - 1] == '\r' ? len - 1 : len;
}

/* Bytes over 127 are allowed, as in RFC 9110, 5.5. */
static bool
is_text(const char *from, const char *end)
{
	for (; from < end; from++)
		if (g_ascii_iscntrl(*from) && *from != '\t')
			return false;
	return true;
}

int32_t
head_line_status(const char *line, size_t len)
{
	static const char version[] = "HTTP/1.";
	const size_t code_at = sizeof(version) + 1;
	const char *reason = line + code_at + 3;
	const char *end = line + len_without_end(line, len);
	int32_t status = 0;

	if (end < reason || strncmp(line, version, sizeof(version) - 1) != 0 ||
	    !g_ascii_isdigit(line[code_at - 2]) || line[code_at - 1] != ' ')
		return 0;
	for (size_t i = code_at; i < code_at + 3; i++) {
		if (!g_ascii_isdigit(line[i]))
			return 0;
		status = 10 * status + (line[i] - '0');
	}
	if (status < kStatusFirst || status > kStatusLast ||
	    (reason < end && *reason != ' ') || !is_text(reason, end))
		return 0;
	return status;
}

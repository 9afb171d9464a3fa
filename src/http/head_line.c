/* Lines of the heads and trailers of answers. */
#include "http/head_line.h"

#include <glib.h>
#include <string.h>

enum {
	kStatusFirst = 100,
	kStatusLast = 599,
	kStatusDigits = 3,
	/* Of a number of bytes that fits into 64 bits. */
	kLengthDigitsMax = 18,
};

bool
head_line_is_token_char(char c)
{
	return g_ascii_isalnum(c) ||
	    (c != '\0' && strchr("!#$%&'*+-.^_`|~", c) != NULL);
}

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
	const size_t minor_at = sizeof(version) - 1;
	const size_t code_at = minor_at + 2;
	const size_t reason_at = code_at + kStatusDigits;
	const size_t text_len = len_without_end(line, len);
	int32_t status = 0;

	if (text_len < reason_at || strncmp(line, version, minor_at) != 0 ||
	    !g_ascii_isdigit(line[minor_at]) || line[minor_at + 1] != ' ')
		return 0;
	for (size_t i = code_at; i < reason_at; i++) {
		if (!g_ascii_isdigit(line[i]))
			return 0;
		status = 10 * status + (line[i] - '0');
	}
	if (status < kStatusFirst || status > kStatusLast ||
	    (text_len > reason_at && line[reason_at] != ' ') ||
	    !is_text(line + reason_at, line + text_len))
		return 0;
	return status;
}

static bool
is_named(const char *name, const char *line, const char *colon)
{
	size_t len = (size_t)(colon - line);

	return len == strlen(name) && g_ascii_strncasecmp(line, name, len) == 0;
}

static bool
take_length(struct head_framing *framing, const char *value)
{
	size_t len = strlen(value);

	if (framing->has_length || framing->has_chunks || len == 0 ||
	    len > kLengthDigitsMax || strspn(value, "0123456789") != len)
		return false;
	framing->has_length = true;
	return true;
}

static bool
take_coding(struct head_framing *framing, const char *value)
{
	if (framing->has_length || framing->has_chunks ||
	    g_ascii_strcasecmp(value, "chunked") != 0)
		return false;
	framing->has_chunks = true;
	return true;
}

static bool
take_framing(struct head_framing *framing, const char *line, const char *colon,
    const char *end)
{
	bool is_length = is_named("Content-Length", line, colon);
	bool is_coding = is_named("Transfer-Encoding", line, colon);
	char *value;
	bool ok;

	if (!is_length && !is_coding)
		return true;
	if (framing == NULL)
		return false;
	value = g_strstrip(g_strndup(colon + 1, (gsize)(end - colon - 1)));
	ok = is_length ? take_length(framing, value)
		       : take_coding(framing, value);
	g_free(value);
	return ok;
}

bool
head_line_is_field(const char *line, size_t len, struct head_framing *framing)
{
	const char *end = line + len_without_end(line, len);
	const char *colon = line;

	while (colon < end && head_line_is_token_char(*colon))
		colon++;
	return colon > line && colon < end && *colon == ':' &&
	    is_text(colon + 1, end) && take_framing(framing, line, colon, end);
}

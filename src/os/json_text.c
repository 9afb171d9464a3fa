/* JSON that comes from outside: its nesting, and strings of any bytes. */
#include "os/json_text.h"

#include "os/text_copy.h"

#include <glib.h>
#include <string.h>

void
json_scan_byte(struct json_scan *sc, char c)
{
	if (sc->is_escaped) {
		sc->is_escaped = false;
	} else if (sc->is_in_string) {
		sc->is_escaped = c == '\\';
		sc->is_in_string = c != '"';
	} else if (c == '"') {
		sc->is_in_string = true;
	} else if (c == '[' || c == '{') {
		sc->levels++;
	} else if (c == ']' || c == '}') {
		sc->levels--;
	}
}

/* @return the bytes before the bracket that is nested too deeply; the length if
 * there is none */
static size_t
len_of_allowed(const char *bytes, size_t len)
{
	struct json_scan sc = {0};

	for (size_t i = 0; i < len; i++) {
		json_scan_byte(&sc, bytes[i]);
		if (sc.levels > kJsonLevelsMax)
			return i;
	}
	return len;
}

static void
set_depth_error(json_error_t *err, const char *bytes, size_t len)
{
	const char *line = bytes;

	*err = (json_error_t){.line = 1, .position = (int)len};
	for (const char *at = bytes; at < bytes + len; at++)
		if (*at == '\n') {
			err->line++;
			line = at + 1;
		}
	err->column = (int)(bytes + len - line) + 1;
	text_copy_or_none(err->text, sizeof(err->text), "nested too deeply");
}

static json_t *
load(const char *bytes, size_t len, size_t flags, json_error_t *err)
{
	size_t allowed = len_of_allowed(bytes, len);

	if (allowed == len)
		return json_loadb(bytes, len, flags, err);
	if (err != NULL)
		set_depth_error(err, bytes, allowed);
	return NULL;
}

json_t *
json_text_load_checked(const char *bytes, size_t len, json_error_t *err)
{
	return load(bytes, len, 0, err);
}

json_t *
json_text_load_part(const char *bytes, size_t len)
{
	return load(bytes, len, JSON_DECODE_ANY, NULL);
}

json_t *
json_text_load_bytes(const char *bytes, size_t len)
{
	return json_text_load_checked(bytes, len, NULL);
}

json_t *
json_text_load(const char *text)
{
	return text != NULL ? json_text_load_bytes(text, strlen(text)) : NULL;
}

bool
json_text_is_valid(const char *bytes, size_t len)
{
	return g_utf8_validate(bytes, (gssize)len, NULL);
}

json_t *
json_text(const char *text)
{
	json_t *value = json_string(text != NULL ? text : "");
	char *valid;

	if (value != NULL)
		return value;
	valid = g_utf8_make_valid(text, -1);
	value = json_string(valid);
	g_free(valid);
	return value;
}

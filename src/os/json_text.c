/* JSON strings of bytes that come from outside. */
#include "os/json_text.h"

#include <glib.h>

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

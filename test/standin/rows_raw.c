/* Bytes in answers of the store that are not the JSON of an encoder. */
#include "rows_raw.h"

#include <stdlib.h>
#include <string.h>

#include "http.h"

static const char kStart[] = "raw:";
static const char kQuotedStart[] = "\"raw:";

char *
rows_raw_value(const char *value)
{
	if (value == NULL || g_str_has_prefix(value, kStart))
		return g_strdup(value);
	return g_base64_encode((const guchar *)value, strlen(value));
}

struct MHD_Response *
rows_raw_response(json_t *doc)
{
	GString *out = g_string_new(NULL);
	char *text = json_dumps(doc, JSON_COMPACT);
	const char *left = text;
	struct MHD_Response *res;
	const char *at;

	while ((at = strstr(left, kQuotedStart)) != NULL) {
		const char *from = at + sizeof(kQuotedStart) - 1;
		const char *end = strchr(from, '"');
		char *b64 = g_strndup(from, (gsize)(end - from));
		gsize len = 0;
		guchar *bytes = g_base64_decode(b64, &len);

		g_string_append_len(out, left, at - left);
		g_string_append_len(out, (const char *)bytes, (gssize)len);
		left = end + 1;
		g_free(bytes);
		g_free(b64);
	}
	g_string_append(out, left);
	res = standin_text_response(out->str);
	g_string_free(out, TRUE);
	free(text);
	json_decref(doc);
	return res;
}

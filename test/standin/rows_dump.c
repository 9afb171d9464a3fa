/* The contents of the table service as plain text. */
#include "rows_dump.h"

void
rows_dump_row(GString *out, const char *key, const char *value)
{
	gsize len = 0;
	guchar *text;

	if (value == NULL)
		return;
	text = g_base64_decode(value, &len);
	g_string_append_printf(out, "%s ", key);
	g_string_append_len(out, (const char *)text, (gssize)len);
	g_string_append_c(out, '\n');
	g_free(text);
}

static void
append_objects(GString *out, GHashTable *objects)
{
	GHashTableIter it;
	void *name;
	void *object;

	g_hash_table_iter_init(&it, objects);
	while (g_hash_table_iter_next(&it, &name, &object)) {
		gsize len;
		const char *data = g_bytes_get_data(object, &len);

		g_string_append_printf(out, "%s ", (const char *)name);
		g_string_append_len(out, data, (gssize)len);
		g_string_append_c(out, '\n');
	}
}

struct MHD_Response *
rows_dump_response(GString *out, GHashTable *objects)
{
	struct MHD_Response *res;

	append_objects(out, objects);
	res = MHD_create_response_from_buffer(
	    out->len, out->str, MHD_RESPMEM_MUST_COPY);
	g_string_free(out, TRUE);
	return res;
}

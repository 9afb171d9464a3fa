/* Second copies of answers, written as raw HTTP. */
#include "surplus.h"

#include <string.h>

void
surplus_fault_parse(struct surplus_fault *fault, const json_t *doc)
{
	const char *text = json_string_value(json_object_get(doc, "text"));

	*fault = (struct surplus_fault){
	    .left = (int)json_integer_value(json_object_get(doc, "count")),
	    .delay_ms =
		(int)json_integer_value(json_object_get(doc, "delay_ms")),
	    .split_ms =
		(int)json_integer_value(json_object_get(doc, "split_ms")),
	    .lacks_id = json_is_true(json_object_get(doc, "no_id")),
	    .is_chunked = json_is_true(json_object_get(doc, "chunked")),
	};
	g_strlcpy(fault->text, text != NULL ? text : "", sizeof(fault->text));
}

static char *
raw_answer(
    const struct surplus_fault *fault, const struct surplus_answer *answer)
{
	GString *out = g_string_new(NULL);
	size_t len = strlen(answer->body);

	g_string_append_printf(
	    out, "HTTP/1.1 %u Copy\r\n%s", answer->status, answer->headers);
	if (!fault->lacks_id && answer->attempt != NULL)
		g_string_append_printf(
		    out, "X-Attempt-Id: %s\r\n", answer->attempt);
	if (fault->is_chunked)
		g_string_append_printf(out,
		    "Transfer-Encoding: chunked\r\n\r\n%zx\r\n%s\r\n0\r\n\r\n",
		    len, answer->body);
	else
		g_string_append_printf(
		    out, "Content-Length: %zu\r\n\r\n%s", len, answer->body);
	return g_string_free(out, FALSE);
}

void
surplus_apply(struct surplus_fault *fault, struct standin_request *req,
    const struct surplus_answer *answer)
{
	if (fault->left <= 0)
		return;
	fault->left--;
	req->surplus = fault->text[0] != '\0' ? g_strdup(fault->text)
					      : raw_answer(fault, answer);
	req->surplus_delay_ms = fault->delay_ms;
	req->surplus_split_ms = fault->split_ms;
}

/* Answers that belong to another request. */
#include <jansson.h>
#include <string.h>

#include "http.h"

void
standin_foreign_set(struct standin_foreign *fo, const char *json)
{
	json_t *doc = json_loads(json, 0, NULL);
	const char *attempt =
	    json_string_value(json_object_get(doc, "attempt"));

	fo->status =
	    (unsigned int)json_integer_value(json_object_get(doc, "status"));
	fo->is_not_run = json_is_true(json_object_get(doc, "not_run"));
	g_strlcpy(
	    fo->attempt, attempt != NULL ? attempt : "", sizeof(fo->attempt));
	g_atomic_int_set(&fo->left,
	    (gint)json_integer_value(json_object_get(doc, "foreign")));
	json_decref(doc);
}

struct MHD_Response *
standin_foreign_take(
    struct standin_foreign *fo, const char *type, unsigned int *status)
{
	struct MHD_Response *res;

	if (g_atomic_int_add(&fo->left, -1) <= 0) {
		g_atomic_int_set(&fo->left, 0);
		return NULL;
	}
	*status = fo->status;
	res = standin_text_response("data: [DONE]\n\n");
	MHD_add_response_header(res, "Content-Type", type);
	if (fo->attempt[0] != '\0')
		MHD_add_response_header(res, "Savoryflow-Attempt", fo->attempt);
	if (fo->is_not_run)
		MHD_add_response_header(res, "Savoryflow-Ran", "no");
	return res;
}

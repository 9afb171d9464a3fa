/* Answers that the gateway generates itself. */
#include "gateway/reply.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "error/error.h"
#include "metric/metric.h"

void
reply_json(struct front_request *req, int32_t status, const char *text)
{
	struct header_list *headers = header_list_new();

	header_list_add(headers, "Content-Type", "application/json");
	front_reply(req, status, headers, text, strlen(text));
	header_list_free(headers);
}

void
reply_error(struct front_request *req, int code, const char *message,
    int64_t retry_after_us)
{
	struct header_list *headers = header_list_new();
	bool may_have_run = sf_error_may_have_run(code);
	json_t *doc =
	    json_pack("{s:{s:s,s:i,s:s}}", "error", "type", sf_error_type(code),
		"code", sf_error_status(code), "message", message);
	char *text = json_dumps(doc, JSON_COMPACT);
	char seconds[G_ASCII_DTOSTR_BUF_SIZE];

	header_list_add(headers, "Content-Type", "application/json");
	header_list_add(
	    headers, "Savoryflow-Ran", may_have_run ? "unknown" : "no");
	if (retry_after_us > 0)
		header_list_add(headers, "Retry-After",
		    g_ascii_formatd(seconds, sizeof(seconds), "%.3f",
			(double)retry_after_us / kUsPerS));
	if (!may_have_run)
		metric_add(kMetRefused, 1);
	front_reply(req, sf_error_status(code), headers, text, strlen(text));
	free(text);
	json_decref(doc);
	header_list_free(headers);
}

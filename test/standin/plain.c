/*
 * Stand-in for a plain service whose calls are not idempotent: each call makes
 * one booking and is appended to the history file.
 *
 * Faults: POST /fault {"cut","delay_ms"}: the next N calls run, but get no
 * response; all calls are delayed. {"foreign"}: the next N calls run, but get
 * an answer of another request (http.h).
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "http.h"

struct plain {
	const char *history;
	gint run_count;
	/** The next N calls run, but get no response. */
	gint cuts_left;
	gint delay_ms;
	struct standin_foreign foreign;
};

static void
set_fault(struct plain *pl, const char *text)
{
	json_t *doc = json_loads(text, 0, NULL);

	g_atomic_int_set(&pl->cuts_left,
	    (gint)json_integer_value(json_object_get(doc, "cut")));
	g_atomic_int_set(&pl->delay_ms,
	    (gint)json_integer_value(json_object_get(doc, "delay_ms")));
	json_decref(doc);
	standin_foreign_set(&pl->foreign, text);
}

static struct MHD_Response *
handle(void *ctx, struct standin_request *req, unsigned int *status)
{
	struct plain *pl = ctx;
	const char *attempt = MHD_lookup_connection_value(
	    req->con, MHD_HEADER_KIND, "Savoryflow-Attempt");
	struct MHD_Response *res;
	char *line;
	char *text;
	int run;

	if (strcmp(req->url, "/fault") == 0) {
		set_fault(pl, req->body->str);
		return standin_text_response("{}");
	}
	if (strcmp(req->url, "/load") == 0)
		return standin_text_response("{}");
	run = g_atomic_int_add(&pl->run_count, 1) + 1;
	line = g_strdup_printf("{\"kind\":\"run\",\"attempt\":\"%s\","
			       "\"path\":\"%s\",\"body\":\"%s\"}",
	    attempt != NULL ? attempt : "", req->url,
	    g_strescape(req->body->str, NULL));
	standin_append_history(pl->history, line);
	g_free(line);
	if (g_atomic_int_get(&pl->delay_ms) > 0)
		g_usleep((gulong)g_atomic_int_get(&pl->delay_ms) * 1000);
	if (g_atomic_int_get(&pl->cuts_left) > 0) {
		g_atomic_int_add(&pl->cuts_left, -1);
		return NULL;
	}
	res = standin_foreign_take(&pl->foreign, "application/json", status);
	if (res != NULL)
		return res;
	text = g_strdup_printf("{\"confirmed\":true,\"run\":%d}", run);
	res = standin_text_response(text);
	MHD_add_response_header(res, "Content-Type", "application/json");
	if (attempt != NULL)
		MHD_add_response_header(res, "Savoryflow-Attempt", attempt);
	g_free(text);
	return res;
}

int
standin_plain(int argc, char **argv)
{
	struct plain pl = {
	    .history = standin_flag(argc, argv, "--history", NULL),
	};

	return standin_serve(
	    (uint16_t)atoi(standin_flag(argc, argv, "--port", "7200")), handle,
	    &pl);
}

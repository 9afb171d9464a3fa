/* Status of the daemon for operators, on the metrics listener. */
#include "gateway/gateway_status.h"

#include <string.h>

#include "gateway/gateway_internal.h"

static const char kStatusPath[] = "/v1/status";

static json_t *
describe_daemon(const struct gateway *gw)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:b,s:i,s:i}", "address",
	    gw->self.address, "session", gw->self.session, "region",
	    gw->self.region, "data_center", gw->self.data_center, "draining",
	    (int)gw->is_draining, "active_requests",
	    (int)front_active(gw->front), "members",
	    (int)roster_count_all(gw->roster, loop_now_us(gw->lp)));
}

static json_t *
describe_configuration(const struct gateway *gw)
{
	const struct routebook *book = gw->routes;

	if (book == NULL)
		return json_null();
	return json_pack("{s:I,s:i,s:i}", "version", (json_int_t)book->version,
	    "routes", (int)book->routes->len, "teams",
	    book->teams != NULL ? (int)g_hash_table_size(book->teams) : 0);
}

/* -1: the store has not answered yet. */
static json_t *
describe_store(const struct gateway *gw)
{
	int64_t age_us = loop_now_us(gw->lp) - gw->store_answered_us;

	return json_pack("{s:b,s:b,s:I}", "up", (int)gw->is_store_up,
	    "lists_readable", (int)gw->is_watch_up, "answered_ms_ago",
	    (json_int_t)(gw->store_answered_us != 0 ? age_us / kUsPerMs : -1));
}

static const struct status_section sections[] = {
    {"daemon", describe_daemon},
    {"configuration", describe_configuration},
    {"store", describe_store},
};

bool
gateway_status_is_requested(const char *uri)
{
	return strcmp(uri, kStatusPath) == 0;
}

char *
gateway_status_text(const struct gateway *gw)
{
	json_t *doc = json_object();
	char *text;

	for (size_t i = 0; i < G_N_ELEMENTS(sections); i++) {
		json_t *part = sections[i].describe(gw);

		if (part != NULL)
			json_object_set_new(doc, sections[i].name, part);
	}
	text = json_dumps(doc, JSON_INDENT(2));
	json_decref(doc);
	return text;
}

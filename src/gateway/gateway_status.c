/* Status of the daemon for operators, on the metrics listener. */
#include "gateway/gateway_status.h"

#include <string.h>

#include "gateway/gateway_internal.h"
#include "metric/metric.h"

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

/* -1 for the age: no proof yet. */
static json_t *
describe_freshness(const struct gateway *gw)
{
	if (gw->proofs == NULL)
		return NULL;
	return json_pack("{s:I,s:I,s:I,s:I}", "bound_ms",
	    (json_int_t)gw->set->revocation_bound_ms, "proof_age_ms",
	    (json_int_t)metric_get(kMetProofAge), "refused_stale",
	    (json_int_t)metric_get(kMetRefusedStale), "refused_revoked",
	    (json_int_t)metric_get(kMetRefusedRevoked));
}

static json_t *
describe_allowances(const struct gateway *gw)
{
	if (gw->routes == NULL || gw->routes->teams == NULL)
		return NULL;
	return json_pack("{s:I,s:I,s:I,s:I,s:I}", "tied_shards",
	    (json_int_t)metric_get(kMetAllowanceTied), "owned_shards",
	    (json_int_t)metric_get(kMetAllowanceOwned), "teams",
	    (json_int_t)metric_get(kMetAllowanceTeams), "refused",
	    (json_int_t)metric_get(kMetAllowanceRefused), "refunded",
	    (json_int_t)metric_get(kMetAllowanceRefunds));
}

static json_t *
describe_budget(const struct gateway *gw)
{
	if (metric_get(kMetBudgetLimit) == 0)
		return NULL;
	return json_pack("{s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "limit_bytes",
	    (json_int_t)metric_get(kMetBudgetLimit), "connections_bytes",
	    (json_int_t)metric_get(kMetBudgetConnections), "heads_bytes",
	    (json_int_t)metric_get(kMetBudgetHeads), "reading_bytes",
	    (json_int_t)metric_get(kMetBudgetReading), "held_bytes",
	    (json_int_t)metric_get(kMetBudgetHeld), "unread_bytes",
	    (json_int_t)metric_get(kMetBudgetUnread), "answers_bytes",
	    (json_int_t)metric_get(kMetBudgetAnswers));
}

static const struct status_section sections[] = {
    {"daemon", describe_daemon},
    {"configuration", describe_configuration},
    {"store", describe_store},
    {"freshness", describe_freshness},
    {"allowances", describe_allowances},
    {"budget", describe_budget},
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

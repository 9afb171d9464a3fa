/* Endpoints for operators and for the platform's load balancer. */
#include <inttypes.h>
#include <string.h>

#include "api/request.h"
#include "error/error.h"
#include "log/log.h"
#include "metric/metric.h"
#include "os/json_text.h"
#include "savoryflow/config/config_store.h"
#include "serve/grants.h"
#include "serve/poller.h"
#include "serve/routes.h"

enum { kHistoryPageEntries = 100 };

void
admin_health(struct request *req)
{
	request_reply_bytes(req, MHD_HTTP_OK, "text/plain", "ok\n", 3);
}

void
admin_ready(struct request *req)
{
	bool is_accepting = g_atomic_int_get(&req->d->is_ready) &&
	    !g_atomic_int_get(&req->d->is_draining);

	if (is_accepting)
		request_reply_bytes(
		    req, MHD_HTTP_OK, "text/plain", "ready\n", 6);
	else
		request_reply_bytes(req, MHD_HTTP_SERVICE_UNAVAILABLE,
		    "text/plain", "not ready\n", 10);
}

void
admin_metrics(struct request *req)
{
	GString *text = g_string_new(NULL);

	metric_print(text);
	request_reply_bytes(req, MHD_HTTP_OK, "text/plain; version=0.0.4",
	    text->str, text->len);
	g_string_free(text, TRUE);
}

void
admin_config_get(struct request *req)
{
	struct config *cfg = config_holder_get(req->d->configs);

	if (cfg == NULL) {
		request_reply_error(req, kErrNotFound,
		    "no configuration has been loaded yet", 0);
		return;
	}
	request_reply_json(req, MHD_HTTP_OK,
	    json_pack("{s:I,s:s,s:O}", "generation",
		(json_int_t)cfg->generation, "digest", cfg->digest, "document",
		cfg->doc));
	config_unref(cfg);
}

static void
submit_config(struct request *req)
{
	const char *from = request_query_param(req, "from");
	struct config_submission sub = {
	    .doc = json_text_load_bytes(req->body->str, req->body->len),
	    .base_generation =
		from != NULL ? g_ascii_strtoll(from, NULL, 10) : 0,
	    .author = req->team,
	    .wall_us = clock_wall_us(req->d->clk),
	};
	GError *err = NULL;
	struct config *cfg;

	if (sub.doc == NULL) {
		request_reply_error(
		    req, kErrBadJson, "the request body is not valid JSON", 0);
		return;
	}
	cfg = config_store_submit(req->d->store, &sub, &err);
	json_decref(sub.doc);
	if (cfg == NULL) {
		log_event(kEvtConfigRejected, "who", req->team, "type",
		    sf_error_type(err->code), NULL);
		request_reply_gerror(req, err);
		return;
	}
	log_event(
	    kEvtConfigAccepted, "who", req->team, "digest", cfg->digest, NULL);
	if (config_holder_offer(req->d->configs, cfg))
		poller_config_in_force(req->d->poller);
	request_reply_json(req, MHD_HTTP_OK,
	    json_pack("{s:I,s:s}", "generation", (json_int_t)cfg->generation,
		"digest", cfg->digest));
	config_unref(cfg);
}

void
admin_config_put(struct request *req)
{
	request_offload(req, submit_config);
}

static void
read_history(struct request *req)
{
	const char *after = request_query_param(req, "after");
	GError *err = NULL;
	json_t *list = config_store_history(req->d->store,
	    after != NULL ? g_ascii_strtoll(after, NULL, 10) : 0,
	    kHistoryPageEntries, &err);

	if (list != NULL)
		request_reply_json(req, MHD_HTTP_OK, list);
	else
		request_reply_gerror(req, err);
}

void
admin_config_history(struct request *req)
{
	request_offload(req, read_history);
}

void
admin_status(struct request *req)
{
	struct daemon *d = req->d;

	request_reply_json(req, MHD_HTTP_OK,
	    json_pack("{s:s,s:s,s:b,s:b,s:b,s:I,s:o,s:o}", "daemon",
		d->set->name, "version", SAVORYFLOW_VERSION, "ready",
		g_atomic_int_get(&d->is_ready), "draining",
		g_atomic_int_get(&d->is_draining), "store_up",
		g_atomic_int_get(&d->is_store_up), "generation",
		(json_int_t)config_holder_generation(d->configs), "members",
		routes_status(d->routes), "targets", grants_status(d->grants)));
}

void
admin_drain(struct request *req)
{
	daemon_drain(req->d);
	request_reply_json(
	    req, MHD_HTTP_ACCEPTED, json_pack("{s:b}", "draining", 1));
}

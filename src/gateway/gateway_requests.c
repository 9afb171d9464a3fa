/* Dispatches callers' requests. */
#include <stdlib.h>
#include <string.h>

#include "error/error.h"
#include "gateway/gateway_internal.h"
#include "gateway/gateway_status.h"
#include "gateway/reply.h"
#include "log/log.h"
#include "metric/histogram.h"
#include "metric/metric.h"

enum {
	kNoRoutesRetryUs = 500 * kUsPerMs,
	/* Usual time of a request about a job. */
	kJobCallUs = 250 * kUsPerMs,
};

static void
refuse_draining(struct gateway *gw, struct front_request *req,
    const struct dialect_call *call)
{
	log_event(kEvtCallRefused, "request", call->attempt_id, "why",
	    "draining", "left_us",
	    log_number(drain_plan_left_us(&gw->drain, loop_now_us(gw->lp))),
	    NULL);
	reply_error(req, kErrDraining,
	    "this daemon is draining; retry with another one", kDrainRetryUs);
}

/* @param route NULL for requests about a job */
static bool
is_accepted(struct gateway *gw, struct front_request *req,
    const struct dialect_call *call, const struct routebook_route *route)
{
	struct drain_work work = {
	    .expected_us = kJobCallUs,
	    .may_repeat = true,
	};

	if (!gw->is_draining)
		return true;
	if (route != NULL) {
		work.deadline_us = calls_answer_deadline_us(req, call, route);
		work.expected_us = route->objective_us;
		work.may_repeat = route->kind == kRoutebookBatch ||
		    routebook_is_repeatable(route);
	}
	return drain_plan_accepts(&gw->drain, &work, loop_now_us(gw->lp));
}

static void
refuse_long_id(struct front_request *req, const struct dialect_call *call)
{
	size_t len = strlen(call->attempt_id);
	char *text = g_strdup_printf(
	    "the attempt id has %zu bytes; at most %d are served", len,
	    kIdBytesMax);

	log_event(kEvtCallRefused, "request", call->attempt_id, "why",
	    "long_id", "id_bytes", log_number((int64_t)len), NULL);
	reply_error(req, kErrBadRequest, text, 0);
	g_free(text);
}

static void
serve_route(struct gateway *gw, struct front_request *req,
    const struct dialect_call *call)
{
	const char *host = header_list_get(front_headers(req), "Host");
	struct calls_caller caller = {.has_teams = gw->routes->teams != NULL};
	const struct routebook_route *route = host != NULL
	    ? routebook_find(gw->routes, host, front_uri(req))
	    : NULL;

	if (route == NULL) {
		log_event(kEvtCallRefused, "request", call->attempt_id, "why",
		    "no_route", "version", log_number(gw->routes->version),
		    "uri", front_uri(req), NULL);
		reply_error(
		    req, kErrNotFound, "no route matches the host and path", 0);
	} else if (front_is_too_large(req)) {
		reply_error(
		    req, kErrTooLarge, "the request body exceeds the limit", 0);
	} else if (call->attempt_id[0] == '\0') {
		reply_error(
		    req, kErrBadRequest, "the attempt id is missing", 0);
	} else if (strlen(call->attempt_id) > kIdBytesMax) {
		refuse_long_id(req, call);
	} else if (!is_accepted(gw, req, call, route)) {
		refuse_draining(gw, req, call);
	} else if (!access_identify(gw->access, req, call, gw->routes,
		       route->is_public, &caller.access)) {
		/* Refused: it has been answered. */
	} else if (route->kind == kRoutebookBatch) {
		jobs_submit(gw->jobs, req, call, route, &caller.access);
	} else {
		caller.claim =
		    routebook_claim_of(gw->routes, route, caller.access.team);
		calls_serve(gw->calls, req, call, route, &caller);
	}
}

static bool
is_rejecting_requests(const struct gateway *gw)
{
	return gw->is_stopping ||
	    (gw->is_draining &&
		loop_now_us(gw->lp) > gw->drain.accept_until_us);
}

static void
serve_call(struct gateway *gw, struct front_request *req,
    const struct dialect_call *call)
{
	struct access_caller caller = {0};

	if (is_rejecting_requests(gw)) {
		refuse_draining(gw, req, call);
		return;
	}
	if (gw->routes == NULL) {
		log_event(kEvtCallRefused, "request", call->attempt_id, "why",
		    "no_configuration", NULL);
		reply_error(req, kErrNotReady,
		    "no configuration has been loaded yet", kNoRoutesRetryUs);
		return;
	}
	if (call->endpoint != kEndpointRoute &&
	    !is_accepted(gw, req, call, NULL)) {
		refuse_draining(gw, req, call);
		return;
	}
	if (call->endpoint != kEndpointRoute &&
	    !access_identify(gw->access, req, call, gw->routes, false, &caller))
		return;
	switch (call->endpoint) {
	case kEndpointRoute:
		serve_route(gw, req, call);
		break;
	case kEndpointJobResults:
		jobs_results(gw->jobs, req, call, &caller);
		break;
	case kEndpointJobItem:
		jobs_item(gw->jobs, req, call, &caller);
		break;
	case kEndpointJobEnd:
		jobs_end(gw->jobs, req, call, &caller);
		break;
	}
}

void
gateway_serve(void *ctx, struct front_request *req)
{
	struct gateway *gw = ctx;
	struct dialect_call call;

	gw->adapter->dialect->decode_call(
	    front_method(req), front_uri(req), front_headers(req), &call);
	serve_call(gw, req, &call);
	dialect_call_clear(&call);
}

static void
on_request(void *ctx, struct front_request *req)
{
	metric_add(kMetRequests, 1);
	gateway_serve(ctx, req);
}

/* The drain timeout has expired. An attempt may have reached a target. */
static void
on_abort(void *ctx, struct front_request *req)
{
	struct gateway *gw = ctx;
	struct dialect_call call;

	gw->adapter->dialect->decode_call(
	    front_method(req), front_uri(req), front_headers(req), &call);
	log_event(kEvtCallEnded, "request", call.attempt_id, "end", "failed",
	    "cause", "drain_timeout", "age_us",
	    log_number(loop_now_us(gw->lp) - front_received_us(req)), NULL);
	reply_error(req, kErrTargetFailed,
	    "this daemon stops before there is an answer; the request may "
	    "have run",
	    0);
	dialect_call_clear(&call);
}

/* A request without its head has no id yet. */
static void
on_cut(void *ctx, struct front_request *req)
{
	struct gateway *gw = ctx;
	struct dialect_call call = {0};

	if (front_method(req) != NULL)
		gw->adapter->dialect->decode_call(front_method(req),
		    front_uri(req), front_headers(req), &call);
	log_event(kEvtRequestCut, "request", call.attempt_id, "uri",
	    front_uri(req), "received", log_number(front_body(req) != NULL),
	    "age_us", log_number(loop_now_us(gw->lp) - front_received_us(req)),
	    NULL);
	dialect_call_clear(&call);
}

const struct front_ops gateway_front_ops = {on_request, on_abort, on_cut};

static void
on_ready_request(void *ctx, struct front_request *req)
{
	struct gateway *gw = ctx;
	bool is_ready = gw->routes != NULL && !gw->is_draining;

	reply_json(req, is_ready ? 200 : 503,
	    is_ready ? "{\"ready\":true}" : "{\"ready\":false}");
}

static void
on_metrics_request(void *ctx, struct front_request *req)
{
	GString *text;

	if (gateway_status_is_requested(front_uri(req))) {
		char *status = gateway_status_text(ctx);

		reply_json(req, 200, status);
		free(status);
		return;
	}
	text = g_string_new(NULL);
	metric_print(text);
	histogram_print(text);
	front_reply(req, 200, NULL, text->str, text->len);
	g_string_free(text, TRUE);
}

const struct front_ops gateway_ready_ops = {.on_request = on_ready_request};
const struct front_ops gateway_metrics_ops = {.on_request = on_metrics_request};

/*
 * Load reports of targets, and model orders to them.
 *
 * GET /load answers {"running","prefilling","step_us","leaving","model",
 * "version"}. POST /order accepts {"fence","model","version"}; the fence is the
 * generation of the configuration. An order names the desired state and the
 * report shows the actual one: if a target ignores the fence and applies a late
 * order, the next report shows it and the newest order is sent again.
 */
#include "serve/reports.h"

#include <inttypes.h>
#include <string.h>

#include "log/log.h"
#include "metric/metric.h"
#include "os/json_text.h"
#include "os/text_copy.h"
#include "serve/grants.h"
#include "serve/routes.h"

enum {
	kReportMaxBytes = 4096,
	kReportTimeoutUs = 2 * kUsPerS,
};

struct report {
	gint refs;
	struct daemon *d;
	char target[kMemberAddressMax];
	char url[256];
	GString *body;
};

static void
report_ref(void *ctx)
{
	g_atomic_int_inc(&((struct report *)ctx)->refs);
}

static void
report_unref(void *ctx)
{
	struct report *rep = ctx;

	if (!g_atomic_int_dec_and_test(&rep->refs))
		return;
	g_string_free(rep->body, TRUE);
	g_free(rep);
}

static enum target_data
on_report_data(
    void *ctx, uint64_t attempt, long status, const char *data, size_t len)
{
	struct report *rep = ctx;

	metric_add(kMetReportBytes, (int64_t)len);
	g_string_append_len(rep->body, data, (gssize)len);
	return rep->body->len <= kReportMaxBytes ? kTargetDataIdle
						 : kTargetDataRefused;
}

static void
on_order_done(void *ctx, uint64_t attempt, const struct transfer_result *res)
{
	struct report *rep = ctx;

	if (res->end == kTransferComplete && res->status < 300)
		log_event(kEvtOrderSent, "target", rep->target, NULL);
}

static const struct target_ops order_ops = {
    on_report_data, on_order_done, report_ref, report_unref};

static void
send_order(struct report *rep, const struct config *cfg,
    const struct config_target *ct)
{
	char *text = g_strdup_printf("{\"fence\":%" PRId64
				     ",\"model\":\"%s\",\"version\":\"%s\"}",
	    cfg->generation, ct->model, ct->model_version);
	char *url = g_strconcat(rep->url, "/order", NULL);
	struct transfer_options opt = {
	    .attempt = daemon_unique_id(rep->d),
	    .method = "POST",
	    .url = url,
	    .body = g_bytes_new_take(text, strlen(text)),
	    .stall_timeout_us = kReportTimeoutUs,
	    /* Reports need not name the attempt: each has a connection of its
	     * own. */
	    .is_sent_once = true,
	    .ops = &order_ops,
	    .ctx = rep,
	};

	target_client_start(rep->d->targets, &opt);
	g_bytes_unref(opt.body);
	g_free(url);
}

static void
send_order_if_outdated(struct report *rep, const json_t *doc)
{
	struct config *cfg = config_holder_get(rep->d->configs);
	const struct config_target *ct =
	    cfg != NULL ? g_hash_table_lookup(cfg->targets, rep->target) : NULL;
	const char *model = json_string_value(json_object_get(doc, "model"));
	const char *version =
	    json_string_value(json_object_get(doc, "version"));

	if (ct != NULL && ct->model != NULL && model != NULL &&
	    (strcmp(model, ct->model) != 0 ||
		g_strcmp0(version, ct->model_version) != 0))
		send_order(rep, cfg, ct);
	config_unref(cfg);
}

static void
on_report_done(void *ctx, uint64_t attempt, const struct transfer_result *res)
{
	struct report *rep = ctx;
	json_t *doc = json_text_load(rep->body->str);

	if (res->end == kTransferComplete && json_is_object(doc)) {
		bool leaving = json_is_true(json_object_get(doc, "leaving"));

		grants_record_load_report(rep->d->grants, rep->target,
		    (int32_t)json_integer_value(
			json_object_get(doc, "running")),
		    (int32_t)json_integer_value(
			json_object_get(doc, "prefilling")),
		    json_integer_value(json_object_get(doc, "step_us")));
		if (leaving)
			routes_set_leaving(
			    rep->d->routes, rep->target, true, true);
		send_order_if_outdated(rep, doc);
	}
	json_decref(doc);
}

static const struct target_ops report_ops = {
    on_report_data, on_report_done, report_ref, report_unref};

static void
start_report(struct daemon *d, const char *target, const char *target_url)
{
	struct report *rep = g_new0(struct report, 1);
	char *url = g_strconcat(target_url, "/load", NULL);
	struct transfer_options opt = {
	    .attempt = daemon_unique_id(d),
	    .method = "GET",
	    .url = url,
	    .stall_timeout_us = kReportTimeoutUs,
	    /* Reports need not name the attempt: each has a connection of its
	     * own. */
	    .is_sent_once = true,
	    .ops = &report_ops,
	    .ctx = rep,
	};

	rep->refs = 1;
	rep->d = d;
	rep->body = g_string_new(NULL);
	text_copy_or_none(rep->target, sizeof(rep->target), target);
	text_copy_or_none(rep->url, sizeof(rep->url), target_url);
	target_client_start(d->targets, &opt);
	report_unref(rep);
	g_free(url);
}

static void
report_if_arbiter(void *ctx, const struct routing_target *t)
{
	struct daemon *d = ctx;

	if (t->is_engine && strcmp(t->arbiter, d->set->peer_listen) == 0)
		start_report(d, t->name, t->url);
}

void
reports_tick(struct daemon *d, int64_t now_us)
{
	static int64_t next_us;

	if (now_us < next_us)
		return;
	next_us = now_us + d->set->report_period_ms * kUsPerMs;
	routes_each_target(d->routes, report_if_arbiter, d);
}

/* Forwards requests about jobs to a peer. */
#include "gateway/jobs_forward.h"

#include <string.h>

#include "gateway/jobs_task.h"
#include "log/log.h"
#include "os/text_copy.h"

enum {
	/* Peers to try, one after the other. */
	kPeersMax = 2,
	kConnectTimeoutUs = 200 * kUsPerMs,
	/* A peer answers from the store within milliseconds; a second one tried
	 * after this can still meet the usual objective of 500 ms. */
	kAnswerTimeoutUs = 200 * kUsPerMs,
	/* A read may take two calls of the store; a reader stays for 1.5 s. */
	kReadAnswerTimeoutUs = 500 * kUsPerMs,
	kHttpRefusedFirst = 400,
	kHttpUnauthorized = 401,
	kHttpConflict = 409,
	kHttpServerErrorFirst = 500,
	kHttpTooMany = 429,
	kHttpUnavailable = 503,
};

struct job_forward {
	struct job_forward_options opt;
	char *id;
	/** What peers are sent: without keys that items have. */
	GBytes *request_body;
	/** Of the current attempt; the peer's answer repeats it. */
	char attempt[20];
	bool is_detached;
	/** Front address of the current or last peer. */
	char peer[kFleetAddressMax];
	int32_t peers_tried;
	/** Copies that may be executed, by peers or otherwise. */
	struct store_change change;
	struct outbound_request *request;
	uint64_t answer_timer;
	int32_t status;
	struct header_list *headers;
	GString *body;
};

static bool send_to_peer(struct job_forward *fwd);

static void
forward_free(struct job_forward *fwd)
{
	loop_timer_cancel(fwd->opt.js->opt.deps.lp, fwd->answer_timer);
	header_list_free(fwd->headers);
	g_string_free(fwd->body, TRUE);
	if (fwd->request_body != NULL)
		g_bytes_unref(fwd->request_body);
	g_free(fwd->opt.team);
	g_free(fwd->id);
	g_free(fwd);
}

static bool
is_read(const struct job_forward *fwd)
{
	return strcmp(front_method(fwd->opt.req), "GET") == 0;
}

/* The current peer may execute the request, or may have done so. */
static void
record_unknown(struct job_forward *fwd)
{
	if (!is_read(fwd))
		store_change_add(&fwd->change, kStoreAmbiguous);
}

void
job_forward_cancel(struct job_forward *fwd, struct store_change *change)
{
	record_unknown(fwd);
	if (change != NULL)
		store_change_join(change, &fwd->change);
	outbound_cancel(fwd->request);
	forward_free(fwd);
}

static bool
on_head(void *ctx, int32_t status, const struct header_list *headers)
{
	struct job_forward *fwd = ctx;
	const char *type = header_list_get(headers, "Content-Type");
	const char *echo = header_list_get(headers, kFrontForwardedHeader);

	/* A late answer to another request on a reused connection. */
	if (g_strcmp0(echo, fwd->attempt) != 0) {
		log_event(kEvtAnswerCrossed, "target", fwd->peer, "end",
		    "forwarded", (char *)NULL);
		return false;
	}
	fwd->status = status;
	if (type != NULL)
		header_list_set(fwd->headers, "Content-Type", type);
	return true;
}

static bool
on_data(void *ctx, const char *data, size_t len)
{
	struct job_forward *fwd = ctx;

	g_string_append_len(fwd->body, data, (gssize)len);
	return true;
}

static void
answer(struct job_forward *fwd)
{
	struct front_request *req = fwd->opt.req;

	front_on_disconnect(req, NULL, NULL);
	job_log_answer(
	    fwd->opt.js, req, fwd->id, "peer", fwd->status, &fwd->change);
	front_reply(
	    req, fwd->status, fwd->headers, fwd->body->str, fwd->body->len);
	if (!fwd->is_detached)
		fwd->opt.on_answered(fwd->opt.ctx);
}

static void
fail(struct job_forward *fwd)
{
	enum store_result res;

	if (!fwd->is_detached) {
		fwd->opt.on_failed(fwd->opt.ctx, &fwd->change);
		return;
	}
	front_on_disconnect(fwd->opt.req, NULL, NULL);
	res = store_change_result(&fwd->change, kStoreUnavailable);
	job_log_answer(fwd->opt.js, fwd->opt.req, fwd->id, "peer",
	    job_store_error_status(res), &fwd->change);
	job_reply_store_error(fwd->opt.req, res);
}

static void
on_peer_done(struct job_forward *fwd, bool is_ok, const char *cause)
{
	struct loop *lp = fwd->opt.js->opt.deps.lp;

	loop_timer_cancel(lp, fwd->answer_timer);
	fwd->answer_timer = 0;
	fwd->request = NULL;
	log_event(kEvtJobForwarded, "job", fwd->id, "peer", fwd->peer, "status",
	    log_number(fwd->status), "answered", is_ok ? "yes" : "no", "cause",
	    cause, NULL);
	if (!is_ok && fwd->peers_tried < kPeersMax && send_to_peer(fwd))
		return;
	if (is_ok)
		answer(fwd);
	else
		fail(fwd);
	forward_free(fwd);
}

static bool
is_submission(const struct job_forward *fwd)
{
	return strcmp(front_method(fwd->opt.req), "POST") == 0;
}

/* This daemon has found a submission to be proper, and its own copy of it may
 * be executed: the refusal of a peer, whose configuration may be another one,
 * is no answer to it, unless another team's job has the id: that excludes all
 * copies. A peer's 401 is no answer either: this daemon has identified the
 * caller. */
static bool
is_answer(const struct job_forward *fwd)
{
	if (fwd->status >= kHttpServerErrorFirst ||
	    fwd->status == kHttpTooMany || fwd->status == kHttpUnauthorized)
		return false;
	return !is_submission(fwd) || fwd->status < kHttpRefusedFirst ||
	    fwd->status == kHttpConflict;
}

static void
on_done(void *ctx, enum outbound_outcome outcome)
{
	struct job_forward *fwd = ctx;

	switch (outcome) {
	case kOutboundComplete:
		/* A peer answers 503, 429 or another refusal only if it did
		 * not execute the request. */
		if (fwd->status >= kHttpServerErrorFirst &&
		    fwd->status != kHttpUnavailable)
			record_unknown(fwd);
		on_peer_done(fwd, is_answer(fwd), "answer");
		break;
	case kOutboundNotSent:
	case kOutboundWithheld:
		on_peer_done(fwd, false, "no_connection");
		break;
	case kOutboundInterrupted:
	case kOutboundCut:
	case kOutboundMalformed:
	case kOutboundRefused:
		record_unknown(fwd);
		on_peer_done(fwd, false,
		    outcome == kOutboundRefused ? "crossed" : "cut");
		break;
	}
}

static void
on_answer_timeout(void *ctx)
{
	struct job_forward *fwd = ctx;

	fwd->answer_timer = 0;
	outbound_cancel(fwd->request);
	record_unknown(fwd);
	on_peer_done(fwd, false, "timeout");
}

static const struct outbound_ops forward_ops = {on_head, on_data, on_done};

static struct header_list *
forwarded_headers(const struct job_forward *fwd)
{
	const struct header_list *from = front_headers(fwd->opt.req);
	struct header_list *headers = header_list_new();

	for (guint i = 0; i < header_list_len(from); i++) {
		const struct header *h = header_list_at(from, i);

		if (!header_is_hop_by_hop(h->name))
			header_list_add(headers, h->name, h->value);
	}
	/* Also tells the peer not to forward the request again. */
	access_forward(headers, fwd->opt.js->opt.deps.dialect,
	    fwd->opt.js->opt.routes(fwd->opt.js->opt.ctx), fwd->opt.req,
	    fwd->attempt, fwd->opt.team);
	return headers;
}

static void
reset_answer(struct job_forward *fwd)
{
	header_list_free(fwd->headers);
	fwd->headers = header_list_new();
	g_string_truncate(fwd->body, 0);
	fwd->status = 0;
}

/* @return false if no other peer is known that reaches the store */
static bool
send_to_peer(struct job_forward *fwd)
{
	struct jobs *js = fwd->opt.js;
	struct front_request *req = fwd->opt.req;
	const char *peer = js->opt.front_reaching_store(js->opt.ctx, fwd->peer);
	struct header_list *headers;
	struct outbound_options out = {
	    .method = front_method(req),
	    .uri = front_uri(req),
	    .body = fwd->request_body,
	    .connect_timeout_us = kConnectTimeoutUs,
	    .ops = &forward_ops,
	    .ctx = fwd,
	};

	if (!text_copy(fwd->peer, sizeof(fwd->peer), peer))
		return false;
	fwd->peers_tried++;
	reset_answer(fwd);
	g_snprintf(fwd->attempt, sizeof(fwd->attempt), "%08x%08x",
	    g_random_int(), g_random_int());
	/* A read may be repeated. */
	out.is_sent_once = !is_read(fwd);
	headers = forwarded_headers(fwd);
	out.address = fwd->peer;
	out.headers = headers;
	fwd->request = outbound_start(js->opt.deps.outbound, &out);
	header_list_free(headers);
	fwd->answer_timer = loop_timer(js->opt.deps.lp,
	    loop_now_us(js->opt.deps.lp) +
		(is_read(fwd) ? kReadAnswerTimeoutUs : kAnswerTimeoutUs),
	    on_answer_timeout, fwd);
	return true;
}

bool
job_forward_is_allowed(const struct front_request *req)
{
	return !front_is_forwarded(req);
}

static GBytes *
request_body(const struct job_forward *fwd)
{
	GBytes *body = front_body(fwd->opt.req);

	if (body == NULL || !is_submission(fwd) || !jobs_has_teams(fwd->opt.js))
		return body != NULL ? g_bytes_ref(body) : NULL;
	return fwd->opt.js->opt.deps.dialect->strip_job(body);
}

struct job_forward *
job_forward_start(const struct job_forward_options *opt)
{
	struct job_forward *fwd;

	if (!job_forward_is_allowed(opt->req))
		return NULL;
	fwd = g_new0(struct job_forward, 1);
	fwd->opt = *opt;
	fwd->change = opt->change;
	fwd->opt.team = g_strdup(opt->team != NULL ? opt->team : "");
	fwd->id = g_strdup(opt->id);
	fwd->request_body = request_body(fwd);
	fwd->body = g_string_new(NULL);
	if (send_to_peer(fwd))
		return fwd;
	forward_free(fwd);
	return NULL;
}

static void
on_caller_disconnected(void *data)
{
	struct job_forward *fwd = data;

	job_log_caller_left(fwd->opt.js, fwd->opt.req, fwd->id, "peer");
	job_forward_cancel(fwd, NULL);
}

void
job_forward_detach(struct job_forward *fwd, const struct store_change *change)
{
	fwd->is_detached = true;
	store_change_join(&fwd->change, change);
	front_on_disconnect(fwd->opt.req, on_caller_disconnected, fwd);
}

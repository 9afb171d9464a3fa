/* Charges what clients of the server for callers use, and closes clients. */
#include "gateway/budget/front_budget.h"

#include <sys/socket.h>

#include "error/error.h"
#include "http/refusal.h"
#include "log/log.h"
#include "metric/metric.h"

enum {
	/* Copies of the head's fields; heads have up to 16 KiB. */
	kHeadBytes = 16 * 1024,
	/* A client has this time to read a refusal: closing a connection with
	 * bytes that were not read sends a reset, which may destroy it. */
	kLingerUs = 1 * kUsPerS,
	kRetryAfterMs = 1000,
};

static struct budget *
budget_of(const struct front_request *req)
{
	return req->fr->opt.budget;
}

static int64_t
now_us(const struct front_request *req)
{
	return loop_now_us(req->fr->opt.lp);
}

static int32_t
open_connections(const struct front *fr)
{
	return (int32_t)g_hash_table_size(fr->connections) - fr->closing_count;
}

void
front_budget_open(struct front *fr, struct front_connection *peer)
{
	struct budget *b = fr->opt.budget;
	struct budget_debtor *d;

	peer->fr = fr;
	if (b == NULL)
		return;
	budget_add(b, &peer->debt, peer, fr, peer->idle_since_us);
	budget_charge(
	    b, &peer->debt, kBudgetConnections, kFrontConnectionBytes);
	if (fr->opt.connections_max == 0 ||
	    open_connections(fr) <= fr->opt.connections_max)
		return;
	d = budget_longest_idle(b, fr, &peer->debt);
	if (d != NULL)
		front_budget_ops.close(d);
}

void
front_budget_closed(struct front *fr, struct front_connection *peer)
{
	if (fr->opt.budget == NULL)
		return;
	budget_remove(fr->opt.budget, &peer->debt);
	if (peer->is_closing)
		fr->closing_count--;
	/* At its limit of connections, libmicrohttpd watches its listening
	 * socket again only when it runs again. */
	front_schedule_run(fr);
}

/* It counts no longer as a connection that is in use. */
static void
set_closing(struct front_connection *peer)
{
	if (peer->is_closing)
		return;
	peer->is_closing = true;
	peer->fr->closing_count++;
}

void
front_budget_begin(struct front_request *req)
{
	struct budget *b = budget_of(req);

	req->peer->request = req;
	if (b == NULL)
		return;
	/* Its connection was closed just before it arrived. */
	if (req->peer->is_closing) {
		req->is_refused = true;
		return;
	}
	budget_set_phase(b, &req->peer->debt, kBudgetSending, now_us(req));
	budget_charge(b, &req->peer->debt, kBudgetHeads, kHeadBytes);
}

void
front_budget_end(struct front_request *req)
{
	struct budget *b = budget_of(req);
	struct budget_debtor *d = &req->peer->debt;

	req->peer->request = NULL;
	if (b == NULL)
		return;
	budget_clear(b, d, kBudgetHeads);
	budget_clear(b, d, kBudgetReading);
	budget_clear(b, d, kBudgetHeld);
	budget_clear(b, d, kBudgetUnread);
	budget_clear(b, d, kBudgetAnswers);
	budget_set_phase(b, d, kBudgetIdle, now_us(req));
}

static int64_t
body_max(const struct front_request *req)
{
	return MAX(req->body_max, req->fr->body_max);
}

void
front_budget_head(struct front_request *req)
{
	const char *text = header_list_get(req->headers, "Content-Length");

	if (budget_of(req) != NULL && text != NULL &&
	    g_ascii_strtoll(text, NULL, 10) > body_max(req))
		front_budget_refuse(req, kErrTooLarge, "announced_length");
}

bool
front_budget_read(struct front_request *req, size_t len)
{
	struct budget *b = budget_of(req);

	if (b == NULL)
		return true;
	if ((int64_t)(req->body->len + len) > body_max(req)) {
		front_budget_refuse(req, kErrTooLarge, "length");
		return false;
	}
	if (budget_grow(b, &req->peer->debt, kBudgetReading, (int64_t)len,
		now_us(req)) == kBudgetGranted)
		return true;
	metric_add(kMetBudgetWaits, 1);
	return false;
}

void
front_budget_received(struct front_request *req)
{
	struct budget *b = budget_of(req);

	if (b == NULL)
		return;
	budget_move(b, &req->peer->debt, kBudgetReading, kBudgetHeld);
	budget_set_phase(b, &req->peer->debt, kBudgetRunning, now_us(req));
}

/* Closes idle debtors until there is room. */
static bool
grow(struct front_request *req, enum budget_account account, size_t len)
{
	struct budget *b = budget_of(req);
	struct budget_debtor *idle;

	while (budget_grow(b, &req->peer->debt, account, (int64_t)len,
		   now_us(req)) != kBudgetGranted) {
		idle = budget_largest_idle(b, now_us(req));
		if (idle == NULL || idle == &req->peer->debt)
			return false;
		front_budget_ops.close(idle);
	}
	return true;
}

bool
front_hold(struct front_request *req, size_t bytes)
{
	return budget_of(req) == NULL || grow(req, kBudgetHeld, bytes);
}

void
front_on_memory_short(
    struct front_request *req, front_disconnect_fn fn, void *data)
{
	req->memory_short_fn = fn;
	req->memory_short_data = data;
}

/* Drops the largest answer if it is larger than this: one without end gets
 * there first. */
static bool
drop_larger_answer(struct budget *b, size_t bytes)
{
	struct budget_debtor *d = budget_largest(b, kBudgetAnswers);
	struct front_request *req;

	if (d == NULL || d->bytes[kBudgetAnswers] <= (int64_t)bytes)
		return false;
	req = ((struct front_connection *)d->owner)->request;
	log_event(kEvtAnswerCut, "limit", "memory", "uri", req->uri,
	    "body_bytes", log_number(d->bytes[kBudgetAnswers]), (char *)NULL);
	req->memory_short_fn(req->memory_short_data);
	return true;
}

/* Closes the largest client that reads nothing. Small ones free too little, and
 * may only wait for a daemon that is busy with large answers. */
static bool
close_large_idle(struct front_request *req)
{
	struct budget_debtor *d =
	    budget_largest_idle(budget_of(req), now_us(req));

	if (d == NULL || d == &req->peer->debt ||
	    d->total_bytes - d->bytes[kBudgetConnections] <=
		kBudgetOrdinaryBytes)
		return false;
	front_budget_ops.close(d);
	return true;
}

bool
front_hold_answer(struct front_request *req, size_t bytes)
{
	struct budget *b = budget_of(req);
	struct budget_debtor *own = &req->peer->debt;
	int64_t more = (int64_t)bytes - own->bytes[kBudgetAnswers];

	if (b == NULL)
		return true;
	if (more <= 0) {
		budget_release(b, own, kBudgetAnswers, -more);
		return true;
	}
	while (budget_grow(b, own, kBudgetAnswers, more, now_us(req)) !=
	    kBudgetGranted)
		if (!drop_larger_answer(b, bytes) && !close_large_idle(req))
			return false;
	return true;
}

bool
front_has_room(struct front_request *req, size_t bytes)
{
	if (budget_of(req) == NULL)
		return true;
	if (!grow(req, kBudgetUnread, bytes))
		return false;
	budget_release(
	    budget_of(req), &req->peer->debt, kBudgetUnread, (int64_t)bytes);
	return true;
}

bool
front_budget_stream(struct front_request *req, size_t len)
{
	struct budget *b = budget_of(req);

	if (b == NULL)
		return true;
	if (req->peer->debt.phase != kBudgetAnswering)
		budget_set_phase(
		    b, &req->peer->debt, kBudgetAnswering, now_us(req));
	return grow(req, kBudgetUnread, len);
}

void
front_budget_reply(struct front_request *req, size_t len)
{
	struct budget *b = budget_of(req);

	if (b == NULL)
		return;
	if (!grow(req, kBudgetUnread, len))
		budget_charge(b, &req->peer->debt, kBudgetUnread, (int64_t)len);
	budget_set_phase(b, &req->peer->debt, kBudgetAnswering, now_us(req));
}

void
front_budget_sent(struct front_request *req, size_t len, size_t left)
{
	struct budget *b = budget_of(req);

	if (b == NULL)
		return;
	budget_release(b, &req->peer->debt, kBudgetUnread, (int64_t)len);
	if (left == 0 && !req->is_ended)
		budget_set_phase(
		    b, &req->peer->debt, kBudgetRunning, now_us(req));
	else
		budget_progress(b, &req->peer->debt, (int64_t)len, now_us(req));
}

/* Only the connection is left to charge, and it is not selected again. */
static void
settle(struct front_request *req)
{
	struct budget *b = budget_of(req);
	struct budget_debtor *d = &req->peer->debt;

	budget_clear(b, d, kBudgetHeads);
	budget_clear(b, d, kBudgetReading);
	budget_clear(b, d, kBudgetHeld);
	budget_clear(b, d, kBudgetUnread);
	budget_set_phase(b, d, kBudgetRunning, now_us(req));
	set_closing(req->peer);
}

/* A reset tells the caller that the answer is not whole, and drops what the
 * socket holds. */
static void
reset(struct front_connection *peer)
{
	const struct sockaddr none = {.sa_family = AF_UNSPEC};

	(void)connect(peer->fd, &none, sizeof(none));
}

void
front_budget_cut(struct front_request *req)
{
	struct budget *b = budget_of(req);

	req->is_overrun = true;
	if (b == NULL)
		return;
	metric_add(kMetBudgetCut, 1);
	g_string_free(req->out, TRUE);
	req->out = g_string_new(NULL);
	req->out_sent = 0;
	settle(req);
	reset(req->peer);
	front_resume(req);
}

static void
send_refusal(struct front_request *req, int code)
{
	struct refusal refusal = {
	    .code = code,
	    .retry_after_ms = kRetryAfterMs,
	    .header_name = kFrontForwardedHeader,
	    .header_value =
		header_list_get(req->headers, kFrontForwardedHeader),
	};

	if (!refusal_send(req->peer->fd, &refusal))
		log_event(kEvtClientRefused, "uri", req->uri, "why", "not_sent",
		    (char *)NULL);
}

void
front_budget_refuse(struct front_request *req, int code, const char *why)
{
	if (req->is_refused)
		return;
	req->is_refused = true;
	req->linger_until_us = now_us(req) + kLingerUs;
	metric_add(kMetBudgetRefused, 1);
	metric_add(kMetRefused, 1);
	log_event(kEvtClientRefused, "uri", req->uri, "why", why, "type",
	    sf_error_type(code), "body_bytes", log_number(req->body->len),
	    "age_us", log_number(now_us(req) - req->received_us), (char *)NULL);
	send_refusal(req, code);
	g_byte_array_unref(req->body);
	req->body = g_byte_array_new();
	settle(req);
	front_resume(req);
}

bool
front_budget_lingers(struct front_request *req, size_t len)
{
	return len > 0 && !req->fr->is_stopping &&
	    now_us(req) < req->linger_until_us;
}

void
front_budget_check(struct front_request *req, bool has_disconnected)
{
	if (budget_of(req) == NULL)
		return;
	if (has_disconnected && req->received_body == NULL) {
		req->is_refused = true;
		req->linger_until_us = 0;
	}
	if (!req->is_refused || now_us(req) < req->linger_until_us)
		return;
	/* An empty read makes libmicrohttpd close the connection. */
	if (!req->is_suspended)
		shutdown(req->peer->fd, SHUT_RDWR);
	front_resume(req);
}

static void
close_idle(struct front_connection *peer)
{
	log_event(kEvtClientClosed, "idle_us",
	    log_number(loop_now_us(peer->fr->opt.lp) - peer->idle_since_us),
	    "connections", log_number(open_connections(peer->fr)),
	    (char *)NULL);
	metric_add(kMetBudgetClosed, 1);
	budget_remove(peer->fr->opt.budget, &peer->debt);
	set_closing(peer);
	shutdown(peer->fd, SHUT_RDWR);
	front_schedule_run(peer->fr);
}

static void
close_debtor(struct budget_debtor *d)
{
	struct front_connection *peer = d->owner;
	struct front_request *req = peer->request;

	if (req == NULL) {
		close_idle(peer);
	} else if (req->received_body == NULL) {
		if (d->waiting_since_us > 0)
			front_budget_refuse(req, kErrOverloaded, "no_memory");
		else
			front_budget_refuse(
			    req, kErrRequestTimeout, "no_progress");
	} else {
		log_event(kEvtAnswerCut, "limit", "memory", "body_bytes",
		    log_number(d->bytes[kBudgetUnread]), (char *)NULL);
		front_budget_cut(req);
	}
}

static void
resume_debtor(struct budget_debtor *d)
{
	struct front_connection *peer = d->owner;

	if (peer->request != NULL)
		front_resume(peer->request);
}

const struct budget_watch_ops front_budget_ops = {close_debtor, resume_debtor};

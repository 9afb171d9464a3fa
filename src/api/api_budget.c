/* Charges what clients of the own API use, and closes clients. */
#include "api/api_budget.h"

#include <sys/socket.h>

#include "error/error.h"
#include "http/refusal.h"
#include "log/log.h"
#include "metric/metric.h"
#include "serve/answer_room.h"

enum {
	/* The connection's structures and the touched part of its 32 KiB
	 * buffer. */
	kConnectionBytes = 24 * 1024,
	/* After a refusal, what the client had sent by then is read, so that
	 * no reset destroys the refusal. */
	kDropBytesMax = 1024 * 1024,
	kDropS = 1,
	kRetryAfterMs = 1000,
};

struct api_budget {
	struct budget *budget;
	struct budget_connections connections;
	const struct clock_source *clk;
	struct answer_room *answers;
	int32_t open_count;
	int32_t closing_count;
	bool is_short;
};

struct api_budget *
api_budget_new(struct daemon *d)
{
	struct budget_options opt = budget_options_of_vm(d->set->memory_mb);
	struct api_budget *ab;

	if (d->set->memory_mb == 0 && d->set->max_descriptors == 0)
		return NULL;
	ab = g_new0(struct api_budget, 1);
	ab->clk = d->clk;
	ab->answers = d->answers;
	ab->budget = budget_new(&opt);
	ab->connections = budget_connections_of_vm(d->set->max_descriptors,
	    opt.limit_bytes, kConnectionBytes, INT32_MAX);
	metric_set(kMetBudgetLimit, opt.limit_bytes);
	return ab;
}

void
api_budget_free(struct api_budget *ab)
{
	if (ab == NULL)
		return;
	budget_free(ab->budget);
	g_free(ab);
}

unsigned int
api_budget_connections(const struct api_budget *ab, unsigned int unlimited)
{
	if (ab == NULL)
		return unlimited;
	return (unsigned int)MIN((int64_t)unlimited,
	    (int64_t)ab->connections.front + ab->connections.closing);
}

static void
set_closing(struct api_debtor *peer)
{
	if (peer->is_closing)
		return;
	peer->is_closing = true;
	peer->ab->closing_count++;
}

/* Gauges, and the event when the mark is crossed. */
static void
record_usage(struct api_budget *ab)
{
	struct budget_usage u;

	budget_get_usage(ab->budget, &u);
	answer_room_set_clients(ab->answers, u.used_bytes);
	metric_set(kMetBudgetConnections, u.bytes[kBudgetConnections]);
	metric_set(kMetBudgetReading, u.bytes[kBudgetReading]);
	metric_set(kMetBudgetHeld, u.bytes[kBudgetHeld]);
	if (u.is_short == ab->is_short)
		return;
	ab->is_short = u.is_short;
	log_event(u.is_short ? kEvtBudgetShort : kEvtBudgetFree, "used_bytes",
	    log_number(u.used_bytes), "limit_bytes", log_number(u.limit_bytes),
	    "connections", log_number(u.debtors), (char *)NULL);
}

static void
clear_request(struct api_debtor *peer)
{
	struct budget *b = peer->ab->budget;

	budget_clear(b, &peer->debt, kBudgetReading);
	budget_clear(b, &peer->debt, kBudgetHeld);
	record_usage(peer->ab);
}

static void
refuse(struct request *req, int code, const char *why)
{
	struct refusal refusal = {
	    .code = code, .retry_after_ms = kRetryAfterMs};
	struct api_debtor *peer = req->peer;
	int64_t now_us = clock_mono_us(peer->ab->clk);

	if (req->is_dropped)
		return;
	req->is_dropped = true;
	req->drop_left = kDropBytesMax;
	req->drop_until_us = now_us + kDropS * kUsPerS;
	metric_add(kMetBudgetRefused, 1);
	metric_add(kMetRefused, 1);
	log_event(kEvtClientRefused, "uri", req->url != NULL ? req->url : "",
	    "why", why, "type", sf_error_type(code), "body_bytes",
	    log_number((int64_t)req->body->len), "sent",
	    log_number(refusal_send(peer->fd, &refusal)), (char *)NULL);
	MHD_set_connection_option(
	    peer->con, MHD_CONNECTION_OPTION_TIMEOUT, (unsigned int)kDropS);
	g_string_free(req->body, TRUE);
	req->body = g_string_new(NULL);
	if (req->upload != NULL)
		batch_upload_free(req->upload);
	req->upload = NULL;
	clear_request(peer);
	budget_set_phase(peer->ab->budget, &peer->debt, kBudgetRunning, now_us);
	set_closing(peer);
}

static void
close_idle(struct api_debtor *peer)
{
	struct api_budget *ab = peer->ab;

	log_event(kEvtClientClosed, "idle_us",
	    log_number(clock_mono_us(ab->clk) - peer->used_us), "connections",
	    log_number(ab->open_count - ab->closing_count), (char *)NULL);
	metric_add(kMetBudgetClosed, 1);
	budget_remove(ab->budget, &peer->debt);
	set_closing(peer);
	shutdown(peer->fd, SHUT_RDWR);
}

/* A worker uses the request, which must not be changed now. */
static bool
is_at_worker(struct request *req)
{
	bool is_suspended;

	pthread_mutex_lock(&req->lock);
	is_suspended = req->is_suspended;
	pthread_mutex_unlock(&req->lock);
	return is_suspended;
}

static void
close_debtor(struct budget_debtor *d)
{
	struct api_debtor *peer = d->owner;

	if (peer->request == NULL)
		close_idle(peer);
	else if (is_at_worker(peer->request))
		budget_set_phase(peer->ab->budget, d, kBudgetSending,
		    clock_mono_us(peer->ab->clk));
	else
		refuse(peer->request, kErrRequestTimeout, "no_progress");
}

void
api_budget_open(
    struct api_budget *ab, struct api_debtor *peer, struct MHD_Connection *con)
{
	struct budget_debtor *idle = NULL;

	if (ab == NULL)
		return;
	peer->ab = ab;
	peer->con = con;
	peer->used_us = clock_mono_us(ab->clk);
	ab->open_count++;
	budget_add(ab->budget, &peer->debt, peer, ab, peer->used_us);
	budget_charge(
	    ab->budget, &peer->debt, kBudgetConnections, kConnectionBytes);
	if (ab->open_count - ab->closing_count > ab->connections.front)
		idle = budget_longest_idle(ab->budget, ab, &peer->debt);
	if (idle != NULL)
		close_debtor(idle);
	record_usage(ab);
}

void
api_budget_closed(struct api_budget *ab, struct api_debtor *peer)
{
	if (ab == NULL)
		return;
	budget_remove(ab->budget, &peer->debt);
	ab->open_count--;
	if (peer->is_closing)
		ab->closing_count--;
}

void
api_budget_begin(struct request *req)
{
	struct api_debtor *peer = req->peer;

	if (peer->ab == NULL)
		return;
	peer->request = req;
	/* Its connection was closed just before it arrived. */
	if (peer->is_closing) {
		req->is_dropped = true;
		return;
	}
	budget_set_phase(peer->ab->budget, &peer->debt, kBudgetSending,
	    clock_mono_us(peer->ab->clk));
}

void
api_budget_end(struct request *req)
{
	struct api_debtor *peer = req->peer;

	if (peer->ab == NULL)
		return;
	peer->request = NULL;
	peer->used_us = clock_mono_us(peer->ab->clk);
	clear_request(peer);
	budget_set_phase(
	    peer->ab->budget, &peer->debt, kBudgetIdle, peer->used_us);
}

void
api_budget_read(struct request *req, size_t len)
{
	struct api_debtor *peer = req->peer;
	struct budget_debtor *idle;
	int64_t now_us;

	if (peer->ab == NULL || req->response != NULL || req->is_refused)
		return;
	if (!req->ep->is_body_streamed &&
	    (int64_t)(req->body->len + len) > req->d->set->body_max_bytes) {
		refuse(req, kErrTooLarge, "length");
		return;
	}
	now_us = clock_mono_us(peer->ab->clk);
	budget_set_other(peer->ab->budget, answer_room_used(peer->ab->answers));
	while (budget_grow(peer->ab->budget, &peer->debt, kBudgetReading,
		   (int64_t)len, now_us) != kBudgetGranted) {
		budget_set_phase(
		    peer->ab->budget, &peer->debt, kBudgetSending, now_us);
		idle = budget_largest_idle(peer->ab->budget, now_us);
		if (idle == NULL) {
			refuse(req, kErrOverloaded, "no_memory");
			return;
		}
		close_debtor(idle);
	}
	/* Answers of targets share the limit. */
	record_usage(peer->ab);
}

void
api_budget_set_kept(struct request *req, size_t bytes)
{
	struct api_debtor *peer = req->peer;

	if (peer->ab == NULL || req->is_dropped)
		return;
	budget_clear(peer->ab->budget, &peer->debt, kBudgetReading);
	budget_charge(
	    peer->ab->budget, &peer->debt, kBudgetReading, (int64_t)bytes);
}

void
api_budget_received(struct request *req)
{
	struct api_debtor *peer = req->peer;

	if (peer->ab == NULL)
		return;
	budget_move(peer->ab->budget, &peer->debt, kBudgetReading, kBudgetHeld);
	budget_set_phase(peer->ab->budget, &peer->debt, kBudgetRunning,
	    clock_mono_us(peer->ab->clk));
	record_usage(peer->ab);
}

bool
api_budget_drop(struct request *req, size_t len)
{
	if (len == 0 || (int64_t)len > req->drop_left ||
	    clock_mono_us(req->peer->ab->clk) >= req->drop_until_us)
		return false;
	req->drop_left -= (int64_t)len;
	return true;
}

/*
 * HTTP server for callers: libmicrohttpd driven by the loop. A request that
 * waits is suspended; libmicrohttpd does not poll its connection then, so a
 * timer checks whether the caller is still connected.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "error/error.h"
#include "gateway/budget/front_budget.h"
#include "gateway/front_internal.h"
#include "log/log.h"
#include "settings/settings.h"

enum {
	kBacklog = 1024,
	/* Callers reuse connections that were idle for up to 12 s. */
	kIdleTimeoutS = 40,
	/* A disconnected caller is detected within this time. */
	kDisconnectCheckUs = 100 * kUsPerMs,
	kBodyMaxDefault = 8 * 1024 * 1024,
};

const char kFrontForwardedHeader[] = "Savoryflow-Forwarded";
const char kFrontProofHeader[] = "Savoryflow-Forwarded-Team";

static void
request_free(struct front_request *req)
{
	if (req->response != NULL)
		MHD_destroy_response(req->response);
	header_list_free(req->headers);
	g_byte_array_unref(req->body);
	if (req->received_body != NULL)
		g_bytes_unref(req->received_body);
	g_string_free(req->out, TRUE);
	g_free(req->uri);
	g_free(req->method);
	g_free(req);
}

const char *
front_method(const struct front_request *req)
{
	return req->method;
}

const char *
front_uri(const struct front_request *req)
{
	return req->uri;
}

const struct header_list *
front_headers(const struct front_request *req)
{
	return req->headers;
}

GBytes *
front_body(const struct front_request *req)
{
	return req->received_body;
}

void
front_set_own(struct front_request *req)
{
	req->is_own = true;
}

bool
front_is_forwarded(const struct front_request *req)
{
	return !req->is_own &&
	    header_list_get(req->headers, kFrontForwardedHeader) != NULL;
}

int64_t
front_received_us(const struct front_request *req)
{
	return req->received_us;
}

bool
front_is_too_large(const struct front_request *req)
{
	return req->is_too_large;
}

void
front_on_disconnect(
    struct front_request *req, front_disconnect_fn fn, void *data)
{
	req->disconnect_fn = fn;
	req->disconnect_data = data;
}

void
front_close_request(struct front_request *req)
{
	front_disconnect_fn fn = req->disconnect_fn;

	req->is_open = false;
	req->disconnect_fn = NULL;
	if (fn != NULL)
		fn(req->disconnect_data);
}

void
front_schedule_run(struct front *fr)
{
	fr->needs_run = true;
	loop_skip_wait(fr->opt.lp);
}

void
front_suspend(struct front_request *req)
{
	if (req->is_suspended)
		return;
	req->is_suspended = true;
	MHD_suspend_connection(req->con);
}

void
front_resume(struct front_request *req)
{
	if (!req->is_suspended)
		return;
	req->is_suspended = false;
	MHD_resume_connection(req->con);
	front_schedule_run(req->fr);
}

static enum MHD_Result
add_header(void *cls, enum MHD_ValueKind kind, const char *key, const char *val)
{
	struct front_request *req = cls;

	header_list_add(req->headers, key, val != NULL ? val : "");
	return MHD_YES;
}

/* Called first for each request, with its raw path and query. */
static void *
on_uri(void *cls, const char *uri, struct MHD_Connection *con)
{
	struct front *fr = cls;
	struct front_request *req = g_new0(struct front_request, 1);

	req->fr = fr;
	req->con = con;
	req->uri = g_strdup(uri);
	req->body_max = fr->body_max;
	req->headers = header_list_new();
	req->body = g_byte_array_new();
	req->out = g_string_new(NULL);
	req->received_us = loop_now_us(fr->opt.lp);
	req->peer =
	    MHD_get_connection_info(con, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
		->socket_context;
	req->peer->request_count++;
	g_hash_table_add(fr->requests, req);
	front_budget_begin(req);
	return req;
}

static void
append_body(struct front_request *req, const char *data, size_t len)
{
	/* A smaller limit applies to requests that begin after it. */
	int64_t max = MAX(req->body_max, req->fr->body_max);

	if ((int64_t)(req->body->len + len) > max) {
		req->is_too_large = true;
		g_byte_array_set_size(req->body, 0);
	}
	if (!req->is_too_large)
		g_byte_array_append(
		    req->body, (const guint8 *)data, (guint)len);
}

static enum MHD_Result
queue_reply(struct front_request *req)
{
	enum MHD_Result res;

	if (req->is_queued)
		return MHD_YES;
	req->is_queued = true;
	res = MHD_queue_response(req->con, req->status, req->response);
	return res;
}

static enum MHD_Result
on_access(void *cls, struct MHD_Connection *con, const char *url,
    const char *method, const char *version, const char *data, size_t *len,
    void **con_cls)
{
	struct front *fr = cls;
	struct front_request *req = *con_cls;

	if (req->is_refused && !front_budget_lingers(req, *len))
		return MHD_NO;
	if (req->is_refused) {
		front_suspend(req);
		return MHD_YES;
	}
	if (!req->has_head) {
		req->has_head = true;
		req->method = g_strdup(method);
		req->lacks_chunks = strcmp(version, "HTTP/1.1") != 0;
		MHD_get_connection_values(
		    con, MHD_HEADER_KIND, add_header, req);
		front_budget_head(req);
		return MHD_YES;
	}
	if (*len > 0) {
		if (!front_budget_read(req, *len)) {
			front_suspend(req);
			return MHD_YES;
		}
		append_body(req, data, *len);
		*len = 0;
		return MHD_YES;
	}
	if (req->received_body == NULL) {
		req->received_body = g_byte_array_free_to_bytes(req->body);
		req->body = g_byte_array_new();
		req->is_open = true;
		front_budget_received(req);
		fr->opt.ops->on_request(fr->opt.ctx, req);
	}
	if (req->response != NULL)
		return queue_reply(req);
	if (req->is_disconnected)
		return MHD_NO;
	front_suspend(req);
	return MHD_YES;
}

static void
on_completed(void *cls, struct MHD_Connection *con, void **con_cls,
    enum MHD_RequestTerminationCode code)
{
	struct front *fr = cls;
	struct front_request *req = *con_cls;

	if (req == NULL)
		return;
	*con_cls = NULL;
	g_hash_table_remove(fr->requests, req);
	front_budget_end(req);
	req->peer->request_count--;
	req->peer->idle_since_us = loop_now_us(fr->opt.lp);
	if (!req->is_refused &&
	    (code == MHD_REQUEST_TERMINATED_TIMEOUT_REACHED ||
		(fr->is_stopping &&
		    code != MHD_REQUEST_TERMINATED_COMPLETED_OK)))
		front_record_cut(req);
	if (req->is_open)
		front_close_request(req);
	request_free(req);
}

static void
on_connection(void *cls, struct MHD_Connection *con, void **context,
    enum MHD_ConnectionNotificationCode code)
{
	struct front *fr = cls;
	struct front_connection *peer = *context;

	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		front_budget_closed(fr, peer);
		g_hash_table_remove(fr->connections, peer);
		return;
	}
	peer = g_new0(struct front_connection, 1);
	peer->fd =
	    MHD_get_connection_info(con, MHD_CONNECTION_INFO_CONNECTION_FD)
		->connect_fd;
	peer->idle_since_us = loop_now_us(fr->opt.lp);
	g_hash_table_add(fr->connections, peer);
	*context = peer;
	front_budget_open(fr, peer);
}

/* The caller has closed its side, or the connection failed. */
static bool
has_disconnected(struct front_request *req)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    req->con, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct pollfd pfd = {.events = POLLRDHUP};

	if (info == NULL)
		return false;
	pfd.fd = info->connect_fd;
	return poll(&pfd, 1, 0) > 0 &&
	    (pfd.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

static void
check_disconnected(void *ctx)
{
	struct front *fr = ctx;
	GPtrArray *closed = g_ptr_array_new();
	GPtrArray *receiving = g_ptr_array_new();
	GHashTableIter it;
	void *key;

	g_hash_table_iter_init(&it, fr->requests);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		struct front_request *req = key;

		if (req->is_open &&
		    (req->is_overrun ||
			(req->is_suspended && has_disconnected(req))))
			g_ptr_array_add(closed, req);
		else if (!req->is_open &&
		    (req->is_suspended || req->is_refused))
			g_ptr_array_add(receiving, req);
	}
	for (guint i = 0; i < receiving->len; i++)
		front_budget_check(
		    receiving->pdata[i], has_disconnected(receiving->pdata[i]));
	g_ptr_array_unref(receiving);
	for (guint i = 0; i < closed->len; i++) {
		struct front_request *req = closed->pdata[i];

		req->is_disconnected = true;
		front_close_request(req);
		front_resume(req);
	}
	g_ptr_array_unref(closed);
	fr->disconnect_timer =
	    loop_timer(fr->opt.lp, loop_now_us(fr->opt.lp) + kDisconnectCheckUs,
		check_disconnected, fr);
}

static void
on_mhd_timer(void *ctx)
{
	struct front *fr = ctx;

	fr->mhd_timer = 0;
	fr->needs_run = true;
}

static void
schedule_mhd_timer(struct front *fr)
{
	MHD_UNSIGNED_LONG_LONG ms;

	if (MHD_get_timeout(fr->mhd, &ms) != MHD_YES)
		return;
	if (ms == 0) {
		front_schedule_run(fr);
		return;
	}
	loop_timer_cancel(fr->opt.lp, fr->mhd_timer);
	fr->mhd_timer = loop_timer(fr->opt.lp,
	    loop_now_us(fr->opt.lp) + (int64_t)ms * kUsPerMs, on_mhd_timer, fr);
}

static void
run_if_needed(void *ctx)
{
	struct front *fr = ctx;

	if (!fr->needs_run || fr->mhd == NULL)
		return;
	fr->needs_run = false;
	MHD_run(fr->mhd);
	schedule_mhd_timer(fr);
}

static void
on_readable(void *ctx, uint32_t events)
{
	((struct front *)ctx)->needs_run = true;
}

struct front *
front_new(const struct front_options *opt, GError **err)
{
	struct front *fr = g_new0(struct front, 1);
	struct sockaddr_in addr = {.sin_family = AF_INET};
	const union MHD_DaemonInfo *info;
	char ip[64];
	uint16_t port = 0;

	fr->opt = *opt;
	if (fr->opt.connections_max == 0)
		fr->opt.connections_max = kFrontConnectionsMax;
	fr->body_max = kBodyMaxDefault;
	fr->requests = g_hash_table_new(NULL, NULL);
	fr->connections = g_hash_table_new_full(NULL, NULL, g_free, NULL);
	settings_parse_address(opt->listen, ip, &port);
	inet_pton(AF_INET, ip, &addr.sin_addr);
	addr.sin_port = htons(port);
	fr->mhd = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME,
	    port, NULL, NULL, on_access, fr, MHD_OPTION_SOCK_ADDR,
	    (struct sockaddr *)&addr, MHD_OPTION_URI_LOG_CALLBACK, on_uri, fr,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, fr,
	    MHD_OPTION_NOTIFY_CONNECTION, on_connection, fr,
	    MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)kIdleTimeoutS,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)kConnectionMemoryBytes,
	    MHD_OPTION_CONNECTION_LIMIT,
	    (unsigned int)(fr->opt.connections_max +
		fr->opt.connections_closing),
	    MHD_OPTION_LISTEN_BACKLOG_SIZE, (unsigned int)kBacklog,
	    MHD_OPTION_END);
	if (fr->mhd == NULL) {
		g_set_error(err, SF_ERROR, kErrSettingRange, "cannot bind %s",
		    opt->listen);
		g_hash_table_unref(fr->requests);
		g_hash_table_unref(fr->connections);
		g_free(fr);
		return NULL;
	}
	info = MHD_get_daemon_info(fr->mhd, MHD_DAEMON_INFO_EPOLL_FD);
	fr->epoll_fd = info->epoll_fd;
	loop_watch(opt->lp, fr->epoll_fd, EPOLLIN, on_readable, fr);
	loop_on_iteration_end(opt->lp, run_if_needed, fr);
	fr->disconnect_timer = loop_timer(opt->lp,
	    loop_now_us(opt->lp) + kDisconnectCheckUs, check_disconnected, fr);
	return fr;
}

void
front_set_closing(struct front *fr)
{
	fr->is_closing = true;
}

void
front_set_body_max(struct front *fr, int64_t bytes)
{
	fr->body_max = bytes;
}

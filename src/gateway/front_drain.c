/* The end of the server for callers: what it counts, and how it closes. */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "gateway/front_internal.h"

enum {
	/* Requests cut by one stop that are logged one by one. */
	kCutsLoggedMax = 32,
	/* Callers send their request within this time of connecting, or the
	 * next one of an answer that did not ask them to close: longer than
	 * that answer allows. */
	kNextRequestUs = 2100 * kUsPerMs,
	/* Runs of libmicrohttpd that serve what has arrived. One accepts ten
	 * connections, or reads a part of each request. */
	kServeRunsMax = 200,
};

/* libmicrohttpd sends no answer before the end of a body. */
static const char kUnfinishedAnswer[] =
    "HTTP/1.1 503 Service Unavailable\r\nSavoryflow-Ran: no\r\n"
    "Retry-After: 0.010\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

void
front_record_cut(struct front_request *req)
{
	struct front *fr = req->fr;

	fr->counts.cut++;
	if (fr->counts.cut <= kCutsLoggedMax && fr->opt.ops->on_cut != NULL)
		fr->opt.ops->on_cut(fr->opt.ctx, req);
}

static bool
has_unread(int fd)
{
	char c;

	return recv(fd, &c, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Connections that callers opened and that were not accepted yet. */
static int32_t
count_not_accepted(struct front *fr)
{
	const union MHD_DaemonInfo *info =
	    MHD_get_daemon_info(fr->mhd, MHD_DAEMON_INFO_LISTEN_FD);
	struct pollfd pfd = {.events = POLLIN};
	struct tcp_info tcp = {0};
	socklen_t len = sizeof(tcp);

	if (info == NULL || info->listen_fd < 0)
		return 0;
	pfd.fd = info->listen_fd;
	if (poll(&pfd, 1, 0) <= 0)
		return 0;
	/* For a listening socket, tcpi_unacked is the length of its queue. */
	if (getsockopt(pfd.fd, IPPROTO_TCP, TCP_INFO, &tcp, &len) != 0)
		return 1;
	return MAX(1, (int32_t)tcp.tcpi_unacked);
}

/* Its caller may be about to send a request. */
static bool
is_recent(struct front *fr, const struct front_connection *peer)
{
	return peer->request_count == 0 &&
	    loop_now_us(fr->opt.lp) - peer->idle_since_us < kNextRequestUs;
}

void
front_count(struct front *fr)
{
	struct front_counts *n = &fr->counts;
	GHashTableIter it;
	void *key;

	n->open = (int32_t)g_hash_table_size(fr->connections);
	n->idle = n->recent = n->unread = n->unfinished = 0;
	g_hash_table_iter_init(&it, fr->connections);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		const struct front_connection *peer = key;

		n->idle += peer->request_count == 0;
		n->recent += is_recent(fr, peer);
		n->unread += has_unread(peer->fd);
	}
	g_hash_table_iter_init(&it, fr->requests);
	while (g_hash_table_iter_next(&it, &key, NULL))
		n->unfinished +=
		    ((struct front_request *)key)->received_body == NULL;
}

/* Accepts what is in the listen queue, then closes that. */
static void
stop_accepting(struct front *fr)
{
	MHD_socket fd;

	if (fr->is_quiesced)
		return;
	for (int i = 0; i < kServeRunsMax && count_not_accepted(fr) > 0; i++)
		MHD_run(fr->mhd);
	fr->counts.not_accepted = count_not_accepted(fr);
	fd = MHD_quiesce_daemon(fr->mhd);
	if (fd != MHD_INVALID_SOCKET)
		close(fd);
	fr->is_quiesced = true;
}

/* All requests that have begun to arrive are answered, all bytes read. */
static bool
is_served(struct front *fr)
{
	GHashTableIter it;
	void *key;

	if (g_hash_table_size(fr->requests) > 0)
		return false;
	g_hash_table_iter_init(&it, fr->connections);
	while (g_hash_table_iter_next(&it, &key, NULL))
		if (has_unread(((struct front_connection *)key)->fd))
			return false;
	return true;
}

static bool
has_recent(struct front *fr)
{
	GHashTableIter it;
	void *key;

	g_hash_table_iter_init(&it, fr->connections);
	while (g_hash_table_iter_next(&it, &key, NULL))
		if (is_recent(fr, key))
			return true;
	return false;
}

/* Nothing is read from now on: it would not be answered. */
static void
close_all(struct front *fr)
{
	front_count(fr);
	fr->is_stopping = true;
	loop_timer_cancel(fr->opt.lp, fr->disconnect_timer);
	loop_timer_cancel(fr->opt.lp, fr->mhd_timer);
	loop_unwatch(fr->opt.lp, fr->epoll_fd);
	MHD_stop_daemon(fr->mhd);
	fr->mhd = NULL;
}

bool
front_close_if_quiet(struct front *fr)
{
	if (fr->mhd == NULL)
		return true;
	stop_accepting(fr);
	MHD_run(fr->mhd);
	if (!is_served(fr) || has_recent(fr)) {
		front_schedule_run(fr);
		return false;
	}
	close_all(fr);
	return true;
}

/* Answers those that wait; ends the streams. */
static void
abort_requests(struct front *fr)
{
	GList *all = g_hash_table_get_keys(fr->requests);

	for (GList *it = all; it != NULL; it = it->next) {
		struct front_request *req = it->data;

		if (req->is_open && req->response == NULL &&
		    fr->opt.ops->on_abort != NULL) {
			front_close_request(req);
			fr->opt.ops->on_abort(fr->opt.ctx, req);
		} else {
			req->is_disconnected = true;
			front_resume(req);
		}
	}
	g_list_free(all);
}

/* Tells callers that still send their request that it did not run. */
static void
refuse_unfinished(struct front *fr)
{
	GHashTableIter it;
	void *key;

	g_hash_table_iter_init(&it, fr->requests);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		struct front_request *req = key;
		size_t len = sizeof(kUnfinishedAnswer) - 1;

		if (req->received_body != NULL || req->response != NULL ||
		    req->is_refused)
			continue;
		req->is_refused =
		    send(req->peer->fd, kUnfinishedAnswer, len,
			MSG_NOSIGNAL | MSG_DONTWAIT) == (ssize_t)len;
		shutdown(req->peer->fd, SHUT_WR);
	}
}

static void
serve_rest(struct front *fr)
{
	stop_accepting(fr);
	fr->is_stopping = true;
	abort_requests(fr);
	for (int i = 0; i < kServeRunsMax && !is_served(fr); i++)
		MHD_run(fr->mhd);
	refuse_unfinished(fr);
	/* libmicrohttpd must not be stopped while a connection is suspended. */
	abort_requests(fr);
	MHD_run(fr->mhd);
}

void
front_free(struct front *fr, struct front_counts *counts)
{
	if (fr->mhd != NULL) {
		serve_rest(fr);
		close_all(fr);
	}
	if (counts != NULL)
		*counts = fr->counts;
	g_hash_table_unref(fr->requests);
	g_hash_table_unref(fr->connections);
	g_free(fr);
}

int32_t
front_active(const struct front *fr)
{
	int32_t n = 0;
	GHashTableIter it;
	void *key;

	g_hash_table_iter_init(&it, fr->requests);
	while (g_hash_table_iter_next(&it, &key, NULL))
		if (((struct front_request *)key)->is_open)
			n++;
	return n;
}

/* The end of the server for callers: what it counts, and how it closes. */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include "gateway/front_internal.h"

enum {
	/* Requests cut by one stop that are logged one by one. */
	kCutsLoggedMax = 32,
};

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

void
front_count(struct front *fr)
{
	struct front_counts *n = &fr->counts;
	GHashTableIter it;
	void *key;

	n->open = (int32_t)g_hash_table_size(fr->connections);
	n->idle = n->unread = n->unfinished = 0;
	g_hash_table_iter_init(&it, fr->connections);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		const struct front_connection *peer = key;

		n->idle += peer->request_count == 0;
		n->unread += has_unread(peer->fd);
	}
	g_hash_table_iter_init(&it, fr->requests);
	while (g_hash_table_iter_next(&it, &key, NULL))
		n->unfinished +=
		    ((struct front_request *)key)->received_body == NULL;
	n->not_accepted = count_not_accepted(fr);
}

void
front_free(struct front *fr, struct front_counts *counts)
{
	GHashTableIter it;
	void *key;

	loop_timer_cancel(fr->opt.lp, fr->disconnect_timer);
	loop_timer_cancel(fr->opt.lp, fr->mhd_timer);
	loop_unwatch(fr->opt.lp, fr->epoll_fd);
	front_count(fr);
	fr->is_stopping = true;
	/* libmicrohttpd must not be stopped while a connection is suspended. */
	g_hash_table_iter_init(&it, fr->requests);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		struct front_request *req = key;

		req->is_disconnected = true;
		front_resume(req);
	}
	MHD_run(fr->mhd);
	MHD_stop_daemon(fr->mhd);
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

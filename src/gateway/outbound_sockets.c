/* The sockets of connections to targets. */
#include "gateway/outbound_sockets.h"

#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>

enum {
	/* A connection is closed when sent bytes or probes stay unacknowledged
	 * for this long. */
	kUserTimeoutMs = 2000,
	/* Time without a byte before the first probe, and between probes. */
	kKeepAliveIdleS = 3,
	kKeepAliveIntervalS = 1,
};

struct outbound_sockets {
	/** struct outbound_path by descriptor. */
	GHashTable *paths;
};

static void
path_free(void *p)
{
	struct outbound_path *path = p;

	g_free((char *)path->remote_ip);
	g_free(path);
}

struct outbound_sockets *
outbound_sockets_new(void)
{
	struct outbound_sockets *os = g_new(struct outbound_sockets, 1);

	os->paths = g_hash_table_new_full(NULL, NULL, NULL, path_free);
	return os;
}

void
outbound_sockets_free(struct outbound_sockets *os)
{
	g_hash_table_unref(os->paths);
	g_free(os);
}

void
outbound_sockets_add(
    struct outbound_sockets *os, int fd, const struct outbound_path *path)
{
	struct outbound_path *copy = g_new(struct outbound_path, 1);

	*copy = *path;
	copy->remote_ip = g_strdup(path->remote_ip);
	g_hash_table_replace(os->paths, GINT_TO_POINTER(fd), copy);
}

void
outbound_sockets_remove(struct outbound_sockets *os, int fd)
{
	g_hash_table_remove(os->paths, GINT_TO_POINTER(fd));
}

static bool
is_same_path(const struct outbound_path *a, const struct outbound_path *b)
{
	return a->local_port == b->local_port &&
	    a->remote_port == b->remote_port &&
	    strcmp(a->remote_ip, b->remote_ip) == 0;
}

static enum socket_input
input_of(int fd)
{
	char byte;
	ssize_t n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	if (n > 0)
		return kSocketHasBytes;
	return n == 0 ? kSocketEnded : kSocketQuiet;
}

enum socket_input
outbound_sockets_input(
    const struct outbound_sockets *os, const struct outbound_path *path)
{
	GHashTableIter it;
	void *fd;
	void *known;

	g_hash_table_iter_init(&it, os->paths);
	while (g_hash_table_iter_next(&it, &fd, &known))
		if (is_same_path(known, path))
			return input_of(GPOINTER_TO_INT(fd));
	return kSocketQuiet;
}

void
outbound_sockets_detect_loss(int fd)
{
	const int is_probed = 1;
	const int idle_s = kKeepAliveIdleS;
	const int interval_s = kKeepAliveIntervalS;
	const int timeout_ms = kUserTimeoutMs;

	setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &is_probed, sizeof(is_probed));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof(idle_s));
	setsockopt(
	    fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof(interval_s));
}

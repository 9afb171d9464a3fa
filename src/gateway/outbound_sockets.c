/* The sockets of connections to targets. */
#include "gateway/outbound_sockets.h"

#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include "savoryflow/arbiter/u64_hash.h"

enum {
	/* A connection is closed when sent bytes or probes stay unacknowledged
	 * for this long. */
	kUserTimeoutMs = 2000,
	/* Time without a byte before the first probe, and between probes. */
	kKeepAliveIdleS = 3,
	kKeepAliveIntervalS = 1,
	/* Ids that are remembered of one connection. */
	kIdsMax = 1024,
};

struct open_socket {
	struct outbound_path path;
	/** Set of uint64_t: ids of the requests that were sent on it. */
	GHashTable *ids;
};

struct outbound_sockets {
	/** struct open_socket by descriptor. */
	GHashTable *all;
};

static void
open_socket_free(void *p)
{
	struct open_socket *sock = p;

	g_hash_table_unref(sock->ids);
	g_free((char *)sock->path.remote_ip);
	g_free(sock);
}

struct outbound_sockets *
outbound_sockets_new(void)
{
	struct outbound_sockets *os = g_new(struct outbound_sockets, 1);

	os->all = g_hash_table_new_full(NULL, NULL, NULL, open_socket_free);
	return os;
}

void
outbound_sockets_free(struct outbound_sockets *os)
{
	g_hash_table_unref(os->all);
	g_free(os);
}

void
outbound_sockets_add(
    struct outbound_sockets *os, int fd, const struct outbound_path *path)
{
	struct open_socket *sock = g_new(struct open_socket, 1);

	sock->path = *path;
	sock->path.remote_ip = g_strdup(path->remote_ip);
	sock->ids = u64_hash_new(g_free);
	g_hash_table_replace(os->all, GINT_TO_POINTER(fd), sock);
}

void
outbound_sockets_remove(struct outbound_sockets *os, int fd)
{
	g_hash_table_remove(os->all, GINT_TO_POINTER(fd));
}

static bool
is_same_path(const struct outbound_path *a, const struct outbound_path *b)
{
	return a->local_port == b->local_port &&
	    a->remote_port == b->remote_port &&
	    strcmp(a->remote_ip, b->remote_ip) == 0;
}

/* @param fd receives the descriptor; may be NULL
 * @return NULL if it is not known */
static struct open_socket *
find_socket(const struct outbound_sockets *os, const struct outbound_path *path,
    int *fd)
{
	GHashTableIter it;
	void *key;
	void *val;

	g_hash_table_iter_init(&it, os->all);
	while (g_hash_table_iter_next(&it, &key, &val)) {
		struct open_socket *sock = val;

		if (!is_same_path(&sock->path, path))
			continue;
		if (fd != NULL)
			*fd = GPOINTER_TO_INT(key);
		return sock;
	}
	return NULL;
}

bool
outbound_sockets_take_id(
    struct outbound_sockets *os, const struct outbound_path *path, uint64_t id)
{
	struct open_socket *sock = find_socket(os, path, NULL);
	uint64_t *key;

	if (sock == NULL || id == 0)
		return true;
	if (g_hash_table_size(sock->ids) >= kIdsMax ||
	    g_hash_table_contains(sock->ids, &id))
		return false;
	key = g_new(uint64_t, 1);
	*key = id;
	g_hash_table_add(sock->ids, key);
	/* The table owns the key. */
	// cppcheck-suppress memleak
	return true;
}

enum socket_input
outbound_sockets_input(
    const struct outbound_sockets *os, const struct outbound_path *path)
{
	char byte;
	ssize_t n;
	int fd;

	if (find_socket(os, path, &fd) == NULL)
		return kSocketQuiet;
	n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	if (n > 0)
		return kSocketHasBytes;
	return n == 0 ? kSocketEnded : kSocketQuiet;
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

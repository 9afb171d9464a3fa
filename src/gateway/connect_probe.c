/* Connections that are opened only to learn whether a target's port is open. */
#include "gateway/connect_probe.h"

#include <errno.h>
#include <glib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "os/net_address.h"

enum {
	/* Covers a connection to another region. */
	kProbeTimeoutUs = 250 * kUsPerMs,
	/* More probes at once end as unknown. */
	kProbesMax = 64,
};

struct connect_probes {
	struct loop *lp;
	/** struct probe. */
	GHashTable *running;
};

struct probe {
	struct connect_probes *cp;
	int fd;
	uint64_t timer;
	connect_probe_fn fn;
	void *ctx;
};

struct connect_probes *
connect_probes_new(struct loop *lp)
{
	struct connect_probes *cp = g_new0(struct connect_probes, 1);

	cp->lp = lp;
	cp->running = g_hash_table_new(NULL, NULL);
	return cp;
}

static void
probe_end(struct probe *pr, enum connect_result result)
{
	g_hash_table_remove(pr->cp->running, pr);
	loop_timer_cancel(pr->cp->lp, pr->timer);
	loop_unwatch(pr->cp->lp, pr->fd);
	close(pr->fd);
	pr->fn(pr->ctx, result);
	g_free(pr);
}

void
connect_probes_free(struct connect_probes *cp)
{
	GList *left = g_hash_table_get_keys(cp->running);

	for (GList *it = left; it != NULL; it = it->next)
		probe_end(it->data, kConnectUnknown);
	g_list_free(left);
	g_hash_table_unref(cp->running);
	g_free(cp);
}

static void
on_connected(void *ctx, uint32_t events)
{
	struct probe *pr = ctx;
	int error = 0;
	socklen_t len = sizeof(error);

	if (getsockopt(pr->fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0)
		error = errno;
	if (error == 0)
		probe_end(pr, kConnectAccepted);
	else
		probe_end(pr,
		    error == ECONNREFUSED ? kConnectRefused : kConnectUnknown);
}

static void
on_timeout(void *ctx)
{
	struct probe *pr = ctx;

	pr->timer = 0;
	probe_end(pr, kConnectUnknown);
}

/* @return -1 if the connection cannot be begun */
static int
begin_connect(const char *address, int *error)
{
	struct sockaddr_in sin;
	int fd;

	*error = EINVAL;
	if (!net_address_parse(address, &sin))
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd >= 0 &&
	    (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0 ||
		errno == EINPROGRESS))
		return fd;
	*error = errno;
	if (fd >= 0)
		close(fd);
	return -1;
}

void
connect_probe_start(struct connect_probes *cp, const char *address,
    connect_probe_fn fn, void *ctx)
{
	struct probe *pr;
	int error = 0;
	int fd = -1;

	if (g_hash_table_size(cp->running) < kProbesMax)
		fd = begin_connect(address, &error);
	if (fd < 0) {
		fn(ctx,
		    error == ECONNREFUSED ? kConnectRefused : kConnectUnknown);
		return;
	}
	pr = g_new0(struct probe, 1);
	pr->cp = cp;
	pr->fd = fd;
	pr->fn = fn;
	pr->ctx = ctx;
	pr->timer = loop_timer(
	    cp->lp, loop_now_us(cp->lp) + kProbeTimeoutUs, on_timeout, pr);
	g_hash_table_add(cp->running, pr);
	loop_watch(cp->lp, fd, EPOLLOUT, on_connected, pr);
}

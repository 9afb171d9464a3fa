/*
 * Peer messages over ZeroMQ: one ROUTER socket for receiving, one DEALER socket
 * for each peer that is sent to. Other threads enqueue messages in a lock-free
 * ring and wake the peer thread through an eventfd.
 */
#include "peer/peer.h"

#include <ck_ring.h>
#include <pthread.h>
#include <string.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>
#include <zmq.h>

#include "error/error.h"
#include "metric/metric.h"
#include "os/clock.h"
#include "os/cpu.h"

enum {
	kSendRingSlots = 8192,
	/* High-water mark of messages queued for a peer that does not read. */
	kPeerQueueMax = 1000,
	kHeartbeatMs = 5000,
	kHeartbeatTimeoutMs = 15000,
	kReconnectMs = 200,
	kReconnectMaxMs = 2000,
	kReceiveBatchMax = 256,
	kMsPerS = 1000,
};

enum outgoing_kind { kOutgoingMessage, kOutgoingConnect, kOutgoingDisconnect };

struct outgoing {
	enum outgoing_kind kind;
	char *to;
	uint8_t *payload;
	size_t len;
};

/** Connection to a peer. */
struct dealer {
	void *socket;
	int64_t used_us;
};

struct peer {
	struct peer_options opt;
	char *address;
	void *zmq;
	void *router;
	/** struct dealer by peer address; peer thread only. */
	GHashTable *dealers;
	ck_ring_t ring;
	ck_ring_buffer_t *slots;
	int event_fd;
	pthread_t thread;
	bool is_running;
	bool is_stopping;
};

static void
dealer_close(void *p)
{
	struct dealer *dl = p;

	zmq_close(dl->socket);
	g_free(dl);
}

static void
set_int_option(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void
set_heartbeat(const struct peer *pr, void *socket)
{
	const struct peer_options *opt = &pr->opt;

	set_int_option(socket, ZMQ_HEARTBEAT_IVL,
	    opt->heartbeat_ms > 0 ? (int)opt->heartbeat_ms : kHeartbeatMs);
	set_int_option(socket, ZMQ_HEARTBEAT_TIMEOUT,
	    opt->heartbeat_timeout_ms > 0 ? (int)opt->heartbeat_timeout_ms
					  : kHeartbeatTimeoutMs);
	set_int_option(socket, ZMQ_LINGER, 0);
}

struct peer *
peer_new(const struct peer_options *opt, GError **err)
{
	struct peer *pr = g_new0(struct peer, 1);
	char *endpoint = g_strdup_printf("tcp://%s", opt->address);

	pr->opt = *opt;
	pr->address = g_strdup(opt->address);
	pr->zmq = zmq_ctx_new();
	zmq_ctx_set(pr->zmq, ZMQ_MAX_SOCKETS, 4096);
	pr->router = zmq_socket(pr->zmq, ZMQ_ROUTER);
	set_heartbeat(pr, pr->router);
	pr->dealers = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, dealer_close);
	ck_ring_init(&pr->ring, kSendRingSlots);
	pr->slots = g_new0(ck_ring_buffer_t, kSendRingSlots);
	pr->event_fd = eventfd(0, EFD_NONBLOCK);
	if (zmq_bind(pr->router, endpoint) != 0) {
		g_set_error(err, SF_ERROR, kErrSettingRange,
		    "--peer-listen: cannot bind %s: %s", opt->address,
		    zmq_strerror(zmq_errno()));
		peer_free(pr);
		pr = NULL;
	}
	g_free(endpoint);
	return pr;
}

static void
outgoing_free(struct outgoing *msg)
{
	g_free(msg->to);
	g_free(msg->payload);
	g_free(msg);
}

void
peer_free(struct peer *pr)
{
	struct outgoing *msg;

	while (ck_ring_dequeue_mpsc(&pr->ring, pr->slots, (void *)&msg))
		outgoing_free(msg);
	g_hash_table_unref(pr->dealers);
	zmq_close(pr->router);
	zmq_ctx_term(pr->zmq);
	close(pr->event_fd);
	g_free(pr->slots);
	g_free(pr->address);
	g_free(pr);
}

static void
wake_thread(struct peer *pr)
{
	uint64_t one = 1;
	ssize_t n = write(pr->event_fd, &one, sizeof(one));

	/* The write fails only if the counter is full, which also wakes the
	 * thread. */
	(void)n;
}

static void
enqueue(struct peer *pr, struct outgoing *msg)
{
	if (!ck_ring_enqueue_mpsc(&pr->ring, pr->slots, msg)) {
		outgoing_free(msg);
		return;
	}
	wake_thread(pr);
}

void
peer_send(struct peer *pr, const char *to, Sfpeer__Envelope *env,
    enum peer_traffic traffic)
{
	struct outgoing *msg = g_new0(struct outgoing, 1);

	env->from = pr->address;
	msg->to = g_strdup(to);
	msg->len = sfpeer__envelope__get_packed_size(env);
	msg->payload = g_malloc(msg->len);
	sfpeer__envelope__pack(env, msg->payload);
	metric_add(kMetPeerSentMsgs, 1);
	metric_add(traffic == kPeerGossip ? kMetGossipBytes : kMetGrantBytes,
	    (int64_t)msg->len);
	enqueue(pr, msg);
}

static void
enqueue_control(struct peer *pr, enum outgoing_kind kind, const char *address)
{
	struct outgoing *msg = g_new0(struct outgoing, 1);

	msg->kind = kind;
	msg->to = g_strdup(address);
	enqueue(pr, msg);
}

void
peer_connect(struct peer *pr, const char *address)
{
	enqueue_control(pr, kOutgoingConnect, address);
}

void
peer_disconnect(struct peer *pr, const char *address)
{
	enqueue_control(pr, kOutgoingDisconnect, address);
}

static void *
dealer_get(struct peer *pr, const char *to)
{
	struct dealer *dl = g_hash_table_lookup(pr->dealers, to);
	int64_t now_us = clock_mono_us(clock_system());
	void *socket;
	char *endpoint;

	if (dl != NULL) {
		dl->used_us = now_us;
		return dl->socket;
	}
	socket = zmq_socket(pr->zmq, ZMQ_DEALER);
	set_heartbeat(pr, socket);
	set_int_option(socket, ZMQ_SNDHWM, kPeerQueueMax);
	set_int_option(socket, ZMQ_RECONNECT_IVL, kReconnectMs);
	set_int_option(socket, ZMQ_RECONNECT_IVL_MAX, kReconnectMaxMs);
	endpoint = g_strdup_printf("tcp://%s", to);
	zmq_connect(socket, endpoint);
	g_free(endpoint);
	dl = g_new(struct dealer, 1);
	*dl = (struct dealer){socket, now_us};
	g_hash_table_insert(pr->dealers, g_strdup(to), dl);
	return socket;
}

static void
send_queued(struct peer *pr)
{
	struct outgoing *msg;
	uint64_t drained;
	ssize_t n = read(pr->event_fd, &drained, sizeof(drained));

	(void)n;
	while (ck_ring_dequeue_mpsc(&pr->ring, pr->slots, (void *)&msg)) {
		switch (msg->kind) {
		case kOutgoingMessage:
			zmq_send(dealer_get(pr, msg->to), msg->payload,
			    msg->len, ZMQ_DONTWAIT);
			break;
		case kOutgoingConnect:
			dealer_get(pr, msg->to);
			break;
		case kOutgoingDisconnect:
			g_hash_table_remove(pr->dealers, msg->to);
			break;
		}
		outgoing_free(msg);
	}
}

static gboolean
is_idle(void *to, void *p, void *before_us)
{
	return ((struct dealer *)p)->used_us < *(int64_t *)before_us;
}

static void
close_idle_dealers(struct peer *pr, int64_t now_us)
{
	int64_t before_us = now_us - pr->opt.idle_close_ms * kUsPerMs;

	if (pr->opt.idle_close_ms > 0)
		g_hash_table_foreach_remove(pr->dealers, is_idle, &before_us);
}

static void
handle_message(struct peer *pr, const void *data, size_t len)
{
	Sfpeer__Envelope *env = sfpeer__envelope__unpack(NULL, len, data);

	metric_add(kMetPeerRecvMsgs, 1);
	metric_add(kMetPeerRecvBytes, (int64_t)len);
	if (env == NULL)
		return;
	if (env->from[0] == '\0' || !pr->opt.ops->on_message(pr->opt.ctx, env))
		sfpeer__envelope__free_unpacked(env, NULL);
}

static bool
receive_one(struct peer *pr)
{
	zmq_msg_t sender;
	zmq_msg_t body;
	bool has_message;

	zmq_msg_init(&sender);
	has_message = zmq_msg_recv(&sender, pr->router, ZMQ_DONTWAIT) >= 0;
	zmq_msg_close(&sender);
	if (!has_message)
		return false;
	zmq_msg_init(&body);
	if (zmq_msg_recv(&body, pr->router, ZMQ_DONTWAIT) >= 0)
		handle_message(pr, zmq_msg_data(&body), zmq_msg_size(&body));
	zmq_msg_close(&body);
	return true;
}

static void *
peer_thread(void *arg)
{
	struct peer *pr = arg;
	const struct clock_source *clk = clock_system();
	int64_t next_tick_us = clock_mono_us(clk);

	while (!__atomic_load_n(&pr->is_stopping, __ATOMIC_ACQUIRE)) {
		zmq_pollitem_t items[] = {
		    {pr->router, 0, ZMQ_POLLIN, 0},
		    {NULL, pr->event_fd, ZMQ_POLLIN, 0},
		};
		int64_t remaining_us = next_tick_us - clock_mono_us(clk);

		zmq_poll(items, 2, (long)MAX(remaining_us / kUsPerMs, 0) + 1);
		for (int i = 0; i < kReceiveBatchMax && receive_one(pr); i++)
			continue;
		if (clock_mono_us(clk) >= next_tick_us) {
			next_tick_us =
			    clock_mono_us(clk) + pr->opt.tick_ms * kUsPerMs;
			pr->opt.ops->on_tick(pr->opt.ctx);
			close_idle_dealers(pr, next_tick_us);
			cpu_account_control_thread();
		}
		send_queued(pr);
	}
	send_queued(pr);
	return NULL;
}

void
peer_start(struct peer *pr)
{
	pr->is_running = true;
	pthread_create(&pr->thread, NULL, peer_thread, pr);
}

void
peer_stop(struct peer *pr)
{
	if (!pr->is_running)
		return;
	__atomic_store_n(&pr->is_stopping, true, __ATOMIC_RELEASE);
	wake_thread(pr);
	pthread_join(pr->thread, NULL);
	pr->is_running = false;
	/* Closing the socket does not wait for unsent messages. */
	set_int_option(pr->router, ZMQ_LINGER, 0);
}

#ifndef SAVORYFLOW_PEER_H
#define SAVORYFLOW_PEER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "peer/peer.pb-c.h"

/** What peer messages are counted as. */
enum peer_traffic {
	kPeerGossip,
	kPeerControl,
};

struct peer_ops {
	/**
	 * A message has come. Runs on the peer thread.
	 * @return true if the envelope is kept, to be freed by the receiver
	 */
	bool (*on_message)(void *ctx, Sfpeer__Envelope *env);
	/** Runs on the peer thread once a tick. */
	void (*on_tick)(void *ctx);
};

struct peer_options {
	/** Own address, IP:PORT; messages come in here. */
	const char *address;
	int64_t tick_ms;
	/** Period of the probes of a connection, and the silence after which
	 * it is given up; 0: the defaults. */
	int64_t heartbeat_ms;
	int64_t heartbeat_timeout_ms;
	const struct peer_ops *ops;
	void *ctx;
};

/** Messages to and from other daemons over ZeroMQ. */
struct peer;

/** @return NULL and an error if the address cannot be bound */
struct peer *peer_new(const struct peer_options *opt, GError **err);

/** Starts the peer thread. */
void peer_start(struct peer *pr);

/** Sends what waits and ends the thread. */
void peer_stop(struct peer *pr);
void peer_free(struct peer *pr);

/**
 * Queues a message for a peer; any thread. The envelope's `from` is set here.
 * A message that cannot be queued is dropped: all messages may be lost.
 */
void peer_send(struct peer *pr, const char *to, Sfpeer__Envelope *env,
    enum peer_traffic traffic);

/** Closes the connection to a peer that is gone. */
void peer_disconnect(struct peer *pr, const char *address);

#endif

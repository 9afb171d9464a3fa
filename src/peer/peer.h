#ifndef SAVORYFLOW_PEER_H
#define SAVORYFLOW_PEER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "peer/peer.pb-c.h"

/** Traffic class by which sent bytes are counted. */
enum peer_traffic {
	kPeerGossip,
	kPeerControl,
};

struct peer_ops {
	/**
	 * Handles a received message, on the peer thread.
	 * @return true if the callee keeps the envelope and frees it
	 */
	bool (*on_message)(void *ctx, Sfpeer__Envelope *env);
	/** Called on the peer thread once every tick_ms. */
	void (*on_tick)(void *ctx);
};

struct peer_options {
	/** Own address, IP:PORT, on which messages are received. */
	const char *address;
	int64_t tick_ms;
	/** Period of the connection heartbeats, and the time without an answer
	 * after which a connection is closed; 0 selects the defaults. */
	int64_t heartbeat_ms;
	int64_t heartbeat_timeout_ms;
	/** Connections without a message for this time are closed; 0: none. */
	int64_t idle_close_ms;
	const struct peer_ops *ops;
	void *ctx;
};

/** Message transport between daemons over ZeroMQ. */
struct peer;

/** @return NULL and an error if the address cannot be bound */
struct peer *peer_new(const struct peer_options *opt, GError **err);

void peer_start(struct peer *pr);

/** Sends queued messages and stops the thread. */
void peer_stop(struct peer *pr);
void peer_free(struct peer *pr);

/**
 * Queues a message for a peer; thread-safe. Sets the envelope's `from`. A
 * message that cannot be queued is dropped: delivery is not guaranteed.
 */
void peer_send(struct peer *pr, const char *to, Sfpeer__Envelope *env,
    enum peer_traffic traffic);

/** Opens the connection to a peer that messages will follow to. */
void peer_connect(struct peer *pr, const char *address);

/** Closes the connection to a peer; the next message opens a new one. */
void peer_disconnect(struct peer *pr, const char *address);

#endif

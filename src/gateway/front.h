#ifndef SAVORYFLOW_GATEWAY_FRONT_H
#define SAVORYFLOW_GATEWAY_FRONT_H

#include <glib.h>

#include "gateway/dialect.h"
#include "gateway/loop.h"
#include "savoryflow/budget/budget.h"

enum {
	/** Open connections without limits of the VM. */
	kFrontConnectionsMax = 4000,
};

/** Id of a request that a peer forwards; the answer repeats it. */
extern const char kFrontForwardedHeader[];
/** Proof of the team that the peer identified, see forward_proof.h. */
extern const char kFrontProofHeader[];

/** One request of a caller, from its head to the end of its answer. */
struct front_request;

/** Callbacks; they run on the loop. */
struct front_ops {
	/** The request has been received completely. It is answered by
	 * front_reply or front_stream, now or later. */
	void (*on_request)(void *ctx, struct front_request *req);
	/** The server stops before there is any part of an answer; it must be
	 * answered at once. NULL if all requests are answered at once. */
	void (*on_abort)(void *ctx, struct front_request *req);
	/** The connection is closed before the answer is complete, because the
	 * server stops or the request did not arrive in time; may be NULL. */
	void (*on_cut)(void *ctx, struct front_request *req);
};

/** The caller has disconnected before its answer was complete. */
typedef void (*front_disconnect_fn)(void *data);

struct front_options {
	struct loop *lp;
	/** IP:PORT. */
	const char *listen;
	const struct front_ops *ops;
	void *ctx;
	/** Memory for callers, shared by all servers; NULL: no limit. */
	struct budget *budget;
	/** Open connections, and further ones that are about to close; 0: as
	 * without a budget. */
	int32_t connections_max;
	int32_t connections_closing;
};

/** The HTTP server for callers. */
struct front;

/** Connections and requests when the server stopped. */
struct front_counts {
	int32_t open;
	/** Open, without a request. */
	int32_t idle;
	/** Idle, and accepted or answered a moment ago. */
	int32_t recent;
	/** Requests that had not been received completely. */
	int32_t unfinished;
	/** Connections with bytes that were not read. */
	int32_t unread;
	/** Connections that were not accepted. */
	int32_t not_accepted;
	/** Requests whose connection was closed before their answer was
	 * complete. */
	int32_t cut;
};

/** @return NULL and kErrSettingRange if the address cannot be bound */
struct front *front_new(const struct front_options *opt, GError **err);

/**
 * Accepts no more connections and, if no caller would notice, closes the
 * others: all requests that have begun to arrive are answered, all bytes are
 * read, and callers that have just connected or had an answer had the time to
 * send a request.
 * Connections and requests that arrived by now are served first.
 * @return true if the server is closed; otherwise it is to be called again
 */
bool front_close_if_quiet(struct front *fr);

/**
 * Closes the server if it is not closed: what has arrived is answered, running
 * requests are aborted.
 * @param counts receives what was open at the end; may be NULL
 */
void front_free(struct front *fr, struct front_counts *counts);

/** From now on, answers ask callers to close their connections. */
void front_set_closing(struct front *fr);

/** Sets the size limit of request bodies. */
void front_set_body_max(struct front *fr, int64_t bytes);

/** Number of requests whose answer is not complete. */
int32_t front_active(const struct front *fr);

const char *front_method(const struct front_request *req);
/** Path and query, unchanged from the request line. */
const char *front_uri(const struct front_request *req);
const struct header_list *front_headers(const struct front_request *req);
/** NULL until the request has been received completely. */
GBytes *front_body(const struct front_request *req);
/**
 * The request is a caller's own, though it has the fields of one that a peer
 * forwards.
 */
void front_set_own(struct front_request *req);
/** True if a peer has forwarded the request. */
bool front_is_forwarded(const struct front_request *req);
/** Time at which the request began to arrive. */
int64_t front_received_us(const struct front_request *req);
/** True if the body exceeds the limit; it was discarded. */
bool front_is_too_large(const struct front_request *req);

/**
 * Charges memory, beside its body, that a request occupies until it is
 * answered.
 * @return false if the budget has no room; nothing is charged then
 */
bool front_hold(struct front_request *req, size_t bytes);

/**
 * Charges what is kept of the answer that a target is sending to a request.
 * Others that keep more of theirs are asked to drop it, then large ones that
 * make no progress are closed.
 * @param bytes all that is kept, in place of what was charged before
 * @return false if the budget has no room; nothing changes then
 */
bool front_hold_answer(struct front_request *req, size_t bytes);

/**
 * Sets what drops the answer charged with front_hold_answer. It has to be
 * charged with 0 before fn returns, and before data is freed.
 */
void front_on_memory_short(
    struct front_request *req, front_disconnect_fn fn, void *data);

/**
 * Whether the head of an answer may fit beside that of its request.
 * libmicrohttpd keeps both in one buffer, and closes the connection without an
 * answer if it is too small.
 * @return false if it certainly does not fit
 */
bool front_has_head_room(
    const struct front_request *req, const struct header_list *headers);

/**
 * @return false if the budget has no room for an answer of this size, which can
 *         be had again; others that make no progress have been closed then
 */
bool front_has_room(struct front_request *req, size_t bytes);

/**
 * Calls fn(data) if the caller disconnects; the request must not be used after
 * that. NULL removes the callback.
 */
void front_on_disconnect(
    struct front_request *req, front_disconnect_fn fn, void *data);

/** Answers with a complete body; headers may be NULL and are borrowed. */
void front_reply(struct front_request *req, int32_t status,
    const struct header_list *headers, const char *body, size_t len);

/** Starts an answer whose body is sent in parts. */
void front_stream(struct front_request *req, int32_t status,
    const struct header_list *headers);
void front_stream_data(struct front_request *req, const char *data, size_t len);
/** @param is_complete false aborts the connection */
void front_stream_end(struct front_request *req, bool is_complete);

#endif

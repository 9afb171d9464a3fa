#ifndef SAVORYFLOW_GATEWAY_OUTBOUND_H
#define SAVORYFLOW_GATEWAY_OUTBOUND_H

#include <glib.h>

#include "gateway/headers.h"
#include "gateway/loop.h"

/** How a request to a target ended, as far as the transport can tell. */
enum outbound_outcome {
	kOutboundComplete,
	/** No connection was established; nothing was sent. */
	kOutboundNotSent,
	/** The connection failed, or the response is incomplete. */
	kOutboundInterrupted,
	/** The response exceeded a limit; its connection is closed. */
	kOutboundCut,
	/** A field of the response's head or trailer is none; its connection is
	 * closed. */
	kOutboundMalformed,
	/** A callback refused the response. */
	kOutboundRefused,
	/** may_send did not allow the request; nothing was sent. */
	kOutboundWithheld,
};

/** Callbacks; they run on the loop's thread. on_done is the last one. */
struct outbound_ops {
	/** The response head has arrived. @return false to refuse it */
	bool (*on_head)(
	    void *ctx, int32_t status, const struct header_list *headers);
	/** @return false to refuse the rest */
	bool (*on_data)(void *ctx, const char *data, size_t len);
	void (*on_done)(void *ctx, enum outbound_outcome outcome);
};

struct outbound_options {
	const char *method;
	/** IP:PORT. */
	const char *address;
	/** Path and query, sent unchanged in the request line. */
	const char *uri;
	/** Borrowed; includes Host. */
	const struct header_list *headers;
	GBytes *body;
	int64_t connect_timeout_us;
	/** Never sent a second time: uses a new connection, because libcurl
	 * repeats a request on a pooled one that was just closed. */
	bool is_sent_once;
	/** Id that the answer repeats, or NULL: no two requests of the same id
	 * share a connection. */
	const char *id;
	/** Asked when the connection is open, immediately before each sending
	 * of the request; may be NULL. */
	bool (*may_send)(void *ctx);
	const struct outbound_ops *ops;
	void *ctx;
};

/** HTTP client for targets, driven by the loop. */
struct outbound;
struct outbound_request;

struct outbound *outbound_new(struct loop *lp);

/** Cancels all requests; no callback follows. */
void outbound_free(struct outbound *ob);

struct outbound_request *outbound_start(
    struct outbound *ob, const struct outbound_options *opt);

/** @return no other response came on the request's connection before */
bool outbound_is_first_answer(const struct outbound_request *req);

/** @return true if the answer is that to a second copy of the request: the
 * first one may have been executed */
bool outbound_is_resent(const struct outbound_request *req);
/**
 * Allows so many further bytes of the response's body. Without it, the whole
 * body may have kIntakeBodyBytesMax.
 */
void outbound_allow_body(struct outbound_request *req, int64_t bytes);

/** Cancels a request and closes its connection; no callback follows. */
void outbound_cancel(struct outbound_request *req);

#endif

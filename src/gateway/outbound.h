#ifndef SAVORYFLOW_GATEWAY_OUTBOUND_H
#define SAVORYFLOW_GATEWAY_OUTBOUND_H

#include <glib.h>

#include "gateway/headers.h"
#include "gateway/loop.h"

/** How a request to a target ended, as far as the transport can tell. */
enum outbound_outcome {
	kOutboundComplete,
	/** No connection was made; no byte was sent. */
	kOutboundNotSent,
	/** The connection broke, or what came is no whole answer. */
	kOutboundInterrupted,
	/** The reader refused the answer. */
	kOutboundRefused,
};

/** Runs on the loop's thread. on_done is the last one. */
struct outbound_ops {
	/** The head of the answer has come. @return false to refuse it */
	bool (*on_head)(
	    void *ctx, int32_t status, const struct header_list *headers);
	/** @return false to refuse the rest */
	bool (*on_data)(void *ctx, const char *data, size_t len);
	void (*on_done)(void *ctx, enum outbound_outcome end);
};

struct outbound_options {
	const char *method;
	/** IP:PORT. */
	const char *address;
	/** Path and query as they stand in the request line. */
	const char *uri;
	/** Borrowed; Host is among them. */
	const struct header_list *headers;
	GBytes *body;
	int64_t connect_timeout_us;
	/** Never sent a second time: gets a connection of its own, as a
	 * request on a pooled one that was just closed is repeated. */
	bool is_sent_once;
	const struct outbound_ops *ops;
	void *ctx;
};

/** HTTP requests to targets, on the loop. */
struct outbound;
struct outbound_request;

struct outbound *outbound_new(struct loop *lp);

/** Drops all requests without a further call. */
void outbound_free(struct outbound *ob);

struct outbound_request *outbound_start(
    struct outbound *ob, const struct outbound_options *opt);

/** Ends a request and its connection; no further call of its ops. */
void outbound_cancel(struct outbound_request *req);

#endif

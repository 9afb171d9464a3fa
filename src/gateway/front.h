#ifndef SAVORYFLOW_GATEWAY_FRONT_H
#define SAVORYFLOW_GATEWAY_FRONT_H

#include <glib.h>

#include "gateway/dialect.h"
#include "gateway/loop.h"

/** One request of a caller, from its head to the end of its answer. */
struct front_request;

/** Runs on the loop. */
struct front_ops {
	/** The whole request is there. It is answered by front_reply or
	 * front_stream, now or later. */
	void (*on_request)(void *ctx, struct front_request *req);
};

/** The caller has left before its whole answer was there. */
typedef void (*front_disconnect_fn)(void *data);

struct front_options {
	struct loop *lp;
	/** IP:PORT. */
	const char *listen;
	const struct front_ops *ops;
	void *ctx;
};

/** The HTTP server for callers. */
struct front;

/** @return NULL and kErrSettingRange if the address cannot be bound */
struct front *front_new(const struct front_options *opt, GError **err);
void front_free(struct front *fr);

/** Answers ask callers to close their connections from now on. */
void front_set_closing(struct front *fr);

/** Largest body that is taken. */
void front_set_body_max(struct front *fr, int64_t bytes);

/** Requests without their whole answer. */
int32_t front_active(const struct front *fr);

const char *front_method(const struct front_request *req);
/** Path and query as they stand in the request line. */
const char *front_uri(const struct front_request *req);
const struct header_list *front_headers(const struct front_request *req);
GBytes *front_body(const struct front_request *req);
/** Time of the first byte. */
int64_t front_received_us(const struct front_request *req);
/** True if the body is over the limit; it was not kept. */
bool front_is_too_large(const struct front_request *req);

/**
 * fn(data) runs if the caller leaves; the request is not to be used after
 * that. NULL: nobody waits for it any more.
 */
void front_on_disconnect(
    struct front_request *req, front_disconnect_fn fn, void *data);

/** Answers with a whole body; headers may be NULL and are borrowed. */
void front_reply(struct front_request *req, int32_t status,
    const struct header_list *headers, const char *body, size_t len);

/** Begins an answer whose body comes in parts. */
void front_stream(struct front_request *req, int32_t status,
    const struct header_list *headers);
void front_stream_data(struct front_request *req, const char *data, size_t len);
/** @param is_complete false breaks the connection off */
void front_stream_end(struct front_request *req, bool is_complete);

#endif

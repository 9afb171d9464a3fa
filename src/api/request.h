#ifndef SAVORYFLOW_API_REQUEST_H
#define SAVORYFLOW_API_REQUEST_H

#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>

#include "savoryflow/call/intent_store.h"
#include "serve/call_run.h"
#include "serve/daemon.h"

struct request;
struct api_debtor;

/** Who may use an endpoint. */
enum endpoint_access {
	kAccessAnyone,
	kAccessTeam,
	kAccessOperator,
};

/** One row of the table of endpoints. */
struct endpoint {
	const char *method;
	/** Path; with a trailing '/' it is a prefix. */
	const char *path;
	enum endpoint_access access;
	/** on_body consumes the body as it arrives. */
	bool is_body_streamed;
	/** The request is complete: replies, or continues asynchronously. */
	void (*start)(struct request *req);
	/** More of the body is in req->body (is_body_streamed only). */
	void (*on_body)(struct request *req);
	/** Runs after each wake until there is a response; may be NULL. */
	void (*step)(struct request *req);
};

/** A caller's HTTP request. */
struct request {
	gint refs;
	struct daemon *d;
	pthread_mutex_t lock;
	/** NULL once the connection has completed the request. */
	struct MHD_Connection *con;
	bool is_suspended;
	bool is_wake_pending;
	/** Offloaded in the current call of libmicrohttpd's thread, which reads
	 * nothing more of it: a worker may be changing it. */
	bool is_offloaded;
	/** The daemon shuts down; the request may no longer wait. */
	bool is_aborted;
	const struct endpoint *ep;
	char *url;
	/** Rest of the path after the endpoint's. */
	const char *subpath;
	char *method;
	GString *body;
	bool is_started;
	bool is_body_too_large;
	/** The daemon drains; the answer follows the body. */
	bool is_refused;
	/** Its connection, for the budget. */
	struct api_debtor *peer;
	/** Refused before its end: bytes that are still read, and until when.
	 */
	bool is_dropped;
	int64_t drop_left;
	int64_t drop_until_us;
	/** The caller's team and its weight in shares of batch capacity. */
	char *team;
	int32_t weight;
	bool is_operator;
	/** Monotonic time of the first byte. */
	int64_t received_us;
	/** NULL until there is a response. */
	struct MHD_Response *response;
	unsigned int status;
	bool is_replied;

	/* Calls. */
	struct call *call;
	bool wants_stream;
	/** Counts towards its team's concurrency limit. */
	bool is_limited;
	/** Events not yet passed to libmicrohttpd; with is_stream_ended the
	 * last one is among them. */
	GString *pending_events;
	bool is_stream_ended;
	/** Calls that run at most once (Idempotency-Key). */
	struct intent intent;
	bool has_intent;
	bool is_intent_settled;

	/* Batch uploads. */
	struct batch_upload *upload;
};

struct request *request_ref(struct request *req);
void request_unref(struct request *req);

/**
 * Suspends the connection until request_wake.
 * @return false if it was woken already and must check its state again, or if
 *         the daemon shuts down (is_aborted is set)
 */
bool request_wait(struct request *req);

/**
 * Ends the request's call if nothing was sent to a target yet. All of them are
 * ended before request_abort frees the first slot.
 */
void request_abort_unsent(struct request *req);

/**
 * Aborts the request because the daemon shuts down.
 * @return true if it was suspended
 */
bool request_abort(struct request *req);

/** Resumes the connection; thread-safe. */
void request_wake(struct request *req);

/**
 * Suspends the request and runs fn(req) on a worker; replies kErrOverloaded if
 * the queue of the workers is full.
 */
void request_offload(struct request *req, void (*fn)(struct request *req));

/** Value of a header or query parameter, or NULL. */
const char *request_header(struct request *req, const char *name);
const char *request_query_param(struct request *req, const char *name);

/** Replies with a JSON document and takes ownership of it. */
void request_reply_json(struct request *req, unsigned int status, json_t *doc);

/** Replies with a copy of the bytes. */
void request_reply_bytes(struct request *req, unsigned int status,
    const char *content_type, const char *data, size_t len);

/**
 * Replies with a typed error, unless there is a response already. The second
 * form overrides whether a request with this error may have run.
 * @param retry_after_us delay before a retry; 0: a retry is not useful
 */
void request_reply_error(
    struct request *req, int code, const char *message, int64_t retry_after_us);
void request_reply_error_ran(struct request *req, int code, const char *message,
    int64_t retry_after_us, bool may_have_run);

/** Refuses a request because the daemon shuts down. */
void request_refuse_draining(struct request *req);

/** Replies with a GError and frees it. */
void request_reply_gerror(struct request *req, GError *err);

/**
 * Replies to a change or a read that the store did not do.
 * @param refusal message if it was certainly not done
 */
void request_reply_store_error(
    struct request *req, enum store_result res, const char *refusal);

/** Adds a header to the reply. */
void request_reply_header(
    struct request *req, const char *name, const char *value);

/** Body of a typed error: {"error":{"type","code","message"}}. */
json_t *request_error_json(int code, const char *message);

/* Endpoints. */
void chat_start(struct request *req);
void chat_step(struct request *req);
void plain_start(struct request *req);
void plain_step(struct request *req);
void batch_api_on_body(struct request *req);
void batch_api_submit(struct request *req);
void batch_api_get(struct request *req);
void batch_api_post(struct request *req);
/** Bytes of a streamed body that are kept. */
size_t batch_api_kept_bytes(const struct request *req);
void batch_upload_free(struct batch_upload *up);
void admin_health(struct request *req);
void admin_ready(struct request *req);
void admin_metrics(struct request *req);
void admin_config_get(struct request *req);
void admin_config_put(struct request *req);
void admin_config_history(struct request *req);
void admin_status(struct request *req);
void admin_drain(struct request *req);

/**
 * Releases the call of an ended request and its place in the team's concurrency
 * limit. A call without idempotency key is cancelled if it is still running.
 */
void request_release_call(struct request *req);

#endif

#ifndef SAVORYFLOW_API_REQUEST_H
#define SAVORYFLOW_API_REQUEST_H

#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>

#include "savoryflow/call/intent_store.h"
#include "serve/call_run.h"
#include "serve/daemon.h"

struct request;

/** Who may use an endpoint. */
enum endpoint_access {
	kAccessAnyone,
	kAccessTeam,
	kAccessOperator,
};

/** One row of the table of endpoints. */
struct endpoint {
	const char *method;
	/** Path; ends with '/' if more may follow. */
	const char *path;
	enum endpoint_access access;
	/** The body is taken in parts by on_body. */
	bool is_body_streamed;
	/** The whole request is there: reply, or go on elsewhere. */
	void (*start)(struct request *req);
	/** More of the body is in req->body (is_body_streamed). */
	void (*on_body)(struct request *req);
	/** Runs after each wake until there is a reply; may be NULL. */
	void (*step)(struct request *req);
};

/** A caller's HTTP request. */
struct request {
	gint refs;
	struct daemon *d;
	pthread_mutex_t lock;
	/** NULL once the connection is done with the request. */
	struct MHD_Connection *con;
	bool is_suspended;
	bool is_wake_pending;
	/** The daemon ends: no more waiting. */
	bool is_aborted;
	const struct endpoint *ep;
	char *url;
	/** The path after the endpoint's. */
	const char *subpath;
	char *method;
	GString *body;
	bool is_started;
	bool is_body_too_large;
	/** The caller's team, and its share of batch capacity. */
	char *team;
	int32_t weight;
	bool is_operator;
	/** Monotonic time of the first byte. */
	int64_t received_us;
	/** The reply, once there is one. */
	struct MHD_Response *response;
	unsigned int status;
	bool is_replied;

	/* Calls. */
	struct call *call;
	bool wants_stream;
	/** Counts in its team's concurrency. */
	bool is_limited;
	/** Events that are not handed over yet; the last one is among them. */
	GString *pending_events;
	bool is_stream_ended;
	/** Calls that run at most once. */
	struct intent intent;
	bool has_intent;
	bool is_intent_settled;

	/* Uploads of batch jobs. */
	struct batch_upload *upload;
};

struct request *request_ref(struct request *req);
void request_unref(struct request *req);

/**
 * Suspends the connection until request_wake.
 * @return false if a wake has come already: look again instead; also when
 *         the daemon ends, with is_aborted set
 */
bool request_wait(struct request *req);

/** Makes the request end: the daemon ends. @return true if it waited */
bool request_abort(struct request *req);

/** Lets the connection go on; any thread. */
void request_wake(struct request *req);

/** Runs fn(req) on a worker; the request waits. Replies if it cannot. */
void request_offload(struct request *req, void (*fn)(struct request *req));

/** Value of a header or query argument, or NULL. */
const char *request_header(struct request *req, const char *name);
const char *request_query_param(struct request *req, const char *name);

/** Replies with a JSON document, which is taken over. */
void request_reply_json(struct request *req, unsigned int status, json_t *doc);

/** Replies with bytes. */
void request_reply_bytes(struct request *req, unsigned int status,
    const char *content_type, const char *data, size_t len);

/**
 * Replies with a typed error.
 * @param retry_after_us when to come back; 0 if waiting does not help
 */
void request_reply_error(
    struct request *req, int code, const char *message, int64_t retry_after_us);
void request_reply_error_ran(struct request *req, int code, const char *message,
    int64_t retry_after_us, bool may_have_run);

/** Replies with a GError and frees it. */
void request_reply_gerror(struct request *req, GError *err);

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
void batch_upload_free(struct batch_upload *up);
void admin_health(struct request *req);
void admin_ready(struct request *req);
void admin_metrics(struct request *req);
void admin_config_get(struct request *req);
void admin_config_put(struct request *req);
void admin_config_history(struct request *req);
void admin_status(struct request *req);
void admin_drain(struct request *req);

/** A call's caller is gone or has its answer. */
void request_release_call(struct request *req);

#endif

#ifndef SAVORYFLOW_GATEWAY_FRONT_BUDGET_H
#define SAVORYFLOW_GATEWAY_FRONT_BUDGET_H

#include "gateway/budget/budget_watch.h"
#include "gateway/front_internal.h"

/*
 * The budget of the server for callers. All functions do nothing if the server
 * has no budget.
 */

enum {
	/** Charged for each connection: its socket's and the HTTP library's
	 * structures, and the touched part of its 32 KiB buffer. */
	kFrontConnectionBytes = 24 * 1024,
};

/** For budget_watch: the debtors are connections of servers for callers. */
extern const struct budget_watch_ops front_budget_ops;

/** A connection is accepted; another one may be closed for it. */
void front_budget_open(struct front *fr, struct front_connection *peer);
void front_budget_closed(struct front *fr, struct front_connection *peer);

/** The first line of a request has arrived. */
void front_budget_begin(struct front_request *req);

/** The request has ended. */
void front_budget_end(struct front_request *req);

/**
 * The head has arrived. Refuses a request whose announced body exceeds the
 * limit.
 */
void front_budget_head(struct front_request *req);

/**
 * Charges a part of a body before it is kept.
 * @return false if it must not be consumed now: the connection is to be
 *         suspended
 */
bool front_budget_read(struct front_request *req, size_t len);

/** The request has been received completely. */
void front_budget_received(struct front_request *req);

/**
 * Charges bytes of a stream.
 * @return false if they cannot be kept: the answer is to be cut
 */
bool front_budget_stream(struct front_request *req, size_t len);

/** Charges an answer that is ready; it is kept in any case. */
void front_budget_reply(struct front_request *req, size_t len);

/** The caller's connection has taken bytes; left ones are still unread. */
void front_budget_sent(struct front_request *req, size_t len, size_t left);

/** Cuts an answer so that it cannot look complete; its bytes are dropped. */
void front_budget_cut(struct front_request *req);

/**
 * Refuses a request that has not been received completely, and sends nothing
 * else. No more of it is read; the connection is closed after a second.
 * @param code sf_error_code of an error that says that it did not run
 * @param why for the log
 */
void front_budget_refuse(struct front_request *req, int code, const char *why);

/**
 * @param len bytes of a refused request that have arrived
 * @return true if the connection is to be suspended, so that the client can
 *         read its refusal; false if it is to be closed
 */
bool front_budget_lingers(struct front_request *req, size_t len);

/** Closes refused connections that stay open, and drops waiting requests
 * whose callers have disconnected. */
void front_budget_check(struct front_request *req, bool has_disconnected);

#endif

#ifndef SAVORYFLOW_GATEWAY_ACCESS_H
#define SAVORYFLOW_GATEWAY_ACCESS_H

#include "gateway/dialect.h"
#include "gateway/front.h"

/*
 * Authentication of callers at the entry daemon: which team holds the key of a
 * request. Only configurations with teams ask for keys. A request that a peer
 * forwards has no key, but a proof of the team that the peer identified. Loop
 * only.
 */

/** Whom a request is attributed to. */
struct access_caller {
	/** Name of the team; empty: none. */
	char team[kFleetNameMax];
	/** The request is let in because of its key; false also for one that a
	 * peer forwards, which has identified the caller. */
	bool has_key;
	struct team_digest digest;
};

struct access_options {
	/** Whether the routes in force are the newest, as far as known: a key
	 * that they lack is refused for good. */
	bool (*is_current)(void *ctx);
	void *ctx;
};

struct access;

struct access *access_new(const struct access_options *opt);
void access_free(struct access *ac);

/**
 * Identifies the caller of a request; answers it if it is not let in. Without
 * a valid proof, a request counts as a caller's own, see front_is_forwarded.
 * @param book rules in force
 * @param is_public the request needs no key
 * @return false if the request was answered
 */
bool access_identify(struct access *ac, struct front_request *req,
    const struct dialect_call *call, const struct routebook *book,
    bool is_public, struct access_caller *caller);

/**
 * Removes the fields of a request that identify its caller and adds those of a
 * forwarded one.
 * @param dialect of the installation
 * @param book rules in force
 * @param attempt id of this sending
 * @param team of the caller; "": none
 */
void access_forward(struct header_list *headers,
    const struct dialect_ops *dialect, const struct routebook *book,
    const struct front_request *req, const char *attempt, const char *team);

#endif

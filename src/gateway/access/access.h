#ifndef SAVORYFLOW_GATEWAY_ACCESS_H
#define SAVORYFLOW_GATEWAY_ACCESS_H

#include "gateway/dialect.h"
#include "gateway/freshness/proof_exchange.h"
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
	/** Version of the row whose keys let it in. */
	int64_t row_version;
	/** The key, in the request's headers. */
	const char *key;
	size_t key_len;
};

/** Whether a request that was let in may still be sent. */
enum access_verdict {
	kAccessAllowed,
	/** Its key may have been revoked: no recent read shows that it was
	 * not. */
	kAccessStale,
	/** The same, but a read is under way. */
	kAccessUncertain,
	/** Its team does not hold the key any more. */
	kAccessRevoked,
};

struct access_options {
	/** Whether the routes in force are the newest, as far as known: a key
	 * that they lack is refused for good. */
	bool (*is_current)(void *ctx);
	/** The routes in force. */
	const struct routebook *(*routes)(void *ctx);
	/** A request that was held is to be served anew. */
	void (*resume)(void *ctx, struct front_request *req);
	void *ctx;
	/** NULL: revocations need not take effect within a bound. */
	struct proof_exchange *proofs;
};

struct access;

struct access *access_new(const struct access_options *opt);
void access_free(struct access *ac);

/**
 * Identifies the caller of a request; answers it if it is not let in, or holds
 * it for a moment until that is certain. Without a valid proof of a peer, a
 * request counts as a caller's own, see front_is_forwarded.
 * @param book rules in force
 * @param is_public the request needs no key
 * @return false if the request was answered, or is held
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
/** Asked immediately before a request is sent to a target. */
enum access_verdict access_check(
    struct access *ac, const struct access_caller *caller);

/** Answers a request that access_check refused and that did not run. */
void access_refuse(struct access *ac, struct front_request *req,
    const char *attempt_id, enum access_verdict verdict);

#endif

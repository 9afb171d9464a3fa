#ifndef SAVORYFLOW_GATEWAY_JOBS_FORWARD_H
#define SAVORYFLOW_GATEWAY_JOBS_FORWARD_H

#include "gateway/jobs_internal.h"

/**
 * A request about a job that is forwarded to a peer, as the store does not
 * answer this daemon. If the first peer does not answer either, a second one is
 * tried: all requests about jobs are idempotent.
 */
struct job_forward;

struct job_forward_options {
	struct jobs *js;
	struct front_request *req;
	const char *id;
	/** The peer's answer was passed to the caller. */
	void (*on_answered)(void *ctx);
	/** No peer answered, and neither was the caller. `may_have_executed`: a
	 * peer may have executed the request. */
	void (*on_failed)(void *ctx, bool may_have_executed);
	void *ctx;
};

/**
 * Forwards a request.
 * @return NULL if no peer is known to reach the store, or if the request was
 *         forwarded to this daemon
 */
struct job_forward *job_forward_start(const struct job_forward_options *opt);

/** True if a request may be forwarded to a peer. */
bool job_forward_is_allowed(const struct front_request *req);

/** Leaves the caller to the forward, which answers also if it fails. */
void job_forward_detach(struct job_forward *fwd);

/** Cancels the forward; the caller is not answered. */
void job_forward_cancel(struct job_forward *fwd);

#endif

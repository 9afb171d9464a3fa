#ifndef SAVORYFLOW_GATEWAY_JOBS_FORWARD_H
#define SAVORYFLOW_GATEWAY_JOBS_FORWARD_H

#include "gateway/jobs_internal.h"
#include "store/change.h"

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
	/** Team of the caller; NULL or "": none. Copied. */
	char *team;
	/** The peer's answer was passed to the caller. */
	void (*on_answered)(void *ctx);
	/** Copies of the request that were sent before. */
	struct store_change change;
	/** No peer answered, and neither was the caller.
	 * @param change the copies that peers may have executed included */
	void (*on_failed)(void *ctx, const struct store_change *change);
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

/**
 * Leaves the caller to the forward, which answers also if it fails.
 * @param change copies of the request that were sent otherwise
 */
void job_forward_detach(
    struct job_forward *fwd, const struct store_change *change);

/**
 * Cancels the forward; the caller is not answered.
 * @param change the copies that peers may execute are added; NULL if nobody is
 *        told of the outcome
 */
void job_forward_cancel(struct job_forward *fwd, struct store_change *change);

#endif

#ifndef SAVORYFLOW_GATEWAY_JOBS_FORWARD_H
#define SAVORYFLOW_GATEWAY_JOBS_FORWARD_H

#include "gateway/jobs_internal.h"

/**
 * A request about a job that a peer answers, since the store does not answer
 * this daemon. If the first peer does not answer either, a second one is asked:
 * all requests about jobs are idempotent.
 */
struct job_forward;

struct job_forward_options {
	struct jobs *js;
	struct front_request *req;
	/** Id of the job. */
	const char *id;
	/** The request was answered with what the peer said. */
	void (*on_answered)(void *ctx);
	/** No peer answered; the request is not answered. If `may_have_done`,
	 * a peer may have done what it asks for. */
	void (*on_failed)(void *ctx, bool may_have_done);
	void *ctx;
};

/**
 * Passes a request on.
 * @return NULL if no peer is known that reaches the store, or if the request
 *         was passed on already
 */
struct job_forward *job_forward_start(const struct job_forward_options *opt);

/** True if a request may be passed on to a peer. */
bool job_forward_may(const struct front_request *req);

/** Leaves the request to the forward alone: it answers, also if it fails. */
void job_forward_detach(struct job_forward *fwd);

/** Ends it without an answer. */
void job_forward_cancel(struct job_forward *fwd);

#endif

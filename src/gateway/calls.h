#ifndef SAVORYFLOW_GATEWAY_CALLS_H
#define SAVORYFLOW_GATEWAY_CALLS_H

#include "gateway/crash_guard.h"
#include "gateway/front.h"
#include "gateway/relay.h"
#include "savoryflow/retry/suspects.h"

/** Online requests of callers, from the route to the answer. Loop only. */
struct calls;

struct calls_options {
	struct relay_deps deps;
	struct suspects *suspects;
	struct crash_guard *guard;
	/** Notifies the peers that a run of a request was interrupted, and
	 * whether this quarantines the request. */
	void (*notify_run_interrupted)(
	    void *ctx, uint64_t fingerprint, bool is_quarantined);
	void *ctx;
};

struct calls *calls_new(const struct calls_options *opt);

/** Does not cancel requests that still run. */
void calls_free(struct calls *cs);

/** Serves a request of a route; it is answered in all cases. */
void calls_serve(struct calls *cs, struct front_request *req,
    const struct dialect_call *call, const struct routebook_route *route);

#endif

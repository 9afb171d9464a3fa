#ifndef SAVORYFLOW_GATEWAY_CALLS_H
#define SAVORYFLOW_GATEWAY_CALLS_H

#include "gateway/crash_guard.h"
#include "gateway/front.h"
#include "gateway/relay.h"

/** Online requests of callers, from the route to the answer. Loop only. */
struct calls;

struct calls_options {
	struct relay_deps deps;
	struct crash_guard *guard;
};

struct calls *calls_new(const struct calls_options *opt);

/** Does not cancel requests that still run. */
void calls_free(struct calls *cs);

/** Serves a request of a route; it is answered in all cases. */
void calls_serve(struct calls *cs, struct front_request *req,
    const struct dialect_call *call, const struct routebook_route *route);

#endif

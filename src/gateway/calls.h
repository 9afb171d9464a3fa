#ifndef SAVORYFLOW_GATEWAY_CALLS_H
#define SAVORYFLOW_GATEWAY_CALLS_H

#include "gateway/front.h"
#include "gateway/relay.h"

/** Online requests of callers, from the route to the answer. Loop only. */
struct calls;

struct calls *calls_new(const struct relay_parts *parts);

/** Leaves what still runs. */
void calls_free(struct calls *cs);

/** Serves a request of a route; answers it in any case. */
void calls_serve(struct calls *cs, struct front_request *req,
    const struct dialect_call *call, const struct routebook_route *route);

#endif

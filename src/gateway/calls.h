#ifndef SAVORYFLOW_GATEWAY_CALLS_H
#define SAVORYFLOW_GATEWAY_CALLS_H

#include "gateway/access/access.h"
#include "gateway/allowance/allowance.h"
#include "gateway/crash_guard.h"
#include "gateway/front.h"
#include "gateway/relay.h"
#include "savoryflow/drain/drain_plan.h"

/** Online requests of callers, from the route to the answer. Loop only. */
struct calls;

/** Who sent a request. */
struct calls_caller {
	struct access_caller access;
	/** The configuration has teams. */
	bool has_teams;
	struct routebook_claim claim;
};

struct calls_options {
	struct relay_deps deps;
	struct crash_guard *guard;
	struct access *access;
	struct allowance *allowance;
};

struct calls *calls_new(const struct calls_options *opt);

/** Does not cancel requests that still run. */
void calls_free(struct calls *cs);

/** Serves a request of a route; it is answered in all cases. */
void calls_serve(struct calls *cs, struct front_request *req,
    const struct dialect_call *call, const struct routebook_route *route,
    const struct calls_caller *caller);

/** When a request of a route has an answer at the latest. */
int64_t calls_answer_deadline_us(const struct front_request *req,
    const struct dialect_call *call, const struct routebook_route *route);

/**
 * The daemon stops: requests that are not at a target, and cannot end in time
 * if they begin later, are refused when that is certain.
 */
void calls_begin_drain(struct calls *cs, const struct drain_plan *plan);

/** Ends all requests: what did not reach a target is refused. */
void calls_give_up(struct calls *cs);

#endif

#ifndef SAVORYFLOW_GATEWAY_CRASH_GUARD_H
#define SAVORYFLOW_GATEWAY_CRASH_GUARD_H

#include "gateway/dialect.h"
#include "gateway/relay.h"

struct crash_guard_options {
	struct loop *lp;
};

/** Finds out whether runs were lost because their targets ended. Loop only. */
struct crash_guard;

struct crash_guard *crash_guard_new(const struct crash_guard_options *opt);
void crash_guard_free(struct crash_guard *cg);

/**
 * Records a run that was interrupted before its answer began.
 * @param request attempt id, for the log
 */
void crash_guard_on_lost_run(struct crash_guard *cg, const char *request,
    const struct prompt_parts *parts, const struct relay_lost_run *run);

#endif

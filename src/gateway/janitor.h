#ifndef SAVORYFLOW_GATEWAY_JANITOR_H
#define SAVORYFLOW_GATEWAY_JANITOR_H

#include "gateway/offload.h"
#include "gateway/roster.h"

struct janitor_options {
	struct loop *lp;
	struct offload *offload;
	const struct store *store;
	const struct roster *roster;
	const char *address;
	int64_t period_us;
	/** Time for which a finished job is kept, counted from its
	 * submission. */
	int64_t retention_us;
};

/** Removes finished jobs from the store; one daemon is elected for this. */
struct janitor;

struct janitor *janitor_new(const struct janitor_options *opt);
void janitor_free(struct janitor *jn);

#endif

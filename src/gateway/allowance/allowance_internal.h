#ifndef SAVORYFLOW_GATEWAY_ALLOWANCE_INTERNAL_H
#define SAVORYFLOW_GATEWAY_ALLOWANCE_INTERNAL_H

#include "gateway/allowance/allowance.h"

/* Internal to the allowance module. */

struct allowance {
	struct allowance_options opt;
	struct limit_exchange *ex;
	/** The version whose teams are in `teams`. */
	struct routebook *book;
	/** struct allowance_team by hash of the name: teams with a limit. */
	GHashTable *teams;
	/** struct allowance_wait by id. */
	GHashTable *waits;
	uint64_t next_id;
	/** Some team has, or had, a limit. */
	bool has_limits;
	/** Time at which a daemon that knows no peers is taken to be alone. */
	int64_t alone_us;
	bool is_flush_posted;
	uint64_t timer;
	/** When the timer runs, on the loop's clock. */
	int64_t due_us;
	bool was_tied;
};

/** Sends the requests and answers that are due, once this iteration of the
 * loop is over. */
void allowance_post_flush(struct allowance *al);

/* allowance_wire.c */

void allowance_send_ask(
    struct allowance *al, const char *to, const struct limit_ask *ask);
void allowance_send_lease(
    struct allowance *al, const char *to, const struct limit_lease *lease);

#endif

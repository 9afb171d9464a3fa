#ifndef SAVORYFLOW_GATEWAY_MEMBERS_H
#define SAVORYFLOW_GATEWAY_MEMBERS_H

#include "gateway/jobs.h"
#include "gateway/offload.h"
#include "gateway/roster.h"

struct members_options {
	struct loop *lp;
	struct offload *offload;
	const struct store *store;
	struct roster *roster;
	struct jobs *jobs;
	struct roster_row self;
	/** The store answered, or did not. */
	void (*on_store)(void *ctx, bool is_up);
	/** The roster was read. */
	void (*on_roster)(void *ctx, const struct roster_changes *changes);
	/** This daemon's row is removed. */
	void (*on_left)(void *ctx);
	void *ctx;
};

/**
 * The periodic look at the store: this daemon's heartbeat, the other daemons,
 * and the open jobs of daemons that are gone. Loop only.
 */
struct members;

struct members *members_new(const struct members_options *opt);
void members_free(struct members *mb);

/** Looks at once: a daemon has left its jobs. */
void members_poll_now(struct members *mb);

/** Removes this daemon's row, so that others take its jobs at once. */
void members_leave(struct members *mb);

#endif

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
	/** Called after each poll with whether the store answered. */
	void (*on_store)(void *ctx, bool is_up);
	/** Called after the roster was read. */
	void (*on_roster)(void *ctx, const struct roster_changes *changes);
	/** Called after this daemon's row was removed. */
	void (*on_left)(void *ctx);
	void *ctx;
};

/**
 * Periodic polls of the store: writes this daemon's heartbeat, reads the roster
 * and takes over open jobs of daemons that are down. Must be used on the event
 * loop only.
 */
struct members;

struct members *members_new(const struct members_options *opt);
void members_free(struct members *mb);

/** Polls without delay, as a leaving daemon has handed its jobs over. */
void members_poll_now(struct members *mb);

/** Removes this daemon's row, so that others take its jobs over at once. */
void members_leave(struct members *mb);

#endif

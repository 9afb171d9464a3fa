#ifndef SAVORYFLOW_GATEWAY_VIEW_H
#define SAVORYFLOW_GATEWAY_VIEW_H

#include "gateway/dialect.h"
#include "gateway/loop.h"
#include "gateway/roster.h"
#include "gateway/slots.h"

struct view_options {
	struct loop *lp;
	struct roster *roster;
	/** Seed peers, IP:PORT separated by commas, for a daemon that starts
	 * while the store is unreachable. */
	const char *seed_peers;
	const char *address;
	const char *data_center;
	const struct slots_wire_ops *wire;
	void *wire_ctx;
	const struct adapter_ops *adapter;
	struct watch *watch;
	/** The roster has changed by what a peer knows. */
	void (*on_roster)(void *ctx, const struct roster_changes *changes);
	void *ctx;
};

/**
 * Fetches the installation's lists from peers while this daemon cannot read
 * them from the store, and the daemons if it knows none. The higher version of
 * a row wins. Must be used on the event loop only.
 */
struct view_exchange;

struct view_exchange *view_exchange_new(const struct view_options *opt);
void view_exchange_free(struct view_exchange *vx);

/** Sets whether the lists cannot be read from the store. */
void view_exchange_set_store_unreachable(
    struct view_exchange *vx, bool is_store_unreachable);

/** Asks a peer for the rows that this daemon lacks. */
void view_exchange_fetch(struct view_exchange *vx, const char *peer);

/** Handles a peer's request for rows, and the rows it sends. */
void view_exchange_on_view(
    struct view_exchange *vx, const char *from, const Sfpeer__View *view);

#endif

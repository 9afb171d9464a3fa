#ifndef SAVORYFLOW_GATEWAY_VIEW_H
#define SAVORYFLOW_GATEWAY_VIEW_H

#include "gateway/dialect.h"
#include "gateway/loop.h"
#include "gateway/roster.h"
#include "gateway/slots.h"

struct view_options {
	struct loop *lp;
	struct roster *roster;
	/** First peers, IP:PORT separated by commas: for a daemon that starts
	 * without the store. */
	const char *first_peers;
	const char *address;
	const struct slots_wire_ops *wire;
	void *wire_ctx;
	const struct adapter_ops *adapter;
	struct watch *watch;
};

/**
 * Lets a daemon that cannot read the installation's lists take them from its
 * peers. The higher version of a row wins. Loop only.
 */
struct view_exchange;

struct view_exchange *view_exchange_new(const struct view_options *opt);
void view_exchange_free(struct view_exchange *vx);

/** This daemon cannot read the lists, or can again. */
void view_exchange_set_store_unreachable(
    struct view_exchange *vx, bool is_blind);

/** A peer asks for rows or tells its own. */
void view_exchange_on_view(
    struct view_exchange *vx, const char *from, const Sfpeer__View *view);

#endif

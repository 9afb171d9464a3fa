#ifndef SAVORYFLOW_GATEWAY_GATEWAY_INTERNAL_H
#define SAVORYFLOW_GATEWAY_GATEWAY_INTERNAL_H

#include "gateway/calls.h"
#include "gateway/gateway.h"
#include "gateway/janitor.h"
#include "gateway/members.h"
#include "gateway/view.h"
#include "peer/peer.h"

/* Shared by the files of the gateway itself; its parts know only what their
 * options give them. */

enum {
	/* The balancer needs two looks, one a second, to notice. Afterwards
	 * new requests are turned away, so that all that were taken can be
	 * finished. */
	kGatewayBalancerNoticeUs = 2500 * kUsPerMs,
};

struct gateway {
	struct settings *set;
	const struct adapter_ops *adapter;
	const struct clock_source *clk;
	struct loop *lp;
	struct store *store;
	struct offload *offload;
	struct watch *watch;
	struct peer *peer;
	struct outbound *outbound;
	struct fleet *fleet;
	struct roster *roster;
	struct slots *slots;
	struct target_activity *activity;
	struct suspects *suspects;
	struct calls *calls;
	struct jobs *jobs;
	struct members *members;
	struct janitor *janitor;
	struct view_exchange *view;
	struct front *front;
	struct front *ready;
	struct front *metrics;
	struct routebook *routes;
	struct roster_row self;
	int signal_fd;
	uint64_t housekeeping;
	bool is_store_up;
	/** Time of the store's last answer. */
	int64_t store_seen_us;
	/** Time since which the store answers; entries may be missing. */
	int64_t store_back_us;
	/** The pools are about to look at the targets. */
	bool is_settling;
	int64_t greeted_us;
	bool is_leaving;
	int64_t leaving_us;
	bool has_left_roster;
};

/** The list of targets has changed. */
void gateway_targets_changed(struct gateway *gw);

/** The store answers, or does no longer. */
void gateway_note_store(struct gateway *gw, bool is_up);

extern const struct watch_ops gateway_watch_ops;
extern const struct front_ops gateway_front_ops;
extern const struct front_ops gateway_ready_ops;
extern const struct front_ops gateway_metrics_ops;

#endif

#ifndef SAVORYFLOW_GATEWAY_GATEWAY_INTERNAL_H
#define SAVORYFLOW_GATEWAY_GATEWAY_INTERNAL_H

#include "gateway/access/access.h"
#include "gateway/allowance/allowance.h"
#include "gateway/budget/budget_watch.h"
#include "gateway/calls.h"
#include "gateway/contact_exchange.h"
#include "gateway/gateway.h"
#include "gateway/janitor.h"
#include "gateway/members.h"
#include "gateway/quota.h"
#include "gateway/view.h"
#include "peer/peer.h"
#include "savoryflow/drain/drain_plan.h"

/* Shared by gateway*.c. All other modules know only what their options give
 * them. */

enum {
	/* The load balancer needs two health checks, one a second, to detect a
	 * draining daemon. */
	kGatewayBalancerDetectUs = 2500 * kUsPerMs,
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
	struct crash_guard *guard;
	struct access *access;
	/** NULL: revocations need not take effect within a bound. */
	struct proof_exchange *proofs;
	struct allowance *allowance;
	struct calls *calls;
	struct jobs *jobs;
	struct members *members;
	struct janitor *janitor;
	struct view_exchange *view;
	struct contact_exchange *contact;
	struct quota *quota;
	/** int64_t: time of the last reconnect, by peer. */
	GHashTable *reconnects;
	/** Memory for callers; NULL: no limit. */
	struct budget *budget;
	struct budget_options budget_opt;
	struct budget_watch *budget_watch;
	struct front *front;
	/** When the server for callers stopped. */
	struct front_counts front_counts;
	struct front *ready;
	struct front *metrics;
	struct routebook *routes;
	struct roster_row self;
	int signal_fd;
	uint64_t housekeeping;
	bool is_store_up;
	/** Time of the store's last answer. */
	int64_t store_answered_us;
	/** Time of the store's last recovery; entries may be missing. */
	int64_t store_recovered_us;
	/** An update of the pools is posted to the loop. */
	bool is_pool_update_pending;
	int64_t settings_checked_us;
	/** The lists at the store are readable. */
	bool is_watch_up;
	/** The complete list of targets has been read. */
	bool has_target_list;
	bool is_draining;
	/** Nothing can be forwarded any more. */
	bool is_stopping;
	/** While is_draining is set. */
	struct drain_plan drain;
	uint64_t drain_timer;
	bool has_left_roster;
};

/** Schedules an update of the pools: the list of targets has changed. */
void gateway_targets_changed(struct gateway *gw);

/** Records whether the store answers; logs changes. */
void gateway_record_store_state(struct gateway *gw, bool is_up);

/** Serves a request, also one that was held. */
void gateway_serve(void *ctx, struct front_request *req);

/* gateway_peers.c */

/** Sends the contacts of this data centre to the neighbours, if due. */
void gateway_send_contacts(struct gateway *gw);

/** Notifies those who depend on this daemon that it stops soon. */
void gateway_notify_draining(struct gateway *gw);

/** This daemon's row was removed: its successors may take its jobs over. */
void gateway_notify_left(void *ctx);

/**
 * Notifies the daemon that runs a job that it was ended.
 * @param owner session of that daemon
 */
void gateway_notify_job_ended(void *ctx, const char *id, const char *owner);

/** A target said in an answer that it leaves: notifies its arbiter. */
void gateway_on_target_leaving(void *ctx, const char *id, int64_t started_ms);

extern const struct slots_wire_ops gateway_wire_ops;
extern const struct peer_ops gateway_peer_ops;
extern const struct watch_ops gateway_watch_ops;
extern const struct front_ops gateway_front_ops;
extern const struct front_ops gateway_ready_ops;
extern const struct front_ops gateway_metrics_ops;

#endif

#ifndef SAVORYFLOW_SERVE_ROUTES_H
#define SAVORYFLOW_SERVE_ROUTES_H

#include "savoryflow/routing/routing_defs.h"
#include "serve/daemon.h"

/** The target chosen for an attempt, copied out of the table. */
struct route {
	char target[kMemberAddressMax];
	char url[256];
	char arbiter[kMemberAddressMax];
	bool is_engine;
	int32_t slots;
	/** Live daemons, this one included. */
	int32_t daemons;
};

/** Membership and routing tables of the daemon, under one lock. */
struct routes;

struct routes *routes_new(struct daemon *d);
void routes_free(struct routes *rs);

/** Chooses a target. @return false if there is none for the service now */
bool routes_choose(
    struct routes *rs, struct routing_query *query, struct route *route);

bool routes_has_service(struct routes *rs, const char *service);

enum route_outcome {
	kRouteComplete,
	kRouteFailed,
	/** The target takes no connections. */
	kRouteUnreachable,
};

/** Outcome of an attempt at a target. */
void routes_record_outcome(
    struct routes *rs, const char *target, enum route_outcome outcome);

/** Load of a target as its arbiter says it. */
void routes_record_load(struct routes *rs, const char *target, int64_t load_us);

/** A target, by name or URL, is leaving or is back; tells peers if asked. */
void routes_set_leaving(
    struct routes *rs, const char *target, bool is_leaving, bool tell_peers);

/** Calls fn for each target; the lock is held, the target borrowed. */
typedef void (*routes_target_fn)(void *ctx, const struct routing_target *t);
void routes_each_target(struct routes *rs, routes_target_fn fn, void *ctx);

/** Copies target data by name. @return false if there is no such target */
bool routes_target(struct routes *rs, const char *name, struct route *route,
    int64_t *tail_budget_us);

/** Peer address of the daemon that owns a key among all daemons. */
void routes_owner(struct routes *rs, const char *key, char *address);

int32_t routes_daemon_count(struct routes *rs);

/** Addresses of some random live peers; new array of strings. */
GPtrArray *routes_random_peers(struct routes *rs, int32_t most);

/** True if the address is that of a live peer or of this daemon. */
bool routes_is_alive(struct routes *rs, const char *address);

/** The configuration in force has changed. */
void routes_config_changed(struct routes *rs);

void routes_on_gossip(
    struct routes *rs, const char *from, const Sfpeer__Gossip *gossip);
void routes_on_vms(struct routes *rs, const GPtrArray *vms);
void routes_tick(struct routes *rs);

/** Tells peers that this daemon leaves. */
void routes_leave(struct routes *rs);

/** Members as a JSON array for operators. */
json_t *routes_status(struct routes *rs);

#endif

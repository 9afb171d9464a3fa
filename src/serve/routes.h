#ifndef SAVORYFLOW_SERVE_ROUTES_H
#define SAVORYFLOW_SERVE_ROUTES_H

#include "savoryflow/routing/routing_defs.h"
#include "serve/daemon.h"

/** The target chosen for an attempt, copied from the routing table. */
struct route {
	char target[kMemberAddressMax];
	char url[256];
	char arbiter[kMemberAddressMax];
	bool is_engine;
	int32_t slots;
	/** Number of live daemons, including this one. */
	int32_t daemons;
};

/** Membership and routing tables of the daemon, protected by one lock. */
struct routes;

struct routes *routes_new(struct daemon *d);
void routes_free(struct routes *rs);

/** Chooses a target. @return false if the service has no available target */
bool routes_choose(
    struct routes *rs, struct routing_query *query, struct route *route);

/** Like routes_choose, but never the excluded target. */
bool routes_choose_other(
    struct routes *rs, struct routing_query *query, struct route *route);

bool routes_has_service(struct routes *rs, const char *service);

enum route_outcome {
	kRouteComplete,
	kRouteFailed,
	/** The target does not accept connections. */
	kRouteUnreachable,
};

/** Records the outcome of an attempt at a target. */
void routes_record_outcome(
    struct routes *rs, const char *target, enum route_outcome outcome);

/** Records a target's load as reported by its arbiter. */
void routes_record_load(struct routes *rs, const char *target, int64_t load_us);

/**
 * Marks a target, given by name or URL, as leaving or as available again.
 * @param notify_peers notifies some peers if it starts to leave
 */
void routes_set_leaving(
    struct routes *rs, const char *target, bool is_leaving, bool notify_peers);

/** Called for each target with the lock held; the target is borrowed. */
typedef void (*routes_target_fn)(void *ctx, const struct routing_target *t);
void routes_each_target(struct routes *rs, routes_target_fn fn, void *ctx);

/** Copies a target's data by name. @return false if there is no such target */
bool routes_target(struct routes *rs, const char *name, struct route *route,
    int64_t *tail_budget_us);

/**
 * Finds the daemon that owns a key.
 * @param address receives its peer address, kMemberAddressMax bytes
 */
void routes_owner(struct routes *rs, const char *key, char *address);

int32_t routes_daemon_count(struct routes *rs);

/** @return new array with the addresses of up to max random live peers */
GPtrArray *routes_random_peers(struct routes *rs, int32_t max);

/** @return true if the address is that of a live peer or of this daemon */
bool routes_is_alive(struct routes *rs, const char *address);

/** Rebuilds the routing table after a change of the configuration. */
void routes_config_changed(struct routes *rs);

void routes_on_gossip(
    struct routes *rs, const char *from, const Sfpeer__Gossip *gossip);
void routes_on_vms(struct routes *rs, const GPtrArray *vms);
void routes_tick(struct routes *rs);

/** Announces to peers that this daemon leaves. */
void routes_leave(struct routes *rs);

/** @return members as a JSON array for operators */
json_t *routes_status(struct routes *rs);

#endif

#ifndef SAVORYFLOW_ROUTING_H
#define SAVORYFLOW_ROUTING_H

#include "savoryflow/config/config.h"
#include "savoryflow/routing/routing_defs.h"

/*
 * Choice of the target of a request, and of the arbiter of a target.
 * Choosing takes logarithmic time in the number of targets. No I/O, no clock.
 */
struct routing;

struct routing *routing_new(const struct routing_location *place);
void routing_free(struct routing *rt);

/**
 * Takes a configuration and the live daemons, this one included. What is
 * known of targets that stay is kept.
 * @param daemons array of struct routing_daemon
 */
void routing_rebuild(
    struct routing *rt, const struct config *cfg, const GArray *daemons);

/** True if the service is in the configuration. */
bool routing_has_service(const struct routing *rt, const char *service);

/**
 * Chooses a target: of two candidates by prefix and hash the one with the
 * lower expected cost; near ones first.
 * @return NULL if no target of the service may be given work
 */
struct routing_target *routing_choose(
    struct routing *rt, const struct routing_query *query);

/** A target by name or by URL; NULL if there is none. */
struct routing_target *routing_find(struct routing *rt, const char *name);
struct routing_target *routing_find_url(struct routing *rt, const char *url);

/** Array of struct routing_target *, borrowed. */
GPtrArray *routing_targets(struct routing *rt);

/** A target's answer was whole: it is healthy. @return true if it was not */
bool routing_record_success(struct routing_target *target);

/**
 * A target failed an answer. It is ejected after some failures one after the
 * other, or at once if it takes no connections.
 * @return true if it is ejected by this
 */
bool routing_record_failure(
    struct routing_target *target, bool is_unreachable, int64_t now_us);

/** Takes the load of a target as its arbiter or its report says it. */
void routing_record_load(
    struct routing_target *target, int64_t first_token_us, int64_t now_us);

#endif

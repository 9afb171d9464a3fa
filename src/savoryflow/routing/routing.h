#ifndef SAVORYFLOW_ROUTING_H
#define SAVORYFLOW_ROUTING_H

#include "savoryflow/config/config.h"
#include "savoryflow/routing/routing_defs.h"

/*
 * Selects the target of a request and the arbiter of a target. Selection takes
 * logarithmic time in the number of targets. No I/O, no clock.
 */
struct routing;

struct routing *routing_new(const struct routing_location *place);
void routing_free(struct routing *rt);

/**
 * Applies a configuration and the live daemons, including this one. The load
 * and health of targets that remain with the same URL are kept.
 * @param daemons array of struct routing_daemon
 */
void routing_rebuild(
    struct routing *rt, const struct config *cfg, const GArray *daemons);

/** True if the service is in the configuration. */
bool routing_has_service(const struct routing *rt, const char *service);

/**
 * Chooses the cheaper of two candidates, one by the hash of the prompt prefix
 * and one pseudo-random; distance adds to the cost.
 * @return NULL if no target of the service is eligible
 */
struct routing_target *routing_choose(
    struct routing *rt, const struct routing_query *query);

/** A target by name or by URL; NULL if there is none. */
struct routing_target *routing_find(struct routing *rt, const char *name);
struct routing_target *routing_find_url(struct routing *rt, const char *url);

/** Array of struct routing_target *, borrowed. */
GPtrArray *routing_targets(struct routing *rt);

/** Records a complete answer. @return true if the target had been ejected */
bool routing_record_success(struct routing_target *target);

/**
 * Records a failed answer. The target is ejected after several
 * consecutive failures, or immediately if it accepts no connections.
 * @return true if this failure ejects it
 */
bool routing_record_failure(
    struct routing_target *target, bool is_unreachable, int64_t now_us);

/** Records a target's load as reported by its arbiter or by itself. */
void routing_record_load(
    struct routing_target *target, int64_t first_token_us, int64_t now_us);

#endif

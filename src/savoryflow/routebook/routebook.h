#ifndef SAVORYFLOW_ROUTEBOOK_H
#define SAVORYFLOW_ROUTEBOOK_H

#include "savoryflow/routebook/routebook_defs.h"

/** New empty version with one reference; must be filled before sharing. */
struct routebook *routebook_new(int64_t version);
struct routebook *routebook_ref(struct routebook *book);
void routebook_unref(struct routebook *book);

/** Adds an empty route, to be filled in by the caller. */
struct routebook_route *routebook_add_route(struct routebook *book);
void routebook_add_share(
    struct routebook_route *route, const char *service, int32_t weight);
struct routebook_service *routebook_add_service(
    struct routebook *book, const char *name);

/**
 * Finds the route of a request: the host's route with the longest prefix that
 * matches the path.
 * @return NULL if none matches
 */
const struct routebook_route *routebook_find(
    const struct routebook *book, const char *host, const char *path);

/** Picks the service for a request of the route, by weight. */
const char *routebook_pick_service(
    const struct routebook_route *route, uint64_t random);

/** Whether a request of the route may be sent to a second target. */
bool routebook_is_repeatable(const struct routebook_route *route);

#endif

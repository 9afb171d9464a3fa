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
 * From now on, requests of routes that are not public need a key.
 * @param secret of the keys' digests, kTeamDigestBytes bytes
 */
void routebook_require_keys(struct routebook *book, const uint8_t *secret);

/** Adds a team, to be filled in by the caller; an existing one is returned.
 * The routebook must require keys. */
struct routebook_team *routebook_add_team(
    struct routebook *book, const char *name);

/** @return NULL if the team is unknown */
const struct routebook_team *routebook_team(
    const struct routebook *book, const char *name);

/**
 * The claim of a team's request to a scarce pool: its weight is the team's
 * rate, and the team's priority precedes that of the route. Without teams all
 * claims are equal.
 * @param team "": none
 */
struct routebook_claim routebook_claim_of(const struct routebook *book,
    const struct routebook_route *route, const char *team);

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

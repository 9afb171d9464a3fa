#ifndef SAVORYFLOW_MEMBERSHIP_H
#define SAVORYFLOW_MEMBERSHIP_H

#include "savoryflow/membership/membership_defs.h"

/*
 * Failure detection among daemons: each pings one member per period, directly
 * and then through two others. Changes are disseminated with these messages.
 * Does no I/O and reads no clock.
 */

struct membership *membership_new(const struct membership_options *opt);
void membership_free(struct membership *ms);

/** Adds an address to ping. Its state is unknown until it answers. */
void membership_seed(
    struct membership *ms, const char *address, int64_t now_us);

/**
 * Runs the timers for pings, suspicions and expiry of members.
 * @param out receives struct member_message *, owned by the array
 */
void membership_tick(struct membership *ms, int64_t now_us, GPtrArray *out);

/** Handles a message; replies are appended to out. */
void membership_receive(struct membership *ms, const struct member_message *msg,
    int64_t now_us, GPtrArray *out);

/**
 * Marks this daemon as leaving and appends messages that notify some members.
 */
void membership_leave(struct membership *ms, int64_t now_us, GPtrArray *out);

/**
 * Marks a member as down that the platform no longer lists, unless a message
 * from it arrived recently.
 */
void membership_remove(
    struct membership *ms, const char *address, int64_t now_us);

/** Incremented whenever the set of usable members changes. */
uint64_t membership_epoch(const struct membership *ms);

/** Returns a member, valid until the next call, or NULL. */
const struct member *membership_find(
    const struct membership *ms, const char *address);

/**
 * Returns all members except this daemon, in any state, in a new array. Members
 * are borrowed.
 */
GPtrArray *membership_list(const struct membership *ms);

/** Number of members that may be given work, excluding this daemon. */
int32_t membership_usable_count(const struct membership *ms);

/** True if a member may be given work. */
bool membership_is_usable(const struct member *m);

/** Random number below n, reproducible from the seed. */
uint32_t membership_random(struct membership *ms, uint32_t n);

/** New array for messages, which owns them. */
GPtrArray *membership_messages_new(void);

/** New message; free with membership_message_free. */
struct member_message *membership_message_new(void);
void membership_message_free(void *msg);

#endif

#ifndef SAVORYFLOW_MEMBERSHIP_H
#define SAVORYFLOW_MEMBERSHIP_H

#include "savoryflow/membership/membership_defs.h"

/*
 * Which daemons are alive: each pings one member a period, directly and then
 * through two others; changes travel on those messages. No I/O, no clock.
 */

struct membership *membership_new(const struct membership_options *opt);
void membership_free(struct membership *ms);

/** Adds an address to be tried; nothing is believed of it yet. */
void membership_seed(
    struct membership *ms, const char *address, int64_t now_us);

/**
 * Moves the time on: pings, suspicions, forgetting.
 * @param out receives struct member_message *, owned by the array
 */
void membership_tick(struct membership *ms, int64_t now_us, GPtrArray *out);

/** Takes one message; answers are appended to out. */
void membership_receive(struct membership *ms, const struct member_message *msg,
    int64_t now_us, GPtrArray *out);

/** Messages that tell some members that this daemon leaves. */
void membership_leave(struct membership *ms, int64_t now_us, GPtrArray *out);

/** Removes a member that the platform says is long gone. */
void membership_remove(
    struct membership *ms, const char *address, int64_t now_us);

/** Grows whenever the set of usable members changes. */
uint64_t membership_epoch(const struct membership *ms);

/** The member with this address, or NULL. Valid until the next call. */
const struct member *membership_find(
    const struct membership *ms, const char *address);

/** All members but this daemon, in any state. New array; members borrowed. */
GPtrArray *membership_list(const struct membership *ms);

/** Members that may be given work, this daemon not counted. */
int32_t membership_alive_count(const struct membership *ms);

/** True for a member that may be given work. */
bool membership_is_usable(const struct member *m);

/** Number below n from the aggregate's own generator. */
uint32_t membership_random(struct membership *ms, uint32_t n);

/** New array for messages, which frees them. */
GPtrArray *membership_messages_new(void);

/** New message; free with membership_message_free. */
struct member_message *membership_message_new(void);
void membership_message_free(void *msg);

#endif

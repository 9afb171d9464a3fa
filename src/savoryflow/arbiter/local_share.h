#ifndef SAVORYFLOW_LOCAL_SHARE_H
#define SAVORYFLOW_LOCAL_SHARE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Online admission while no arbiter answers: each daemon uses its part of the
 * target's slots, so that all daemons together exceed them by at most one
 * stream a daemon.
 */
struct local_share;

struct local_share *local_share_new(void);
void local_share_free(struct local_share *ls);

/**
 * Takes a slot of the target.
 * @param slots streams that the target may run at once
 * @param daemons live daemons, this one included
 * @return false if this daemon's part is used up
 */
bool local_share_acquire(
    struct local_share *ls, const char *target, int32_t slots, int32_t daemons);

/** Gives a slot back. */
void local_share_release(struct local_share *ls, const char *target);

#endif

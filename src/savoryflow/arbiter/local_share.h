#ifndef SAVORYFLOW_LOCAL_SHARE_H
#define SAVORYFLOW_LOCAL_SHARE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Online admission while no arbiter answers: each daemon uses an equal share,
 * at least 1, of the target's slots. All daemons together exceed the slots by
 * at most one stream per daemon.
 */
struct local_share;

struct local_share *local_share_new(void);
void local_share_free(struct local_share *ls);

/**
 * Acquires a slot of the target.
 * @param slots maximum number of concurrent streams on the target
 * @param daemons live daemons, including this one
 * @return false if this daemon's share is used up
 */
bool local_share_acquire(
    struct local_share *ls, const char *target, int32_t slots, int32_t daemons);

void local_share_release(struct local_share *ls, const char *target);

#endif

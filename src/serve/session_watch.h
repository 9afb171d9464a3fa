#ifndef SAVORYFLOW_SERVE_SESSION_WATCH_H
#define SAVORYFLOW_SERVE_SESSION_WATCH_H

#include "savoryflow/batch/batch_defs.h"
#include "serve/daemon.h"

/**
 * The sessions of other daemons, as the store shows them. Time counts only
 * while the store answers, since no daemon can write a heartbeat otherwise.
 * Used by one thread.
 */
struct session_watch;

struct session_watch *session_watch_new(struct daemon *d);
void session_watch_free(struct session_watch *sw);

/** Records a call of the store that has ended. */
void session_watch_record_call(
    struct session_watch *sw, int64_t began_us, enum store_result res);

/**
 * @return true if the lease was first seen more than a session lease ago, or if
 * its daemon is not alive
 */
bool session_watch_is_lease_stale(
    struct session_watch *sw, const struct batch_chunk *chunk);

/**
 * Ends a session whose heartbeat did not advance for a full lease, measured by
 * this daemon's clock.
 * @return true if the session has ended
 */
bool session_watch_end_if_stale(struct session_watch *sw, const char *id);

#endif

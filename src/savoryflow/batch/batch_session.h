#ifndef SAVORYFLOW_BATCH_SESSION_H
#define SAVORYFLOW_BATCH_SESSION_H

#include "savoryflow/batch/batch_defs.h"
#include "store/store.h"

/*
 * One row session/ID for each daemon: {"state":"live"|"ended","counter"}. The
 * daemon increments the counter with each heartbeat. An observer that sees it
 * unchanged for a whole lease, by its own clock, ends the session. An ended
 * session never becomes live again, and nothing can be committed under it.
 */

/** Key of a session's row; free with g_free. */
char *batch_session_key(const char *id);

/** Frees the members of a session. */
void batch_session_clear(struct batch_session *session);

/** Starts the session of a daemon. */
enum store_result batch_session_start(
    const struct store *store, const char *id, struct batch_session *session);

/** Writes a heartbeat. @return kStoreConflict if the session was ended */
enum store_result batch_session_heartbeat(
    const struct store *store, struct batch_session *session);

/** Reads another session: whether it is live, and its row's version. */
enum store_result batch_session_read(
    const struct store *store, const char *id, bool *is_live, int64_t *version);

/** Ends a session that wrote no heartbeat since `version`. */
enum store_result batch_session_end(
    const struct store *store, const char *id, int64_t version);

#endif

#ifndef SAVORYFLOW_BATCH_SESSION_H
#define SAVORYFLOW_BATCH_SESSION_H

#include "savoryflow/batch/batch_defs.h"
#include "store/store.h"

/*
 * One row session/ID for each daemon: {"state":"live"|"ended","counter"}. The
 * daemon bumps the counter; an observer that sees it unchanged for a whole
 * lease, on its own clock, ends the session. An ended session never lives
 * again, and nothing can be committed under it.
 */

/** Key of a session's row; free with g_free. */
char *batch_session_key(const char *id);

/** Frees what a session points to. */
void batch_session_clear(struct batch_session *session);

/** Starts the session of a daemon. */
enum store_result batch_session_start(
    const struct store *store, const char *id, struct batch_session *session);

/** Heartbeat. @return kStoreConflict if the session was ended */
enum store_result batch_session_heartbeat(
    const struct store *store, struct batch_session *session);

/** Reads another session: whether it lives, and the row's version. */
enum store_result batch_session_read(
    const struct store *store, const char *id, bool *is_live, int64_t *version);

/** Ends a session that was silent since `version`. */
enum store_result batch_session_end(
    const struct store *store, const char *id, int64_t version);

#endif

#ifndef SAVORYFLOW_SERVE_CRASH_WATCH_H
#define SAVORYFLOW_SERVE_CRASH_WATCH_H

#include "savoryflow/retry/blame.h"
#include "serve/daemon.h"

/**
 * Keeps requests with a message that crashes engines from them, together with
 * the other daemons. Thread-safe; its lock is the last but the log's.
 */
struct crash_watch;

struct crash_watch *crash_watch_new(struct daemon *d);
void crash_watch_free(struct crash_watch *cw);

/**
 * Keys of a request: the whole, then its messages but the last.
 * @param whole fingerprint of the request
 * @param is_owed it is an item of a job
 */
void crash_watch_keys(uint64_t whole, const char *body, size_t len,
    bool is_owed, struct blame_keys *keys);

/** Whether a request may be sent now; uses up a trial. */
enum blame_verdict crash_watch_check(
    struct crash_watch *cw, const struct blame_keys *keys);

/** Records that an answer has begun. */
void crash_watch_record_begun(
    struct crash_watch *cw, const struct blame_keys *keys, int64_t sent_us);

/** Records a run whose target crashed before the answer began. */
void crash_watch_record_run(struct crash_watch *cw,
    const struct blame_keys *keys, const char *target, int64_t sent_us,
    int64_t ended_us);

/** Handles what another daemon reports or has decided. */
void crash_watch_on_envelope(
    struct crash_watch *cw, const Sfpeer__Envelope *env);

/** To be called several times a second. */
void crash_watch_tick(struct crash_watch *cw);

#endif

#ifndef SAVORYFLOW_GATEWAY_CRASH_GUARD_H
#define SAVORYFLOW_GATEWAY_CRASH_GUARD_H

#include "gateway/dialect.h"
#include "gateway/relay.h"
#include "gateway/roster.h"
#include "savoryflow/retry/blame.h"

struct crash_guard_options {
	struct loop *lp;
	struct roster *roster;
	/** Address of this daemon. */
	const char *address;
	const struct slots_wire_ops *wire;
	void *wire_ctx;
};

/**
 * Keeps requests from targets that they would crash: collects evidence, asks
 * targets whether they have ended, and exchanges verdicts with the other
 * daemons. The decisions are those of savoryflow/retry/blame.h. Loop only.
 */
struct crash_guard;

struct crash_guard *crash_guard_new(const struct crash_guard_options *opt);
void crash_guard_free(struct crash_guard *cg);

/**
 * Keys of a request.
 * @param is_owed it is an item of a job
 */
void crash_guard_keys(const char *uri, GBytes *body,
    const struct prompt_parts *parts, bool is_owed, struct blame_keys *keys);

/**
 * Whether a request may be sent to a target.
 * @param will_send it is sent at once if it may
 * @param key receives the key for any verdict but kBlameNone
 */
enum blame_verdict crash_guard_check(struct crash_guard *cg,
    const struct blame_keys *keys, bool will_send, uint64_t *key);

/** Records that an answer has begun. */
void crash_guard_on_begun(
    struct crash_guard *cg, const struct blame_keys *keys, int64_t sent_us);

/**
 * Records a run that was interrupted before its answer began.
 * @param request attempt id, for the log
 */
void crash_guard_on_lost_run(struct crash_guard *cg, const char *request,
    const struct blame_keys *keys, const struct relay_lost_run *run);

/** Handles what another daemon reports or has decided. */
void crash_guard_on_envelope(
    struct crash_guard *cg, const Sfpeer__Envelope *env);

/** To be called ten times a second. */
void crash_guard_tick(struct crash_guard *cg);

#endif

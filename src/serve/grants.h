#ifndef SAVORYFLOW_SERVE_GRANTS_H
#define SAVORYFLOW_SERVE_GRANTS_H

#include "savoryflow/arbiter/arbiter_defs.h"
#include "serve/daemon.h"
#include "serve/routes.h"

/** Answers to one request for a slot. No lock is held during the calls. */
struct grant_ops {
	void (*on_granted)(void *ctx, uint64_t id);
	void (*on_refused)(void *ctx, uint64_t id, int64_t retry_after_us);
	/** The target is leaving: ask for another one. */
	void (*on_leaving)(void *ctx, uint64_t id);
	/** The slot is taken back; it is to be released. */
	void (*on_revoked)(void *ctx, uint64_t id);
	void (*on_crash_verdict)(
	    void *ctx, uint64_t id, enum arbiter_crash_verdict verdict);
	void (*ref)(void *ctx);
	void (*unref)(void *ctx);
};

/** Arbiters of this daemon, and the grants that it holds or waits for. */
struct grants;

struct grants *grants_new(struct daemon *d);
void grants_free(struct grants *gs);

/** Asks the route's arbiter; the answer comes through ops, maybe at once. */
void grants_acquire(struct grants *gs, const struct admission_request *ask,
    const struct route *route, const struct grant_ops *ops, void *ctx);

/** The first token of a granted stream has come. */
void grants_first_token(struct grants *gs, uint64_t id);

/** Gives a grant back or withdraws a request; no further answer comes. */
void grants_release(struct grants *gs, uint64_t id);

/** Asks what a crash of the target says of the request, and releases it. */
void grants_report_crash(struct grants *gs, uint64_t id);

void grants_set_leaving(struct grants *gs, const char *target, bool is_leaving);

/** A peer is gone: its grants here are free. */
void grants_remove_daemon(struct grants *gs, const char *address);

/** Arbiters may have moved: requests and grants follow them. */
void grants_routes_changed(struct grants *gs);

/** Takes a target's load report. */
void grants_record_load_report(struct grants *gs, const char *target,
    int32_t streams, int32_t prompt_tokens, int64_t step_us);

/** Messages of peers. */
void grants_on_request(
    struct grants *gs, const char *from, const Sfpeer__GrantAsk *ask);
void grants_on_answer(
    struct grants *gs, const char *from, const Sfpeer__GrantAnswer *answer);
void grants_on_notification(
    struct grants *gs, const char *from, const Sfpeer__GrantNote *note);

void grants_tick(struct grants *gs);

/** Load of the targets arbitrated here, as a JSON array. */
json_t *grants_status(struct grants *gs);

#endif

#ifndef SAVORYFLOW_SERVE_GRANTS_H
#define SAVORYFLOW_SERVE_GRANTS_H

#include "savoryflow/arbiter/arbiter_defs.h"
#include "serve/daemon.h"
#include "serve/routes.h"

/** Callbacks for one slot request; called without locks held. */
struct grant_ops {
	void (*on_granted)(void *ctx, uint64_t id);
	void (*on_refused)(void *ctx, uint64_t id, int64_t retry_after_us);
	/** The target is leaving or was removed; request a slot on another
	 * one. */
	void (*on_leaving)(void *ctx, uint64_t id);
	/** The target takes no request soon; another one may. */
	void (*on_busy)(void *ctx, uint64_t id, int64_t retry_after_us);
	/** The grant was revoked and must be released. */
	void (*on_revoked)(void *ctx, uint64_t id);
	void (*on_crash_verdict)(
	    void *ctx, uint64_t id, enum arbiter_crash_verdict verdict);
	void (*ref)(void *ctx);
	void (*unref)(void *ctx);
};

/**
 * Arbiters hosted by this daemon, and the grants that it holds or waits for.
 */
struct grants;

struct grants *grants_new(struct daemon *d);
void grants_free(struct grants *gs);

/**
 * Requests a slot from the route's arbiter. The answer arrives through ops,
 * possibly before this returns.
 */
void grants_acquire(struct grants *gs, const struct admission_request *req,
    const struct route *route, const struct grant_ops *ops, void *ctx);

/**
 * Passes on what the head of an attempt's own answer says of its target's rate.
 * @param pause_us the target asks for no requests for so long; 0: it does not
 */
void grants_record_rate(struct grants *gs, uint64_t id,
    const struct stated_rate *said, int64_t pause_us);

/** Reports the first token of a granted stream to the arbiter. */
void grants_first_token(struct grants *gs, uint64_t id);

/** Releases a grant or withdraws a request; no further callback follows. */
void grants_release(struct grants *gs, uint64_t id);

/**
 * Reports a crash of the target during the request, and releases the grant. The
 * arbiter's verdict on the request arrives through on_crash_verdict.
 */
void grants_report_crash(struct grants *gs, uint64_t id);

void grants_set_leaving(struct grants *gs, const char *target, bool is_leaving);

/** Releases all grants held by a daemon that was removed. */
void grants_remove_daemon(struct grants *gs, const char *address);

/** Moves requests and grants to the new arbiters of their targets. */
void grants_routes_changed(struct grants *gs);

/** Applies a target's load report to its cost model. */
void grants_record_load_report(struct grants *gs, const char *target,
    int32_t streams, int32_t prompt_tokens, int64_t step_us);

/** Handlers of peer messages. */
void grants_on_request(
    struct grants *gs, const char *from, const Sfpeer__GrantAsk *req);
void grants_on_answer(
    struct grants *gs, const char *from, const Sfpeer__GrantAnswer *answer);
void grants_on_notification(
    struct grants *gs, const char *from, const Sfpeer__GrantNote *notification);
void grants_on_rate(struct grants *gs, const Sfpeer__GrantRate *wire);

void grants_tick(struct grants *gs);

/** @return load of the targets arbitrated by this daemon, as a JSON array */
json_t *grants_status(struct grants *gs);

#endif

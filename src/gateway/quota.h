#ifndef SAVORYFLOW_GATEWAY_QUOTA_H
#define SAVORYFLOW_GATEWAY_QUOTA_H

#include "gateway/loop.h"
#include "gateway/offload.h"
#include "gateway/slots.h"

struct quota_options {
	struct loop *lp;
	struct offload *offload;
	const struct store *store;
	struct roster *roster;
	const char *address;
	const char *session;
	const struct slots_wire_ops *wire;
	void *wire_ctx;
};

enum quota_verdict {
	kQuotaGranted = 1,
	/** More tokens than the limit would wait. */
	kQuotaRefused,
	/** No daemon could count them. */
	kQuotaUnavailable,
};

struct quota_answer {
	enum quota_verdict verdict;
	/** Version of the route's fence row: a submission that depends on it
	 * takes effect only while the same daemon counts. */
	int64_t fence;
	int64_t retry_after_us;
};

struct quota_request {
	/** Name of the route's quota, see quota_route_name. */
	const char *route;
	const char *job;
	int64_t tokens;
	int64_t limit;
	/** Fence of an answer that the store did not accept; 0: none. */
	int64_t stale_fence;
};

typedef void (*quota_answer_fn)(void *ctx, const struct quota_answer *answer);

/**
 * Limits of the tokens that wait on a route, over all daemons: one of them,
 * elected by the roster, counts them. It fences its predecessor at the store
 * before it reads the open jobs, so that no submission is missed. Must be used
 * on the event loop only.
 */
struct quota;

struct quota *quota_new(const struct quota_options *opt);
void quota_free(struct quota *qt);

/** Name of the quota of a route and a team; free with g_free.
 * @param team "": the quota is for all callers of the route */
char *quota_route_name(const char *host, const char *prefix, const char *team);

/** Asks for the tokens of a job; the answer comes once, never from within this
 * call. @return id for quota_cancel */
uint64_t quota_reserve(struct quota *qt, const struct quota_request *request,
    quota_answer_fn fn, void *ctx);

/** No answer is wanted any more. */
void quota_cancel(struct quota *qt, uint64_t id);

/**
 * Counts the tokens of a route here if this daemon is elected for it, so that
 * the first submission does not wait for the store; several times a second.
 * @param must_connect also keep the connections open that answers need
 */
void quota_prepare(struct quota *qt, const char *route, bool must_connect);

/** Reports how many tokens of a job wait for a run, with the next message. */
void quota_report(
    struct quota *qt, const char *route, const char *job, int64_t tokens);

/** Sends reports, repeats unanswered requests; several times a second. */
void quota_tick(struct quota *qt);

/** Handles the quota messages of a peer's envelope. */
void quota_on_envelope(struct quota *qt, const Sfpeer__Envelope *env);

#endif

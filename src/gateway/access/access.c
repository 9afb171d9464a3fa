/* Authentication of callers by their teams' keys. */
#include "gateway/access/access.h"

#include <string.h>

#include "error/error.h"
#include "gateway/reply.h"
#include "log/log.h"
#include "metric/metric.h"

enum {
	/* A new version of the configuration is usually read within this
	 * time. */
	kOutdatedRetryUs = 500 * kUsPerMs,
	/* The store or a peer is asked again within this time. */
	kStaleRetryUs = 300 * kUsPerMs,
};

struct access {
	struct access_options opt;
};

struct access *
access_new(const struct access_options *opt)
{
	struct access *ac = g_new0(struct access, 1);

	ac->opt = *opt;
	return ac;
}

void
access_free(struct access *ac)
{
	g_free(ac);
}

static void
refuse(struct front_request *req, const struct dialect_call *call,
    const char *why, const char *message)
{
	log_event(
	    kEvtCallRefused, "request", call->attempt_id, "why", why, NULL);
	reply_error(req, kErrUnauthorized, message, 0);
}

static bool
hold(struct access *ac, struct front_request *req)
{
	return proof_exchange_hold(
	    ac->opt.proofs, req, ac->opt.resume, ac->opt.ctx);
}

static bool
is_certainly_unknown(const struct access *ac)
{
	return ac->opt.proofs != NULL
	    ? proof_exchange_shows_unknown(ac->opt.proofs)
	    : ac->opt.is_current(ac->opt.ctx);
}

static void
refuse_unknown(struct access *ac, struct front_request *req,
    const struct dialect_call *call)
{
	if (!is_certainly_unknown(ac) && ac->opt.proofs != NULL &&
	    hold(ac, req))
		return;
	if (is_certainly_unknown(ac)) {
		refuse(req, call, "unknown_key", "no team holds the key");
		return;
	}
	log_event(kEvtCallRefused, "request", call->attempt_id, "why",
	    "configuration_outdated", NULL);
	reply_error(req, kErrNotReady,
	    "the key is unknown, and the configuration may be out of date",
	    kOutdatedRetryUs);
}

static void
refuse_stale(struct front_request *req, const char *attempt_id)
{
	log_event(
	    kEvtCallRefused, "request", attempt_id, "why", "stale_proof", NULL);
	metric_add(kMetRefusedStale, 1);
	reply_error(req, kErrNotReady,
	    "it is not certain that the key is still valid; the request did "
	    "not run",
	    kStaleRetryUs);
}

/* @return false if the request was answered, or is held */
static bool
is_fresh(struct access *ac, struct front_request *req,
    const struct dialect_call *call)
{
	if (ac->opt.proofs == NULL || proof_exchange_admits(ac->opt.proofs))
		return true;
	if (!hold(ac, req))
		refuse_stale(req, call->attempt_id);
	return false;
}

static bool
holds_key(const struct routebook *book, const struct access_caller *caller)
{
	struct team_digest digest;
	const char *team;

	if (book->keys == NULL || book->row_version == caller->row_version)
		return true;
	digest = team_keys_digest(book->keys, caller->key, caller->key_len);
	team = team_keys_find(book->keys, &digest);
	return team != NULL && strcmp(team, caller->team) == 0;
}

enum access_verdict
access_check(struct access *ac, const struct access_caller *caller)
{
	struct proof_exchange *px = ac->opt.proofs;
	bool is_held;

	if (px == NULL || !caller->has_key)
		return kAccessAllowed;
	is_held = holds_key(ac->opt.routes(ac->opt.ctx), caller);
	if (is_held && proof_exchange_admits(px))
		return kAccessAllowed;
	/* 401 is final: a newer version may hold the key again. */
	if (!is_held && proof_exchange_shows_unknown(px))
		return kAccessRevoked;
	return proof_exchange_improve(px) ? kAccessUncertain : kAccessStale;
}

void
access_refuse(struct access *ac, struct front_request *req,
    const char *attempt_id, enum access_verdict verdict)
{
	if (verdict != kAccessRevoked) {
		refuse_stale(req, attempt_id);
		return;
	}
	log_event(
	    kEvtCallRefused, "request", attempt_id, "why", "key_revoked", NULL);
	metric_add(kMetRefusedRevoked, 1);
	reply_error(req, kErrUnauthorized,
	    "the key was revoked while the request waited; it did not run", 0);
}

bool
access_identify(struct access *ac, struct front_request *req,
    const struct dialect_call *call, const struct routebook *book,
    bool is_public, struct access_caller *caller)
{
	const char *team = NULL;

	*caller = (struct access_caller){0};
	if (book->keys == NULL)
		return true;
	if (call->key_state == kKeyGiven) {
		caller->digest =
		    team_keys_digest(book->keys, call->key, call->key_len);
		team = team_keys_find(book->keys, &caller->digest);
	}
	if (is_public && ac->opt.proofs != NULL &&
	    !proof_exchange_admits(ac->opt.proofs))
		team = NULL;
	if (team != NULL)
		g_strlcpy(caller->team, team, sizeof(caller->team));
	if (is_public)
		return true;
	caller->has_key = team != NULL;
	caller->row_version = book->row_version;
	caller->key = call->key;
	caller->key_len = call->key_len;
	if (team != NULL)
		return is_fresh(ac, req, call);
	switch (call->key_state) {
	case kKeyMissing:
		refuse(req, call, "no_key", "the request carries no key");
		break;
	case kKeyMalformed:
		refuse(req, call, "malformed_key",
		    "the Authorization header is not one Bearer key of 1 to "
		    "512 bytes");
		break;
	case kKeyGiven:
		refuse_unknown(ac, req, call);
		break;
	}
	return false;
}

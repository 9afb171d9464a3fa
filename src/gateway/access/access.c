/* Authentication of callers by their teams' keys. */
#include "gateway/access/access.h"

#include <string.h>

#include "error/error.h"
#include "gateway/reply.h"
#include "log/log.h"
#include "metric/metric.h"
#include "os/text_copy.h"
#include "savoryflow/teams/forward_proof.h"

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
    enum metric_id metric, const char *why, const char *message)
{
	log_event(kEvtCallRefused, "request", call->attempt_id, "why", why,
	    (char *)NULL);
	metric_add(metric, 1);
	reply_error(req, kErrUnauthorized, message, 0);
}

/* For a caller, 401 is final: it is not sent while a newer configuration may
 * let the request in. */
static void
refuse_outdated(struct front_request *req, const struct dialect_call *call,
    const char *why, const char *message)
{
	log_event(kEvtCallRefused, "request", call->attempt_id, "why", why,
	    (char *)NULL);
	metric_add(kMetRefusedOutdated, 1);
	reply_error(req, kErrNotReady, message, kOutdatedRetryUs);
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
	if (is_certainly_unknown(ac))
		refuse(req, call, kMetRefusedUnknownKey, "unknown_key",
		    "no team holds the key");
	else
		refuse_outdated(req, call, "configuration_outdated",
		    "the key is unknown, and the configuration may be out of "
		    "date");
}

static void
refuse_without_team(struct access *ac, struct front_request *req,
    const struct dialect_call *call)
{
	static const char *const defects[] = {
	    [kKeyDoubled] = "there is more than one Authorization header",
	    [kKeyEmpty] = "the Authorization header has no key",
	    [kKeyTooLong] = "the key of the Authorization header has over 512 "
			    "bytes",
	    [kKeyMalformed] = "the Authorization header is not Bearer and one "
			      "key without white space",
	};

	switch (call->key_state) {
	case kKeyMissing:
		refuse(req, call, kMetRefusedNoKey, "no_key",
		    "there is no Authorization header with a key");
		break;
	case kKeyGiven:
		refuse_unknown(ac, req, call);
		break;
	default:
		refuse(req, call, kMetRefusedBadKey, "malformed_key",
		    defects[call->key_state]);
	}
}

enum proof_state {
	/** None, or none that holds: the request is a caller's own. */
	kProofNone,
	kProofHolds,
	/** The sender has another version of the configuration. */
	kProofOtherVersion,
};

/* A request with credentials of its own is no forwarded one. */
static enum proof_state
check_proof(const struct front_request *req, const struct dialect_call *call,
    const struct routebook *book, struct access_caller *caller)
{
	const struct header_list *headers = front_headers(req);
	const char *text = header_list_get(headers, kFrontProofHeader);
	struct forward_claim claim = {
	    .attempt = header_list_get(headers, kFrontForwardedHeader),
	    .method = front_method(req),
	    .path = front_uri(req),
	};
	struct forward_field field;

	if (claim.attempt == NULL || text == NULL ||
	    call->key_state != kKeyMissing ||
	    !forward_proof_parse(text, &field))
		return kProofNone;
	if (field.version != book->version)
		return kProofOtherVersion;
	claim.team = field.team;
	if (book->keys == NULL ||
	    !forward_proof_holds(book->keys, &claim, &field.digest))
		return kProofNone;
	return text_copy(caller->team, sizeof(caller->team), field.team)
	    ? kProofHolds
	    : kProofNone;
}

/* @return whether the request has a key that a team holds */
static bool
find_team(const struct dialect_call *call, const struct routebook *book,
    struct access_caller *caller)
{
	const char *team;

	if (call->key_state != kKeyGiven)
		return false;
	caller->digest = team_keys_digest(book->keys, call->key, call->key_len);
	team = team_keys_find(book->keys, &caller->digest);
	return text_copy(caller->team, sizeof(caller->team), team);
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
	enum proof_state proof;

	*caller = (struct access_caller){0};
	proof = check_proof(req, call, book, caller);
	if (proof == kProofOtherVersion) {
		refuse_outdated(req, call, "peer_has_other_version",
		    "the peer that forwards the request has another version "
		    "of the configuration");
		return false;
	}
	if (book->keys == NULL)
		return true;
	if (proof == kProofNone) {
		front_set_own(req);
		caller->has_key = find_team(call, book, caller) && !is_public;
	}
	if (is_public && ac->opt.proofs != NULL &&
	    !proof_exchange_admits(ac->opt.proofs))
		caller->team[0] = '\0';
	if (is_public)
		return true;
	if (caller->team[0] == '\0') {
		refuse_without_team(ac, req, call);
		return false;
	}
	if (!caller->has_key)
		return true;
	caller->row_version = book->row_version;
	caller->key = call->key;
	caller->key_len = call->key_len;
	return is_fresh(ac, req, call);
}

void
access_forward(struct header_list *headers, const struct dialect_ops *dialect,
    const struct routebook *book, const struct front_request *req,
    const char *attempt, const char *team)
{
	struct forward_claim claim = {
	    .attempt = attempt,
	    .method = front_method(req),
	    .path = front_uri(req),
	    .team = team,
	};
	char text[kForwardProofMax];

	dialect->strip_credentials(headers);
	header_list_remove(headers, kFrontProofHeader);
	header_list_set(headers, kFrontForwardedHeader, attempt);
	if (book == NULL || book->keys == NULL)
		return;
	forward_proof_print(book->keys, book->version, &claim, text);
	header_list_set(headers, kFrontProofHeader, text);
}

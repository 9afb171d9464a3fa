/* Authentication of callers by their teams' keys. */
#include "gateway/access/access.h"

#include "error/error.h"
#include "gateway/reply.h"
#include "log/log.h"

enum {
	/* A new version of the configuration is usually read within this
	 * time. */
	kOutdatedRetryUs = 500 * kUsPerMs,
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

static void
refuse_unknown(struct access *ac, struct front_request *req,
    const struct dialect_call *call)
{
	if (ac->opt.is_current(ac->opt.ctx)) {
		refuse(req, call, "unknown_key", "no team holds the key");
		return;
	}
	log_event(kEvtCallRefused, "request", call->attempt_id, "why",
	    "configuration_outdated", NULL);
	reply_error(req, kErrNotReady,
	    "the key is unknown, and the configuration may be out of date",
	    kOutdatedRetryUs);
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
	if (team != NULL)
		g_strlcpy(caller->team, team, sizeof(caller->team));
	if (is_public)
		return true;
	caller->has_key = team != NULL;
	if (team != NULL)
		return true;
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

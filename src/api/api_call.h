#ifndef SAVORYFLOW_API_API_CALL_H
#define SAVORYFLOW_API_API_CALL_H

#include "api/request.h"
#include "serve/routes.h"

/* Shared by the endpoints of online requests. */

/** Callbacks of a call; ctx is its request. */
void api_call_notify(void *ctx);
void api_call_release(void *ctx);

/** Time until which the caller waits. */
int64_t api_call_deadline_us(struct request *req);

/**
 * Admits a request to a service.
 * @return false if the request was refused
 */
bool api_call_admit(struct request *req, const char *service, bool may_repeat);

/** Starts the request's call. */
void api_call_start(struct request *req, const struct call_options *opt);

/** @return NULL if the configuration has no such service */
const struct config_service *api_call_find_service(
    const struct config *cfg, const char *name);

const char *api_call_error_text(int code);

/** Replies with the error of a call that has ended. */
void api_call_reply_error(struct request *req, const struct call_view *view);

/**
 * State of the request's call. If the daemon shuts down, the call is ended
 * first, so that it cannot start after its answer.
 */
struct call_view api_call_view(struct request *req);

/** @return true if the call was ended because the daemon shuts down */
bool api_call_reply_aborted(struct request *req, const struct call_view *view);

#endif

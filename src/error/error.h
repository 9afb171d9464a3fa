#ifndef SAVORYFLOW_ERROR_H
#define SAVORYFLOW_ERROR_H

#include <glib.h>
#include <stdbool.h>

/*
 * Types of all errors. A row holds the enum constant, the type on the wire, the
 * HTTP status, and whether the request may have been executed.
 */
#define SF_ERRORS(X)                                                  \
	X(kErrSettingUnknown, "setting_unknown", 500, true)           \
	X(kErrSettingRange, "setting_out_of_range", 500, true)        \
	X(kErrSettingUnit, "setting_bad_unit", 500, true)             \
	X(kErrBadJson, "malformed_json", 400, false)                  \
	X(kErrBadRequest, "bad_request", 400, false)                  \
	X(kErrBadItem, "bad_item", 400, false)                        \
	X(kErrBadConfig, "bad_configuration", 422, false)             \
	X(kErrUnauthorized, "unauthorized", 401, false)               \
	X(kErrForbidden, "forbidden", 403, false)                     \
	X(kErrNotFound, "not_found", 404, false)                      \
	X(kErrUnknownService, "unknown_service", 404, false)          \
	X(kErrMethod, "method_not_allowed", 405, false)               \
	X(kErrConflict, "conflict", 409, false)                       \
	X(kErrJobConflict, "job_content_conflict", 409, false)        \
	X(kErrInProgress, "call_in_progress", 409, true)              \
	X(kErrOutcomeUnknown, "outcome_unknown", 409, true)           \
	X(kErrRequestTimeout, "request_timeout", 408, false)          \
	X(kErrTooLarge, "body_too_large", 413, false)                 \
	X(kErrRequestCondemned, "request_crashes_targets", 422, true) \
	X(kErrRateLimited, "rate_limited", 429, false)                \
	X(kErrOverloaded, "overloaded", 503, false)                   \
	X(kErrNoTarget, "no_target", 503, false)                      \
	X(kErrDraining, "draining", 503, false)                       \
	X(kErrStoreUnavailable, "store_unavailable", 503, false)      \
	X(kErrStoreAmbiguous, "store_ambiguous", 503, true)           \
	X(kErrNotReady, "not_ready", 503, false)                      \
	X(kErrOutcomeLost, "store_outcome_unknown", 500, true)        \
	X(kErrTargetFailed, "target_failed", 502, true)               \
	X(kErrTargetRefused, "target_refused", 502, true)             \
	X(kErrDeadline, "deadline_exceeded", 504, true)               \
	X(kErrCancelled, "cancelled", 499, true)                      \
	X(kErrInternal, "internal", 500, true)

enum sf_error_code {
#define X(code, type, status, ran) code,
	SF_ERRORS(X)
#undef X
	    kErrCount,
};

#define SF_ERROR (sf_error_quark())

/** Error domain of all GErrors of this program. */
GQuark sf_error_quark(void);

/** @return type of an error on the wire, for example "bad_item" */
const char *sf_error_type(int code);

/** @return HTTP status of an error, 400 to 599 */
int sf_error_status(int code);

/** @return true if a request with this error may have been executed */
bool sf_error_may_have_run(int code);

#endif

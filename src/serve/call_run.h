#ifndef SAVORYFLOW_SERVE_CALL_RUN_H
#define SAVORYFLOW_SERVE_CALL_RUN_H

#include "savoryflow/arbiter/arbiter_defs.h"
#include "serve/daemon.h"

struct call_options {
	enum work_class work_class;
	const char *service;
	bool is_engine;
	/** Tokens are read one by one as they arrive. */
	bool is_streamed;
	bool is_idempotent;
	/** Team name, for fair shares. */
	const char *team;
	int32_t weight;
	/** Monotonic times. */
	int64_t deadline_us;
	int64_t due_us;
	/** Plain services: method, and path below the service with a leading
	 * slash. */
	const char *method;
	const char *path;
	GBytes *body;
	/** Called when there is more to read; on any thread, without locks
	 * held. */
	void (*notify)(void *ctx);
	/** Called once when the call is freed; no notify follows. */
	void (*release)(void *ctx);
	void *ctx;
};

/** Snapshot of a call's state for its reader. */
struct call_view {
	bool is_done;
	/** sf_error_code of a failed call, or -1. */
	int error;
	int64_t retry_after_us;
	bool may_have_run;
	/** Engine: tokens received so far. */
	int64_t tokens;
	/** Plain: status and content type of the target's answer. */
	long status;
	char content_type[kContentTypeMax];
};

/** One request to targets, with all its attempts. */
struct call;

/** @return new call with one reference, which call_start starts */
struct call *call_new(struct daemon *d, const struct call_options *opt);
struct call *call_ref(struct call *c);
void call_unref(struct call *c);

/** Starts the first attempt. notify may be called before this returns. */
void call_start(struct call *c);

/** Ends the call and cancels its current attempt. */
void call_cancel(struct call *c);

/** Ends the call if nothing was sent to a target yet. */
void call_cancel_unsent(struct call *c);

/**
 * Cancels the call if it is still running and drops the creator's reference.
 */
void call_close(struct call *c);

struct call_view call_view_get(struct call *c);

/** Streamed calls: @return next unread token, freed with g_free, or NULL */
char *call_next_token(struct call *c);

/** @return body of a plain service's answer, released with g_bytes_unref */
GBytes *call_body(struct call *c);

/** Engine: @return text of the answer so far, freed with g_free */
char *call_text(struct call *c);

/** Estimates the length of a prompt in tokens from the body's length. */
int32_t call_prompt_tokens(size_t body_len);

#endif

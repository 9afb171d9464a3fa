#ifndef SAVORYFLOW_SERVE_CALL_RUN_H
#define SAVORYFLOW_SERVE_CALL_RUN_H

#include "savoryflow/arbiter/arbiter_defs.h"
#include "serve/daemon.h"

struct call_options {
	enum work_class work_class;
	const char *service;
	bool is_engine;
	/** Tokens are read one by one as they come. */
	bool is_streamed;
	bool is_idempotent;
	/** Team name, for fair shares. */
	const char *team;
	int32_t weight;
	/** Monotonic times. */
	int64_t deadline_us;
	int64_t due_us;
	/** Plain services: method and path below the service, with its slash.
	 */
	const char *method;
	const char *path;
	GBytes *body;
	/** Runs whenever there is more to read, on any thread, no lock held. */
	void (*notify)(void *ctx);
	/** Runs once when the call is freed: no notify follows. */
	void (*release)(void *ctx);
	void *ctx;
};

/** What the reader of a call sees. */
struct call_view {
	bool is_done;
	/** sf_error_code of a failed call, or -1. */
	int error;
	int64_t retry_after_us;
	bool may_have_run;
	/** Engine: tokens so far. */
	int64_t tokens;
	/** Plain: the target's status and type. */
	long status;
	char content_type[64];
};

/** One request on its way to targets, with all its attempts. */
struct call;

/** New call with one reference. It starts with call_start. */
struct call *call_new(struct daemon *d, const struct call_options *opt);
struct call *call_ref(struct call *c);
void call_unref(struct call *c);

/** Starts the first attempt. notify may run before this returns. */
void call_start(struct call *c);

/** Ends the call; its attempt at a target is cancelled. */
void call_cancel(struct call *c);

/** Cancels what still runs and drops the creator's reference. */
void call_close(struct call *c);

/** Present state. */
struct call_view call_view_get(struct call *c);

/** Next token that was not read yet, for g_free, or NULL. Streamed calls. */
char *call_next_token(struct call *c);

/** Body of a plain service's answer; for g_bytes_unref. */
GBytes *call_body(struct call *c);

/** The whole answer's text (engine) so far; free with g_free. */
char *call_text(struct call *c);

/** Length of the prompt in tokens, estimated from a body's bytes. */
int32_t call_prompt_tokens(size_t body_len);

#endif

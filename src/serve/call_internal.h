#ifndef SAVORYFLOW_SERVE_CALL_INTERNAL_H
#define SAVORYFLOW_SERVE_CALL_INTERNAL_H

#include <pthread.h>

#include "savoryflow/call/stream.h"
#include "savoryflow/retry/batch_retry.h"
#include "savoryflow/retry/retry.h"
#include "serve/call_run.h"
#include "serve/crash_watch.h"
#include "serve/routes.h"

/* Shared by the modules that run a call. A call's lock is held
 * while its fields are used, and never while another module is called that may
 * call back. */

enum {
	kNoTargetRetryUs = kUsPerS,
};

enum call_phase {
	kPhaseIdle,
	kPhaseAcquiring,
	kPhaseRunning,
	/** The connection was lost; probes whether the target still accepts
	 * connections. */
	kPhaseProbing,
	/** The target crashed; waits for the arbiter's verdict. */
	kPhaseAwaitingVerdict,
	kPhaseBackoff,
	kPhaseDone,
};

struct call {
	gint refs;
	struct daemon *d;
	pthread_mutex_t lock;
	enum work_class work_class;
	bool is_engine;
	/** Tokens are kept for call_next_token. */
	bool is_streamed;
	char *service;
	char *team;
	int32_t weight;
	int64_t due_us;
	char *method;
	char *path;
	GBytes *body;
	uint64_t prefix_hash;
	uint64_t fingerprint;
	struct blame_keys keys;
	/** When the current attempt was sent, and whether its answer has begun.
	 */
	int64_t sent_us;
	bool has_begun;
	/** A target was busy: the next one that is asked is to queue the
	 * request, not to send it elsewhere. */
	bool is_last_resort;
	/** When the call was first held; 0: never. */
	int64_t held_us;
	int32_t prompt_tokens;
	void (*notify)(void *ctx);
	void (*release)(void *ctx);
	void *ctx;

	enum call_phase phase;
	uint64_t attempt;
	struct route route;
	char last_target[kMemberAddressMax];
	bool is_suspect;
	bool is_revoked;
	bool is_first_token_reported;
	/** Index of the first token that the current attempt may return. */
	int64_t attempt_first_index;
	struct retry_state retry;
	/** Batch: what its attempts returned so far. */
	struct item_retry item_retry;
	/** HTTP status of the current attempt's answer; 0 without one. */
	long attempt_status;
	struct answer_stream stream;
	/** Memory charged for what has arrived of the answer. */
	int64_t held_bytes;
	GByteArray *out;
	long status;
	char content_type[kContentTypeMax];
	int error;
	int64_t retry_after_us;
	/** Timer of the deadline, 0 if there is none. */
	uint64_t deadline_timer;
	/** The attempt that follows a silent one, while it waits for a slot; 0
	 * without one. Set only while an attempt is running. */
	uint64_t next_attempt;
	struct route next_route;
};

/** @return true if the attempt is the current one, in this phase */
bool call_is_current(
    const struct call *c, uint64_t attempt, enum call_phase phase);

/** Ends the call. The lock is held. */
void call_finish_locked(struct call *c, int error, int64_t retry_after_us);

/** Ends the call unless it has ended, and notifies its reader. */
void call_finish(struct call *c, int error, int64_t retry_after_us);

/** References for callbacks; ctx is the call. */
void call_ref_ctx(void *ctx);
void call_unref_ctx(void *ctx);

/** Starts the next attempt; ctx is the call and loses one reference. */
void call_attempt_begin(void *ctx);

/** Continues or ends the call after its current attempt. */
void call_attempt_end(struct call *c, enum attempt_outcome outcome);

/**
 * Makes the current attempt the running one. The lock is held.
 * @return new body of its request, for call_transfer_start
 */
GBytes *call_transfer_prepare(struct call *c);

/**
 * Charges what the call keeps of its answer, with more bytes. The lock is held.
 * @return false if there is no memory for them
 */
bool call_hold_answer(struct call *c, size_t more);

/** Drops the part of a plain service's answer that has arrived. */
void call_discard_partial_answer(struct call *c);

/** Decides how to go on after an attempt. The lock is held. */
struct retry_decision call_decide_locked(
    struct call *c, enum attempt_outcome outcome);

/** Request for the slot of an attempt. The lock is held. */
void call_fill_admission_request(
    const struct call *c, uint64_t attempt, struct admission_request *req);

/** Records that a target leaves, unless it was removed: a later one of its name
 * does not leave. */
void call_record_leaving(struct call *c, const char *target);

void call_on_revoked(void *ctx, uint64_t id);
void call_on_crash_verdict(
    void *ctx, uint64_t id, enum arbiter_crash_verdict verdict);

/** Logs an attempt that returned no answer. */
void call_log_failed_attempt(const char *target, enum attempt_outcome outcome);

/** on_silent of a call's attempt. */
bool call_takeover_on_silent(void *ctx, uint64_t attempt, int64_t silent_us);

/**
 * Forgets the next attempt, if there is one. The lock is held.
 * @return its id, to be released without the lock, or 0
 */
uint64_t call_takeover_withdraw(struct call *c);

/** Sends the request of an attempt to its target. */
void call_transfer_start(struct call *c, uint64_t attempt, GBytes *body);

#endif

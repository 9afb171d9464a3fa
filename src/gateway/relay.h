#ifndef SAVORYFLOW_GATEWAY_RELAY_H
#define SAVORYFLOW_GATEWAY_RELAY_H

#include "gateway/dialect.h"
#include "gateway/event_splitter.h"
#include "gateway/outbound.h"
#include "gateway/slots.h"
#include "gateway/target_activity.h"

/** How a request ended, as seen by its sender. */
enum relay_outcome {
	/** The complete answer was passed on. */
	kRelayComplete,
	/** The request was not executed and will not be. */
	kRelayRefused,
	/** The request may have been executed; no part of an answer was passed
	 * on. */
	kRelayFailed,
	/** Part of an answer was passed on; the rest will not follow. */
	kRelayInterrupted,
	/** The deadline passed before any part of an answer was passed on. */
	kRelayTimeout,
	/** Batch: the slot was revoked; the item may have been executed. */
	kRelayRevoked,
	/** The owner did not allow a run; no part of an answer was passed on.
	 */
	kRelayBlocked,
};

struct relay_result {
	enum relay_outcome outcome;
	/** Refused: delay before a retry is useful. */
	int64_t retry_after_us;
	/** Number of attempts that may have been executed. */
	int32_t attempts;
	/** Time that the last attempt waited for its slot. */
	int64_t slot_wait_us;
	/** How the last attempt ended, for the log. */
	const char *cause;
	/** Status of the last attempt's answer; 0: it had none. */
	int32_t status;
	char target[kFleetNameMax];
	/** It was ended because the daemon stops. */
	bool is_draining;
	/** It was ended because may_send did not allow a sending. */
	bool is_withheld;
};

/** A run at a target that was interrupted before its answer began. */
struct relay_lost_run {
	const char *target;
	/** IP:PORT. */
	const char *address;
	int64_t target_started_ms;
	int64_t sent_us;
};

/** Whether a request may be sent to a target. */
enum relay_permit {
	kRelayMaySend,
	/** Not now, but possibly within some milliseconds. */
	kRelayMaySendLater,
	/** The request ends. */
	kRelayMustNotSend,
};

/** Callbacks; they run on the loop, never from within relay_start. */
struct relay_ops {
	/** Head of the answer that will be passed on. */
	void (*on_head)(
	    void *ctx, int32_t status, const struct header_list *headers);
	/** A complete event of a stream, or another body as a whole, which
	 * lives until on_end returns. */
	void (*on_data)(void *ctx, const struct stream_event *ev);
	/** Asked before the request is sent to a target; may be NULL.
	 * @param is_repeat a run was lost before its answer began
	 * @return false if it must not run */
	bool (*may_run)(void *ctx, bool is_repeat);
	/** The answer of a run has begun; may be NULL.
	 * @param sent_us when the request was sent */
	void (*on_begun)(void *ctx, int64_t sent_us);
	/** A run was interrupted before its answer began; may be NULL.
	 * @return false if no other run may follow */
	bool (*on_lost_run)(void *ctx, const struct relay_lost_run *run);
	/** The last callback. */
	void (*on_end)(void *ctx, const struct relay_result *result);
	/** Asked for each attempt, before a connection is made and again when
	 * it is open; may be NULL.
	 * @param cause if it must not be sent now: why, for the log */
	enum relay_permit (*may_send)(void *ctx, const char **cause);
	/** Asked before the relay keeps more of an answer than it has passed
	 * on, and told when it keeps less; may be NULL.
	 * @param bytes all that it keeps then
	 * @return false if there is no memory for it: the attempt ends */
	bool (*hold_answer)(void *ctx, size_t bytes);
	/** Whether the head of an answer can be passed on; may be NULL.
	 * @return false: the attempt ends */
	bool (*has_head_room)(void *ctx, const struct header_list *headers);
};

/** Modules that a relay uses. */
struct relay_deps {
	/** A target said in an answer that it leaves. */
	void (*on_target_leaving)(
	    void *ctx, const char *id, int64_t started_ms);
	void *ctx;
	struct loop *lp;
	struct slots *slots;
	struct outbound *outbound;
	const struct fleet *fleet;
	const struct dialect_ops *dialect;
	struct target_activity *activity;
};

struct relay_options {
	const char *method;
	const char *uri;
	/** Header fields to forward; borrowed. */
	const struct header_list *headers;
	GBytes *body;
	const char *attempt_id;
	const char *service;
	bool is_batch;
	/** Online: latest useful start at a target. Batch: due time. */
	int64_t deadline_us;
	/** Batch: expected run time; 0 if unknown. */
	int64_t expected_run_us;
	/** Deadline of the final answer; 0: none. */
	int64_t answer_deadline_us;
	/** Sent to the target as the time remaining; 0: none. */
	int64_t caller_deadline_us;
	/** Maximum number of attempts; a batch item that leaves a silent target
	 * may have more. */
	int32_t attempts_max;
	bool may_repeat;
	bool is_resumable;
	int64_t last_event_id;
	uint64_t prefix;
	struct slot_parts parts;
	/** Team that the request is attributed to; NULL or "": none. */
	const char *team;
	/** Online: weight and priority of the team, see slots.h. */
	uint32_t weight;
	uint32_t priority;
	/** The configuration has teams: what identifies the caller is not
	 * forwarded. */
	bool strips_credentials;
	/** A target that sends no event for this long keeps the request until
	 * another one is granted. */
	int64_t stall_timeout_us;
	/** The same after the first event; 0: as before it. */
	int64_t pause_timeout_us;
	/** Maximum bytes of all events of a stream; 0: no limit. */
	int64_t stream_bytes_max;
	const struct relay_ops *ops;
	void *ctx;
};

/** One request with all its attempts. */
struct relay;

struct relay *relay_start(
    const struct relay_deps *deps, const struct relay_options *opt);

/** True while no target runs the request and a slot is awaited. */
bool relay_waits_for_slot(const struct relay *rl);

/**
 * The daemon stops: no attempt begins later than this; a request that waits for
 * one then ends, and one that runs then keeps its target.
 * @param until_us INT64_MAX: no limit
 */
void relay_limit_start(struct relay *rl, int64_t until_us);

/** Ends the request because the daemon stops; on_end is called. */
void relay_give_up(struct relay *rl);

/** Memory is short: what is kept of the answer is dropped at once, and the
 * attempt ends a moment later. */
void relay_drop_answer(struct relay *rl);

/** Cancels the request and its transfer at once; on_end is not called. */
void relay_cancel(struct relay *rl);

#endif

#ifndef SAVORYFLOW_GATEWAY_RELAY_H
#define SAVORYFLOW_GATEWAY_RELAY_H

#include "gateway/dialect.h"
#include "gateway/event_splitter.h"
#include "gateway/outbound.h"
#include "gateway/slots.h"

/** How a request ended for the one who sent it. */
enum relay_outcome {
	/** The whole answer was handed over. */
	kRelayComplete,
	/** It did not run and never will. */
	kRelayRefused,
	/** It may have run; nothing of an answer was handed over. */
	kRelayFailed,
	/** Part of an answer was handed over and no more comes. */
	kRelayInterrupted,
	/** The time is up; nothing of an answer was handed over. */
	kRelayTimeout,
	/** Batch: the slot was taken back. */
	kRelayRevoked,
};

struct relay_result {
	enum relay_outcome outcome;
	/** Refused: when to come back. */
	int64_t retry_after_us;
	/** Targets that the request was sent to. */
	int32_t attempts;
	/** Time that the last attempt waited for its slot. */
	int64_t slot_wait_us;
	/** How the last attempt ended, for the log. */
	const char *cause;
	char target[kFleetNameMax];
};

/** Runs on the loop, never from within relay_start. */
struct relay_ops {
	/** Head of the answer that will be handed over. */
	void (*on_head)(
	    void *ctx, int32_t status, const struct header_list *headers);
	/** A whole event of a stream, or part of another body. */
	void (*on_data)(void *ctx, const struct stream_event *ev);
	/** A run broke off before it brought any part of an answer; may be
	 * NULL. @return false if the request must not run again */
	bool (*on_no_response)(void *ctx);
	/** The last call. */
	void (*on_end)(void *ctx, const struct relay_result *verdict);
};

/** When targets were last heard, by name: struct target_activity. */
struct target_activity;

struct target_activity *target_activity_new(void);
void target_activity_free(struct target_activity *ta);

/** What a relay works with. */
struct relay_deps {
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
	/** Fields to be sent along; borrowed. */
	const struct header_list *headers;
	GBytes *body;
	const char *attempt_id;
	const char *service;
	bool is_batch;
	/** Online: latest useful start at a target. Batch: when it is due. */
	int64_t deadline_us;
	/** Batch: expected time of the run; 0 if that is not known. */
	int64_t expected_run_us;
	/** Time of the final answer; 0: none. */
	int64_t answer_deadline_us;
	/** Passed on as the time left; 0: none. */
	int64_t caller_deadline_us;
	/** Targets that it may be sent to. */
	int32_t attempts_max;
	bool may_repeat;
	bool is_resumable;
	int64_t last_event_id;
	uint64_t prefix;
	/** A target without a sign of life for so long is given up, if another
	 * one may take over. */
	int64_t stall_timeout_us;
	const struct relay_ops *ops;
	void *ctx;
};

/** One request on its way to targets, with all its attempts. */
struct relay;

struct relay *relay_start(
    const struct relay_deps *deps, const struct relay_options *opt);

/** Ends the request; its target is left at once; no on_end follows. */
void relay_cancel(struct relay *rl);

#endif

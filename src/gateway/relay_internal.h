#ifndef SAVORYFLOW_GATEWAY_RELAY_INTERNAL_H
#define SAVORYFLOW_GATEWAY_RELAY_INTERNAL_H

#include "gateway/answer.h"
#include "gateway/relay.h"

/* Internal to the relay module. */

enum relay_phase {
	kPhaseAcquiring,
	kPhaseRunning,
	kPhaseDone,
};

struct relay {
	struct relay_deps deps;
	struct relay_options opt;
	char *method;
	char *uri;
	struct header_list *headers;
	GBytes *body;
	char *attempt_id;
	char *service;
	char *team;

	enum relay_phase phase;
	uint64_t slot;
	char target[kFleetNameMax];
	char target_address[kFleetAddressMax];
	/** When the request was sent to it. */
	int64_t sent_us;
	/** Start of the target, to which its answer refers. */
	int64_t target_started_ms;
	struct outbound_request *request;
	uint64_t deadline_timer;
	/** Set while the daemon stops: until its end, attempts may begin. */
	uint64_t start_timer;
	bool is_start_over;
	/** It ends because the daemon stops. */
	bool is_draining;
	/** It ends because it must not be sent. */
	bool is_withheld;
	enum relay_permit permit;
	const char *withheld_cause;
	/** It waits until it may be sent, without a slot; 0: it does not. */
	uint64_t permit_timer;
	int64_t permit_until_us;
	uint64_t stall_timer;
	/** When the stall timer is due. */
	int64_t stall_due_us;
	/** Time of the last event before the target was found silent; 0 while
	 * it is not. */
	int64_t silent_since_us;
	int32_t silences;
	/** Slot requested beside a silent attempt; 0: none. */
	uint64_t takeover_slot;
	int64_t takeover_requested_us;
	/** The slot waited for was requested as takeover_slot. */
	bool has_adopted_slot;
	int64_t started_us;
	int64_t slot_requested_us;
	/** Network time of a new connection and a request to the current
	 * target. */
	int64_t link_us;
	int64_t slot_wait_us;
	/** Time of the last event from the target, or of the send. */
	int64_t last_activity_us;
	/** The current data completed an event. */
	bool has_new_event;
	int64_t stream_bytes;

	/* Attempts that may have been executed, and those that were not. */
	int32_t attempts;
	int32_t not_executed_count;
	int32_t unreachable_count;
	const char *cause;

	/* The current response. */
	int32_t status;
	struct header_list *answer_headers;
	struct dialect_response response;
	enum answer_verdict verdict;
	/** An attempt not counted in attempts may have been executed. */
	bool has_unproven_refusal;
	bool is_stream;
	/** The target of the last attempt said that it is full. */
	bool was_turned_away;
	/** A success that its target has not signed. */
	bool is_unsigned;
	struct event_splitter events;
	GString *answer_body;
	/** Last size that hold_answer allowed. */
	size_t held_bytes;
	/** It did not allow more. */
	bool lacks_memory;
	/** The head of the answer is too long to be passed on. */
	bool is_head_too_long;
	/** Set from relay_drop_answer to the end of the attempt. */
	uint64_t drop_timer;
	/** The head, and possibly body data, was passed on. */
	bool is_answering;
	/** Events of the current run, and whether one has begun its answer. */
	int32_t run_events;
	int64_t first_event_us;
	bool has_begun;
	bool has_lost_run;
};

/** What happens to an attempt's transfer. */
extern const struct outbound_ops relay_transfer_ops;

/** The attempt did not return a usable answer: retries, or ends the request. */
void relay_fail_attempt(
    struct relay *rl, enum slot_outcome outcome, const char *cause);

/** Cancels the transfer and releases the slot. */
void relay_release_target(struct relay *rl, enum slot_outcome outcome);

/** Ends the request. */
void relay_finish(
    struct relay *rl, enum relay_outcome outcome, int64_t retry_after_us);

/** Whether a further attempt is allowed. */
bool relay_may_retry(const struct relay *rl);

/**
 * Requests a slot at another target than the current one.
 * @param is_strict never at the current one; otherwise only if possible
 */
uint64_t relay_acquire_slot(struct relay *rl, bool is_strict);

/** Sends the request to a target whose slot is held, or ends it if it must not
 * run. */
void relay_send(struct relay *rl, const struct fleet_target *target);

/** Whether the request may be sent now, as far as its owner can tell. */
bool relay_may_send(struct relay *rl);

/** The request must not be sent now: it waits for a moment, or ends. */
void relay_withhold(struct relay *rl);

void relay_log_attempt(const struct relay *rl, const char *cause);

/* relay_hold.c */

/** Holds memory for further bytes of a body that is no stream.
 * @return false if there is none */
bool relay_hold_body(struct relay *rl, size_t len);

/** Holds the memory of an event that is not complete.
 * @return false if there is none */
bool relay_hold_events(struct relay *rl);

/** Frees what is kept of the answer, and gives its memory back. */
void relay_release_answer(struct relay *rl);

/* relay_takeover.c */

/** The target has sent an event, or was sent the request: watches for silence
 * from now on, if another target may take over. */
void relay_watch_silence(struct relay *rl);

/** Stops watching, and withdraws the request for another slot. */
void relay_withdraw_takeover(struct relay *rl);

/**
 * After the end of a silent attempt, the slot that was requested beside it is
 * waited for.
 * @return false if there is none
 */
bool relay_adopt_takeover(struct relay *rl);

void relay_on_takeover_refused(struct relay *rl);

/**
 * Moves the request from the silent target.
 * @param target NULL if the granted one cannot be used
 */
void relay_on_takeover_granted(
    struct relay *rl, const struct fleet_target *target);

#endif

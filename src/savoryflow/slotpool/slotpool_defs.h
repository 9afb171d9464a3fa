#ifndef SAVORYFLOW_SLOTPOOL_DEFS_H
#define SAVORYFLOW_SLOTPOOL_DEFS_H

#include "savoryflow/fleet/fleet.h"
#include "savoryflow/limits/stated_rate.h"

/** How the use of a slot ended, for the target's health. */
enum slot_outcome {
	kSlotServed,
	/** Says nothing about the target: the caller disconnected, or the slot
	 * was revoked. */
	kSlotNeutral,
	/** The target reported that it is full; it did not run the request. */
	kSlotFull,
	/** Connection failed, or another target has the address. */
	kSlotUnreachable,
	/** The answer was missing, incomplete or invalid. */
	kSlotFailed,
	/** No data from the target within the timeout. */
	kSlotUnresponsive,
	/** Nothing was sent to the target. Between daemons this is a flag. */
	kSlotUnused,
};

enum {
	/** Shared parts of a prompt that are told apart; the rest counts as the
	 * request's own. */
	kSlotPartsMax = 4,
};

/** The shared parts at the beginning of a prompt. */
struct slot_parts {
	int32_t count;
	/** Each key stands for its part and all before it. */
	uint64_t keys[kSlotPartsMax];
	int32_t tokens[kSlotPartsMax];
};

/** What a run's answer shows of its target's speed. */
struct slot_run_times {
	/** From the send to the first event; 0: unknown. */
	int64_t first_event_us;
	/** Mean time between events; 0: unknown. */
	int64_t pace_us;
	int32_t events;
};

/** What decides between targets with a free slot. */
enum slot_choice {
	/** Expected time to the first event. */
	kSlotChoiceFirstEvent,
	/** Share of slots in use; a kept prompt part offsets one slot. */
	kSlotChoiceShare,
	/** Number of requests. */
	kSlotChoiceLeastRequests,
};

/** A request for a slot on any target of the pool. */
struct slot_request {
	/** Unique across all daemons. */
	uint64_t id;
	/** Index of the requesting daemon, assigned by the pool's owner. */
	uint32_t holder;
	bool is_batch;
	/** Online: latest useful start. Batch: when the item is due. */
	int64_t deadline_us;
	/** Batch: expected run time; 0 if unknown. */
	int64_t expected_run_us;
	/** Target to exclude, or empty. */
	char excluded_target[kFleetNameMax];
	/** Hash of the shared parts of the prompt; 0 if there are none. */
	uint64_t prefix;
	/** The same parts one by one; none if the daemon does not say. */
	struct slot_parts parts;
	/** Online: team that the request is attributed to; 0: there are no
	 * teams. */
	uint64_t team;
	/** Its weight in a scarce pool, see team_share.h. */
	uint32_t weight;
	/** 0 first. */
	uint32_t priority;
	/** No pool has a healthy target: try any target. */
	bool is_last_resort;
	/** Online: its deadline passed in the queue; it starts late or is
	 * refused. Batch: it can no longer finish by its deadline. */
	bool is_late;
};

enum slotpool_verdict {
	kSlotGranted = 1,
	kSlotRefused,
	/** The slot is revoked; the holder is to release it. */
	kSlotRevoked,
	kSlotQueued,
	/** Between daemons only: the receiver does not know the pool. */
	kSlotUnknownPool,
};

/** A decision of the pool for one holder. */
struct slotpool_action {
	enum slotpool_verdict verdict;
	uint32_t holder;
	uint64_t id;
	/** Granted: the target. */
	char target[kFleetNameMax];
	/** Refused: time until a slot is likely to be free. */
	int64_t retry_after_us;
	/** Refused because the holder reaches no healthy target of the pool. */
	bool has_no_healthy_target;
	/** Granted: the target names a rate; the holder is to report if its
	 * answer no longer does. */
	bool is_rate_limited;
};

/** Requests that a pool has started at its targets. */
struct slotpool_starts {
	int32_t online;
	int32_t items;
	/** Items that were revoked for an online request. */
	int32_t preemptions;
};

struct slotpool_load {
	/** Slots of the targets that accept work. */
	int32_t slots;
	int32_t online;
	/** Includes revoked slots that are not released yet. */
	int32_t batch;
	int32_t online_queued;
	int32_t batch_queued;
	/** Mean time for which an online request holds a slot. */
	int64_t hold_us;
	/** Part of the above on targets that name a rate. */
	int32_t limited_slots;
	int32_t limited_online;
	int32_t limited_batch;
	/** Online requests that may start there now, by rates and slots. */
	int32_t limited_starts;
	/** Sum of the rates. */
	int64_t limited_milli_per_s;
};

/** What an answer of a target says of its rate. */
struct slotpool_rate {
	const char *target;
	/** Start of the target that said so. */
	int64_t started_ms;
	struct stated_rate said;
	/** Slot of the answer's run; 0: told by another daemon. */
	uint64_t slot;
	/** Listed: starts since slotpool_take_starts, and how many online
	 * requests may start now. */
	struct slotpool_starts starts;
	int32_t available;
};

#endif

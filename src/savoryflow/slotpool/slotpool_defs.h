#ifndef SAVORYFLOW_SLOTPOOL_DEFS_H
#define SAVORYFLOW_SLOTPOOL_DEFS_H

#include "savoryflow/fleet/fleet.h"

/** How the use of a slot ended, for the target's health. */
enum slot_outcome {
	kSlotServed,
	/** Nothing said of the target: the caller left, or it was revoked. */
	kSlotNeutral,
	/** The target said that it is full; it did not run the request. */
	kSlotFull,
	/** No connection, or another target has the address. */
	kSlotUnreachable,
	/** The answer broke off or was none. */
	kSlotFailed,
	/** No sign of life within its time. */
	kSlotUnresponsive,
};

/** A request for a slot on any target of the pool. */
struct slot_request {
	/** Unique over all daemons. */
	uint64_t id;
	/** Index of the daemon that asks, chosen by the caller. */
	uint32_t holder;
	bool is_batch;
	/** Online: the slot is of no use after that. Batch: when it is due. */
	int64_t deadline_us;
	/** Batch: expected time of its run; 0 if that is not known. */
	int64_t expected_run_us;
	/** Target that is to be avoided, or empty. */
	char excluded_target[kFleetNameMax];
	/** Hash of the prompt's shared parts; 0 if there are none. */
	uint64_t prefix;
	/** No pool has a healthy target: any one is to be tried. */
	bool is_last_resort;
	/** Online: its time has passed in the queue; it starts late, or not at
	 * all. Batch: it can't be done in time any more. */
	bool is_late;
};

enum slotpool_verdict {
	kSlotGranted = 1,
	kSlotRefused,
	/** The slot is taken back; it is to be released. */
	kSlotRevoked,
	kSlotQueued,
	/** Between daemons only: this one does not know the pool. */
	kSlotUnknownPool,
};

/** An answer of the pool to one holder. */
struct slotpool_action {
	enum slotpool_verdict verdict;
	uint32_t holder;
	uint64_t id;
	/** Granted: the target. */
	char target[kFleetNameMax];
	/** Refused: when a slot is likely to be free. */
	int64_t retry_after_us;
	/** Refused since no target of the pool is healthy. */
	bool has_no_healthy_target;
};

struct slotpool_load {
	/** Slots of the targets that may be given work. */
	int32_t slots;
	int32_t online;
	/** Revoked slots that are not given back yet are among them. */
	int32_t batch;
	int32_t online_queued;
	int32_t batch_queued;
	/** Mean time that online holds a slot. */
	int64_t hold_us;
};

#endif

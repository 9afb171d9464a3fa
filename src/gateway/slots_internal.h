#ifndef SAVORYFLOW_GATEWAY_SLOTS_INTERNAL_H
#define SAVORYFLOW_GATEWAY_SLOTS_INTERNAL_H

#include "gateway/slots.h"
#include "savoryflow/slotpool/slotpool.h"

/* Shared by the files of the slots module only. */

enum {
	kPoolKeyMax = 2 * kFleetNameMax,
	/* Pools that are asked one after the other: each takes its time, and
	 * a refusal is to come early. */
	kPoolsTriedMax = 2,
};

/** An arbiter that this daemon hosts. */
struct hosted_pool {
	char service[kFleetNameMax];
	char data_center[kFleetNameMax];
	struct slotpool *pool;
	struct slotpool_load told;
	int64_t told_us;
	int64_t logged_us;
	int64_t used_us;
};

/** A pool as this daemon sees it. */
struct pool_view {
	char service[kFleetNameMax];
	char data_center[kFleetNameMax];
	char key[kPoolKeyMax];
	/** Slots of its targets that take work, by the list. */
	int32_t listed_slots;
	struct slotpool_load load;
	int64_t load_at_us;
	/** Epoch of the arbiter that told the load. */
	uint64_t epoch;
	/** Online slots asked for or granted since then, less those given
	 * back. */
	int32_t since;
};

enum hold_phase {
	kHoldAsking,
	kHoldQueued,
	kHoldGranted,
	/** Granted by this daemon's own share: no arbiter answered. */
	kHoldLocal,
};

/** A slot that this daemon's requests hold or wait for. */
struct hold {
	struct slot_request ask;
	char service[kFleetNameMax];
	enum hold_phase phase;
	struct pool_view *view;
	char arbiter[kFleetAddressMax];
	char target[kFleetNameMax];
	int64_t asked_us;
	int64_t granted_us;
	int64_t renewed_us;
	/** When to come back, as the pools say that refused. */
	int64_t retry_after_us;
	/** Arbiters that did not answer. */
	int32_t silent;
	/** Pools that refused. */
	struct pool_view *tried[kPoolsTriedMax];
	int32_t tried_count;
	const struct slots_ops *ops;
	void *ctx;
};

struct delivery {
	uint64_t id;
	enum slotpool_verdict verdict;
	char target[kFleetNameMax];
	int64_t retry_after_us;
	/** Refused: no target of the pool is healthy. */
	bool is_dead;
};

struct slots {
	struct slots_options opt;
	uint64_t epoch;
	uint64_t next_id;
	/** struct hold by id. */
	GHashTable *holds;
	/** struct pool_view and struct hosted_pool by key. */
	GHashTable *views;
	GHashTable *hosted;
	/** Addresses of daemons that asked; the index is the holder. */
	GPtrArray *holders;
	GArray *deliveries;
	uint64_t timer;
};

/* slots.c */

/** Asks the arbiter of a hold; adopt_target: the slot is held there already. */
void slots_send_ask(
    struct slots *sl, const struct hold *h, const char *adopt_target);

/** Tells the arbiter of a hold how the use of the slot ended. */
void slots_send_note(
    struct slots *sl, const struct hold *h, enum slot_outcome outcome);

/* slots_choice.c */

/** View of a pool, made when it is first seen. */
struct pool_view *slots_view(
    struct slots *sl, const char *service, const char *data_center);

/** Expected wait of one more online request at the pool. */
int64_t slots_view_wait_us(
    const struct slots *sl, const struct pool_view *view);

/**
 * Chooses the pool for a request that was refused by those it has tried.
 * @param retry_after_us set if there is none: when to come back
 */
struct pool_view *slots_choose_pool(
    struct slots *sl, const struct hold *h, int64_t *retry_after_us);

/** True if no pool of the service has a healthy target. */
bool slots_all_unhealthy(const struct slots *sl, const char *service);

/* slots_host.c */

/** Passes a request for a slot to an arbiter hosted here. */
void slots_host_ask(struct slots *sl, const struct slot_request *ask,
    const char *service, const char *data_center, const char *adopt_target);
void slots_host_release(struct slots *sl, const char *service,
    const char *data_center, uint64_t id, enum slot_outcome outcome);
void slots_host_targets_changed(struct slots *sl);
void slots_host_forget(struct slots *sl, const char *address);
void slots_host_tick(struct slots *sl, int64_t now_us);
void slots_host_free(void *p);
uint32_t slots_holder(struct slots *sl, const char *address);
void slots_host_on_ask(
    struct slots *sl, const char *from, const Sfpeer__SlotAsk *wire);
void slots_host_on_note(
    struct slots *sl, const char *from, const Sfpeer__SlotNote *wire);

/** Queues an answer to a request of this daemon. */
void slots_deliver(struct slots *sl, const struct delivery *del);

#endif

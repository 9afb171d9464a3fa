#ifndef SAVORYFLOW_BUDGET_BUDGET_H
#define SAVORYFLOW_BUDGET_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "os/clock.h"

/*
 * Memory that a process may use for its clients: it is charged to debtors, one
 * for each connection, by account. The module decides which debtor may grow,
 * which one waits, and which one is closed so that others can be served. It
 * does no I/O; each decision on a chunk takes constant time.
 */

enum {
	/** A request whose debtor has no more than this is ordinary: it may
	 * use the reserve. */
	kBudgetOrdinaryBytes = 64 * 1024,
	/** Fewer bytes in kBudgetIdleUs are no progress: callers send or read
	 * 4 KiB/s or more. */
	kBudgetProgressBytes = 4096,
	/** Time without progress after which a debtor is idle. */
	kBudgetIdleUs = 1 * kUsPerS,
	/** Longest wait of a body beside others that wait: the usual objective
	 * for the first event, after which an answer is of little use. */
	kBudgetWaitUs = 300 * kUsPerMs,
	/** Bodies that may wait at the same time. More would share what becomes
	 * free, and none would be received. */
	kBudgetWaitersMax = 8,
	/** Longest wait of a body that is the only one. */
	kBudgetLoneWaitUs = 3 * kUsPerS,
};

/** What memory is used for. */
enum budget_account {
	/** Connections, with the buffers of the HTTP library. */
	kBudgetConnections,
	/** Heads of requests. */
	kBudgetHeads,
	/** Bodies that are being received. */
	kBudgetReading,
	/** Bodies of requests that run. */
	kBudgetHeld,
	/** Answers that their callers have not read. */
	kBudgetUnread,
	/** Answers that targets are sending, as far as they are kept. */
	kBudgetAnswers,
	kBudgetAccountCount,
};

/** What a debtor waits for. */
enum budget_phase {
	/** Its client has no request. */
	kBudgetIdle,
	/** Its client sends a request. */
	kBudgetSending,
	/** A target or the store; its client cannot shorten that. */
	kBudgetRunning,
	/** Its client reads the answer. */
	kBudgetAnswering,
};

enum budget_verdict {
	/** The bytes are charged. */
	kBudgetGranted,
	/** Nothing is charged: the body is not read on until
	 * budget_next_ready returns its debtor. */
	kBudgetWait,
	/** Nothing is charged: the answer cannot be kept. */
	kBudgetRefused,
};

struct budget_options {
	/** Most bytes of all debtors; 0: no limit. */
	int64_t limit_bytes;
	/** Part of it that only ordinary requests may use. */
	int64_t reserve_bytes;
};

/** One client's connection. The fields belong to the module. */
struct budget_debtor {
	void *owner;
	/** Listener that accepted it. */
	const void *group;
	enum budget_phase phase;
	int64_t bytes[kBudgetAccountCount];
	int64_t total_bytes;
	/** Time of the last progress, and bytes since. */
	int64_t progress_us;
	int64_t progress_bytes;
	/** Order in which requests began. */
	uint64_t order;
	/** Time since which it waits; 0: it does not wait. */
	int64_t waiting_since_us;
	GList by_progress;
	GList by_wait;
	bool is_listed;
};

/** Usage by account. */
struct budget_usage {
	int64_t limit_bytes;
	int64_t used_bytes;
	int64_t bytes[kBudgetAccountCount];
	int32_t debtors;
	int32_t waiting;
	/** The high mark was crossed, and the low mark not since. */
	bool is_short;
};

struct budget;

struct budget *budget_new(const struct budget_options *opt);
void budget_free(struct budget *b);

/**
 * Options of a VM with this memory. A fifth of the memory stays free; the rest
 * is for the process itself, and for memory that the allocator cannot reuse.
 * @param memory_mib memory of the VM; 0: no limit
 */
struct budget_options budget_options_of_vm(int64_t memory_mib);

/** Adds a connection; owner and group are returned with victims. */
void budget_add(struct budget *b, struct budget_debtor *d, void *owner,
    const void *group, int64_t now_us);

/** Releases all of a debtor's bytes and removes it; may be repeated. */
void budget_remove(struct budget *b, struct budget_debtor *d);

/** Sets what a debtor waits for; this counts as progress. */
void budget_set_phase(struct budget *b, struct budget_debtor *d,
    enum budget_phase phase, int64_t now_us);

/**
 * Charges bytes of a body (kBudgetReading) or an answer (kBudgetUnread), if
 * there is room. Bytes of a body count as progress of its client.
 */
enum budget_verdict budget_grow(struct budget *b, struct budget_debtor *d,
    enum budget_account account, int64_t bytes, int64_t now_us);

/** Bytes that others use of the same limit; they belong to no debtor. */
void budget_set_other(struct budget *b, int64_t bytes);

/** Charges bytes that exist already, whether there is room or not. */
void budget_charge(struct budget *b, struct budget_debtor *d,
    enum budget_account account, int64_t bytes);

/** Releases bytes; an account never falls below zero. */
void budget_release(struct budget *b, struct budget_debtor *d,
    enum budget_account account, int64_t bytes);

/** Releases all bytes of an account. */
void budget_clear(
    struct budget *b, struct budget_debtor *d, enum budget_account account);

/** Moves all bytes of one account to another. */
void budget_move(struct budget *b, struct budget_debtor *d,
    enum budget_account from, enum budget_account to);

/** The client has sent or read bytes. */
void budget_progress(
    struct budget *b, struct budget_debtor *d, int64_t bytes, int64_t now_us);

/**
 * The debtor to close, if others lack memory: the largest idle one. If more
 * than kBudgetWaitersMax wait, or one has waited for kBudgetWaitUs: the last
 * request that waits, but ordinary ones only if no other waits. The only one
 * that waits may do so for kBudgetLoneWaitUs. It stays a debtor until
 * budget_remove.
 * @return NULL if there is none or memory is not short
 */
struct budget_debtor *budget_victim(struct budget *b, int64_t now_us);

/** The debtor with the most bytes of an account; NULL if none has any. */
struct budget_debtor *budget_largest(
    struct budget *b, enum budget_account account);

/**
 * The largest idle debtor that is larger than the connection alone, whether
 * memory is short or not; for an answer that cannot wait.
 * @return NULL if there is none
 */
struct budget_debtor *budget_largest_idle(struct budget *b, int64_t now_us);

/**
 * The debtor to close if a listener has too many connections: the one without
 * a request for the longest time, else the one without progress for the longest
 * time that waits for its client.
 * @param except the connection that needs the place; never returned
 * @return NULL if there is none
 */
struct budget_debtor *budget_longest_idle(
    struct budget *b, const void *group, const struct budget_debtor *except);

/**
 * The first request that waits and has room now; it no longer waits. Requests
 * are received in the order in which they began: if all shared the room, none
 * would be received in time.
 * @param promised_bytes room for the debtors that this returned a moment ago,
 *        kBudgetOrdinaryBytes for each
 * @return NULL if there is none
 */
struct budget_debtor *budget_next_ready(
    struct budget *b, int64_t promised_bytes, int64_t now_us);

/**
 * Usage now. The mark counts as crossed from the first wait or refusal until
 * nothing waits and half of the bytes that are not reserved are free.
 */
void budget_get_usage(struct budget *b, struct budget_usage *out);

/** Connections that a listener may have open. */
struct budget_connections {
	/** At the entry point for callers. */
	int32_t front;
	/** At each listener for operators. */
	int32_t operators;
	/** Connections beyond these numbers that are about to close. */
	int32_t closing;
};

/**
 * Divides the descriptors; a quarter, 64 or more, is kept for targets, the
 * store and peers.
 * @param descriptors of the process; 0: no limit
 * @param limit_bytes of the budget; 0: no limit
 * @param connection_bytes that each connection is charged
 * @param unlimited number of connections without limits
 */
struct budget_connections budget_connections_of_vm(int64_t descriptors,
    int64_t limit_bytes, int64_t connection_bytes, int32_t unlimited);

#endif

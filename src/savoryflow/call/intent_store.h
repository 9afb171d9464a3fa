#ifndef SAVORYFLOW_INTENT_STORE_H
#define SAVORYFLOW_INTENT_STORE_H

#include "store/store.h"

/*
 * Calls that may run at most once. Before the first byte of such a call
 * leaves, a row intent/TEAM/KEY is written under the condition that there is
 * none. The row is never removed by the system, so a resent key never runs
 * again.
 */

enum intent_state {
	/** This attempt may run the call. */
	kIntentAcquired,
	/** Another attempt runs it now. */
	kIntentInProgress,
	/** Another attempt began and its daemon is gone. */
	kIntentUnknown,
	/** It has run; the answer is stored. */
	kIntentDone,
	/** The key was used with another request. */
	kIntentMismatch,
	/** The store does not answer; nothing has run under this attempt. */
	kIntentStoreDown,
};

struct intent {
	char *team;
	char *key;
	/** SHA-256 of the request. */
	char *digest;
	/** Unique token of this attempt. */
	char *attempt;
	/** Peer address and incarnation of the daemon, "IP:PORT/N". */
	char *daemon;
	/** Finish: the call may have run, and its answer is lost. */
	bool is_outcome_unknown;
	/** Result of intent_begin_all. */
	enum intent_state state;
	/** Done: status, content type and body of the stored answer. */
	int32_t status;
	char *content_type;
	char *body;
	/** In progress or unknown: the daemon that began. */
	char *holder;
};

void intent_clear(struct intent *in);

/**
 * Writes intents in one transaction, or one by one if some conflict.
 * Sets the state of each.
 * @param intents struct intent *, with distinct keys
 */
void intent_begin_all(const struct store *store, GPtrArray *intents);

/**
 * Stores the answer, or that the outcome is unknown. Only the attempt that
 * began can do so.
 */
enum store_result intent_finish(
    const struct store *store, const struct intent *in);

/**
 * Takes the intent back: the call did not run, for certain. A later request
 * with the key may run.
 */
enum store_result intent_withdraw(
    const struct store *store, const struct intent *in);

#endif

#ifndef SAVORYFLOW_INTENT_STORE_H
#define SAVORYFLOW_INTENT_STORE_H

#include "store/store.h"

/*
 * Calls that may run at most once. Before the first byte of such a call is
 * sent, a row intent/TEAM/SHA256(KEY) is created, on condition that it does not
 * exist. No row is ever removed: the store may perform a write late, and a row
 * that does not exist would let an abandoned attempt begin. A withdrawn attempt
 * leaves a row that the next one replaces.
 */

enum intent_state {
	/** This attempt may run the call. */
	kIntentAcquired,
	/** Another attempt is running it. */
	kIntentInProgress,
	/** Another attempt started: its answer is lost or its daemon down. */
	kIntentUnknown,
	/** It has run; the answer is stored. */
	kIntentDone,
	/** The key was used with another request. */
	kIntentMismatch,
	/** The store does not answer; nothing has run under this attempt. */
	kIntentStoreDown,
	/** Another attempt did not run; this one may take its row. */
	kIntentWithdrawn,
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
	/** Finish: the call may have run, but its answer was lost. */
	bool is_outcome_unknown;
	/** Result of intent_begin_all. */
	enum intent_state state;
	/** Done: status, content type and body of the stored answer. */
	int32_t status;
	char *content_type;
	char *body;
	/** In progress: the daemon that started the call. */
	char *holder;
	/** Withdrawn: version of the row. */
	int64_t row_version;
};

void intent_clear(struct intent *in);

/**
 * Writes intents in one transaction, or one by one if any conflicts, and sets
 * the state of each.
 * @param intents struct intent *, with distinct keys
 */
void intent_begin_all(const struct store *store, GPtrArray *intents);

/**
 * Stores the answer, or that the outcome is unknown. Succeeds only for the
 * attempt that wrote the intent.
 */
enum store_result intent_finish(
    const struct store *store, const struct intent *in);

/**
 * Withdraws the intent of a call that certainly did not run. A later request
 * with the same key may run; a begin of this attempt that the store performs
 * late has no effect.
 * @return kStoreOk, kStoreConflict (the row is another attempt's or is
 * withdrawn already), or an error after which it has to be repeated
 */
enum store_result intent_withdraw(
    const struct store *store, const struct intent *in);

#endif

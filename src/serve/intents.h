#ifndef SAVORYFLOW_SERVE_INTENTS_H
#define SAVORYFLOW_SERVE_INTENTS_H

#include "savoryflow/call/intent_store.h"
#include "serve/daemon.h"

/** Group commit of intents, and storage of answers in the background. */
struct intents;

struct intents *intents_new(struct daemon *d);
void intents_free(struct intents *ins);

/**
 * Begins a call that runs at most once. Blocks until the intent is durable or
 * rejected, as in->state reports. Sets in->attempt and in->daemon.
 */
void intents_begin(struct intents *ins, struct intent *in);

/**
 * Stores the answer in the background, with retries; takes ownership of the
 * intent's contents.
 */
void intents_finish(struct intents *ins, struct intent *in);

/**
 * Withdraws the intent of a call that did not run; takes ownership of its
 * contents.
 */
void intents_withdraw(struct intents *ins, struct intent *in);

#endif

#ifndef SAVORYFLOW_SERVE_INTENTS_H
#define SAVORYFLOW_SERVE_INTENTS_H

#include "savoryflow/call/intent_store.h"
#include "serve/daemon.h"

/** Group commit of intents, and storing of answers in the background. */
struct intents;

struct intents *intents_new(struct daemon *d);
void intents_free(struct intents *ins);

/**
 * Begins a call that runs at most once. Blocks until the intent is durable or
 * refused; in->state says which. Sets in->attempt and in->daemon.
 */
void intents_begin(struct intents *ins, struct intent *in);

/** Stores the answer, with retries; takes the intent over. */
void intents_finish(struct intents *ins, struct intent *in);

/** Takes the intent of a call that did not run back; takes it over. */
void intents_withdraw(struct intents *ins, struct intent *in);

#endif

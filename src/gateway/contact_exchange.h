#ifndef SAVORYFLOW_GATEWAY_CONTACT_EXCHANGE_H
#define SAVORYFLOW_GATEWAY_CONTACT_EXCHANGE_H

#include "gateway/loop.h"
#include "gateway/roster.h"
#include "gateway/slots.h"

struct contact_exchange_options {
	struct loop *lp;
	struct roster *roster;
	const char *address;
	const char *session;
	const char *data_center;
	const struct slots_wire_ops *wire;
	void *wire_ctx;
};

/** What this daemon says of itself. */
struct contact_status {
	bool is_leaving;
	bool is_store_unreachable;
	int64_t store_answered_us;
};

/**
 * Tells a few neighbours in the data centre which daemons run there; works
 * without the store. Must be used on the event loop only.
 */
struct contact_exchange;

struct contact_exchange *contact_exchange_new(
    const struct contact_exchange_options *opt);
void contact_exchange_free(struct contact_exchange *ce);

/** Sends to the neighbours if a period has passed. */
void contact_exchange_tick(
    struct contact_exchange *ce, const struct contact_status *status);

/** Sends to the neighbours at once. */
void contact_exchange_send(
    struct contact_exchange *ce, const struct contact_status *status);

/** Records the contacts of a message. */
void contact_exchange_on_envelope(
    struct contact_exchange *ce, const Sfpeer__Envelope *env);

#endif

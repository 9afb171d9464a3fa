#ifndef SAVORYFLOW_SERVE_GRANTS_INTERNAL_H
#define SAVORYFLOW_SERVE_GRANTS_INTERNAL_H

#include <pthread.h>

#include "savoryflow/arbiter/arbiter.h"
#include "serve/grants.h"
#include "target/target_rates.h"

/* Private state of the grants module. */

enum held_phase {
	kHeldRequested,
	kHeldQueued,
	kHeldGranted,
	/** Runs on the local share, because the arbiter has not answered. */
	kHeldLocal,
	/** The crash is reported; waits for the verdict. */
	kHeldCrashed,
};

/* A grant that this daemon holds or has requested. */
struct held {
	struct admission_request req;
	struct route route;
	enum held_phase phase;
	bool uses_local_share;
	bool has_first_token;
	/** The target names a rate, as far as its arbiter knows. */
	bool is_rate_limited;
	int64_t requested_us;
	int64_t granted_us;
	const struct grant_ops *ops;
	void *ctx;
};

/* The arbiter of a target hosted by this daemon. */
struct hosted {
	char *target;
	struct arbiter *arb;
};

struct grants {
	struct daemon *d;
	pthread_mutex_t lock;
	/** struct held by id. */
	GHashTable *held;
	/** struct hosted by target name. */
	GHashTable *hosted;
	struct local_share *local;
	struct target_rates *rates;
	/** Addresses of the requesting daemons; the index identifies the
	 * holder. */
	GPtrArray *holders;
	GHashTable *holder_index;
};

/** True if this daemon arbitrates the target of a request. */
bool grants_is_local(const struct grants *gs, const struct held *h);

/* grant_rates.c; the lock is held. */

/** Fills the field of a message with the rate of a target that is known here.
 * @return NULL if there is none */
Sfpeer__TargetRate *grants_known_rate(
    const struct grants *gs, const char *target, Sfpeer__TargetRate *wire);

/** Fills the field of a message with the rate that an arbiter counts. */
Sfpeer__TargetRate *grants_arbiter_rate(
    const struct arbiter *arb, const char *target, Sfpeer__TargetRate *wire);

/** Applies a rate that came with a request to the arbiter hosted here. */
void grants_hear_rate(
    struct grants *gs, struct arbiter *arb, const Sfpeer__TargetRate *wire);

/** Learns the rate that came with a grant, or that there is none. */
void grants_learn_rate(
    struct grants *gs, struct held *h, const Sfpeer__TargetRate *wire);

#endif

#ifndef SAVORYFLOW_TARGET_RATES_H
#define SAVORYFLOW_TARGET_RATES_H

#include <glib.h>
#include <stdbool.h>

#include "savoryflow/limits/stated_rate.h"

/** A rate that a target has named. */
struct target_rate {
	char *target;
	/** Start of the target that named it. */
	int64_t started_ms;
	int64_t milli_per_s;
	/** When an answer to this daemon last named it; 0: never. */
	int64_t named_us;
	/** When this daemon last learnt it, from an answer or another daemon.
	 */
	int64_t learnt_us;
};

/** The rates that targets name, as far as this daemon knows. */
struct target_rates;

/** A target that may start anew under its id. */
struct target_start {
	const char *id;
	/** 0 if starts cannot be told apart. */
	int64_t started_ms;
};

struct target_rates *target_rates_new(void);
void target_rates_free(struct target_rates *tr);

/**
 * Applies what the answer to an attempt says, and logs changes.
 * @param sent_us when the attempt was sent: an answer ends a rate only if it is
 *        certainly newer than the one that named it
 * @param attempt_id for the log
 * @return true if the answer names a rate, or a known one no longer
 */
bool target_rates_on_answer(struct target_rates *tr,
    const struct target_start *target, const struct stated_rate *said,
    int64_t sent_us, const char *attempt_id, int64_t now_us);

/** Learns a rate from another daemon. */
void target_rates_learn(struct target_rates *tr,
    const struct target_start *target, int64_t milli_per_s, int64_t now_us);

/** Another daemon knows of no rate of the target: forgets one that this daemon
 * has not learnt lately. */
void target_rates_forget(
    struct target_rates *tr, const char *id, int64_t now_us);

bool target_rates_is_empty(const struct target_rates *tr);

/** The rate of a target, borrowed; NULL if it names none. */
const struct target_rate *target_rates_find(
    const struct target_rates *tr, const struct target_start *target);

#endif

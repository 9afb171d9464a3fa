#ifndef SAVORYFLOW_ARBITER_H
#define SAVORYFLOW_ARBITER_H

#include "savoryflow/arbiter/arbiter_defs.h"

/*
 * Admission control of one target, for all daemons that use it. Online
 * requests have priority over batch; batch is admitted as far as the tail
 * budget allows and is revoked when online needs its slot. All state is soft.
 * No I/O, no clock.
 *
 * Functions that take `out` append struct arbiter_action to it.
 */
struct arbiter;

struct arbiter *arbiter_new(const struct arbiter_options *opt);
void arbiter_free(struct arbiter *arb);

/** New array of struct arbiter_action. */
GArray *arbiter_actions_new(void);

/** Applies new options; existing grants are kept. */
void arbiter_configure(struct arbiter *arb, const struct arbiter_options *opt);

/** Requests a slot: granted or refused immediately, or queued. */
void arbiter_request(struct arbiter *arb, const struct admission_request *req,
    int64_t now_us, GArray *out);

/**
 * Adopts a grant issued by another arbiter or from a local share.
 * @param has_first_token the prompt is already prefilled
 */
void arbiter_adopt(struct arbiter *arb, const struct admission_request *req,
    bool has_first_token, int64_t now_us, GArray *out);

/** Records a granted stream's first token: its prompt is prefilled. */
void arbiter_first_token(
    struct arbiter *arb, uint64_t id, int64_t now_us, GArray *out);

/** Releases a grant, or withdraws a queued request. */
void arbiter_release(
    struct arbiter *arb, uint64_t id, int64_t now_us, GArray *out);

/**
 * Handles a report that the target crashed while it ran a granted request.
 * Suspects are the online requests still in prefill, or all online ones in
 * flight if no request is. An earlier suspect that is the only one at a second
 * crash is quarantined.
 */
enum arbiter_crash_verdict arbiter_crash(
    struct arbiter *arb, uint64_t id, int64_t now_us, GArray *out);

/** Releases the grants of a daemon that is down and drops its requests. */
void arbiter_remove_holder(
    struct arbiter *arb, uint32_t holder, int64_t now_us, GArray *out);

/** Applies what the target says of its rate; it counts from the next request or
 * tick. */
void arbiter_record_rate(
    struct arbiter *arb, const struct arbiter_rate *rate, int64_t now_us);

/** The rate that the target names, thousandths of a request a second; -1: none.
 */
int64_t arbiter_rate_milli(const struct arbiter *arb);

/** A leaving target gets no new work; its queued requests are rejected. */
void arbiter_set_leaving(
    struct arbiter *arb, bool is_leaving, int64_t now_us, GArray *out);

/**
 * Corrects the cost model by the measured step time of a load report.
 * @param streams streams that ran in the step, 1 or more
 */
void arbiter_observe_step(struct arbiter *arb, int32_t streams,
    int32_t prompt_tokens, int64_t step_us);

/** Periodic work: deadlines, leases, batch admission and shedding. */
void arbiter_tick(struct arbiter *arb, int64_t now_us, GArray *out);

struct arbiter_load arbiter_load_get(const struct arbiter *arb, int64_t now_us);

/** Maximum number of concurrent streams on the target. */
int32_t arbiter_capacity(const struct arbiter *arb);

#endif

#ifndef SAVORYFLOW_ARBITER_H
#define SAVORYFLOW_ARBITER_H

#include "savoryflow/arbiter/arbiter_defs.h"

/*
 * Admission to one target, for all daemons that use it. Online requests go
 * before batch; batch gets what the tail budget allows and is revoked when
 * online needs its place. All state is soft. No I/O, no clock.
 *
 * Functions that take `out` append struct arbiter_action to it.
 */
struct arbiter;

struct arbiter *arbiter_new(const struct arbiter_options *opt);
void arbiter_free(struct arbiter *arb);

/** New array of struct arbiter_action. */
GArray *arbiter_actions_new(void);

/** Takes new options over without losing grants. */
void arbiter_configure(struct arbiter *arb, const struct arbiter_options *opt);

/** Asks for a slot: granted or refused at once, or queued. */
void arbiter_request(struct arbiter *arb, const struct admission_request *ask,
    int64_t now_us, GArray *out);

/**
 * Adopts a grant that another arbiter or the local share gave.
 * @param has_first_token its prompt is prefilled
 */
void arbiter_adopt(struct arbiter *arb, const struct admission_request *ask,
    bool has_first_token, int64_t now_us, GArray *out);

/** A granted stream has its first token: its prompt is prefilled. */
void arbiter_first_token(
    struct arbiter *arb, uint64_t id, int64_t now_us, GArray *out);

/** A grant is given back, or a queued request withdrawn. */
void arbiter_release(
    struct arbiter *arb, uint64_t id, int64_t now_us, GArray *out);

/**
 * A granted request saw the target crash. Requests whose prompt had not been
 * prefilled yet are suspects, or all in flight if there were none. A suspect
 * that is alone so at a second crash is condemned.
 */
enum arbiter_crash_verdict arbiter_crash(
    struct arbiter *arb, uint64_t id, int64_t now_us, GArray *out);

/** The daemon is gone: its grants are free and its requests dropped. */
void arbiter_remove_holder(
    struct arbiter *arb, uint32_t holder, int64_t now_us, GArray *out);

/** A leaving target gets no new work; what is queued is turned away. */
void arbiter_set_leaving(
    struct arbiter *arb, bool is_leaving, int64_t now_us, GArray *out);

/**
 * Takes a load report: the measured time of a step corrects the cost model.
 * @param streams streams that ran in the step, 1 or more
 */
void arbiter_observe_step(struct arbiter *arb, int32_t streams,
    int32_t prompt_tokens, int64_t step_us);

/** Moves the time on: deadlines, leases, batch admission and shedding. */
void arbiter_tick(struct arbiter *arb, int64_t now_us, GArray *out);

struct arbiter_load arbiter_load_get(const struct arbiter *arb);

/** Streams that the target may run at once. */
int32_t arbiter_capacity(const struct arbiter *arb);

#endif

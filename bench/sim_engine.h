#ifndef BENCH_SIM_ENGINE_H
#define BENCH_SIM_ENGINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "savoryflow/arbiter/engine_cost.h"

/*
 * Model of an inference engine in virtual time: continuous batching, prompts
 * prefilled first come first served regardless of class, cancellation at the
 * next step, no priorities.
 */

struct sim_stream {
	uint64_t id;
	enum work_class work_class;
	int32_t daemon;
	int32_t prompt_tokens_remaining;
	int32_t tokens_remaining;
	int32_t tokens_generated;
	int64_t arrived_us;
	int64_t last_token_us;
	bool is_cancelled;
	/**
	 * Used by the policy. Of a cancelled batch stream, the stream that
	 * resumes it; before that, the arbiter policy sets it to any value but
	 * NULL when the stream gets its slot.
	 */
	void *ctx;
};

struct sim_engine_ops {
	/** A token was generated; is_first for the stream's first token. */
	void (*on_token)(void *ctx, struct sim_stream *st, bool is_first);
	/** All tokens were generated; the stream has left the engine. */
	void (*on_done)(void *ctx, struct sim_stream *st);
	/** A cancelled stream has left the engine. */
	void (*on_cancelled)(void *ctx, struct sim_stream *st);
};

struct sim_engine;

struct sim_engine *sim_engine_new(const struct engine_cost *cost,
    const struct sim_engine_ops *ops, void *ctx);
void sim_engine_free(struct sim_engine *en);

/** Adds a stream; it waits if the engine is full. The caller owns it. */
void sim_engine_add(struct sim_engine *en, struct sim_stream *st);

/**
 * Starts a step if there is work.
 * @return duration of the step in us, 0 if there is no work
 */
int64_t sim_engine_begin_step(struct sim_engine *en);

/** Ends the step: each running, prefilled stream generates a token. */
void sim_engine_end_step(struct sim_engine *en);

#endif

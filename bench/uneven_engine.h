#ifndef BENCH_UNEVEN_ENGINE_H
#define BENCH_UNEVEN_ENGINE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	kUnevenSlots = 8,
	kUnevenParts = 100,
	kUnevenPartsOfPrompt = 2,
	kUnevenOwnTokens = 50,
};

/** Tokens of the first and the second shared part. */
extern const int32_t uneven_part_tokens[kUnevenPartsOfPrompt];

/** A request at an engine. */
struct uneven_run {
	uint64_t id;
	bool is_batch;
	/** Keys of the shared parts, each with all parts before it. */
	uint64_t keys[kUnevenPartsOfPrompt];
	int32_t prompt_tokens;
	int32_t answer_tokens;
	int32_t made_tokens;
	int64_t arrived_us;
	int64_t granted_us;
	int64_t first_us;
	int64_t last_us;
	bool is_cancelled;
};

/** A target: an engine with continuous batching, and what its memory keeps. */
struct uneven_engine {
	double speed;
	/** A step with one running request, at speed 1. */
	double step_us;
	double tokens_per_ms;
	bool is_slow;
	/** struct uneven_run, in order of arrival. */
	GPtrArray *runs;
	/** End of the step that runs; 0: idle. */
	int64_t step_end_us;
	/** Kept parts by last use, most recent first: struct kept. */
	GQueue kept;
	/** Links of the queue by key. */
	GHashTable *links;
	int64_t kept_tokens;
	/** Sum over time of the running requests, in request microseconds. */
	int64_t busy_us;
	int64_t busy_at_us;
};

void uneven_engine_init(struct uneven_engine *en, double speed, GRand *rand);
void uneven_engine_clear(struct uneven_engine *en);

/** Adds a run. @return how many of its shared parts were found kept */
int32_t uneven_engine_add(
    struct uneven_engine *en, struct uneven_run *run, int64_t now_us);

/** Starts a step if there is work and none runs. */
void uneven_engine_begin_step(struct uneven_engine *en, int64_t now_us);

/** Removes a run that has ended; its tokens are kept. */
void uneven_engine_remove(
    struct uneven_engine *en, struct uneven_run *run, int64_t now_us);

#endif

/* Engine of uneven speed whose memory keeps shared parts of prompts. */
#include "uneven_engine.h"

#include <string.h>

enum {
	kUsPerMs = 1000,
	/* Memory of a target, in tokens, as the requirements state it. */
	kMemoryTokens = 147261,
	kPromptTokensPerStep = 512,
	kStepMinUs = 2300,
	kStepMaxUs = 3200,
	kTokensPerMsMin = 61,
	kTokensPerMsMax = 168,
};

/* Longer step for each further running request. */
static const double kStepPerRun = 0.05;
static const double kSlowdown = 2.5;

const int32_t uneven_part_tokens[kUnevenPartsOfPrompt] = {200, 250};

/** A part that the memory keeps. */
struct kept {
	uint64_t key;
	int32_t tokens;
};

void
uneven_engine_init(struct uneven_engine *en, double speed, GRand *rand)
{
	memset(en, 0, sizeof(*en));
	en->speed = speed;
	en->step_us = g_rand_double_range(rand, kStepMinUs, kStepMaxUs);
	en->tokens_per_ms =
	    g_rand_double_range(rand, kTokensPerMsMin, kTokensPerMsMax);
	en->runs = g_ptr_array_new_with_free_func(g_free);
	en->links = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&en->kept);
}

void
uneven_engine_clear(struct uneven_engine *en)
{
	g_ptr_array_unref(en->runs);
	g_hash_table_unref(en->links);
	g_queue_clear_full(&en->kept, g_free);
}

static void
count_busy(struct uneven_engine *en, int64_t now_us)
{
	en->busy_us += (now_us - en->busy_at_us) * en->runs->len;
	en->busy_at_us = now_us;
}

static int64_t
running_tokens(const struct uneven_engine *en)
{
	int64_t sum = 0;

	for (guint i = 0; i < en->runs->len; i++) {
		const struct uneven_run *run = en->runs->pdata[i];

		sum += kUnevenOwnTokens + run->made_tokens;
	}
	return sum;
}

static void
evict(struct uneven_engine *en)
{
	int64_t room = kMemoryTokens - running_tokens(en);

	while (en->kept_tokens > room && en->kept.tail != NULL) {
		struct kept *k = g_queue_pop_tail(&en->kept);

		en->kept_tokens -= k->tokens;
		g_hash_table_remove(en->links, &k->key);
		g_free(k);
	}
}

/* @return true if the part was kept */
static bool
use_part(struct uneven_engine *en, uint64_t key, int32_t tokens)
{
	GList *link = g_hash_table_lookup(en->links, &key);
	struct kept *k;

	if (link != NULL) {
		g_queue_unlink(&en->kept, link);
		g_queue_push_head_link(&en->kept, link);
		return true;
	}
	k = g_new(struct kept, 1);
	*k = (struct kept){key, tokens};
	g_queue_push_head(&en->kept, k);
	g_hash_table_insert(en->links, &k->key, en->kept.head);
	en->kept_tokens += tokens;
	return false;
}

int32_t
uneven_engine_add(
    struct uneven_engine *en, struct uneven_run *run, int64_t now_us)
{
	int32_t kept = 0;
	bool is_kept = true;

	count_busy(en, now_us);
	g_ptr_array_add(en->runs, run);
	run->prompt_tokens = kUnevenOwnTokens;
	for (int32_t i = 0; i < kUnevenPartsOfPrompt; i++) {
		is_kept &= use_part(en, run->keys[i], uneven_part_tokens[i]);
		if (is_kept)
			kept++;
		else
			run->prompt_tokens += uneven_part_tokens[i];
	}
	evict(en);
	return kept;
}

void
uneven_engine_begin_step(struct uneven_engine *en, int64_t now_us)
{
	int32_t budget = kPromptTokensPerStep;
	double us;

	if (en->step_end_us != 0 || en->runs->len == 0)
		return;
	for (guint i = 0; i < en->runs->len && budget > 0; i++) {
		struct uneven_run *run = en->runs->pdata[i];
		int32_t n = MIN(run->prompt_tokens, budget);

		run->prompt_tokens -= n;
		budget -= n;
	}
	us = en->step_us * (1 + kStepPerRun * (en->runs->len - 1)) +
	    (kPromptTokensPerStep - budget) / en->tokens_per_ms * kUsPerMs;
	us = us / en->speed * (en->is_slow ? kSlowdown : 1);
	en->step_end_us = now_us + (int64_t)us;
}

void
uneven_engine_remove(
    struct uneven_engine *en, struct uneven_run *run, int64_t now_us)
{
	count_busy(en, now_us);
	g_ptr_array_remove(en->runs, run);
}

/* Inference engine model in virtual time. */
#include "sim_engine.h"

struct sim_engine {
	struct engine_cost cost;
	const struct sim_engine_ops *ops;
	void *ctx;
	/* struct sim_stream in order of arrival; the first `running` run. */
	GPtrArray *streams;
	guint running;
};

struct sim_engine *
sim_engine_new(
    const struct engine_cost *cost, const struct sim_engine_ops *ops, void *ctx)
{
	struct sim_engine *en = g_new0(struct sim_engine, 1);

	en->cost = *cost;
	en->ops = ops;
	en->ctx = ctx;
	en->streams = g_ptr_array_new();
	return en;
}

void
sim_engine_free(struct sim_engine *en)
{
	g_ptr_array_unref(en->streams);
	g_free(en);
}

void
sim_engine_add(struct sim_engine *en, struct sim_stream *st)
{
	g_ptr_array_add(en->streams, st);
}

static void
remove_cancelled(struct sim_engine *en)
{
	guint kept = 0;
	guint n = en->streams->len;

	for (guint i = 0; i < n; i++) {
		struct sim_stream *st = en->streams->pdata[i];

		if (st->is_cancelled)
			en->ops->on_cancelled(en->ctx, st);
		else
			en->streams->pdata[kept++] = st;
	}
	g_ptr_array_set_size(en->streams, (gint)kept);
}

int64_t
sim_engine_begin_step(struct sim_engine *en)
{
	int32_t prompt_budget = en->cost.prompt_tokens_per_step;

	remove_cancelled(en);
	en->running = MIN(en->streams->len, (guint)en->cost.streams_max);
	if (en->running == 0)
		return 0;
	for (guint i = 0; i < en->running && prompt_budget > 0; i++) {
		struct sim_stream *st = en->streams->pdata[i];
		int32_t n = MIN(st->prompt_tokens_remaining, prompt_budget);

		st->prompt_tokens_remaining -= n;
		prompt_budget -= n;
	}
	return engine_cost_step_us(&en->cost, (int32_t)en->running,
	    en->cost.prompt_tokens_per_step - prompt_budget);
}

static bool
generate_token(struct sim_engine *en, struct sim_stream *st)
{
	if (st->prompt_tokens_remaining > 0)
		return false;
	st->tokens_generated++;
	st->tokens_remaining--;
	en->ops->on_token(en->ctx, st, st->tokens_generated == 1);
	return st->tokens_remaining == 0;
}

void
sim_engine_end_step(struct sim_engine *en)
{
	GPtrArray *completed = g_ptr_array_new();
	guint kept = 0;
	guint n = en->streams->len;

	for (guint i = 0; i < n; i++) {
		struct sim_stream *st = en->streams->pdata[i];

		if (i < en->running && generate_token(en, st))
			g_ptr_array_add(completed, st);
		else
			en->streams->pdata[kept++] = st;
	}
	g_ptr_array_set_size(en->streams, (gint)kept);
	for (guint i = 0; i < completed->len; i++)
		en->ops->on_done(en->ctx, completed->pdata[i]);
	g_ptr_array_unref(completed);
}

/* Plays the demand of a pool of uneven targets against the pool's module. */
#include <stdio.h>
#include <string.h>

#include "savoryflow/arbiter/u64_hash.h"
#include "sim_math.h"
#include "stats.h"
#include "uneven.h"
#include "uneven_engine.h"

enum {
	kUsPerMs = 1000,
	kUsPerS = 1000 * kUsPerMs,
	kQuantumUs = 250,
	kTickUs = 25 * kUsPerMs,
	kSlowPeriodUs = 600 * kUsPerMs,
	/* One of so many targets is slower at any time. */
	kSlowShare = 6,
	/* Demand alternates between peaks and troughs with this period. */
	kWavePeriodUs = 4 * kUsPerS,
	kObjectiveUs = 300 * kUsPerMs,
	kAnswerTokensMean = 120,
	kAnswerTokensMax = 600,
	kItemTokens = 200,
	kItemDueUs = 60 * kUsPerS,
	kDaemons = 80,
	kTargetsMax = 90,
	/* One of so many pauses is kept for the quantile. */
	kPauseSample = 16,
};

/* Peaks and troughs of demand over its mean; the share of peaks makes the mean
 * one. */
static const double kPeak = 1.87;
static const double kTrough = 0.38;
static const double kPeakShare = (1 - 0.38) / (1.87 - 0.38);

static const double speeds[] = {0.6, 1.0, 1.6};

struct play {
	const struct uneven_scenario *sc;
	enum slot_choice choice;
	struct slotpool *pool;
	GArray *actions;
	GRand *demand;
	GRand *trouble;
	struct uneven_engine engines[kTargetsMax];
	/** Requests that wait or run: struct uneven_run by id. */
	GHashTable *waiting;
	double part_sum[kUnevenParts];
	uint64_t next_id;
	int32_t items_waiting;
	int64_t now_us;
	int64_t next_arrival_us;
	GArray *pauses_us;
	GArray *firsts_us;
	uint32_t pauses;
	struct uneven_result res;
};

static double
exponential(GRand *rand)
{
	return -sim_log(1 - g_rand_double(rand));
}

/* The popularity of the parts falls with their rank. */
static int32_t
random_part(struct play *pl)
{
	double x = g_rand_double(pl->demand) * pl->part_sum[kUnevenParts - 1];

	for (int32_t i = 0; i < kUnevenParts; i++)
		if (x < pl->part_sum[i])
			return i;
	return kUnevenParts - 1;
}

static void
set_targets(struct play *pl)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(g_free);

	for (int32_t i = 0; i < pl->sc->targets; i++) {
		struct fleet_target *t = g_new0(struct fleet_target, 1);

		snprintf(t->id, sizeof(t->id), "%d", i);
		t->slots = kUnevenSlots;
		t->started_ms = 1;
		g_ptr_array_add(list, t);
	}
	slotpool_set_targets(pl->pool, list, pl->now_us, pl->actions);
	g_ptr_array_unref(list);
}

static void
start_run(struct play *pl, const struct slotpool_action *act)
{
	uint64_t id = act->id;
	struct uneven_engine *en = &pl->engines[atoi(act->target)];
	struct uneven_run *run = g_hash_table_lookup(pl->waiting, &id);

	g_hash_table_steal(pl->waiting, &id);
	if (run->is_batch)
		pl->items_waiting--;
	run->granted_us = pl->now_us;
	pl->res.parts_sent += kUnevenPartsOfPrompt;
	pl->res.parts_kept += uneven_engine_add(en, run, pl->now_us);
	uneven_engine_begin_step(en, pl->now_us);
}

static void
cancel_run(struct play *pl, const struct slotpool_action *act)
{
	struct uneven_engine *en = &pl->engines[atoi(act->target)];

	for (guint i = 0; i < en->runs->len; i++) {
		struct uneven_run *run = en->runs->pdata[i];

		if (run->id == act->id)
			run->is_cancelled = true;
	}
}

static void
run_actions(struct play *pl)
{
	for (guint i = 0; i < pl->actions->len; i++) {
		struct slotpool_action act =
		    g_array_index(pl->actions, struct slotpool_action, i);

		if (act.verdict == kSlotGranted)
			start_run(pl, &act);
		else if (act.verdict == kSlotRevoked)
			cancel_run(pl, &act);
		else if (act.verdict == kSlotRefused &&
		    g_hash_table_remove(pl->waiting, &act.id))
			pl->res.refused++;
	}
	g_array_set_size(pl->actions, 0);
}

/* The previous policy has one key for all parts, and none for items. */
static void
set_parts(struct play *pl, struct uneven_run *run, struct slot_request *req)
{
	uint64_t key = 0;

	for (int32_t i = 0; i < kUnevenPartsOfPrompt; i++) {
		key = key * (kUnevenParts + 1) + random_part(pl) + 1;
		run->keys[i] = key;
		req->parts.keys[i] = key;
		req->parts.tokens[i] = uneven_part_tokens[i];
	}
	if (pl->choice == kSlotChoiceFirstEvent)
		req->parts.count = kUnevenPartsOfPrompt;
	else
		req->prefix = req->is_batch ? 0 : key;
}

static void
request(struct play *pl, bool is_batch)
{
	struct uneven_run *run = g_new0(struct uneven_run, 1);
	double tokens = kAnswerTokensMean * exponential(pl->demand);
	struct slot_request req = {
	    .id = ++pl->next_id,
	    .holder = (uint32_t)g_rand_int_range(pl->demand, 0, kDaemons),
	    .is_batch = is_batch,
	    .deadline_us = pl->now_us + (is_batch ? kItemDueUs : kObjectiveUs),
	};

	run->id = req.id;
	run->is_batch = is_batch;
	set_parts(pl, run, &req);
	run->answer_tokens = is_batch
	    ? kItemTokens
	    : CLAMP((int32_t)tokens, 1, kAnswerTokensMax);
	run->arrived_us = pl->now_us;
	g_hash_table_insert(pl->waiting, &run->id, run);
	if (is_batch)
		pl->items_waiting++;
	else
		pl->res.online++;
	slotpool_request(pl->pool, &req, pl->now_us, pl->actions);
	run_actions(pl);
}

static void
record_event(struct play *pl, struct uneven_run *run)
{
	int64_t first_us = pl->now_us - run->arrived_us;
	int64_t pause_us = pl->now_us - run->last_us;

	run->made_tokens++;
	run->last_us = pl->now_us;
	if (run->made_tokens == 1)
		run->first_us = pl->now_us;
	if (run->is_batch)
		return;
	if (run->made_tokens > 1) {
		if (pl->pauses++ % kPauseSample == 0)
			g_array_append_val(pl->pauses_us, pause_us);
		return;
	}
	g_array_append_val(pl->firsts_us, first_us);
	pl->res.online_in_time += first_us <= kObjectiveUs;
}

static void
end_run(struct play *pl, struct uneven_engine *en, struct uneven_run *run)
{
	uint64_t id = run->id;
	bool is_done = !run->is_cancelled;
	struct slot_run_times times = {
	    .first_event_us = run->first_us - run->granted_us,
	    .pace_us = run->made_tokens > 1
		? (run->last_us - run->first_us) / (run->made_tokens - 1)
		: 0,
	    .events = run->made_tokens,
	};

	slotpool_record_run(pl->pool, id, &times, pl->now_us);
	pl->res.items_done += is_done && run->is_batch;
	uneven_engine_remove(en, run, pl->now_us);
	slotpool_release(pl->pool, id, is_done ? kSlotServed : kSlotNeutral,
	    pl->now_us, pl->actions);
}

static void
end_step(struct play *pl, struct uneven_engine *en)
{
	en->step_end_us = 0;
	for (guint i = en->runs->len; i-- > 0;) {
		struct uneven_run *run = en->runs->pdata[i];

		if (run->prompt_tokens == 0 && !run->is_cancelled)
			record_event(pl, run);
		if (run->is_cancelled || run->made_tokens >= run->answer_tokens)
			end_run(pl, en, run);
	}
	uneven_engine_begin_step(en, pl->now_us);
	run_actions(pl);
}

static double
demand_factor(int64_t now_us)
{
	double phase = (double)(now_us % kWavePeriodUs) / (double)kWavePeriodUs;

	return phase < kPeakShare ? kPeak : kTrough;
}

static void
play_arrivals(struct play *pl)
{
	while (pl->next_arrival_us <= pl->now_us) {
		double per_us =
		    pl->sc->online_per_s * demand_factor(pl->now_us) / kUsPerS;

		request(pl, false);
		pl->next_arrival_us +=
		    (int64_t)(exponential(pl->demand) / per_us);
	}
	while (pl->items_waiting < pl->sc->items_waiting)
		request(pl, true);
}

static void
change_speeds(struct play *pl)
{
	for (int32_t i = 0; i < pl->sc->targets; i++)
		pl->engines[i].is_slow = !pl->sc->is_even &&
		    g_rand_int_range(pl->trouble, 0, kSlowShare) == 0;
}

static void
play_quantum(struct play *pl)
{
	if (pl->now_us % kSlowPeriodUs == 0)
		change_speeds(pl);
	for (int32_t i = 0; i < pl->sc->targets; i++) {
		struct uneven_engine *en = &pl->engines[i];

		if (en->step_end_us != 0 && en->step_end_us <= pl->now_us)
			end_step(pl, en);
	}
	if (pl->now_us % kTickUs == 0) {
		slotpool_tick(pl->pool, pl->now_us, pl->actions);
		run_actions(pl);
	}
	play_arrivals(pl);
}

static void
play_init(struct play *pl, const struct uneven_scenario *sc,
    enum slot_choice choice, uint32_t seed)
{
	double sum = 0;

	memset(pl, 0, sizeof(*pl));
	pl->sc = sc;
	pl->choice = choice;
	pl->pool = slotpool_new();
	slotpool_set_choice(pl->pool, choice);
	pl->actions = slotpool_actions_new();
	pl->demand = g_rand_new_with_seed(seed);
	pl->trouble = g_rand_new_with_seed(seed + 1);
	pl->waiting = u64_hash_new(g_free);
	pl->pauses_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	pl->firsts_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (int32_t i = 0; i < kUnevenParts; i++)
		pl->part_sum[i] = sum += 1.0 / (i + 1);
	for (int32_t i = 0; i < sc->targets; i++)
		uneven_engine_init(&pl->engines[i],
		    sc->is_even ? 1 : speeds[i % G_N_ELEMENTS(speeds)],
		    pl->trouble);
	set_targets(pl);
}

static void
sum_up(struct play *pl)
{
	int64_t sum_us = 0;
	int64_t max_us = 0;

	for (int32_t i = 0; i < pl->sc->targets; i++) {
		sum_us += pl->engines[i].busy_us;
		max_us = MAX(max_us, pl->engines[i].busy_us);
	}
	pl->res.busiest_over_mean =
	    (double)max_us * pl->sc->targets / (double)sum_us;
	stats_sort(pl->pauses_us);
	stats_sort(pl->firsts_us);
	pl->res.pause_p99_ms = stats_quantile_ms(pl->pauses_us, 0.99);
	pl->res.first_p50_ms = stats_quantile_ms(pl->firsts_us, 0.5);
}

static void
play_clear(struct play *pl)
{
	for (int32_t i = 0; i < pl->sc->targets; i++)
		uneven_engine_clear(&pl->engines[i]);
	g_array_unref(pl->pauses_us);
	g_array_unref(pl->firsts_us);
	g_hash_table_unref(pl->waiting);
	g_rand_free(pl->demand);
	g_rand_free(pl->trouble);
	g_array_unref(pl->actions);
	slotpool_free(pl->pool);
}

struct uneven_result
uneven_play(
    const struct uneven_scenario *sc, enum slot_choice choice, uint32_t seed)
{
	struct play pl;

	play_init(&pl, sc, choice, seed);
	for (pl.now_us = 0; pl.now_us < (int64_t)sc->seconds * kUsPerS;
	     pl.now_us += kQuantumUs)
		play_quantum(&pl);
	sum_up(&pl);
	play_clear(&pl);
	return pl.res;
}

/*
 * Ways to share one target between online and batch, in virtual time with a
 * fixed seed: (fcfs) no priorities; (split) half of the slots each; (local)
 * each daemon its own part; (arbiter) the project's arbiter.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "bench.h"
#include "savoryflow/arbiter/arbiter.h"
#include "savoryflow/arbiter/local_share.h"
#include "savoryflow/arbiter/u64_hash.h"
#include "sim_engine.h"
#include "sim_math.h"
#include "stats.h"

enum {
	kMs = 1000,
	kSecond = 1000 * kMs,
	kHopUs = kMs,
	kTickUs = 10 * kMs,
	kWarmUpUs = 20 * kSecond,
	kRunUs = 220 * kSecond,
	kBurstPeriodUs = 20 * kSecond,
	kBurstUs = 2 * kSecond,
	kBurstFactor = 5,
	kOnlinePromptMean = 500,
	kOnlinePromptSpread = 250,
	kOnlineTokensMean = 240,
	kBatchPrompt = 300,
	kBatchTokens = 300,
	kGrantTimeoutUs = 40 * kMs,
	/* Time from the loss of an arbiter until another one serves. */
	kArbiterLossUs = 3 * kSecond,
	kTargetFirstTokenMs = 570,
	kTargetBetweenMs = 63,
	kWastedMostPercent = 5,
	kSeed = 20261204,
	kStrictestBudgetMs = 10,
	kLoosestBudgetUs = 400 * kMs,
};

/* Online requests a second that one engine carries, see docs/design/0002. */
static const double online_capacity_per_s = 15.65;
/* Tokens a second of a full batch of the batch shape within 63 ms. */
static const double batch_capacity_per_s = 4182;

static const struct engine_cost engine_cost = {15000, 150, 25000, 512, 234};

struct sim;

struct policy {
	const char *name;
	/** An online request has come to its daemon. */
	void (*online)(struct sim *sim, struct sim_stream *st);
	/** Room for batch may have come. */
	void (*feed)(struct sim *sim);
	void (*first_token)(struct sim *sim, struct sim_stream *st);
	/** A stream is out of the engine. */
	void (*left)(struct sim *sim, struct sim_stream *st);
};

struct scenario {
	const struct policy *policy;
	double load;
	int32_t daemons;
	int64_t tail_budget_us;
	bool has_batch;
	bool loses_arbiter;
};

typedef void (*event_fn)(struct sim *sim, uint64_t arg);

struct event {
	int64_t at_us;
	uint64_t seq;
	event_fn fn;
	uint64_t arg;
};

struct outcome {
	double first_p50, first_p95, first_p99;
	double between_p50, between_p95, between_p99;
	double batch_tokens_per_s;
	double idle_share;
	double wasted_percent;
	double reprefill_percent;
	double refused_percent;
	double tail_estimate;
};

struct sim {
	const struct scenario *sc;
	int64_t now_us;
	uint64_t seq;
	GSequence *events;
	GRand *rand;
	GRand *arrivals;
	struct sim_engine *engine;
	bool step_runs;
	uint64_t last_id;
	/** struct sim_stream by id. */
	GHashTable *streams;
	/** Batch streams in the engine, and of each daemon. */
	int32_t batch_running;
	int32_t online_running;
	int32_t used[64];
	GQueue waiting_online;
	GQueue daemon_waiting[64];
	GQueue daemon_batch[64];
	struct arbiter *arbiter;
	bool arbiter_lost;
	struct local_share *local;
	int32_t batch_asked;
	GArray *first_us;
	GArray *between_us;
	int64_t online_tokens;
	int64_t batch_tokens;
	int64_t wasted_tokens;
	int64_t batch_prefill;
	int64_t batch_reprefill;
	int64_t online_sent;
	int64_t refused;
};

static int
compare_events(const void *a, const void *b, void *ctx)
{
	const struct event *x = a;
	const struct event *y = b;

	if (x->at_us != y->at_us)
		return x->at_us < y->at_us ? -1 : 1;
	return x->seq < y->seq ? -1 : x->seq > y->seq;
}

static void
at(struct sim *sim, int64_t at_us, event_fn fn, uint64_t arg)
{
	struct event *ev = g_new(struct event, 1);

	ev->at_us = at_us;
	ev->seq = ++sim->seq;
	ev->fn = fn;
	ev->arg = arg;
	g_sequence_insert_sorted(sim->events, ev, compare_events, NULL);
}

static struct sim_stream *
stream_find(struct sim *sim, uint64_t id)
{
	return g_hash_table_lookup(sim->streams, &id);
}

static struct sim_stream *
stream_new(struct sim *sim, enum work_class work_class)
{
	struct sim_stream *st = g_new0(struct sim_stream, 1);

	st->id = ++sim->last_id;
	st->work_class = work_class;
	st->arrived_us = sim->now_us;
	g_hash_table_insert(sim->streams, &st->id, st);
	return st;
}

static struct sim_stream *
batch_new(struct sim *sim, int32_t daemon)
{
	struct sim_stream *st = stream_new(sim, kWorkBatch);

	st->daemon = daemon;
	st->prompt_tokens_remaining = kBatchPrompt;
	st->tokens_remaining = kBatchTokens;
	return st;
}

static bool
is_measured(const struct sim *sim)
{
	return sim->now_us >= kWarmUpUs;
}

/* Engine steps. */

static void start_step(struct sim *sim);

static void
step_done(struct sim *sim, uint64_t arg)
{
	sim->step_runs = false;
	sim_engine_end_step(sim->engine);
	sim->sc->policy->feed(sim);
	start_step(sim);
}

static void
start_step(struct sim *sim)
{
	int64_t took_us;

	if (sim->step_runs)
		return;
	took_us = sim_engine_begin_step(sim->engine);
	if (took_us == 0)
		return;
	sim->step_runs = true;
	at(sim, sim->now_us + took_us, step_done, 0);
}

static void
enter_engine(struct sim *sim, struct sim_stream *st)
{
	if (st->work_class == kWorkBatch) {
		sim->batch_running++;
		if (is_measured(sim)) {
			sim->batch_prefill += st->prompt_tokens_remaining;
			if (st->prompt_tokens_remaining > kBatchPrompt)
				sim->batch_reprefill +=
				    st->prompt_tokens_remaining;
		}
	} else {
		sim->online_running++;
	}
	sim->used[st->daemon]++;
	sim_engine_add(sim->engine, st);
	start_step(sim);
}

static void
on_token(void *ctx, struct sim_stream *st, bool first)
{
	struct sim *sim = ctx;
	int64_t gap_us;

	if (st->work_class == kWorkBatch) {
		if (is_measured(sim))
			(*(st->is_cancelled ? &sim->wasted_tokens
					    : &sim->batch_tokens))++;
		if (first && !st->is_cancelled)
			sim->sc->policy->first_token(sim, st);
		return;
	}
	gap_us = sim->now_us - (first ? st->arrived_us : st->last_token_us);
	st->last_token_us = sim->now_us;
	if (is_measured(sim)) {
		g_array_append_val(
		    first ? sim->first_us : sim->between_us, gap_us);
		sim->online_tokens++;
	}
	if (first)
		sim->sc->policy->first_token(sim, st);
}

static void
leave_engine(struct sim *sim, struct sim_stream *st)
{
	if (st->work_class == kWorkBatch)
		sim->batch_running--;
	else
		sim->online_running--;
	sim->used[st->daemon]--;
}

static void
on_done(void *ctx, struct sim_stream *st)
{
	struct sim *sim = ctx;

	leave_engine(sim, st);
	sim->sc->policy->left(sim, st);
	g_hash_table_remove(sim->streams, &st->id);
}

/* A revoked batch stream asks again, with its tokens as part of the prompt. */
static void
on_cancelled(void *ctx, struct sim_stream *st)
{
	struct sim *sim = ctx;
	struct sim_stream *again;

	leave_engine(sim, st);
	again = batch_new(sim, st->daemon);
	again->tokens_remaining = MAX(st->tokens_remaining, 1);
	again->prompt_tokens_remaining =
	    kBatchPrompt + kBatchTokens - again->tokens_remaining;
	st->ctx = again;
	sim->sc->policy->left(sim, st);
	g_hash_table_remove(sim->streams, &st->id);
}

static const struct sim_engine_ops engine_ops = {
    on_token, on_done, on_cancelled};

/* (fcfs) Everything goes to the engine at once; batch keeps it full. */

static void
fcfs_online(struct sim *sim, struct sim_stream *st)
{
	enter_engine(sim, st);
}

static void
fcfs_feed(struct sim *sim)
{
	while (
	    sim->sc->has_batch && sim->batch_running < engine_cost.streams_max)
		enter_engine(sim, batch_new(sim, 0));
}

static void
ignore_stream(struct sim *sim, struct sim_stream *st)
{
}

static const struct policy fcfs = {
    "fcfs", fcfs_online, fcfs_feed, ignore_stream, ignore_stream};

/* (split) Half of the slots for each class. */

static void
split_feed(struct sim *sim)
{
	int32_t half = engine_cost.streams_max / 2;

	while (sim->online_running < half &&
	    !g_queue_is_empty(&sim->waiting_online))
		enter_engine(sim, g_queue_pop_head(&sim->waiting_online));
	while (sim->sc->has_batch && sim->batch_running < half)
		enter_engine(sim, batch_new(sim, 0));
}

static void
split_online(struct sim *sim, struct sim_stream *st)
{
	g_queue_push_tail(&sim->waiting_online, st);
	split_feed(sim);
}

static const struct policy split = {
    "split", split_online, split_feed, ignore_stream, ignore_stream};

/* (local) Each daemon has its part of the slots, online first within it. */

static int32_t
local_part(const struct sim *sim)
{
	return MAX(engine_cost.streams_max / sim->sc->daemons, 1);
}

static void
local_feed(struct sim *sim)
{
	for (int32_t d = 0; d < sim->sc->daemons; d++) {
		GQueue *waiting = &sim->daemon_waiting[d];

		while (sim->used[d] < local_part(sim) &&
		    !g_queue_is_empty(waiting))
			enter_engine(sim, g_queue_pop_head(waiting));
		while (sim->sc->has_batch && sim->used[d] < local_part(sim)) {
			struct sim_stream *st = batch_new(sim, d);

			g_queue_push_tail(&sim->daemon_batch[d], st);
			enter_engine(sim, st);
		}
	}
}

static void
local_online(struct sim *sim, struct sim_stream *st)
{
	GQueue *batch = &sim->daemon_batch[st->daemon];

	if (sim->used[st->daemon] >= local_part(sim) &&
	    !g_queue_is_empty(batch))
		((struct sim_stream *)g_queue_pop_tail(batch))->is_cancelled =
		    true;
	g_queue_push_tail(&sim->daemon_waiting[st->daemon], st);
	local_feed(sim);
}

static void
local_left(struct sim *sim, struct sim_stream *st)
{
	g_queue_remove(&sim->daemon_batch[st->daemon], st);
	if (st->ctx != NULL) {
		struct sim_stream *again = st->ctx;

		/* Resumed batch waits at the end of the line: it is dropped
		 * here, as new batch work is always waiting. */
		g_hash_table_remove(sim->streams, &again->id);
	}
}

static const struct policy local = {
    "local", local_online, local_feed, ignore_stream, local_left};

/* (arbiter) The project's arbiter, one hop away from every daemon. */

static void run_actions(struct sim *sim, GArray *actions);

static struct admission_request
ask_of(const struct sim *sim, const struct sim_stream *st)
{
	return (struct admission_request){
	    .id = st->id,
	    .holder = (uint32_t)st->daemon,
	    .work_class = st->work_class,
	    .prompt_tokens = st->prompt_tokens_remaining,
	    .deadline_us = st->arrived_us + 120 * (int64_t)kSecond,
	    .team = (uint64_t)st->daemon,
	    .weight = 1,
	    .due_us = INT64_MAX / 2,
	};
}

static void
ask_arrives(struct sim *sim, uint64_t id)
{
	struct sim_stream *st = stream_find(sim, id);
	GArray *actions;
	struct admission_request ask;

	if (st == NULL || sim->arbiter_lost)
		return;
	ask = ask_of(sim, st);
	actions = arbiter_actions_new();
	arbiter_request(sim->arbiter, &ask, sim->now_us, actions);
	run_actions(sim, actions);
}

static void
grant_arrives(struct sim *sim, uint64_t id)
{
	struct sim_stream *st = stream_find(sim, id);

	if (st == NULL || st->ctx != NULL)
		return;
	st->ctx = st;
	if (st->work_class == kWorkBatch)
		sim->batch_asked--;
	enter_engine(sim, st);
	st->ctx = sim;
}

static void
revoke_arrives(struct sim *sim, uint64_t id)
{
	struct sim_stream *st = stream_find(sim, id);

	if (st != NULL)
		st->is_cancelled = true;
}

static void
first_token_arrives(struct sim *sim, uint64_t id)
{
	GArray *actions = arbiter_actions_new();

	if (!sim->arbiter_lost)
		arbiter_first_token(sim->arbiter, id, sim->now_us, actions);
	run_actions(sim, actions);
}

static void
release_arrives(struct sim *sim, uint64_t id)
{
	GArray *actions = arbiter_actions_new();

	if (!sim->arbiter_lost)
		arbiter_release(sim->arbiter, id, sim->now_us, actions);
	run_actions(sim, actions);
}

static void
refusal_arrives(struct sim *sim, uint64_t id)
{
	if (is_measured(sim))
		sim->refused++;
	g_hash_table_remove(sim->streams, &id);
}

static void
run_actions(struct sim *sim, GArray *actions)
{
	static const event_fn fns[] = {
	    [kArbiterGranted] = grant_arrives,
	    [kArbiterRefused] = refusal_arrives,
	    [kArbiterRevoked] = revoke_arrives,
	    [kArbiterLeaving] = refusal_arrives,
	};

	for (guint i = 0; i < actions->len; i++) {
		const struct arbiter_action *act =
		    &g_array_index(actions, struct arbiter_action, i);

		at(sim, sim->now_us + kHopUs, fns[act->verdict], act->id);
	}
	g_array_unref(actions);
}

/* No answer in time: the daemon's own share, or a refusal. */
static void
grant_timeout(struct sim *sim, uint64_t id)
{
	struct sim_stream *st = stream_find(sim, id);
	char name[16];

	if (st == NULL || st->ctx != NULL || !sim->arbiter_lost)
		return;
	g_snprintf(name, sizeof(name), "%d", st->daemon);
	if (local_share_acquire(sim->local, name,
		engine_cost.streams_max / sim->sc->daemons, 1))
		grant_arrives(sim, id);
	else
		refusal_arrives(sim, id);
}

static void
arbiter_online(struct sim *sim, struct sim_stream *st)
{
	at(sim, sim->now_us + kHopUs, ask_arrives, st->id);
	if (sim->sc->loses_arbiter)
		at(sim, sim->now_us + kGrantTimeoutUs, grant_timeout, st->id);
}

static void
arbiter_feed(struct sim *sim)
{
	/* Each daemon keeps some batch requests waiting. */
	while (sim->sc->has_batch && sim->batch_asked < 4 * sim->sc->daemons) {
		struct sim_stream *st = batch_new(sim,
		    (int32_t)g_rand_int_range(sim->rand, 0, sim->sc->daemons));

		sim->batch_asked++;
		at(sim, sim->now_us + kHopUs, ask_arrives, st->id);
	}
}

static void
arbiter_first(struct sim *sim, struct sim_stream *st)
{
	at(sim, sim->now_us + kHopUs, first_token_arrives, st->id);
}

static void
arbiter_left(struct sim *sim, struct sim_stream *st)
{
	at(sim, sim->now_us + kHopUs, release_arrives, st->id);
	if (st->is_cancelled) {
		struct sim_stream *again = st->ctx;

		sim->batch_asked++;
		at(sim, sim->now_us + kHopUs, ask_arrives, again->id);
	}
}

static const struct policy arbiter = {
    "arbiter", arbiter_online, arbiter_feed, arbiter_first, arbiter_left};

static void
arbiter_tick_event(struct sim *sim, uint64_t arg)
{
	GArray *actions = arbiter_actions_new();

	if (!sim->arbiter_lost)
		arbiter_tick(sim->arbiter, sim->now_us, actions);
	run_actions(sim, actions);
	at(sim, sim->now_us + kTickUs, arbiter_tick_event, 0);
}

static struct arbiter *
make_arbiter(const struct scenario *sc)
{
	struct arbiter_options opt = {
	    .cost = engine_cost,
	    .tail_budget_us = sc->tail_budget_us,
	    .token_interval_us = kTargetBetweenMs * kMs,
	    .cancel_latency_us = 100 * kMs,
	    .online_queue_max = 2000,
	    .batch_queue_max = 20000,
	    .grant_lease_us = 600 * (int64_t)kSecond,
	};

	return arbiter_new(&opt);
}

static void
arbiter_returns(struct sim *sim, uint64_t arg)
{
	GArray *actions = arbiter_actions_new();
	GHashTableIter it;
	void *val;

	sim->arbiter_lost = false;
	g_hash_table_iter_init(&it, sim->streams);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct sim_stream *st = val;
		struct admission_request ask = ask_of(sim, st);

		if (st->ctx == NULL)
			arbiter_request(
			    sim->arbiter, &ask, sim->now_us, actions);
		else if (!st->is_cancelled)
			arbiter_adopt(sim->arbiter, &ask,
			    st->tokens_generated > 0, sim->now_us, actions);
	}
	run_actions(sim, actions);
}

/* The arbiter is lost half a second into a burst. */
static void
arbiter_goes(struct sim *sim, uint64_t arg)
{
	arbiter_free(sim->arbiter);
	sim->arbiter = make_arbiter(sim->sc);
	sim->arbiter_lost = true;
	at(sim, sim->now_us + kArbiterLossUs, arbiter_returns, 0);
	at(sim, sim->now_us + 2 * (int64_t)kBurstPeriodUs, arbiter_goes, 0);
}

/* Arrivals. */

static double
rate_now(const struct sim *sim)
{
	double rate = sim->sc->load * online_capacity_per_s;

	if (sim->now_us % kBurstPeriodUs < kBurstUs)
		rate *= kBurstFactor;
	return rate;
}

static int32_t
draw_tokens(struct sim *sim)
{
	double u = g_rand_double(sim->arrivals);

	return (int32_t)MAX(-sim_log(1 - u) * kOnlineTokensMean, 1);
}

static void
online_arrives(struct sim *sim, uint64_t arg)
{
	struct sim_stream *st = stream_new(sim, kWorkOnline);

	st->daemon =
	    (int32_t)g_rand_int_range(sim->arrivals, 0, sim->sc->daemons);
	st->prompt_tokens_remaining = (int32_t)g_rand_int_range(sim->arrivals,
	    kOnlinePromptMean - kOnlinePromptSpread,
	    kOnlinePromptMean + kOnlinePromptSpread + 1);
	st->tokens_remaining = draw_tokens(sim);
	if (is_measured(sim))
		sim->online_sent++;
	sim->sc->policy->online(sim, st);
}

/* Arrivals are thinned from the burst's rate, so that they do not depend on
 * the policy. */
static void
next_arrival(struct sim *sim, uint64_t arg)
{
	double most = sim->sc->load * online_capacity_per_s * kBurstFactor;
	double gap_s = -sim_log(1 - g_rand_double(sim->arrivals)) / most;

	if (g_rand_double(sim->arrivals) < rate_now(sim) / most)
		online_arrives(sim, 0);
	at(sim, sim->now_us + (int64_t)(gap_s * kSecond) + 1, next_arrival, 0);
}

static void
read_outcome(struct sim *sim, struct outcome *out)
{
	double seconds = (double)(kRunUs - kWarmUpUs) / kSecond;
	double made = (double)(sim->batch_tokens + sim->wasted_tokens);
	double idle =
	    batch_capacity_per_s - (double)sim->online_tokens / seconds;

	stats_sort(sim->first_us);
	stats_sort(sim->between_us);
	out->first_p50 = stats_quantile_ms(sim->first_us, 0.5);
	out->first_p95 = stats_quantile_ms(sim->first_us, 0.95);
	out->first_p99 = stats_quantile_ms(sim->first_us, 0.99);
	out->between_p50 = stats_quantile_ms(sim->between_us, 0.5);
	out->between_p95 = stats_quantile_ms(sim->between_us, 0.95);
	out->between_p99 = stats_quantile_ms(sim->between_us, 0.99);
	out->batch_tokens_per_s = (double)sim->batch_tokens / seconds;
	out->idle_share = out->batch_tokens_per_s / MAX(idle, 1);
	out->wasted_percent =
	    made > 0 ? 100 * (double)sim->wasted_tokens / made : 0;
	out->reprefill_percent = sim->batch_prefill > 0
	    ? 100 * (double)sim->batch_reprefill / (double)sim->batch_prefill
	    : 0;
	out->tail_estimate =
	    (double)arbiter_load_get(sim->arbiter).tail_us / kMs;
	out->refused_percent =
	    100 * (double)sim->refused / (double)MAX(sim->online_sent, 1);
}

static void
sim_free(struct sim *sim)
{
	g_sequence_free(sim->events);
	g_rand_free(sim->rand);
	g_rand_free(sim->arrivals);
	sim_engine_free(sim->engine);
	g_hash_table_unref(sim->streams);
	g_queue_clear(&sim->waiting_online);
	for (int i = 0; i < 64; i++) {
		g_queue_clear(&sim->daemon_waiting[i]);
		g_queue_clear(&sim->daemon_batch[i]);
	}
	arbiter_free(sim->arbiter);
	local_share_free(sim->local);
	g_array_unref(sim->first_us);
	g_array_unref(sim->between_us);
	g_free(sim);
}

static struct sim *
sim_new(const struct scenario *sc)
{
	struct sim *sim = g_new0(struct sim, 1);

	sim->sc = sc;
	sim->events = g_sequence_new(g_free);
	sim->rand = g_rand_new_with_seed(kSeed);
	sim->arrivals = g_rand_new_with_seed(kSeed + 1);
	sim->engine = sim_engine_new(&engine_cost, &engine_ops, sim);
	sim->streams = u64_hash_new(g_free);
	sim->arbiter = make_arbiter(sc);
	sim->local = local_share_new();
	sim->first_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	sim->between_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (int i = 0; i < 64; i++) {
		g_queue_init(&sim->daemon_waiting[i]);
		g_queue_init(&sim->daemon_batch[i]);
	}
	return sim;
}

static void
run_scenario(const struct scenario *sc, struct outcome *out)
{
	struct sim *sim = sim_new(sc);

	at(sim, 0, next_arrival, 0);
	if (sc->policy == &arbiter)
		at(sim, kTickUs, arbiter_tick_event, 0);
	if (sc->loses_arbiter)
		at(sim, 2 * (int64_t)kBurstPeriodUs + kSecond / 2, arbiter_goes,
		    0);
	sc->policy->feed(sim);
	while (sim->now_us < kRunUs) {
		GSequenceIter *first = g_sequence_get_begin_iter(sim->events);
		struct event ev = *(struct event *)g_sequence_get(first);

		g_sequence_remove(first);
		sim->now_us = ev.at_us;
		ev.fn(sim, ev.arg);
	}
	read_outcome(sim, out);
	sim_free(sim);
}

static void
figure_named(const char *scenario, const char *figure, double value,
    const char *unit, enum bound_kind kind, double bound)
{
	char name[160];
	struct figure fig = {name, value, unit, kind, bound};

	g_snprintf(name, sizeof(name), "%s.%s", scenario, figure);
	bench_print_figure(&fig);
}

/* Prints one outcome; the targets bind where online alone meets them. */
static void
print_outcome(const char *name, const struct outcome *out,
    const struct outcome *alone, bool is_bound)
{
	enum bound_kind first =
	    is_bound && alone->first_p95 <= kTargetFirstTokenMs ? kBoundAtMost
								: kBoundNone;
	enum bound_kind between =
	    is_bound && alone->between_p95 <= kTargetBetweenMs ? kBoundAtMost
							       : kBoundNone;

	figure_named(
	    name, "first_token_p50", out->first_p50, "ms", kBoundNone, 0);
	figure_named(name, "first_token_p95", out->first_p95, "ms", first,
	    kTargetFirstTokenMs);
	figure_named(
	    name, "first_token_p99", out->first_p99, "ms", kBoundNone, 0);
	figure_named(name, "between_tokens_p95", out->between_p95, "ms",
	    between, kTargetBetweenMs);
	figure_named(
	    name, "between_tokens_p99", out->between_p99, "ms", kBoundNone, 0);
	figure_named(name, "harm_p99", out->first_p99 - alone->first_p99, "ms",
	    kBoundNone, 0);
	figure_named(name, "batch_tokens", out->batch_tokens_per_s, "tokens/s",
	    kBoundNone, 0);
	figure_named(
	    name, "idle_share", 100 * out->idle_share, "%", kBoundNone, 0);
	figure_named(name, "wasted_tokens", out->wasted_percent, "%",
	    is_bound ? kBoundAtMost : kBoundNone, kWastedMostPercent);
	figure_named(name, "wasted_reprefill", out->reprefill_percent, "%",
	    kBoundNone, 0);
	figure_named(
	    name, "tail_estimate", out->tail_estimate, "ms", kBoundNone, 0);
	figure_named(name, "refused", out->refused_percent, "%", kBoundNone, 0);
}

static void
bench_ways(double load, int32_t daemons)
{
	static const struct policy *const ways[] = {
	    &fcfs, &split, &local, &arbiter};
	struct scenario sc = {&fcfs, load, daemons, 57 * kMs, false, false};
	struct outcome alone;
	struct outcome out;
	char name[64];

	run_scenario(&sc, &alone);
	g_snprintf(name, sizeof(name), "policy.load%.0f.d%d.alone", load * 100,
	    daemons);
	print_outcome(name, &alone, &alone, false);
	sc.has_batch = true;
	for (size_t i = 0; i < G_N_ELEMENTS(ways); i++) {
		sc.policy = ways[i];
		run_scenario(&sc, &out);
		g_snprintf(name, sizeof(name), "policy.load%.0f.d%d.%s",
		    load * 100, daemons, ways[i]->name);
		print_outcome(name, &out, &alone, ways[i] == &arbiter);
	}
	sc.loses_arbiter = true;
	run_scenario(&sc, &out);
	g_snprintf(name, sizeof(name), "policy.load%.0f.d%d.arbiter_lost",
	    load * 100, daemons);
	print_outcome(name, &out, &alone, true);
}

/* Both online p99 and batch tokens/s against another way; 1 is level. */
static double
lead(const struct outcome *ours, const struct outcome *other)
{
	return MIN(other->first_p99 / ours->first_p99,
	    ours->batch_tokens_per_s / MAX(other->batch_tokens_per_s, 1));
}

/* The loosest setting against the other ways. */
static void
bench_lead(double load)
{
	static const struct policy *const others[] = {&fcfs, &split, &local};
	struct scenario sc = {
	    &arbiter, load, 10, kLoosestBudgetUs, true, false};
	struct outcome ours;
	char name[64];

	run_scenario(&sc, &ours);
	for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
		struct outcome other;

		sc.policy = others[i];
		run_scenario(&sc, &other);
		g_snprintf(name, sizeof(name), "lead.load%.0f.over_%s",
		    load * 100, others[i]->name);
		figure_named(name, "p99_and_batch", lead(&ours, &other), "x",
		    kBoundAtLeast, 1);
	}
}

/* The aims at both ends of the setting. */
static void
print_ends(const char *name, int32_t budget_ms, const struct outcome *out,
    const struct outcome *alone)
{
	if (budget_ms == kStrictestBudgetMs)
		figure_named(name, "strict_harm_p99",
		    out->first_p99 - alone->first_p99, "ms", kBoundAtMost,
		    kTargetFirstTokenMs / 10.0);
	if (budget_ms * kMs == kLoosestBudgetUs)
		figure_named(name, "loose_idle_share", 100 * out->idle_share,
		    "%", kBoundAtLeast, 90);
}

static void
bench_frontier(double load)
{
	static const int32_t budgets_ms[] = {10, 30, 57, 100, 200, 400};
	struct scenario sc = {&fcfs, load, 10, 0, false, false};
	struct outcome alone;

	run_scenario(&sc, &alone);
	sc.policy = &arbiter;
	sc.has_batch = true;
	for (size_t i = 0; i < G_N_ELEMENTS(budgets_ms); i++) {
		struct outcome out;
		char name[64];

		sc.tail_budget_us = budgets_ms[i] * (int64_t)kMs;
		run_scenario(&sc, &out);
		g_snprintf(name, sizeof(name), "frontier.load%.0f.budget%d",
		    load * 100, budgets_ms[i]);
		print_outcome(name, &out, &alone, true);
		print_ends(name, budgets_ms[i], &out, &alone);
	}
}

void
bench_policy(void)
{
	static const double loads[] = {0.1, 0.3, 0.7, 0.95};

	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++)
		bench_ways(loads[i], 10);
	bench_ways(0.3, 40);
	bench_frontier(0.1);
	bench_frontier(0.3);
	bench_lead(0.1);
	bench_lead(0.3);
}

/*
 * Policies that share one target between online and batch work, in virtual time
 * with a fixed seed: (fcfs) no priorities; (split) half of the slots for each
 * class; (local) a fixed share of the slots per daemon; (arbiter) the project's
 * arbiter.
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
	kNetworkHopUs = kMs,
	kArbiterTickUs = 10 * kMs,
	kWarmUpUs = 20 * kSecond,
	kRunUs = 220 * kSecond,
	kBurstPeriodUs = 20 * kSecond,
	kBurstUs = 2 * kSecond,
	kBurstFactor = 5,
	kOnlinePromptMeanTokens = 500,
	kOnlinePromptSpreadTokens = 250,
	kOnlineTokensMean = 240,
	kBatchPromptTokens = 300,
	kBatchTokens = 300,
	kGrantTimeoutUs = 40 * kMs,
	/* Time from the failure of an arbiter until its successor serves. */
	kArbiterOutageUs = 3 * kSecond,
	kFirstTokenBoundMs = 570,
	kTokenIntervalBoundMs = 63,
	kWastedMaxPercent = 5,
	kSeed = 20261204,
	kStrictestBudgetMs = 10,
	kLoosestBudgetUs = 400 * kMs,
};

/* Online requests per second that one engine sustains, docs/design/0002. */
static const double online_capacity_per_s = 15.65;
/* Tokens per second of a full batch of batch requests at 63 ms per token. */
static const double batch_capacity_per_s = 4182;

static const struct engine_cost engine_cost = {15000, 150, 25000, 512, 234};

struct sim;

struct policy {
	const char *name;
	/** An online request arrived at its daemon. */
	void (*on_online_arrival)(struct sim *sim, struct sim_stream *st);
	/** Slots for batch may have become free. */
	void (*admit)(struct sim *sim);
	void (*on_first_token)(struct sim *sim, struct sim_stream *st);
	/** A stream left the engine. */
	void (*on_leave)(struct sim *sim, struct sim_stream *st);
};

struct scenario {
	const struct policy *policy;
	double load;
	int32_t daemons;
	int64_t tail_budget_us;
	bool has_batch;
	bool has_arbiter_failure;
};

typedef void (*event_handler)(struct sim *sim, uint64_t arg);

struct event {
	int64_t at_us;
	uint64_t seq;
	event_handler handler;
	uint64_t arg;
};

struct outcome {
	double first_token_p50_ms, first_token_p95_ms, first_token_p99_ms;
	double between_tokens_p50_ms, between_tokens_p95_ms,
	    between_tokens_p99_ms;
	double batch_tokens_per_s;
	double idle_used_fraction;
	double wasted_percent;
	double reprefill_percent;
	double refused_percent;
	double tail_estimate_ms;
};

struct sim {
	const struct scenario *sc;
	int64_t now_us;
	uint64_t seq;
	GSequence *events;
	GRand *rand;
	GRand *arrivals;
	struct sim_engine *engine;
	bool is_step_running;
	uint64_t last_id;
	/** struct sim_stream by id. */
	GHashTable *streams;
	/** Streams in the engine by class, and by daemon. */
	int32_t batch_running;
	int32_t online_running;
	int32_t daemon_running[64];
	GQueue online_queue;
	GQueue daemon_online_queue[64];
	GQueue daemon_batch[64];
	struct arbiter *arbiter;
	bool is_arbiter_down;
	struct local_share *local_share;
	int32_t batch_requested;
	GArray *first_token_us;
	GArray *between_tokens_us;
	int64_t online_tokens;
	int64_t batch_tokens;
	int64_t wasted_tokens;
	int64_t batch_prefill;
	int64_t batch_reprefill;
	int64_t online_arrived;
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
schedule(struct sim *sim, int64_t at_us, event_handler handler, uint64_t arg)
{
	struct event *ev = g_new(struct event, 1);

	ev->at_us = at_us;
	ev->seq = ++sim->seq;
	ev->handler = handler;
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
	st->prompt_tokens_remaining = kBatchPromptTokens;
	st->tokens_remaining = kBatchTokens;
	return st;
}

static bool
is_measured(const struct sim *sim)
{
	return sim->now_us >= kWarmUpUs;
}

/* Engine steps */

static void start_step(struct sim *sim);

static void
on_step_done(struct sim *sim, uint64_t arg)
{
	sim->is_step_running = false;
	sim_engine_end_step(sim->engine);
	sim->sc->policy->admit(sim);
	start_step(sim);
}

static void
start_step(struct sim *sim)
{
	int64_t step_us;

	if (sim->is_step_running)
		return;
	step_us = sim_engine_begin_step(sim->engine);
	if (step_us == 0)
		return;
	sim->is_step_running = true;
	schedule(sim, sim->now_us + step_us, on_step_done, 0);
}

static void
enter_engine(struct sim *sim, struct sim_stream *st)
{
	if (st->work_class == kWorkBatch) {
		sim->batch_running++;
		if (is_measured(sim)) {
			sim->batch_prefill += st->prompt_tokens_remaining;
			if (st->prompt_tokens_remaining > kBatchPromptTokens)
				sim->batch_reprefill +=
				    st->prompt_tokens_remaining;
		}
	} else {
		sim->online_running++;
	}
	sim->daemon_running[st->daemon]++;
	sim_engine_add(sim->engine, st);
	start_step(sim);
}

static void
on_token(void *ctx, struct sim_stream *st, bool is_first)
{
	struct sim *sim = ctx;
	int64_t gap_us;

	if (st->work_class == kWorkBatch) {
		if (is_measured(sim))
			(*(st->is_cancelled ? &sim->wasted_tokens
					    : &sim->batch_tokens))++;
		if (is_first && !st->is_cancelled)
			sim->sc->policy->on_first_token(sim, st);
		return;
	}
	gap_us = sim->now_us - (is_first ? st->arrived_us : st->last_token_us);
	st->last_token_us = sim->now_us;
	if (is_measured(sim)) {
		g_array_append_val(
		    is_first ? sim->first_token_us : sim->between_tokens_us,
		    gap_us);
		sim->online_tokens++;
	}
	if (is_first)
		sim->sc->policy->on_first_token(sim, st);
}

static void
leave_engine(struct sim *sim, struct sim_stream *st)
{
	if (st->work_class == kWorkBatch)
		sim->batch_running--;
	else
		sim->online_running--;
	sim->daemon_running[st->daemon]--;
}

static void
on_done(void *ctx, struct sim_stream *st)
{
	struct sim *sim = ctx;

	leave_engine(sim, st);
	sim->sc->policy->on_leave(sim, st);
	g_hash_table_remove(sim->streams, &st->id);
}

/*
 * A revoked batch stream is requested again, with its generated tokens as part
 * of the prompt.
 */
static void
on_cancelled(void *ctx, struct sim_stream *st)
{
	struct sim *sim = ctx;
	struct sim_stream *resumed;

	leave_engine(sim, st);
	resumed = batch_new(sim, st->daemon);
	resumed->tokens_remaining = MAX(st->tokens_remaining, 1);
	resumed->prompt_tokens_remaining =
	    kBatchPromptTokens + kBatchTokens - resumed->tokens_remaining;
	st->ctx = resumed;
	sim->sc->policy->on_leave(sim, st);
	g_hash_table_remove(sim->streams, &st->id);
}

static const struct sim_engine_ops engine_ops = {
    on_token, on_done, on_cancelled};

/* (fcfs) All requests enter the engine immediately; batch keeps it full. */

static void
fcfs_on_arrival(struct sim *sim, struct sim_stream *st)
{
	enter_engine(sim, st);
}

static void
fcfs_admit(struct sim *sim)
{
	while (
	    sim->sc->has_batch && sim->batch_running < engine_cost.streams_max)
		enter_engine(sim, batch_new(sim, 0));
}

static void
ignore_stream(struct sim *sim, struct sim_stream *st)
{
}

static const struct policy fcfs_policy = {
    "fcfs", fcfs_on_arrival, fcfs_admit, ignore_stream, ignore_stream};

/* (split) Half of the slots for each class */

static void
split_admit(struct sim *sim)
{
	int32_t half = engine_cost.streams_max / 2;

	while (
	    sim->online_running < half && !g_queue_is_empty(&sim->online_queue))
		enter_engine(sim, g_queue_pop_head(&sim->online_queue));
	while (sim->sc->has_batch && sim->batch_running < half)
		enter_engine(sim, batch_new(sim, 0));
}

static void
split_on_arrival(struct sim *sim, struct sim_stream *st)
{
	g_queue_push_tail(&sim->online_queue, st);
	split_admit(sim);
}

static const struct policy split_policy = {
    "split", split_on_arrival, split_admit, ignore_stream, ignore_stream};

/* (local) A fixed share of the slots per daemon, online first within it */

static int32_t
local_slots(const struct sim *sim)
{
	return MAX(engine_cost.streams_max / sim->sc->daemons, 1);
}

static void
local_admit(struct sim *sim)
{
	for (int32_t d = 0; d < sim->sc->daemons; d++) {
		GQueue *waiting = &sim->daemon_online_queue[d];

		while (sim->daemon_running[d] < local_slots(sim) &&
		    !g_queue_is_empty(waiting))
			enter_engine(sim, g_queue_pop_head(waiting));
		while (sim->sc->has_batch &&
		    sim->daemon_running[d] < local_slots(sim)) {
			struct sim_stream *st = batch_new(sim, d);

			g_queue_push_tail(&sim->daemon_batch[d], st);
			enter_engine(sim, st);
		}
	}
}

static void
local_on_arrival(struct sim *sim, struct sim_stream *st)
{
	GQueue *batch = &sim->daemon_batch[st->daemon];

	if (sim->daemon_running[st->daemon] >= local_slots(sim) &&
	    !g_queue_is_empty(batch))
		((struct sim_stream *)g_queue_pop_tail(batch))->is_cancelled =
		    true;
	g_queue_push_tail(&sim->daemon_online_queue[st->daemon], st);
	local_admit(sim);
}

static void
local_on_leave(struct sim *sim, struct sim_stream *st)
{
	g_queue_remove(&sim->daemon_batch[st->daemon], st);
	if (st->ctx != NULL) {
		struct sim_stream *resumed = st->ctx;

		/* Resumed batch would be queued last: it is dropped here,
		 * because new batch work is always waiting. */
		g_hash_table_remove(sim->streams, &resumed->id);
	}
}

static const struct policy local_policy = {
    "local", local_on_arrival, local_admit, ignore_stream, local_on_leave};

/* (arbiter) The project's arbiter, one network hop from every daemon */

static void run_actions(struct sim *sim, GArray *actions);

static struct admission_request
make_request(const struct sim *sim, const struct sim_stream *st)
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
handle_request(struct sim *sim, uint64_t id)
{
	struct sim_stream *st = stream_find(sim, id);
	GArray *actions;
	struct admission_request req;

	if (st == NULL || sim->is_arbiter_down)
		return;
	req = make_request(sim, st);
	actions = arbiter_actions_new();
	arbiter_request(sim->arbiter, &req, sim->now_us, actions);
	run_actions(sim, actions);
}

static void
handle_grant(struct sim *sim, uint64_t id)
{
	struct sim_stream *st = stream_find(sim, id);

	if (st == NULL || st->ctx != NULL)
		return;
	st->ctx = st;
	if (st->work_class == kWorkBatch)
		sim->batch_requested--;
	enter_engine(sim, st);
	st->ctx = sim;
}

static void
handle_revoke(struct sim *sim, uint64_t id)
{
	struct sim_stream *st = stream_find(sim, id);

	if (st != NULL)
		st->is_cancelled = true;
}

static void
handle_first_token(struct sim *sim, uint64_t id)
{
	GArray *actions = arbiter_actions_new();

	if (!sim->is_arbiter_down)
		arbiter_first_token(sim->arbiter, id, sim->now_us, actions);
	run_actions(sim, actions);
}

static void
handle_release(struct sim *sim, uint64_t id)
{
	GArray *actions = arbiter_actions_new();

	if (!sim->is_arbiter_down)
		arbiter_release(sim->arbiter, id, sim->now_us, actions);
	run_actions(sim, actions);
}

static void
handle_refusal(struct sim *sim, uint64_t id)
{
	if (is_measured(sim))
		sim->refused++;
	g_hash_table_remove(sim->streams, &id);
}

static void
run_actions(struct sim *sim, GArray *actions)
{
	static const event_handler handlers[] = {
	    [kArbiterGranted] = handle_grant,
	    [kArbiterRefused] = handle_refusal,
	    [kArbiterRevoked] = handle_revoke,
	    [kArbiterLeaving] = handle_refusal,
	};

	for (guint i = 0; i < actions->len; i++) {
		const struct arbiter_action *act =
		    &g_array_index(actions, struct arbiter_action, i);

		schedule(sim, sim->now_us + kNetworkHopUs,
		    handlers[act->verdict], act->id);
	}
	g_array_unref(actions);
}

/* Grant timeout while the arbiter is down: local share or refusal. */
static void
on_grant_timeout(struct sim *sim, uint64_t id)
{
	struct sim_stream *st = stream_find(sim, id);
	char name[16];

	if (st == NULL || st->ctx != NULL || !sim->is_arbiter_down)
		return;
	g_snprintf(name, sizeof(name), "%d", st->daemon);
	if (local_share_acquire(sim->local_share, name,
		engine_cost.streams_max / sim->sc->daemons, 1))
		handle_grant(sim, id);
	else
		handle_refusal(sim, id);
}

static void
arbiter_on_arrival(struct sim *sim, struct sim_stream *st)
{
	schedule(sim, sim->now_us + kNetworkHopUs, handle_request, st->id);
	if (sim->sc->has_arbiter_failure)
		schedule(sim, sim->now_us + kGrantTimeoutUs, on_grant_timeout,
		    st->id);
}

static void
arbiter_admit(struct sim *sim)
{
	/* Each daemon keeps four batch requests waiting on average. */
	while (
	    sim->sc->has_batch && sim->batch_requested < 4 * sim->sc->daemons) {
		struct sim_stream *st = batch_new(sim,
		    (int32_t)g_rand_int_range(sim->rand, 0, sim->sc->daemons));

		sim->batch_requested++;
		schedule(
		    sim, sim->now_us + kNetworkHopUs, handle_request, st->id);
	}
}

static void
arbiter_on_first_token(struct sim *sim, struct sim_stream *st)
{
	schedule(sim, sim->now_us + kNetworkHopUs, handle_first_token, st->id);
}

static void
arbiter_on_leave(struct sim *sim, struct sim_stream *st)
{
	schedule(sim, sim->now_us + kNetworkHopUs, handle_release, st->id);
	if (st->is_cancelled) {
		struct sim_stream *resumed = st->ctx;

		sim->batch_requested++;
		schedule(sim, sim->now_us + kNetworkHopUs, handle_request,
		    resumed->id);
	}
}

static const struct policy arbiter_policy = {"arbiter", arbiter_on_arrival,
    arbiter_admit, arbiter_on_first_token, arbiter_on_leave};

static void
on_arbiter_tick(struct sim *sim, uint64_t arg)
{
	GArray *actions = arbiter_actions_new();

	if (!sim->is_arbiter_down)
		arbiter_tick(sim->arbiter, sim->now_us, actions);
	run_actions(sim, actions);
	schedule(sim, sim->now_us + kArbiterTickUs, on_arbiter_tick, 0);
}

static struct arbiter *
make_arbiter(const struct scenario *sc)
{
	struct arbiter_options opt = {
	    .cost = engine_cost,
	    .tail_budget_us = sc->tail_budget_us,
	    .token_interval_us = kTokenIntervalBoundMs * kMs,
	    .cancel_latency_us = 100 * kMs,
	    .online_queue_max = 2000,
	    .batch_queue_max = 20000,
	    .grant_lease_us = 600 * (int64_t)kSecond,
	};

	return arbiter_new(&opt);
}

static void
recover_arbiter(struct sim *sim, uint64_t arg)
{
	GArray *actions = arbiter_actions_new();
	GHashTableIter it;
	void *val;

	sim->is_arbiter_down = false;
	g_hash_table_iter_init(&it, sim->streams);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct sim_stream *st = val;
		struct admission_request req = make_request(sim, st);

		if (st->ctx == NULL)
			arbiter_request(
			    sim->arbiter, &req, sim->now_us, actions);
		else if (!st->is_cancelled)
			arbiter_adopt(sim->arbiter, &req,
			    st->tokens_generated > 0, sim->now_us, actions);
	}
	run_actions(sim, actions);
}

/* The arbiter fails half a second into a burst. */
static void
fail_arbiter(struct sim *sim, uint64_t arg)
{
	arbiter_free(sim->arbiter);
	sim->arbiter = make_arbiter(sim->sc);
	sim->is_arbiter_down = true;
	schedule(sim, sim->now_us + kArbiterOutageUs, recover_arbiter, 0);
	schedule(
	    sim, sim->now_us + 2 * (int64_t)kBurstPeriodUs, fail_arbiter, 0);
}

/* Arrivals */

static double
current_rate_per_s(const struct sim *sim)
{
	double rate = sim->sc->load * online_capacity_per_s;

	if (sim->now_us % kBurstPeriodUs < kBurstUs)
		rate *= kBurstFactor;
	return rate;
}

static int32_t
sample_token_count(struct sim *sim)
{
	double u = g_rand_double(sim->arrivals);

	return (int32_t)MAX(-sim_log(1 - u) * kOnlineTokensMean, 1);
}

static void
add_online_stream(struct sim *sim, uint64_t arg)
{
	struct sim_stream *st = stream_new(sim, kWorkOnline);

	st->daemon =
	    (int32_t)g_rand_int_range(sim->arrivals, 0, sim->sc->daemons);
	st->prompt_tokens_remaining = (int32_t)g_rand_int_range(sim->arrivals,
	    kOnlinePromptMeanTokens - kOnlinePromptSpreadTokens,
	    kOnlinePromptMeanTokens + kOnlinePromptSpreadTokens + 1);
	st->tokens_remaining = sample_token_count(sim);
	if (is_measured(sim))
		sim->online_arrived++;
	sim->sc->policy->on_online_arrival(sim, st);
}

/* Thins arrivals at the burst's rate, so that they do not depend on the
 * policy. */
static void
generate_arrival(struct sim *sim, uint64_t arg)
{
	double peak_rate_per_s =
	    sim->sc->load * online_capacity_per_s * kBurstFactor;
	double gap_s =
	    -sim_log(1 - g_rand_double(sim->arrivals)) / peak_rate_per_s;

	if (g_rand_double(sim->arrivals) <
	    current_rate_per_s(sim) / peak_rate_per_s)
		add_online_stream(sim, 0);
	schedule(sim, sim->now_us + (int64_t)(gap_s * kSecond) + 1,
	    generate_arrival, 0);
}

static void
compute_outcome(struct sim *sim, struct outcome *out)
{
	double seconds = (double)(kRunUs - kWarmUpUs) / kSecond;
	double generated_tokens =
	    (double)(sim->batch_tokens + sim->wasted_tokens);
	double idle_tokens_per_s =
	    batch_capacity_per_s - (double)sim->online_tokens / seconds;

	stats_sort(sim->first_token_us);
	stats_sort(sim->between_tokens_us);
	out->first_token_p50_ms = stats_quantile_ms(sim->first_token_us, 0.5);
	out->first_token_p95_ms = stats_quantile_ms(sim->first_token_us, 0.95);
	out->first_token_p99_ms = stats_quantile_ms(sim->first_token_us, 0.99);
	out->between_tokens_p50_ms =
	    stats_quantile_ms(sim->between_tokens_us, 0.5);
	out->between_tokens_p95_ms =
	    stats_quantile_ms(sim->between_tokens_us, 0.95);
	out->between_tokens_p99_ms =
	    stats_quantile_ms(sim->between_tokens_us, 0.99);
	out->batch_tokens_per_s = (double)sim->batch_tokens / seconds;
	out->idle_used_fraction =
	    out->batch_tokens_per_s / MAX(idle_tokens_per_s, 1);
	out->wasted_percent = generated_tokens > 0
	    ? 100 * (double)sim->wasted_tokens / generated_tokens
	    : 0;
	out->reprefill_percent = sim->batch_prefill > 0
	    ? 100 * (double)sim->batch_reprefill / (double)sim->batch_prefill
	    : 0;
	out->tail_estimate_ms =
	    (double)arbiter_load_get(sim->arbiter, sim->now_us).tail_us / kMs;
	out->refused_percent =
	    100 * (double)sim->refused / (double)MAX(sim->online_arrived, 1);
}

static void
sim_free(struct sim *sim)
{
	g_sequence_free(sim->events);
	g_rand_free(sim->rand);
	g_rand_free(sim->arrivals);
	sim_engine_free(sim->engine);
	g_hash_table_unref(sim->streams);
	g_queue_clear(&sim->online_queue);
	for (int i = 0; i < 64; i++) {
		g_queue_clear(&sim->daemon_online_queue[i]);
		g_queue_clear(&sim->daemon_batch[i]);
	}
	arbiter_free(sim->arbiter);
	local_share_free(sim->local_share);
	g_array_unref(sim->first_token_us);
	g_array_unref(sim->between_tokens_us);
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
	sim->local_share = local_share_new();
	sim->first_token_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	sim->between_tokens_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
	for (int i = 0; i < 64; i++) {
		g_queue_init(&sim->daemon_online_queue[i]);
		g_queue_init(&sim->daemon_batch[i]);
	}
	return sim;
}

static void
run_scenario(const struct scenario *sc, struct outcome *out)
{
	struct sim *sim = sim_new(sc);

	schedule(sim, 0, generate_arrival, 0);
	if (sc->policy == &arbiter_policy)
		schedule(sim, kArbiterTickUs, on_arbiter_tick, 0);
	if (sc->has_arbiter_failure)
		schedule(sim, 2 * (int64_t)kBurstPeriodUs + kSecond / 2,
		    fail_arbiter, 0);
	sc->policy->admit(sim);
	while (sim->now_us < kRunUs) {
		GSequenceIter *first = g_sequence_get_begin_iter(sim->events);
		struct event ev = *(struct event *)g_sequence_get(first);

		g_sequence_remove(first);
		sim->now_us = ev.at_us;
		ev.handler(sim, ev.arg);
	}
	compute_outcome(sim, out);
	sim_free(sim);
}

static void
print_scenario_figure(const char *scenario, const char *figure, double value,
    const char *unit, enum bound_kind kind, double bound)
{
	char name[160];
	struct figure fig = {name, value, unit, kind, bound};

	g_snprintf(name, sizeof(name), "%s.%s", scenario, figure);
	bench_print_figure(&fig);
}

/* Prints one outcome. The bounds apply where online work alone meets them. */
static void
print_outcome(const char *name, const struct outcome *out,
    const struct outcome *online_only, bool has_bounds)
{
	enum bound_kind first_token_bound =
	    has_bounds && online_only->first_token_p95_ms <= kFirstTokenBoundMs
	    ? kBoundAtMost
	    : kBoundNone;
	enum bound_kind between_tokens_bound = has_bounds &&
		online_only->between_tokens_p95_ms <= kTokenIntervalBoundMs
	    ? kBoundAtMost
	    : kBoundNone;

	print_scenario_figure(name, "first_token_p50", out->first_token_p50_ms,
	    "ms", kBoundNone, 0);
	print_scenario_figure(name, "first_token_p95", out->first_token_p95_ms,
	    "ms", first_token_bound, kFirstTokenBoundMs);
	print_scenario_figure(name, "first_token_p99", out->first_token_p99_ms,
	    "ms", kBoundNone, 0);
	print_scenario_figure(name, "between_tokens_p95",
	    out->between_tokens_p95_ms, "ms", between_tokens_bound,
	    kTokenIntervalBoundMs);
	print_scenario_figure(name, "between_tokens_p99",
	    out->between_tokens_p99_ms, "ms", kBoundNone, 0);
	print_scenario_figure(name, "harm_p99",
	    out->first_token_p99_ms - online_only->first_token_p99_ms, "ms",
	    kBoundNone, 0);
	print_scenario_figure(name, "batch_tokens", out->batch_tokens_per_s,
	    "tokens/s", kBoundNone, 0);
	print_scenario_figure(name, "idle_share", 100 * out->idle_used_fraction,
	    "%", kBoundNone, 0);
	print_scenario_figure(name, "wasted_tokens", out->wasted_percent, "%",
	    has_bounds ? kBoundAtMost : kBoundNone, kWastedMaxPercent);
	print_scenario_figure(name, "wasted_reprefill", out->reprefill_percent,
	    "%", kBoundNone, 0);
	print_scenario_figure(
	    name, "tail_estimate", out->tail_estimate_ms, "ms", kBoundNone, 0);
	print_scenario_figure(
	    name, "refused", out->refused_percent, "%", kBoundNone, 0);
}

static void
bench_policies(double load, int32_t daemons)
{
	static const struct policy *const policies[] = {
	    &fcfs_policy, &split_policy, &local_policy, &arbiter_policy};
	struct scenario sc = {
	    &fcfs_policy, load, daemons, 57 * kMs, false, false};
	struct outcome online_only;
	struct outcome out;
	char name[64];

	run_scenario(&sc, &online_only);
	g_snprintf(name, sizeof(name), "policy.load%.0f.d%d.alone", load * 100,
	    daemons);
	print_outcome(name, &online_only, &online_only, false);
	sc.has_batch = true;
	for (size_t i = 0; i < G_N_ELEMENTS(policies); i++) {
		sc.policy = policies[i];
		run_scenario(&sc, &out);
		g_snprintf(name, sizeof(name), "policy.load%.0f.d%d.%s",
		    load * 100, daemons, policies[i]->name);
		print_outcome(
		    name, &out, &online_only, policies[i] == &arbiter_policy);
	}
	sc.has_arbiter_failure = true;
	run_scenario(&sc, &out);
	g_snprintf(name, sizeof(name), "policy.load%.0f.d%d.arbiter_lost",
	    load * 100, daemons);
	print_outcome(name, &out, &online_only, true);
}

/* Smaller of the improvements over another policy in online p99 and in batch
 * tokens/s, as ratios; above 1 is better in both. */
static double
lead_over(const struct outcome *own, const struct outcome *other)
{
	return MIN(other->first_token_p99_ms / own->first_token_p99_ms,
	    own->batch_tokens_per_s / MAX(other->batch_tokens_per_s, 1));
}

/* The loosest tail budget against the other policies. */
static void
bench_lead(double load)
{
	static const struct policy *const others[] = {
	    &fcfs_policy, &split_policy, &local_policy};
	struct scenario sc = {
	    &arbiter_policy, load, 10, kLoosestBudgetUs, true, false};
	struct outcome own;
	char name[64];

	run_scenario(&sc, &own);
	for (size_t i = 0; i < G_N_ELEMENTS(others); i++) {
		struct outcome other;

		sc.policy = others[i];
		run_scenario(&sc, &other);
		g_snprintf(name, sizeof(name), "lead.load%.0f.over_%s",
		    load * 100, others[i]->name);
		print_scenario_figure(name, "p99_and_batch",
		    lead_over(&own, &other), "x", kBoundAtLeast, 1);
	}
}

/* The requirements at both ends of the tail budget range. */
static void
print_range_ends(const char *name, int32_t budget_ms, const struct outcome *out,
    const struct outcome *online_only)
{
	if (budget_ms == kStrictestBudgetMs)
		print_scenario_figure(name, "strict_harm_p99",
		    out->first_token_p99_ms - online_only->first_token_p99_ms,
		    "ms", kBoundAtMost, kFirstTokenBoundMs / 10.0);
	if (budget_ms * kMs == kLoosestBudgetUs)
		print_scenario_figure(name, "loose_idle_share",
		    100 * out->idle_used_fraction, "%", kBoundAtLeast, 90);
}

static void
bench_frontier(double load)
{
	static const int32_t budgets_ms[] = {10, 30, 57, 100, 200, 400};
	struct scenario sc = {&fcfs_policy, load, 10, 0, false, false};
	struct outcome online_only;

	run_scenario(&sc, &online_only);
	sc.policy = &arbiter_policy;
	sc.has_batch = true;
	for (size_t i = 0; i < G_N_ELEMENTS(budgets_ms); i++) {
		struct outcome out;
		char name[64];

		sc.tail_budget_us = budgets_ms[i] * (int64_t)kMs;
		run_scenario(&sc, &out);
		g_snprintf(name, sizeof(name), "frontier.load%.0f.budget%d",
		    load * 100, budgets_ms[i]);
		print_outcome(name, &out, &online_only, true);
		print_range_ends(name, budgets_ms[i], &out, &online_only);
	}
}

void
bench_policy(void)
{
	static const double loads[] = {0.1, 0.3, 0.7, 0.95};

	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++)
		bench_policies(loads[i], 10);
	bench_policies(0.3, 40);
	bench_frontier(0.1);
	bench_frontier(0.3);
	bench_lead(0.1);
	bench_lead(0.3);
}

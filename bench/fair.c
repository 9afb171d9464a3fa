/*
 * Teams beside others that send several times their usual load while slots are
 * scarce: what the other teams get by fair queueing and by deadline order (the
 * previous policy), in one run.
 */
#include <stdio.h>
#include <string.h>

#include "bench.h"
#include "savoryflow/arbiter/u64_hash.h"
#include "savoryflow/slotpool/slotpool.h"
#include "sim_math.h"

enum {
	kUsPerMs = 1000,
	kUsPerS = 1000 * kUsPerMs,
	kSeed = 20261206,
	kTeams = 83,
	kTargets = 60,
	kSlots = 8,
	kHoldMeanUs = 400 * kUsPerMs,
	kHoldMaxMs = 4000,
	/* Objective of 300 ms less what the first event takes. */
	kStartUs = 240 * kUsPerMs,
	kPlayMs = 20 * 1000,
	/* The queue and the accounts are empty at first. */
	kWarmMs = 2000,
	kTickMs = 25,
	kOverloadsMax = 3,
	kPriorities = 3,
};

/* Load of all teams at their usual, as a part of the capacity. */
static const double kUsualLoad = 0.9;
/* Allowance of a team over its usual load. */
static const double kAllowance = 1.5;

/* Of the requirements: loss of the other teams, and least share of the mean. */
static const double kLossMax = 0.02;
static const double kLeastShareMin = 0.25;

struct fair_scenario {
	const char *name;
	/** Teams that send more than usual, and how much more. */
	int32_t teams[kOverloadsMax];
	int32_t count;
	double factor;
	bool has_priorities;
};

static const struct fair_scenario scenarios[] = {
    {"one_large", {1}, 1, 7.5, false},
    {"one_small", {9}, 1, 7.5, false},
    {"two", {1, 4}, 2, 5, false},
    {"three", {1, 4, 9}, 3, 3, false},
    {"three_75", {1, 4, 9}, 3, 7.5, false},
    {"priorities", {0, 3, 9}, 3, 7.5, true},
};

enum overload {
	/** The overloading teams send nothing. */
	kOverloadAbsent,
	kOverloadPresent,
};

struct fair_team {
	double per_ms;
	double next_ms;
	bool is_overloading;
	int64_t sent;
	int64_t in_time;
	int64_t started;
	int64_t sent_us;
	int64_t received_us;
};

struct fair_request {
	uint64_t id;
	int32_t team;
	int64_t hold_us;
	int64_t arrived_us;
	bool is_counted;
};

struct fair_play {
	const struct fair_scenario *sc;
	bool is_fair;
	struct slotpool *pool;
	GArray *actions;
	GRand *rand;
	struct fair_team teams[kTeams];
	/** struct fair_request by id, until it ends. */
	GHashTable *requests;
	/** Ids of the requests that end in a millisecond. */
	GArray *ends[kHoldMaxMs + 1];
	uint64_t next_id;
	int64_t now_ms;
};

struct fair_result {
	/** Share of the other teams' requests that start in time. */
	double others_in_time;
	/** Least of what a team receives over the mean, or over what it asks
	 * for if that is less. */
	double least_share;
	/** Share of what the overloading teams receive that starts in time. */
	double overloads_in_time;
	/** Work received, as a part of the capacity. */
	double used;
};

static double
exponential(GRand *rand)
{
	return -sim_log(1 - g_rand_double(rand));
}

static void
set_teams(struct fair_play *pl, enum overload overload)
{
	double capacity_per_ms =
	    (double)kTargets * kSlots / kHoldMeanUs * kUsPerMs;
	double sum = 0;

	for (int32_t i = 0; i < kTeams; i++)
		sum += 1.0 / (i + 1);
	for (int32_t i = 0; i < kTeams; i++)
		pl->teams[i].per_ms =
		    capacity_per_ms * kUsualLoad / (i + 1) / sum;
	for (int32_t i = 0; i < pl->sc->count; i++) {
		struct fair_team *team = &pl->teams[pl->sc->teams[i]];

		team->is_overloading = true;
		if (overload == kOverloadAbsent)
			team->next_ms = kPlayMs;
	}
}

static void
set_targets(struct fair_play *pl)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(g_free);

	for (int32_t i = 0; i < kTargets; i++) {
		struct fleet_target *t = g_new0(struct fleet_target, 1);

		snprintf(t->id, sizeof(t->id), "%d", i);
		t->slots = kSlots;
		t->started_ms = 1;
		g_ptr_array_add(list, t);
	}
	slotpool_set_targets(pl->pool, list, 0, pl->actions);
	g_ptr_array_unref(list);
}

static void
start(struct fair_play *pl, const struct fair_request *req)
{
	struct fair_team *team = &pl->teams[req->team];
	int64_t now_us = pl->now_ms * kUsPerMs;
	int64_t end_ms = pl->now_ms + MAX(req->hold_us / kUsPerMs, 1);

	g_array_append_val(pl->ends[end_ms % (kHoldMaxMs + 1)], req->id);
	if (!req->is_counted)
		return;
	team->started++;
	team->in_time += now_us - req->arrived_us <= kStartUs;
	team->received_us += req->hold_us;
}

static void
run_actions(struct fair_play *pl)
{
	for (guint i = 0; i < pl->actions->len; i++) {
		struct slotpool_action act =
		    g_array_index(pl->actions, struct slotpool_action, i);

		if (act.verdict == kSlotGranted)
			start(pl, g_hash_table_lookup(pl->requests, &act.id));
		else if (act.verdict == kSlotRefused)
			g_hash_table_remove(pl->requests, &act.id);
	}
	g_array_set_size(pl->actions, 0);
}

static void
send_request(struct fair_play *pl, int32_t i, double load_per_ms)
{
	struct fair_team *team = &pl->teams[i];
	struct fair_request *req = g_new0(struct fair_request, 1);
	struct slot_request ask = {
	    .id = ++pl->next_id,
	    .holder = (uint32_t)i,
	    .deadline_us = pl->now_ms * kUsPerMs + kStartUs,
	};

	if (pl->is_fair) {
		ask.team = (uint64_t)i + 1;
		ask.weight = (uint32_t)(load_per_ms * kAllowance * 1e6) + 1;
		ask.priority =
		    pl->sc->has_priorities ? (uint32_t)i % kPriorities : 0;
	}
	req->id = ask.id;
	req->team = i;
	req->arrived_us = pl->now_ms * kUsPerMs;
	req->is_counted = pl->now_ms >= kWarmMs;
	req->hold_us = (int64_t)MIN(kHoldMeanUs * exponential(pl->rand),
	    (double)(kHoldMaxMs - 1) * kUsPerMs);
	g_hash_table_insert(pl->requests, &req->id, req);
	if (req->is_counted) {
		team->sent++;
		team->sent_us += req->hold_us;
	}
	slotpool_request(pl->pool, &ask, pl->now_ms * kUsPerMs, pl->actions);
	run_actions(pl);
}

static void
play_ms(struct fair_play *pl)
{
	GArray *ends = pl->ends[pl->now_ms % (kHoldMaxMs + 1)];

	for (guint i = 0; i < ends->len; i++) {
		uint64_t id = g_array_index(ends, uint64_t, i);

		g_hash_table_remove(pl->requests, &id);
		slotpool_release(pl->pool, id, kSlotServed,
		    pl->now_ms * kUsPerMs, pl->actions);
	}
	g_array_set_size(ends, 0);
	run_actions(pl);
	if (pl->now_ms % kTickMs == 0) {
		slotpool_tick(pl->pool, pl->now_ms * kUsPerMs, pl->actions);
		run_actions(pl);
	}
	for (int32_t i = 0; i < kTeams; i++) {
		struct fair_team *team = &pl->teams[i];
		double factor = team->is_overloading ? pl->sc->factor : 1;

		while (team->next_ms <= (double)pl->now_ms) {
			send_request(pl, i, team->per_ms);
			team->next_ms +=
			    exponential(pl->rand) / (team->per_ms * factor);
		}
	}
}

static struct fair_result
sum_up(const struct fair_play *pl)
{
	struct fair_result res = {.least_share = 1};
	double sent = 0;
	double in_time = 0;
	double mean_us = 0;
	double over_started = 0;
	double over_in_time = 0;

	for (int32_t i = 0; i < kTeams; i++)
		mean_us += (double)pl->teams[i].received_us / kTeams;
	for (int32_t i = 0; i < kTeams; i++) {
		const struct fair_team *team = &pl->teams[i];
		double due_us = MIN(mean_us, (double)team->sent_us);

		if (team->sent_us > 0)
			res.least_share = MIN(res.least_share,
			    (double)team->received_us / due_us);
		if (team->is_overloading) {
			over_started += (double)team->started;
			over_in_time += (double)team->in_time;
			continue;
		}
		sent += (double)team->sent;
		in_time += (double)team->in_time;
	}
	res.others_in_time = in_time / sent;
	res.overloads_in_time = over_in_time / MAX(over_started, 1);
	res.used = mean_us * kTeams /
	    ((double)kTargets * kSlots * (kPlayMs - kWarmMs) * kUsPerMs);
	return res;
}

static struct fair_result
play(const struct fair_scenario *sc, bool is_fair, enum overload overload)
{
	struct fair_play pl = {
	    .sc = sc,
	    .is_fair = is_fair,
	    .pool = slotpool_new(),
	    .actions = slotpool_actions_new(),
	    .rand = g_rand_new_with_seed(kSeed),
	    .requests = u64_hash_new(g_free),
	};
	struct fair_result res;

	for (int32_t i = 0; i <= kHoldMaxMs; i++)
		pl.ends[i] = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	set_teams(&pl, overload);
	set_targets(&pl);
	for (; pl.now_ms < kPlayMs; pl.now_ms++)
		play_ms(&pl);
	res = sum_up(&pl);
	for (int32_t i = 0; i <= kHoldMaxMs; i++)
		g_array_unref(pl.ends[i]);
	g_hash_table_unref(pl.requests);
	g_rand_free(pl.rand);
	g_array_unref(pl.actions);
	slotpool_free(pl.pool);
	return res;
}

static void
print(const char *scenario, const char *policy, const char *what, double value,
    const char *unit, enum bound_kind kind, double bound)
{
	char name[80];
	struct figure fig = {name, value, unit, kind, bound};

	snprintf(name, sizeof(name), "fair.%s.%s.%s", scenario, policy, what);
	bench_print_figure(&fig);
}

static void
bench_scenario(const struct fair_scenario *sc, bool is_fair)
{
	const char *policy = is_fair ? "fair" : "previous";
	struct fair_result alone = play(sc, is_fair, kOverloadAbsent);
	struct fair_result beside = play(sc, is_fair, kOverloadPresent);

	print(sc->name, policy, "others_without", alone.others_in_time,
	    "of requests", kBoundNone, 0);
	print(sc->name, policy, "others_beside", beside.others_in_time,
	    "of requests", kBoundNone, 0);
	/* A priority is meant to displace others. */
	print(sc->name, policy, "others_loss",
	    alone.others_in_time - beside.others_in_time, "of requests",
	    is_fair && !sc->has_priorities ? kBoundAtMost : kBoundNone,
	    kLossMax);
	print(sc->name, policy, "overloads_in_time", beside.overloads_in_time,
	    "of their starts", kBoundNone, 0);
	print(sc->name, policy, "used", beside.used, "of the slots", kBoundNone,
	    0);
	print(sc->name, policy, "least_share", beside.least_share,
	    "of the mean", is_fair ? kBoundAtLeast : kBoundNone,
	    kLeastShareMin);
}

void
bench_fair(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
		bench_scenario(&scenarios[i], false);
		bench_scenario(&scenarios[i], true);
	}
}

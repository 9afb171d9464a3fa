/*
 * Targets that name rates: what they get at most, and what of the rates is used
 * while callers are refused. The figures are extremes and means over fixed
 * seeds.
 */
#include <stdio.h>

#include "bench.h"
#include "rate_fleet.h"

enum {
	kSeedBase = 20261204,
	/* Large fleets take longer: one play for so many of the others. */
	kLargeFleet = 100,
	kLargeShare = 10,
};

/* Users: starts in a window, as a part of what their rule allows, and share of
 * the rates that is used while callers wait. */
static const double kAllowedMax = 1;
static const double kUsedMin = 0.9;

#define SMALL_FLEET .daemons = 9, .targets = 9, .data_centers = 3

static const struct rate_scenario scenarios[] = {
    {.name = "steady",
	SMALL_FLEET,
	.calls_per_s = 80,
	.items = 20,
	.limited_percent = 70,
	.milli_min = 2000,
	.milli_max = 4000},
    {.name = "low",
	SMALL_FLEET,
	.calls_per_s = 60,
	.items = 20,
	.limited_percent = 80,
	.milli_min = 0,
	.milli_max = 1000},
    {.name = "all",
	SMALL_FLEET,
	.calls_per_s = 40,
	.items = 20,
	.limited_percent = 100,
	.milli_min = 500,
	.milli_max = 6000},
    {.name = "flap",
	SMALL_FLEET,
	.calls_per_s = 80,
	.items = 20,
	.limited_percent = 70,
	.milli_min = 1000,
	.milli_max = 4000,
	.flap_ms = 9000},
    {.name = "roll",
	SMALL_FLEET,
	.calls_per_s = 80,
	.items = 20,
	.limited_percent = 70,
	.milli_min = 2000,
	.milli_max = 4000,
	.trouble = kTroubleRoll,
	.trouble_period_ms = 1500},
    {.name = "kill",
	SMALL_FLEET,
	.calls_per_s = 80,
	.items = 20,
	.limited_percent = 70,
	.milli_min = 2000,
	.milli_max = 4000,
	.trouble = kTroubleKill,
	.trouble_period_ms = 2500,
	.trouble_ms = 1500},
    {.name = "freeze",
	SMALL_FLEET,
	.calls_per_s = 80,
	.items = 20,
	.limited_percent = 70,
	.milli_min = 2000,
	.milli_max = 4000,
	.trouble = kTroubleFreeze,
	.trouble_period_ms = 2500,
	.trouble_ms = 2000},
    {.name = "cut",
	SMALL_FLEET,
	.calls_per_s = 80,
	.items = 20,
	.limited_percent = 70,
	.milli_min = 2000,
	.milli_max = 4000,
	.trouble = kTroubleCut,
	.trouble_period_ms = 4000,
	.trouble_ms = 3000},
    {.name = "large",
	.daemons = 295,
	.targets = 163,
	.data_centers = 6,
	.calls_per_s = 1400,
	.items = 300,
	.limited_percent = 70,
	.milli_min = 2000,
	.milli_max = 4000,
	.trouble = kTroubleRoll,
	.trouble_period_ms = 300},
};

struct rate_total {
	int32_t plays;
	double allowed_max;
	double half_slack_max;
	double used_min;
	double used_sum;
	double served_sum;
	double forgotten_max_s;
	int64_t refusals;
};

static void
add(struct rate_total *sum, const struct rate_result *res)
{
	sum->used_min =
	    sum->plays == 0 ? res->used : MIN(sum->used_min, res->used);
	sum->plays++;
	sum->allowed_max = MAX(sum->allowed_max, res->worst_of_allowed);
	sum->half_slack_max =
	    MAX(sum->half_slack_max, res->worst_of_half_slack);
	sum->used_sum += res->used;
	sum->served_sum += res->served;
	sum->forgotten_max_s = MAX(sum->forgotten_max_s, res->forgotten_s);
	sum->refusals += res->refusals;
}

static void
print(const char *scenario, const char *what, double value, const char *unit,
    enum bound_kind kind, double bound)
{
	char name[80];
	struct figure fig = {name, value, unit, kind, bound};

	snprintf(name, sizeof(name), "rate.%s.%s", scenario, what);
	bench_print_figure(&fig);
}

static void
bench_scenario(const struct rate_scenario *sc, int32_t seeds)
{
	struct rate_total sum = {0};

	for (int32_t i = 0; i < seeds; i++) {
		struct rate_result res =
		    rate_fleet_run(sc, (uint32_t)(kSeedBase + i));

		add(&sum, &res);
	}
	print(sc->name, "worst_window", sum.allowed_max, "of the allowed",
	    kBoundAtMost, kAllowedMax);
	print(sc->name, "worst_half_slack", sum.half_slack_max,
	    "of half the slack",
	    sc->trouble == kTroubleNone ? kBoundAtMost : kBoundNone,
	    kAllowedMax);
	print(sc->name, "used_mean", sum.used_sum / sum.plays, "of the rates",
	    kBoundAtLeast, kUsedMin);
	print(
	    sc->name, "used_min", sum.used_min, "of the rates", kBoundNone, 0);
	print(sc->name, "served", sum.served_sum / sum.plays, "of the calls",
	    kBoundNone, 0);
	print(sc->name, "refusals", (double)sum.refusals / sum.plays, "calls",
	    kBoundNone, 0);
	print(
	    sc->name, "forgotten_max", sum.forgotten_max_s, "s", kBoundNone, 0);
}

void
bench_rate(int32_t seeds)
{
	for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++) {
		bool is_large = scenarios[i].daemons >= kLargeFleet;

		bench_scenario(&scenarios[i],
		    is_large ? MAX(seeds / kLargeShare, 1) : seeds);
	}
}

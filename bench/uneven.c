/*
 * Choice of a target in a pool of uneven targets: the expected time to the
 * first event beside the share of slots in use (the previous policy) and the
 * fewest requests, in one run.
 */
#include "uneven.h"

#include <stdio.h>

#include "bench.h"

enum {
	kSeed = 20261206,
	kSeeds = 2,
};

/* Of the requirements: the share of shared parts that are to be found kept, and
 * the shortest objective of a route for pauses. */
static const double kKeptMin = 0.75;
static const double kPauseMaxMs = 300;

static const struct uneven_scenario scenarios[] = {
    {.name = "load30",
	.targets = 75,
	.seconds = 24,
	.online_per_s = 360,
	.items_waiting = 100},
    {.name = "load60",
	.targets = 90,
	.seconds = 24,
	.online_per_s = 860,
	.items_waiting = 100},
    {.name = "scarce",
	.targets = 90,
	.seconds = 24,
	.online_per_s = 1300,
	.items_waiting = 100},
    {.name = "even",
	.targets = 60,
	.seconds = 24,
	.online_per_s = 500,
	.items_waiting = 0,
	.is_even = true},
};

static const struct {
	enum slot_choice choice;
	const char *name;
} policies[] = {
    {kSlotChoiceShare, "previous"},
    {kSlotChoiceLeastRequests, "least_requests"},
    {kSlotChoiceFirstEvent, "first_event"},
};

static void
print(const char *scenario, const char *policy, const char *what, double value,
    const char *unit, enum bound_kind kind, double bound)
{
	char name[80];
	struct figure fig = {name, value, unit, kind, bound};

	snprintf(name, sizeof(name), "uneven.%s.%s.%s", scenario, policy, what);
	bench_print_figure(&fig);
}

static void
print_result(const char *scenario, const char *policy,
    const struct uneven_result *res, bool is_new)
{
	print(scenario, policy, "first_in_300ms",
	    (double)res->online_in_time / (double)res->online, "of requests",
	    kBoundNone, 0);
	print(scenario, policy, "first_p50", res->first_p50_ms, "ms",
	    kBoundNone, 0);
	print(scenario, policy, "pause_p99", res->pause_p99_ms, "ms",
	    is_new ? kBoundAtMost : kBoundNone, kPauseMaxMs);
	print(scenario, policy, "parts_kept",
	    (double)res->parts_kept / (double)res->parts_sent, "of parts",
	    is_new ? kBoundAtLeast : kBoundNone, kKeptMin);
	print(scenario, policy, "busiest", res->busiest_over_mean,
	    "of the mean", kBoundNone, 0);
	print(scenario, policy, "items_done", (double)res->items_done, "items",
	    kBoundNone, 0);
}

/* Sums of counts; times and the busiest target are the worst of the plays. */
static struct uneven_result
play_seeds(const struct uneven_scenario *sc, enum slot_choice choice)
{
	struct uneven_result sum = {0};

	for (uint32_t i = 0; i < kSeeds; i++) {
		struct uneven_result res = uneven_play(sc, choice, kSeed + i);

		sum.online += res.online;
		sum.online_in_time += res.online_in_time;
		sum.items_done += res.items_done;
		sum.parts_sent += res.parts_sent;
		sum.parts_kept += res.parts_kept;
		sum.pause_p99_ms = MAX(sum.pause_p99_ms, res.pause_p99_ms);
		sum.first_p50_ms = MAX(sum.first_p50_ms, res.first_p50_ms);
		sum.busiest_over_mean =
		    MAX(sum.busiest_over_mean, res.busiest_over_mean);
	}
	return sum;
}

void
bench_uneven(void)
{
	for (size_t i = 0; i < G_N_ELEMENTS(scenarios); i++)
		for (size_t k = 0; k < G_N_ELEMENTS(policies); k++) {
			struct uneven_result res =
			    play_seeds(&scenarios[i], policies[k].choice);

			print_result(scenarios[i].name, policies[k].name, &res,
			    policies[k].choice == kSlotChoiceFirstEvent);
		}
}

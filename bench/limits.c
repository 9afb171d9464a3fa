/* Figures of the allowances module, beside equal shares. */
#include <stdio.h>
#include <string.h>

#include "bench.h"
#include "limits_fleet.h"

/* Part of the load below the limit that must be admitted while all daemons are
 * connected. */
static const double admitted_min = 0.97;

static const struct limits_scenario scenarios[] = {
    {"calm_79", 79, 82, kHotNone, kLimitsCalm, false},
    {"calm_380", 380, 3200, kHotNone, kLimitsCalm, false},
    {"hot_one_79", 79, 82, kHotOneDaemon, kLimitsCalm, false},
    {"hot_all_79", 79, 82, kHotAllDaemons, kLimitsCalm, false},
    {"hot_moving_79", 79, 82, kHotMoving, kLimitsCalm, false},
    {"hot_teams_79", 79, 82, kHotAllTeams, kLimitsCalm, false},
    {"hot_all_380", 380, 3200, kHotAllDaemons, kLimitsCalm, false},
    {"lossy_79", 79, 82, kHotAllDaemons, kLimitsLossy, false},
    {"very_lossy_79", 79, 82, kHotAllDaemons, kLimitsVeryLossy, false},
    {"kill_79", 79, 82, kHotAllDaemons, kLimitsKill, false},
    {"one_way_79", 79, 82, kHotAllTeams, kLimitsOneWay, false},
    {"cut_79", 79, 82, kHotAllTeams, kLimitsCut, false},
    {"freeze_79", 79, 82, kHotAllTeams, kLimitsFreeze, false},
    {"cut_380", 380, 3200, kHotAllTeams, kLimitsCut, false},
};

static void
print(const struct limits_scenario *sc, const char *what, double value,
    const char *unit, enum bound_kind kind, double bound)
{
	char name[80];
	struct figure fig = {name, value, unit, kind, bound};

	snprintf(name, sizeof(name), "limits_%s%s_%s", sc->name,
	    sc->is_baseline ? "_equal_shares" : "", what);
	bench_print_figure(&fig);
}

static void
run(const struct limits_scenario *sc, uint32_t seed)
{
	struct limits_result r;
	/* Messages lost on the way to an owner do not disconnect a daemon. */
	bool is_connected = sc->trouble == kLimitsCalm ||
	    sc->trouble == kLimitsLossy || sc->trouble == kLimitsVeryLossy;
	enum bound_kind least =
	    is_connected && !sc->is_baseline ? kBoundAtLeast : kBoundNone;
	enum bound_kind least_hot =
	    sc->trouble == kLimitsCalm ? least : kBoundNone;

	limits_fleet_run(sc, seed, &r);
	print(sc, "worst_of_bound", r.worst_of_bound, "part",
	    sc->is_baseline ? kBoundNone : kBoundAtMost, 1.0);
	if (sc->hot != kHotAllTeams)
		print(sc, "admitted", r.admitted, "part", least, admitted_min);
	if (sc->hot != kHotNone)
		print(sc, "admitted_hot", r.admitted_hot, "part", least_hot,
		    admitted_min);
	if (sc->is_baseline)
		return;
	print(sc, "waited_over_5ms", r.waited, "part", kBoundNone, 0);
	print(sc, "wait_max", r.wait_max_ms, "ms", kBoundNone, 0);
	print(sc, "messages", r.messages, "1/s/daemon", kBoundNone, 0);
	print(sc, "teams_max", r.teams_max, "teams", kBoundNone, 0);
}

void
bench_limits(int32_t seeds, const char *only)
{
	for (int32_t seed = 1; seed <= seeds; seed++)
		for (guint i = 0; i < G_N_ELEMENTS(scenarios); i++) {
			struct limits_scenario baseline = scenarios[i];

			if (only != NULL && strcmp(only, baseline.name) != 0)
				continue;
			run(&scenarios[i], (uint32_t)seed);
			if (baseline.trouble != kLimitsCalm)
				continue;
			baseline.is_baseline = true;
			run(&baseline, (uint32_t)seed);
		}
}

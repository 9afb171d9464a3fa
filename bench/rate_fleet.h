#ifndef BENCH_RATE_FLEET_H
#define BENCH_RATE_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Daemons with the real slots and roster modules, and targets that name rates,
 * in virtual time and steps of 1 ms: what the targets get, and what becomes of
 * the callers.
 */

enum rate_trouble {
	kTroubleNone,
	/** All daemons are stopped in an orderly way and started, in turn. */
	kTroubleRoll,
	/** The arbiter of a pool is killed, and back after a while. */
	kTroubleKill,
	/** The arbiter of a pool stands still for a while. */
	kTroubleFreeze,
	/** The arbiter of a pool loses all messages for a while. */
	kTroubleCut,
};

struct rate_scenario {
	const char *name;
	int32_t daemons;
	int32_t targets;
	int32_t data_centers;
	/** Calls a second in the whole fleet, and items that are always there.
	 */
	int32_t calls_per_s;
	int32_t items;
	/** Targets that name a rate, in percent, and the range of it. */
	int32_t limited_percent;
	int32_t milli_min;
	int32_t milli_max;
	/** Rates are named for so long, with pauses of kPauseUs; 0: once. */
	int32_t flap_ms;
	enum rate_trouble trouble;
	/** Time between troubles, and how long each lasts. */
	int32_t trouble_period_ms;
	int32_t trouble_ms;
};

struct rate_result {
	/** Largest number of requests in a window of the users' rule, as a part
	 * of what it allows, and of half of what it allows beyond the rate. */
	double worst_of_allowed;
	double worst_of_half_slack;
	/** Starts at targets that name a rate, as a part of the rates, in the
	 * seconds in which a caller was refused. */
	double used;
	/** Calls that were served, by their first attempt or a second one. */
	double served;
	/** Time until the last rate that ended was forgotten. */
	double forgotten_s;
	int32_t refusals;
};

struct rate_result rate_fleet_run(
    const struct rate_scenario *sc, uint32_t seed);

#endif

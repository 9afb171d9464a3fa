#ifndef BENCH_LIMITS_FLEET_H
#define BENCH_LIMITS_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Daemons with the real allowances module in virtual time and steps of 1 ms:
 * how many requests of each team are admitted, and at what cost. The daemons'
 * clocks differ.
 */

/** Where the requests of an overloading team arrive. */
enum limits_hot {
	/** No team sends more than usual. */
	kHotNone,
	kHotOneDaemon,
	kHotAllDaemons,
	/** At one daemon, another one every 2 s. */
	kHotMoving,
	/** All teams send more than their limit, at all daemons. */
	kHotAllTeams,
};

enum limits_trouble {
	kLimitsCalm,
	/** Messages are lost (2%) or 40 to 200 ms late (2%). */
	kLimitsLossy,
	/** The same, 5% each. */
	kLimitsVeryLossy,
	/** The owner of the hot team, and a delegate, are killed in turn, one
	 * every 4 s, and started anew. */
	kLimitsKill,
	/** The first region sends nothing to the others for 5 s at a time. */
	kLimitsOneWay,
	/** The regions, and for a time all daemons, are cut from each other. */
	kLimitsCut,
	/** The owner of the hot team stands still for 3 s at a time. */
	kLimitsFreeze,
};

struct limits_scenario {
	const char *name;
	int32_t daemons;
	int32_t teams;
	enum limits_hot hot;
	enum limits_trouble trouble;
	/** The daemons' shares of 1/N are compared instead. */
	bool is_baseline;
};

struct limits_result {
	/** Largest number admitted in 5 s, as a part of the bound. */
	double worst_of_bound;
	/** Admitted requests as a part of what one bucket with the team's rate
	 * and burst would have admitted: teams below their limit, and the
	 * overloading ones. */
	double admitted;
	double admitted_hot;
	/** Part of the admitted requests that waited for more than 5 ms. */
	double waited;
	double wait_max_ms;
	/** Messages a second and daemon. */
	double messages;
	/** Teams remembered by the daemon that remembers most, in all roles. */
	int32_t teams_max;
};

void limits_fleet_run(const struct limits_scenario *sc, uint32_t seed,
    struct limits_result *result);

#endif

#ifndef BENCH_CRASH_FLEET_H
#define BENCH_CRASH_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Daemons with the real blame module and workers that crash, in virtual time
 * and steps of 1 ms: what becomes of requests that crash workers, and of the
 * sound ones beside them.
 */

struct crash_scenario {
	const char *name;
	int32_t daemons;
	int32_t workers;
	int32_t seconds;
	/** Requests a second in the whole fleet. */
	int32_t sound_per_s;
	int32_t bad_per_s;
	/** Parts that crash workers, each in its own requests; 4 at most. */
	int32_t bad_parts;
	/** The part that crashes workers stands before the shared one. */
	bool is_bad_first;
	/** Crashes without a request to blame: a share of the workers, in
	 * percent, each period. */
	int32_t crash_percent;
	int32_t crash_period_ms;
	/** One worker, never two at once, crashes each period; 0: none. */
	int32_t single_period_ms;
	/** Time that a worker is down after a crash without a request to blame;
	 * 0: the usual one. */
	int32_t down_ms;
	/** Time until an answer begins, at most; 0: the usual one. */
	int32_t begin_max_ms;
	/** Sound requests are items of jobs of so many; each job has a part of
	 * its own. 0: calls that share the parts of sessions. */
	int32_t job_items;
	/** Runs that lose only their connection before their answer, in
	 * percent. */
	int32_t cut_percent;
	/** All daemons are restarted in turn, one each period; 0: none. */
	int32_t restart_period_ms;
};

struct crash_result {
	/** Ends of workers under bad requests until a part was blocked. */
	int32_t ends_until_known;
	int32_t ends;
	/** Bad requests with one part that reached a worker, sent later than
	 * the users' bound after the fifth end under the part; the largest
	 * number of all parts. */
	int32_t let_through;
	/** Sound requests, and those served by their first attempt, from twice
	 * that bound on. */
	int32_t sound;
	int32_t sound_served;
	/** Keys of sound requests that were blocked: parts, and whole requests.
	 */
	int32_t wrong_parts;
	int32_t wrong_requests;
	/** Sound requests refused because of a blocked key. */
	int32_t sound_refused;
	int32_t sound_all;
	/** Items, and those that had not begun when their job was due. */
	int32_t items;
	int32_t items_late;
	/** Messages between daemons. */
	int32_t messages;
};

struct crash_result crash_fleet_run(
    const struct crash_scenario *sc, uint32_t seed);

#endif

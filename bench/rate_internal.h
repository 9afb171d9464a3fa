#ifndef BENCH_RATE_INTERNAL_H
#define BENCH_RATE_INTERNAL_H

#include "gateway/roster.h"
#include "gateway/slots.h"
#include "rate_fleet.h"

/* State of a play: daemons (rate_daemons.c), targets (rate_targets.c), calls
 * (rate_fleet.c). */

enum {
	kMsUs = 1000,
	kSecondUs = 1000 * kMsUs,
	/** When rates are first named, when they end, and the end of a play. */
	kNamedFromUs = 5 * kSecondUs,
	kNamedUntilUs = 35 * kSecondUs,
	kPlayUs = 50 * kSecondUs,
	kPauseUs = 3 * kSecondUs,
};

struct rate_target {
	char id[16];
	int32_t data_center;
	int64_t milli_per_s;
	/** Times of the requests that it got, int64_t. */
	GArray *arrivals;
	/** When its rate was last forgotten by all. */
	int64_t forgotten_us;
};

struct play;

struct sim_daemon {
	struct play *p;
	int32_t index;
	char address[kFleetAddressMax];
	char data_center[kFleetNameMax];
	struct loop *lp;
	struct roster *roster;
	struct fleet *fleet;
	struct slots *slots;
	/** Start of the daemon; 0: it is down. */
	uint64_t incarnation;
	uint64_t next_incarnation;
	bool is_leaving;
	int64_t frozen_until_us;
	int64_t cut_until_us;
	int64_t heartbeat;
	int64_t heartbeat_us;
	int64_t next_run_us;
	bool is_dirty;
};

/** A call of a caller, or an item. */
struct sim_call {
	struct play *p;
	struct sim_daemon *d;
	uint64_t incarnation;
	uint64_t slot;
	bool is_batch;
	/** Refused once before. */
	bool is_repeat;
	struct rate_target *target;
	/** Number of the run, so that events of earlier ones are ignored. */
	int32_t run;
};

struct sim_event {
	int64_t at_us;
	uint64_t order;
	void (*fn)(struct sim_event *ev);
	struct sim_daemon *d;
	uint64_t incarnation;
	struct sim_call *call;
	int32_t run;
	/** A message, packed. */
	GByteArray *data;
	struct stated_rate said;
};

struct play {
	const struct rate_scenario *sc;
	GRand *rand;
	int64_t now_us;
	struct clock_source clk;
	struct sim_daemon *daemons;
	struct rate_target *targets;
	GSequence *events;
	/** All calls and items, which own them. */
	GPtrArray *call_list;
	uint64_t next_order;
	int64_t next_call_us;
	int64_t next_trouble_us;
	int32_t troubles;
	int32_t calls;
	int32_t served;
	int32_t refusals;
	bool is_refusing[kPlayUs / kSecondUs + 1];
};

/** Adds an event. */
struct sim_event *sim_event_add(
    struct play *p, int64_t delay_us, void (*fn)(struct sim_event *ev));
void sim_event_free(void *p);

/** Runs the events that are due; those of a daemon that stands still wait. */
void sim_events_run(struct play *p);

/** Time of a message between data centres. */
int64_t sim_link_us(struct play *p, const char *from, const char *to);

void sim_daemon_start(struct sim_daemon *d);
void sim_daemon_stop(struct sim_daemon *d);

/** Ends a daemon without notice; it starts again after down_us. */
void sim_daemon_kill(struct sim_daemon *d, int64_t down_us);

/** Stops a daemon in an orderly way, and starts it again. */
void sim_daemon_drain(struct sim_daemon *d);

/** Runs the daemon's heartbeat and its loop, if it has something to do. */
void sim_daemon_run(struct sim_daemon *d);

bool sim_daemon_is_cut(const struct sim_daemon *d);

/** The daemon with an address, or NULL. */
struct sim_daemon *sim_daemon_find(struct play *p, const char *address);

/** The rate that a target names at a time; -1: none. */
int64_t rate_target_named(const struct rate_scenario *sc,
    const struct rate_target *t, int64_t now_us);

/** Adds what a target got to the result. */
void rate_target_judge(const struct rate_scenario *sc,
    const struct rate_target *t, struct rate_result *res);

/**
 * Share of the rates that was used.
 * @param is_refusing for each second, whether a caller was refused in it
 */
double rate_targets_used(const struct rate_scenario *sc,
    const struct rate_target *targets, const bool *is_refusing);

#endif

#ifndef SAVORYFLOW_LIMIT_POT_H
#define SAVORYFLOW_LIMIT_POT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The part of all teams' rates that one node may give out.
 *
 * Each daemon contributes an equal share of every rate, 1/N, to exactly one
 * node at a time: to the owner that it is tied to, directly or through the
 * delegate of its data centre, or to itself if it is tied to none. A pot fills
 * at the rate times the sum of the shares that are known to be contributed to
 * it. All pots together therefore never fill faster than the rate, however the
 * daemons are partitioned and however many of them believe to be the owner.
 */
struct limit_pot;

/** The allowance of a team over all daemons. */
struct limit_rate {
	/** Thousandths of requests per second; 0: no limit. */
	int64_t milli_per_s;
	/** Requests beyond the rate that may come at once. */
	int64_t burst;
};

struct limit_pot_options {
	/** Distinguishes the node from others, for its phase. */
	uint64_t seed;
	/** Buckets start with what the slack allows instead of empty. */
	bool starts_with_slack;
	int64_t now_us;
};

struct limit_pot *limit_pot_new(const struct limit_pot_options *opt);
void limit_pot_free(struct limit_pot *pot);

/** Sets the number of daemons among which rates are divided. */
void limit_pot_set_daemons(
    struct limit_pot *pot, int32_t daemons, int64_t now_us);

/**
 * Records that a member contributes the shares of `count` daemons until a
 * time; replaces what it contributed before.
 */
void limit_pot_set_member(struct limit_pot *pot, uint64_t member, int32_t count,
    int64_t until_us, int64_t now_us);

/** Number of daemons whose shares are contributed at least until a time. */
int32_t limit_pot_count(const struct limit_pot *pot, int64_t until_us);

/**
 * Contributes the shares to another node until a time: the pot does not fill
 * before. What it held is dropped when a tie begins.
 */
void limit_pot_tie(struct limit_pot *pot, int64_t until_us, int64_t now_us);

/** End of the last tie; 0: none. */
int64_t limit_pot_tied_until_us(const struct limit_pot *pot);

/** True while the shares are contributed to another node. */
bool limit_pot_is_tied(const struct limit_pot *pot, int64_t now_us);

/**
 * Takes up to `wanted` requests of a team.
 * @param reserve requests that are to be left
 * @return requests taken
 */
int64_t limit_pot_take(struct limit_pot *pot, uint64_t team,
    const struct limit_rate *rate, int64_t wanted, int64_t reserve,
    int64_t now_us);

/** Gives back requests that were taken and not used. */
void limit_pot_give_back(struct limit_pot *pot, uint64_t team,
    const struct limit_rate *rate, int64_t count, int64_t now_us);

/** Time until the pot is likely to hold `count` requests of a team. */
int64_t limit_pot_wait_us(struct limit_pot *pot, uint64_t team,
    const struct limit_rate *rate, int64_t count, int64_t now_us);

/** Time in which one request flows in at the present share. */
int64_t limit_pot_interval_us(
    struct limit_pot *pot, const struct limit_rate *rate, int64_t now_us);

/** Requests that the node may admit in advance of an owner's late answer. */
int64_t limit_pot_debt(
    struct limit_pot *pot, const struct limit_rate *rate, int64_t now_us);

/** Forgets teams whose bucket is as it would be if it were created now. */
void limit_pot_sweep(struct limit_pot *pot, int64_t now_us);

/** Number of teams that are remembered. */
guint limit_pot_teams(const struct limit_pot *pot);

/** How long what is taken from a pot may be spent. */
int64_t limit_lease_us(const struct limit_rate *rate);

#endif

#ifndef SAVORYFLOW_TEAM_SHARE_H
#define SAVORYFLOW_TEAM_SHARE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * What teams have received of a pool, for fair queueing by virtual time. Work
 * is slot time; a team's virtual time advances by its work over its weight, and
 * the team that is furthest behind is next. Designed for 3,200 teams, of which
 * some hundred wait at once. No I/O, no clock.
 */

enum {
	/** Weight of a team whose rate is not limited, in thousandths of
	 * requests a second: 83 teams send 335 requests a second together. */
	kTeamWeightDefault = 4000,
};

/** One team; requests without a team are one, too. */
struct team_share {
	uint64_t team;
	int64_t virtual_us;
	/** Work received of late: halved each second. */
	int64_t recent_us;
	/** Mean slot time of its requests; 0: unknown. */
	int64_t hold_us;
	/** Requests that wait. */
	int32_t waiting;
};

struct team_shares;

struct team_shares *team_shares_new(void);
void team_shares_free(struct team_shares *ts);

/** The account of a team, created if needed; valid until team_shares_age. */
struct team_share *team_shares_get(struct team_shares *ts, uint64_t team);

/** Virtual time at which the team's next request starts. */
int64_t team_shares_start_us(
    const struct team_shares *ts, const struct team_share *share);

/** Virtual time that some work takes a team.
 * @param weight 0: kTeamWeightDefault */
int64_t team_shares_virtual_us(int64_t work_us, uint32_t weight);

/** Expected slot time of a team's request.
 * @param usual_us mean over all teams */
int64_t team_share_work_us(const struct team_share *share, int64_t usual_us);

/** Charges a request that starts. */
void team_shares_charge(struct team_shares *ts, struct team_share *share,
    int64_t work_us, uint32_t weight);

/** Corrects the charge of a request that has ended, and learns from it. */
void team_shares_settle(struct team_shares *ts, struct team_share *share,
    int64_t charged_us, int64_t held_us, uint32_t weight);

/**
 * Requests of all teams that start before another one of this team, if it gets
 * the share that it has received of late. A team that is behind gets more: only
 * its own requests count.
 */
int32_t team_shares_ahead(
    const struct team_shares *ts, const struct team_share *share);

/** True if the team has received less than a third of the mean of late, so that
 * nobody stays below a quarter. */
bool team_shares_is_starved(
    const struct team_shares *ts, const struct team_share *share);

/** Ages what was received; drops teams that neither wait nor have received
 * anything of late. */
void team_shares_age(struct team_shares *ts, int64_t now_us);

#endif

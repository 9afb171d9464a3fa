/* Accounts of teams for fair queueing by virtual time. */
#include "savoryflow/slotpool/team_share.h"

#include "os/clock.h"
#include "savoryflow/arbiter/u64_hash.h"

enum {
	kAgePeriodUs = kUsPerS,
	/* Less than this is as good as nothing. */
	kRecentMinUs = kUsPerMs,
	/* Weight of one request in a team's mean slot time: 1/16. */
	kHoldShift = 4,
	/* A team is owed a quarter of the mean share; it comes first below a
	 * third, since what it has received of late is known only later. */
	kStarvedDivisor = 3,
	kWeightMax = 100000000,
	/* An idle team keeps this much virtual time: at its usual load, a small
	 * team sends two requests within the 240 ms that each may wait, and one
	 * takes it 400 ms. */
	kCreditUs = 3 * kUsPerS,
};

struct team_shares {
	/** struct team_share by team. */
	GHashTable *shares;
	/** Virtual time of the request that started last. */
	int64_t virtual_us;
	int64_t recent_sum_us;
	int64_t aged_us;
};

struct team_shares *
team_shares_new(void)
{
	struct team_shares *ts = g_new0(struct team_shares, 1);

	ts->shares = u64_hash_new(g_free);
	return ts;
}

void
team_shares_free(struct team_shares *ts)
{
	g_hash_table_unref(ts->shares);
	g_free(ts);
}

struct team_share *
team_shares_get(struct team_shares *ts, uint64_t team)
{
	struct team_share *share = g_hash_table_lookup(ts->shares, &team);

	if (share != NULL)
		return share;
	share = g_new0(struct team_share, 1);
	share->team = team;
	share->virtual_us = ts->virtual_us - kCreditUs;
	g_hash_table_insert(ts->shares, &share->team, share);
	return share;
}

int64_t
team_shares_start_us(
    const struct team_shares *ts, const struct team_share *share)
{
	return MAX(share->virtual_us, ts->virtual_us - kCreditUs);
}

int64_t
team_shares_virtual_us(int64_t work_us, uint32_t weight)
{
	int64_t w = weight > 0 ? MIN(weight, kWeightMax) : kTeamWeightDefault;

	return work_us * kTeamWeightDefault / w;
}

int64_t
team_share_work_us(const struct team_share *share, int64_t usual_us)
{
	return MAX(share->hold_us > 0 ? share->hold_us : usual_us, 1);
}

static void
add_recent(struct team_shares *ts, struct team_share *share, int64_t work_us)
{
	int64_t before_us = share->recent_us;

	share->recent_us = MAX(before_us + work_us, 0);
	ts->recent_sum_us += share->recent_us - before_us;
}

void
team_shares_charge(struct team_shares *ts, struct team_share *share,
    int64_t work_us, uint32_t weight)
{
	int64_t start_us = team_shares_start_us(ts, share);

	ts->virtual_us = MAX(ts->virtual_us, start_us);
	share->virtual_us = start_us + team_shares_virtual_us(work_us, weight);
	add_recent(ts, share, work_us);
}

void
team_shares_settle(struct team_shares *ts, struct team_share *share,
    int64_t charged_us, int64_t held_us, uint32_t weight)
{
	if (share->hold_us == 0)
		share->hold_us = MAX(charged_us, 1);
	share->hold_us += (held_us - share->hold_us) / (1 << kHoldShift);
	share->virtual_us +=
	    team_shares_virtual_us(held_us - charged_us, weight);
	add_recent(ts, share, held_us - charged_us);
}

bool
team_shares_is_starved(
    const struct team_shares *ts, const struct team_share *share)
{
	int64_t teams = g_hash_table_size(ts->shares);

	return share->recent_us * teams * kStarvedDivisor < ts->recent_sum_us;
}

int32_t
team_shares_ahead(const struct team_shares *ts, const struct team_share *share)
{
	int64_t recent_us = MAX(share->recent_us, 1);

	if (share->virtual_us < ts->virtual_us ||
	    team_shares_is_starved(ts, share))
		return share->waiting;
	return (int32_t)MIN(
	    share->waiting * MAX(ts->recent_sum_us, recent_us) / recent_us,
	    G_MAXINT32);
}

void
team_shares_age(struct team_shares *ts, int64_t now_us)
{
	GHashTableIter it;
	void *val;

	if (now_us - ts->aged_us < kAgePeriodUs)
		return;
	ts->aged_us = now_us;
	ts->recent_sum_us = 0;
	g_hash_table_iter_init(&it, ts->shares);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		struct team_share *share = val;

		share->recent_us /= 2;
		if (share->waiting == 0 && share->recent_us < kRecentMinUs)
			g_hash_table_iter_remove(&it);
		else
			ts->recent_sum_us += share->recent_us;
	}
}

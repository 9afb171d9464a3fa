/* Leases of team request rates. */
#include "savoryflow/limits/limits.h"

#include "savoryflow/arbiter/u64_hash.h"
#include "savoryflow/limits/token_bucket.h"

enum {
	kUsPerSecond = 1000000,
	/* A lease is renewed once at most 1/kRefillDivisor of it remains. */
	kRefillDivisor = 4,
	/* Minimum size of a lease request. */
	kRequestMin = 4,
	/* An owner that does not answer within this time is considered down. */
	kOwnerTimeoutUs = 500000,
};

struct owned_rate {
	uint64_t team;
	struct token_bucket bucket;
};

struct limit_owner {
	/** struct owned_rate by team. */
	GHashTable *rates;
};

struct lease {
	uint64_t team;
	/** Requests remaining; negative: debt deducted from the next lease. */
	int32_t remaining;
	int32_t size;
	int64_t expires_us;
	/** Time of the unanswered lease request, or 0. */
	int64_t requested_us;
	/** Requests in the current and the previous window. */
	int32_t requests;
	int32_t prev_requests;
	int64_t window_us;
	/** Equal share of the rate, used while the owner is down. */
	struct token_bucket equal_share;
};

struct limit_spender {
	GHashTable *leases;
};

/* A bucket holds what flows in during one lease. */
static struct token_rate
bucket_rate(int64_t micro_per_s)
{
	return (struct token_rate){
	    micro_per_s, micro_per_s * kLimitLeaseUs / kUsPerSecond};
}

struct limit_owner *
limit_owner_new(void)
{
	struct limit_owner *lo = g_new0(struct limit_owner, 1);

	lo->rates = u64_hash_new(g_free);
	return lo;
}

void
limit_owner_free(struct limit_owner *lo)
{
	g_hash_table_unref(lo->rates);
	g_free(lo);
}

int32_t
limit_owner_lease(struct limit_owner *lo, uint64_t team, int32_t rate_per_s,
    int32_t wanted, int64_t now_us)
{
	struct owned_rate *owned = g_hash_table_lookup(lo->rates, &team);
	struct token_rate rate = bucket_rate((int64_t)rate_per_s * kTokenOne);
	int32_t leased;

	if (owned == NULL) {
		owned = g_new0(struct owned_rate, 1);
		owned->team = team;
		/* Starts empty: what was admitted before is unknown. */
		token_bucket_empty(&owned->bucket, now_us);
		g_hash_table_insert(lo->rates, &owned->team, owned);
	}
	leased = (int32_t)MIN(
	    MAX(token_bucket_level(&owned->bucket, &rate, now_us), 0) /
		kTokenOne,
	    wanted);
	token_bucket_take(
	    &owned->bucket, &rate, (int64_t)leased * kTokenOne, now_us);
	return leased;
}

struct limit_spender *
limit_spender_new(void)
{
	struct limit_spender *ls = g_new0(struct limit_spender, 1);

	ls->leases = u64_hash_new(g_free);
	return ls;
}

void
limit_spender_free(struct limit_spender *ls)
{
	g_hash_table_unref(ls->leases);
	g_free(ls);
}

static struct lease *
lease_get(struct limit_spender *ls, uint64_t team)
{
	struct lease *le = g_hash_table_lookup(ls->leases, &team);

	if (le == NULL) {
		le = g_new0(struct lease, 1);
		le->team = team;
		g_hash_table_insert(ls->leases, &le->team, le);
	}
	return le;
}

static void
record_demand(struct lease *le, int64_t now_us)
{
	if (now_us - le->window_us > kLimitLeaseUs) {
		le->prev_requests = le->requests;
		le->requests = 0;
		le->window_us = now_us;
	}
	le->requests++;
}

static int32_t
lease_request_size(struct lease *le, const struct limit_check *check)
{
	int32_t demand = MAX(MAX(le->requests, le->prev_requests), kRequestMin);

	if (le->requested_us != 0 &&
	    check->now_us - le->requested_us < kOwnerTimeoutUs)
		return 0;
	if (le->remaining * kRefillDivisor > le->size)
		return 0;
	demand += MAX(-le->remaining, 0);
	le->requested_us = check->now_us;
	return MIN(demand, check->rate_per_s);
}

static bool
is_owner_down(const struct lease *le, int64_t now_us)
{
	/* No lease yet, or the last request timed out. */
	return le->expires_us == 0 ||
	    (le->requested_us != 0 &&
		now_us - le->requested_us >= kOwnerTimeoutUs);
}

static bool
spend_equal_share(struct lease *le, const struct limit_check *check)
{
	int64_t share =
	    (int64_t)check->rate_per_s * kTokenOne / MAX(check->daemons, 1);
	struct token_rate rate = bucket_rate(share);
	int64_t level;

	/* The first share is a full one. */
	if (le->equal_share.filled_us == 0)
		le->equal_share =
		    (struct token_bucket){rate.micro_max, check->now_us};
	level = token_bucket_level(&le->equal_share, &rate, check->now_us);
	/* A share below one request per second may overdraw the bucket. */
	if (level <= 0 || (level < kTokenOne && share >= kTokenOne))
		return false;
	token_bucket_take(&le->equal_share, &rate, kTokenOne, check->now_us);
	return true;
}

/* Requests that may be admitted while the owner's answer is outstanding. */
static int32_t
debt_max(const struct limit_check *check)
{
	return CLAMP(
	    check->rate_per_s / MAX(check->daemons, 1), 1, kLimitDebtMax);
}

enum limit_verdict
limit_spender_acquire(
    struct limit_spender *ls, const struct limit_check *check, int32_t *wanted)
{
	struct lease *le;
	bool is_down;

	*wanted = 0;
	if (check->rate_per_s <= 0)
		return kLimitPass;
	le = lease_get(ls, check->team);
	record_demand(le, check->now_us);
	if (check->now_us >= le->expires_us)
		le->remaining = MIN(le->remaining, 0);
	is_down = is_owner_down(le, check->now_us);
	*wanted = lease_request_size(le, check);
	if (le->remaining > 0 ||
	    (!is_down && le->remaining > -debt_max(check))) {
		le->remaining--;
		return kLimitPass;
	}
	if (is_down && spend_equal_share(le, check))
		return kLimitPass;
	return kLimitRefuse;
}

void
limit_spender_on_lease(
    struct limit_spender *ls, uint64_t team, int32_t leased, int64_t now_us)
{
	struct lease *le = lease_get(ls, team);

	le->requested_us = 0;
	if (now_us >= le->expires_us)
		le->remaining = MIN(le->remaining, 0);
	le->remaining += leased;
	le->size = MAX(le->remaining, 1);
	le->expires_us = now_us + kLimitLeaseUs;
}

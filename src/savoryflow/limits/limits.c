/* Leases of teams' request rates. */
#include "savoryflow/limits/limits.h"

#include "savoryflow/arbiter/u64_hash.h"

enum {
	kUsPerSecond = 1000000,
	/* A lease is asked for again when less than this part is left. */
	kRefillPart = 4,
	/* Least requests asked for at once. */
	kAskLeast = 4,
	/* An owner that has not answered for so long is taken as away. */
	kOwnerTimeoutUs = 500000,
	/* Longest time that is made up for in a bucket. */
	kFillMostUs = 600 * kUsPerSecond,
};

/* A bucket that fills at a rate and holds at most one lease time of it. */
struct bucket {
	uint64_t team;
	/** Requests, times 10^6. */
	int64_t micro;
	int64_t filled_us;
};

struct limit_owner {
	GHashTable *buckets;
};

struct lease {
	uint64_t team;
	/** Requests left; below 0 for what is owed to the next lease. */
	int32_t left;
	int32_t size;
	int64_t expires_us;
	/** Time of an ask without answer, or 0. */
	int64_t asked_us;
	/** Requests seen in the present and the last lease time. */
	int32_t seen;
	int32_t seen_before;
	int64_t window_us;
	/** Even part, used while the owner is away. */
	struct bucket even;
};

struct limit_spender {
	GHashTable *leases;
};

static void
bucket_fill(struct bucket *b, int64_t micro_per_s, int64_t now_us)
{
	int64_t passed = MIN(now_us - b->filled_us, kFillMostUs);

	b->filled_us = now_us;
	b->micro = MIN(b->micro + micro_per_s * passed / kUsPerSecond,
	    micro_per_s * kLimitLeaseUs / kUsPerSecond);
}

struct limit_owner *
limit_owner_new(void)
{
	struct limit_owner *lo = g_new0(struct limit_owner, 1);

	lo->buckets = u64_hash_new(g_free);
	return lo;
}

void
limit_owner_free(struct limit_owner *lo)
{
	g_hash_table_unref(lo->buckets);
	g_free(lo);
}

int32_t
limit_owner_lease(struct limit_owner *lo, uint64_t team, int32_t rate_per_s,
    int32_t wanted, int64_t now_us)
{
	struct bucket *b = g_hash_table_lookup(lo->buckets, &team);
	int32_t leased;

	if (b == NULL) {
		b = g_new0(struct bucket, 1);
		b->team = team;
		/* Empty: what daemons let through before is not known. */
		b->filled_us = now_us;
		g_hash_table_insert(lo->buckets, &b->team, b);
	}
	bucket_fill(b, (int64_t)rate_per_s * kUsPerSecond, now_us);
	leased = (int32_t)MIN(MAX(b->micro, 0) / kUsPerSecond, wanted);
	b->micro -= (int64_t)leased * kUsPerSecond;
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
note_demand(struct lease *le, int64_t now_us)
{
	if (now_us - le->window_us > kLimitLeaseUs) {
		le->seen_before = le->seen;
		le->seen = 0;
		le->window_us = now_us;
	}
	le->seen++;
}

static int32_t
wanted_now(struct lease *le, const struct limit_check *check)
{
	int32_t demand = MAX(MAX(le->seen, le->seen_before), kAskLeast);

	if (le->asked_us != 0 && check->now_us - le->asked_us < kOwnerTimeoutUs)
		return 0;
	if (le->left * kRefillPart > le->size)
		return 0;
	demand += MAX(-le->left, 0);
	le->asked_us = check->now_us;
	return MIN(demand, check->rate_per_s);
}

static bool
owner_is_away(const struct lease *le, int64_t now_us)
{
	/* No lease yet, or the last ask had no answer in time. */
	return le->expires_us == 0 ||
	    (le->asked_us != 0 && now_us - le->asked_us >= kOwnerTimeoutUs);
}

static bool
take_even_part(struct lease *le, const struct limit_check *check)
{
	int64_t part =
	    (int64_t)check->rate_per_s * kUsPerSecond / MAX(check->daemons, 1);

	if (le->even.filled_us == 0)
		le->even.micro = part * kLimitLeaseUs / kUsPerSecond;
	else
		bucket_fill(&le->even, part, check->now_us);
	le->even.filled_us = check->now_us;
	/* A small part still lets a request through when it is whole. */
	if (le->even.micro < kUsPerSecond && part >= kUsPerSecond)
		return false;
	if (le->even.micro <= 0)
		return false;
	le->even.micro -= kUsPerSecond;
	return true;
}

/* Requests that may be let through while the owner's answer is on its way. */
static int32_t
debt_most(const struct limit_check *check)
{
	return CLAMP(
	    check->rate_per_s / MAX(check->daemons, 1), 1, kLimitDebtMax);
}

enum limit_verdict
limit_spender_acquire(struct limit_spender *ls, const struct limit_check *check,
    int32_t *ask_owner)
{
	struct lease *le;
	bool away;

	*ask_owner = 0;
	if (check->rate_per_s <= 0)
		return kLimitPass;
	le = lease_get(ls, check->team);
	note_demand(le, check->now_us);
	if (check->now_us >= le->expires_us)
		le->left = MIN(le->left, 0);
	away = owner_is_away(le, check->now_us);
	*ask_owner = wanted_now(le, check);
	if (le->left > 0 || (!away && le->left > -debt_most(check))) {
		le->left--;
		return kLimitPass;
	}
	if (away && take_even_part(le, check))
		return kLimitPass;
	return kLimitRefuse;
}

void
limit_spender_on_lease(
    struct limit_spender *ls, uint64_t team, int32_t leased, int64_t now_us)
{
	struct lease *le = lease_get(ls, team);

	le->asked_us = 0;
	if (now_us >= le->expires_us)
		le->left = MIN(le->left, 0);
	le->left += leased;
	le->size = MAX(le->left, 1);
	le->expires_us = now_us + kLimitLeaseUs;
}

/*
 * The part of all teams' rates that one node may give out.
 *
 * The bound to keep is (rate x 5 + burst) x 1.1 + 20 requests in any 5 s. Its
 * slack, rate x 0.5 + burst x 0.1 + 20, is divided between the extra capacity
 * of the buckets (rate x 0.08 + 6), the duration of leases (rate x 0.12 + 4),
 * the start of a new owner (rate x 0.05 + 4), debts while an owner is late
 * (rate x 0.05 + 6) and requests that wait for a slot between their admission
 * and their run (the rest).
 */
#include "savoryflow/limits/limit_pot.h"

#include <xxhash.h>

#include "savoryflow/arbiter/u64_hash.h"
#include "savoryflow/limits/token_bucket.h"

enum {
	kUsPerSecond = 1000000,
	kMilli = 1000,
	/* Larger bursts would overflow the bucket's arithmetic. */
	kBurstMax = 1000000,
	/* Bucket capacity beyond the burst: these ms of the rate and requests.
	 */
	kExtraMs = 80,
	kExtraRequests = 6,
	/* Lease duration: a fixed time, and that of these many requests. */
	kLeaseUs = 120000,
	kLeaseRequests = 4,
	kLeaseMaxUs = 3000000,
	/* Content of a new owner's bucket. */
	kStartMs = 50,
	kStartRequests = 4,
	/* Debt of all delegates together. */
	kDebtMs = 50,
	kDebtRequests = 6,
};

struct pot_member {
	uint64_t id;
	int32_t count;
	int64_t until_us;
};

struct pot_bucket {
	uint64_t team;
	struct limit_rate rate;
	/** Filled in the pot's virtual time. */
	struct token_bucket bucket;
};

struct limit_pot {
	struct limit_pot_options opt;
	int32_t daemons;
	/** struct pot_member by id. */
	GHashTable *members;
	int64_t tied_until_us;
	int64_t advanced_us;
	/** Integral of the share over time: what a rate of 1/us has brought. */
	int64_t virtual_us;
	/** Remainder of virtual_us, in parts of a daemon. */
	int64_t virtual_rest;
	/** Virtual time at which all buckets were emptied last. */
	int64_t base_us;
	/** struct pot_bucket by team. */
	GHashTable *buckets;
	/** Members counted at a time; -1: none. */
	int64_t counted_us;
	int32_t counted;
};

struct limit_pot *
limit_pot_new(const struct limit_pot_options *opt)
{
	struct limit_pot *pot = g_new0(struct limit_pot, 1);

	pot->opt = *opt;
	pot->daemons = 1;
	pot->counted_us = -1;
	pot->advanced_us = opt->now_us;
	pot->members = u64_hash_new(g_free);
	pot->buckets = u64_hash_new(g_free);
	return pot;
}

void
limit_pot_free(struct limit_pot *pot)
{
	g_hash_table_unref(pot->members);
	g_hash_table_unref(pot->buckets);
	g_free(pot);
}

/* Adds the shares contributed since the last call to the virtual time. */
static void
advance(struct limit_pot *pot, int64_t now_us)
{
	int64_t from_us = MAX(pot->advanced_us, pot->tied_until_us);
	int64_t sum = 0;
	GHashTableIter it;
	void *val;

	if (now_us <= pot->advanced_us)
		return;
	g_hash_table_iter_init(&it, pot->members);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		const struct pot_member *m = val;

		sum += MAX(MIN(now_us, m->until_us) - from_us, 0) * m->count;
		if (m->until_us <= now_us)
			g_hash_table_iter_remove(&it);
	}
	sum = MIN(sum, MAX(now_us - from_us, 0) * pot->daemons);
	sum += pot->virtual_rest;
	pot->virtual_us += sum / pot->daemons;
	pot->virtual_rest = sum % pot->daemons;
	pot->advanced_us = now_us;
}

void
limit_pot_set_daemons(struct limit_pot *pot, int32_t daemons, int64_t now_us)
{
	advance(pot, now_us);
	if (daemons == pot->daemons)
		return;
	pot->counted_us = -1;
	pot->daemons = MAX(daemons, 1);
	pot->virtual_rest = 0;
}

void
limit_pot_set_member(struct limit_pot *pot, uint64_t member, int32_t count,
    int64_t until_us, int64_t now_us)
{
	struct pot_member *m;

	advance(pot, now_us);
	pot->counted_us = -1;
	if (until_us <= now_us || count <= 0) {
		g_hash_table_remove(pot->members, &member);
		return;
	}
	m = g_hash_table_lookup(pot->members, &member);
	if (m == NULL) {
		m = g_new0(struct pot_member, 1);
		m->id = member;
		g_hash_table_insert(pot->members, &m->id, m);
	}
	m->count = count;
	m->until_us = until_us;
}

int32_t
limit_pot_count(const struct limit_pot *pot, int64_t until_us)
{
	int32_t n = 0;
	GHashTableIter it;
	void *val;

	g_hash_table_iter_init(&it, pot->members);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		const struct pot_member *m = val;

		if (m->until_us >= until_us)
			n += m->count;
	}
	return MIN(n, pot->daemons);
}

int64_t
limit_pot_tied_until_us(const struct limit_pot *pot)
{
	return pot->tied_until_us;
}

/* Present number of members; the same for all teams of a message. */
static int32_t
present_count(struct limit_pot *pot, int64_t now_us)
{
	if (pot->counted_us != now_us) {
		pot->counted = limit_pot_count(pot, now_us);
		pot->counted_us = now_us;
	}
	return pot->counted;
}

bool
limit_pot_is_tied(const struct limit_pot *pot, int64_t now_us)
{
	return now_us < pot->tied_until_us;
}

void
limit_pot_tie(struct limit_pot *pot, int64_t until_us, int64_t now_us)
{
	advance(pot, now_us);
	if (!limit_pot_is_tied(pot, now_us))
		pot->base_us = pot->virtual_us;
	pot->tied_until_us = MAX(pot->tied_until_us, until_us);
}

/* Part of a number of requests that corresponds to the shares, in millionths
 * of a request. */
static int64_t
share_of(struct limit_pot *pot, int64_t micro, int64_t now_us)
{
	return micro / pot->daemons * present_count(pot, now_us);
}

/* Capacity over all daemons, in millionths. */
static int64_t
capacity_micro(const struct limit_rate *rate)
{
	return (MIN(rate->burst, kBurstMax) + kExtraRequests) * kTokenOne +
	    rate->milli_per_s * kExtraMs;
}

static int64_t
start_micro(const struct limit_pot *pot, const struct limit_rate *rate)
{
	if (!pot->opt.starts_with_slack)
		return 0;
	return kStartRequests * kTokenOne + rate->milli_per_s * kStartMs;
}

static struct token_rate
bucket_rate(
    struct limit_pot *pot, const struct limit_rate *rate, int64_t now_us)
{
	int64_t part = share_of(pot, capacity_micro(rate), now_us);

	return (struct token_rate){
	    .micro_per_s = rate->milli_per_s * kMilli,
	    /* At least a request, so that a share can be used at all. */
	    .micro_max = MAX(MAX(part, start_micro(pot, rate)), kTokenOne),
	};
}

int64_t
limit_pot_interval_us(
    struct limit_pot *pot, const struct limit_rate *rate, int64_t now_us)
{
	int64_t milli = rate->milli_per_s * present_count(pot, now_us);

	if (milli <= 0)
		return kUsPerSecond;
	return (int64_t)kUsPerSecond * kMilli * pot->daemons / milli;
}

/*
 * Nodes whose part of the capacity is less than a request hold one each only
 * during a part of the time, each at its own phase; otherwise an overload at
 * all of them at once would admit a request at each.
 */
static bool
is_in_phase(struct limit_pot *pot, uint64_t team, const struct limit_rate *rate,
    int64_t now_us)
{
	int64_t part = share_of(pot, capacity_micro(rate), now_us);
	int64_t period_us = limit_pot_interval_us(pot, rate, now_us);
	uint64_t phase;

	if (part >= kTokenOne || pot->opt.starts_with_slack)
		return true;
	phase = XXH3_64bits_withSeed(&team, sizeof(team), pot->opt.seed) %
	    (uint64_t)period_us;
	return (int64_t)(((uint64_t)now_us + phase) % (uint64_t)period_us) <
	    (int64_t)((__int128)period_us * part / kTokenOne);
}

static struct pot_bucket *
bucket_get(struct limit_pot *pot, uint64_t team, const struct limit_rate *rate,
    int64_t now_us)
{
	struct pot_bucket *pb = g_hash_table_lookup(pot->buckets, &team);

	advance(pot, now_us);
	if (pb == NULL) {
		pb = g_new0(struct pot_bucket, 1);
		pb->team = team;
		pb->bucket.micro = start_micro(pot, rate);
		pb->bucket.filled_us = pot->base_us;
		g_hash_table_insert(pot->buckets, &pb->team, pb);
	}
	if (pb->bucket.filled_us < pot->base_us)
		token_bucket_empty(&pb->bucket, pot->base_us);
	if (pb->rate.milli_per_s != rate->milli_per_s &&
	    pb->rate.milli_per_s != 0) {
		struct token_rate old = bucket_rate(pot, &pb->rate, now_us);

		/* What has flowed in so far did so at the old rate. */
		token_bucket_take(&pb->bucket, &old, 0, pot->virtual_us);
	}
	pb->rate = *rate;
	return pb;
}

int64_t
limit_pot_take(struct limit_pot *pot, uint64_t team,
    const struct limit_rate *rate, int64_t wanted, int64_t reserve,
    int64_t now_us)
{
	struct pot_bucket *pb = bucket_get(pot, team, rate, now_us);
	struct token_rate tr = bucket_rate(pot, rate, now_us);
	int64_t level = token_bucket_level(&pb->bucket, &tr, pot->virtual_us);
	int64_t taken = CLAMP(level / kTokenOne - reserve, 0, MAX(wanted, 0));

	if (taken > 0 && !is_in_phase(pot, team, rate, now_us))
		taken = 0;
	token_bucket_take(&pb->bucket, &tr, taken * kTokenOne, pot->virtual_us);
	return taken;
}

void
limit_pot_give_back(struct limit_pot *pot, uint64_t team,
    const struct limit_rate *rate, int64_t count, int64_t now_us)
{
	struct pot_bucket *pb = bucket_get(pot, team, rate, now_us);
	struct token_rate tr = bucket_rate(pot, rate, now_us);

	token_bucket_take(
	    &pb->bucket, &tr, -count * kTokenOne, pot->virtual_us);
}

int64_t
limit_pot_wait_us(struct limit_pot *pot, uint64_t team,
    const struct limit_rate *rate, int64_t count, int64_t now_us)
{
	struct pot_bucket *pb = bucket_get(pot, team, rate, now_us);
	struct token_rate tr = bucket_rate(pot, rate, now_us);
	int32_t members = MAX(present_count(pot, now_us), 1);
	int64_t missing = count * kTokenOne -
	    token_bucket_level(&pb->bucket, &tr, pot->virtual_us);

	if (missing <= 0 || tr.micro_per_s <= 0)
		return 0;
	return (int64_t)((__int128)missing * kUsPerSecond * pot->daemons /
	    ((__int128)tr.micro_per_s * members));
}

int64_t
limit_pot_debt(
    struct limit_pot *pot, const struct limit_rate *rate, int64_t now_us)
{
	int64_t micro =
	    (int64_t)kDebtRequests * kTokenOne + rate->milli_per_s * kDebtMs;

	return (share_of(pot, micro, now_us) + kTokenOne / 2) / kTokenOne;
}

void
limit_pot_sweep(struct limit_pot *pot, int64_t now_us)
{
	GHashTableIter it;
	void *val;

	advance(pot, now_us);
	g_hash_table_iter_init(&it, pot->buckets);
	while (g_hash_table_iter_next(&it, NULL, &val)) {
		const struct pot_bucket *pb = val;
		struct token_rate tr = bucket_rate(pot, &pb->rate, now_us);

		if (pb->bucket.filled_us < pot->base_us ||
		    token_bucket_level(&pb->bucket, &tr, pot->virtual_us) >=
			MAX(tr.micro_max, capacity_micro(&pb->rate)))
			g_hash_table_iter_remove(&it);
	}
}

guint
limit_pot_teams(const struct limit_pot *pot)
{
	return g_hash_table_size(pot->buckets);
}

int64_t
limit_lease_us(const struct limit_rate *rate)
{
	int64_t fill_us = (int64_t)kLeaseRequests * kUsPerSecond * kMilli /
	    MAX(rate->milli_per_s, 1);

	return MIN(kLeaseUs + fill_us, kLeaseMaxUs);
}

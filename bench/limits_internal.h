#ifndef BENCH_LIMITS_INTERNAL_H
#define BENCH_LIMITS_INTERNAL_H

#include "limits_fleet.h"
#include "savoryflow/arbiter/u64_hash.h"
#include "savoryflow/limits/limit_exchange.h"
#include "savoryflow/limits/token_bucket.h"
#include "savoryflow/routing/rendezvous.h"
#include "sim_math.h"

/* State of a play of the allowances bench. */

enum {
	kMsUs = 1000,
	kSecondUs = 1000 * kMsUs,
	kPlayUs = 24 * kSecondUs,
	/** Overloading teams send much for the first of these times, and little
	 * for the rest, so that their bursts become available again. */
	kHotUs = 5 * kSecondUs,
	kHotPeriodUs = 8 * kSecondUs,
	kWarmUs = 5 * kSecondUs,
	kWindowS = 5,
	kDataCenters = 6,
	kRegions = 3,
	/** The load to be handled, and the daemons that it was measured at. */
	kLoadPerS = 335,
	kLoadDaemons = 81,
	kLostPercent = 2,
	kLostManyPercent = 5,
	/** Time until peers notice that a daemon is gone, and until it is back.
	 */
	kNoticeUs = 2 * kSecondUs,
	kRestartUs = 3 * kSecondUs,
	/** Elections are repeated so often. */
	kElectUs = 500 * kMsUs,
	/** Messages in flight are kept by the ms of their arrival. */
	kRingMs = 512,
};

struct fleet;

struct sim_daemon {
	struct fleet *fleet;
	int32_t index;
	int32_t data_center;
	int32_t region;
	char address[16];
	/** Difference of its clock. */
	int64_t clock_us;
	/** NULL while it is down. */
	struct limit_exchange *ex;
	int64_t tick_us;
	int64_t down_us;
	int64_t up_us;
	int64_t frozen_us;
	const char *parents[kLimitRoles][kLimitShards][kLimitRanks];
	int64_t parents_us;
};

struct sim_team {
	struct limit_rate rate;
	double offered_per_s;
	bool is_hot;
	int64_t next_us;
	double offered;
	double admitted;
	double ideally_admitted;
	/** Times of admission, int64_t. */
	GArray *times;
	struct token_bucket ideal;
	/** Baseline: by daemon. */
	struct token_bucket *shares;
};

struct sim_request {
	uint64_t id;
	int32_t team;
	int64_t at_us;
	struct sim_daemon *daemon;
};

struct sim_message {
	struct sim_daemon *from;
	struct sim_daemon *to;
	bool is_lease;
	struct limit_ask ask;
	struct limit_ask_item *asks;
	struct limit_lease lease;
	struct limit_lease_item *leases;
};

struct fleet {
	const struct limits_scenario *sc;
	GRand *rand;
	int64_t now_us;
	struct sim_daemon *daemons;
	struct sim_team *teams;
	/** struct sim_message, by the ms of arrival. */
	GQueue in_flight[kRingMs];
	bool is_posted;
	/** struct sim_request that wait, by id. */
	GHashTable *requests;
	uint64_t next_id;
	double messages;
	/** Admitted requests, and those that waited for more than 5 ms. */
	double admitted;
	double waited;
	int64_t wait_max_us;
};

/** Time on a daemon's own clock. */
int64_t sim_own_us(const struct sim_daemon *d);

void limits_end_warm_up(struct fleet *f);
void limits_collect(struct fleet *f, struct limits_result *result);

#endif

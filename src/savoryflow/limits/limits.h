#ifndef SAVORYFLOW_LIMITS_H
#define SAVORYFLOW_LIMITS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Rate limits of teams that hold over all daemons without a store write per
 * request. The daemon with the highest rendezvous weight for the team owns the
 * team's rate and leases parts of it to the daemons that ask. A daemon spends
 * its lease locally. Without an owner each daemon uses the limit's even part.
 *
 * A daemon whose lease is used up lets a few more requests through while the
 * owner's answer is on its way; they are taken off the next lease.
 *
 * Error: over any time t all daemons together admit at most
 *   rate * (t + kLimitLeaseUs) + daemons * debt,
 * where debt is rate / daemons within 1 to kLimitDebtMax. A change of owner
 * adds rate * kLimitLeaseUs once.
 */
enum {
	/** Time that a lease covers, and the burst that is allowed. */
	kLimitLeaseUs = 1000000,
	/** Most requests that a daemon owes to its next lease. */
	kLimitDebtMax = 4,
};

/** Owner's side: how much of each team's rate is still to be leased. */
struct limit_owner;

struct limit_owner *limit_owner_new(void);
void limit_owner_free(struct limit_owner *lo);

/**
 * Leases requests of a team to a daemon.
 * @param rate_per_s the team's limit over all daemons
 * @param wanted requests that the daemon expects in the next lease time
 * @return requests leased, 0 to wanted
 */
int32_t limit_owner_lease(struct limit_owner *lo, uint64_t team,
    int32_t rate_per_s, int32_t wanted, int64_t now_us);

/** Spender's side: leases held by this daemon. */
struct limit_spender;

enum limit_verdict {
	kLimitPass,
	/** Refused; a lease may come with the next answer of the owner. */
	kLimitRefuse,
};

struct limit_check {
	uint64_t team;
	int32_t rate_per_s;
	/** Live daemons, for the even part. */
	int32_t daemons;
	int64_t now_us;
};

struct limit_spender *limit_spender_new(void);
void limit_spender_free(struct limit_spender *ls);

/**
 * Spends one request of the team's lease.
 * @param ask_owner set to the requests to be asked of the owner now, or 0
 */
enum limit_verdict limit_spender_acquire(struct limit_spender *ls,
    const struct limit_check *check, int32_t *ask_owner);

/** Takes the owner's answer. */
void limit_spender_on_lease(
    struct limit_spender *ls, uint64_t team, int32_t leased, int64_t now_us);

#endif

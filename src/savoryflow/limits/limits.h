#ifndef SAVORYFLOW_LIMITS_H
#define SAVORYFLOW_LIMITS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Team rate limits enforced across all daemons without a store write per
 * request. The daemon with the highest rendezvous weight for a team owns its
 * rate and leases parts of it to the daemons that request them. A daemon
 * spends its lease locally. Without an owner each daemon uses an equal share
 * of the limit.
 *
 * A daemon whose lease is used up admits a few more requests while the owner's
 * answer is outstanding; they are deducted from the next lease.
 *
 * Error: over any time t all daemons together admit at most
 *   rate * (t + kLimitLeaseUs) + daemons * debt,
 * where debt is rate / daemons clamped to 1 .. kLimitDebtMax. A change of
 * owner adds rate * kLimitLeaseUs once.
 */
enum {
	/** Duration of a lease, and the burst that is allowed. */
	kLimitLeaseUs = 1000000,
	/** Maximum requests that a daemon owes to its next lease. */
	kLimitDebtMax = 4,
};

/** Owner's side: the part of each team's rate that is not leased yet. */
struct limit_owner;

struct limit_owner *limit_owner_new(void);
void limit_owner_free(struct limit_owner *lo);

/**
 * Leases requests of a team to a daemon.
 * @param rate_per_s the team's limit across all daemons
 * @param wanted requests that the daemon expects within the next lease
 * @return requests leased, 0 to wanted
 */
int32_t limit_owner_lease(struct limit_owner *lo, uint64_t team,
    int32_t rate_per_s, int32_t wanted, int64_t now_us);

/** Spender's side: leases held by this daemon. */
struct limit_spender;

enum limit_verdict {
	kLimitPass,
	/** Refused; the owner's next answer may bring a lease. */
	kLimitRefuse,
};

struct limit_check {
	uint64_t team;
	int32_t rate_per_s;
	/** Live daemons, for the equal share. */
	int32_t daemons;
	int64_t now_us;
};

struct limit_spender *limit_spender_new(void);
void limit_spender_free(struct limit_spender *ls);

/**
 * Spends one request of the team's lease.
 * @param wanted set to the size of the lease to request now, or 0
 */
enum limit_verdict limit_spender_acquire(
    struct limit_spender *ls, const struct limit_check *check, int32_t *wanted);

/** Applies the owner's answer. */
void limit_spender_on_lease(
    struct limit_spender *ls, uint64_t team, int32_t leased, int64_t now_us);

#endif

#ifndef SAVORYFLOW_SERVE_LIMITER_H
#define SAVORYFLOW_SERVE_LIMITER_H

#include "savoryflow/retry/retry.h"
#include "serve/daemon.h"

/** Team limits, retry budgets and quarantined requests of one daemon. */
struct limiter;

struct limiter *limiter_new(struct daemon *d);
void limiter_free(struct limiter *lim);

/**
 * Counts an online request against its team's limits.
 * @return false if it is refused
 */
bool limiter_admit(struct limiter *lim, const struct config_team *team);

/** Ends an admitted online request. */
void limiter_done(struct limiter *lim, const char *team);

/** Counts a request towards the service's retry budget. */
void limiter_record_request(struct limiter *lim, const char *service);

/**
 * @return the service's retry budget, locked until limiter_retry_budget_unlock
 */
struct retry_budget *limiter_retry_budget_lock(
    struct limiter *lim, const char *service);
void limiter_retry_budget_unlock(struct limiter *lim);

bool limiter_is_quarantined(struct limiter *lim, uint64_t fingerprint);

/**
 * Rejects a request from now on, and notifies peers if it was not quarantined
 * yet.
 * @param persist also writes it to the store
 */
void limiter_quarantine(
    struct limiter *lim, uint64_t fingerprint, bool persist);

/** Loads the quarantined requests that other daemons have stored. */
void limiter_load_quarantined(struct limiter *lim);

void limiter_on_lease_request(
    struct limiter *lim, const char *from, const Sfpeer__LimitAsk *req);
void limiter_on_lease(struct limiter *lim, const Sfpeer__LimitLease *lease);

#endif

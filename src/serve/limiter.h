#ifndef SAVORYFLOW_SERVE_LIMITER_H
#define SAVORYFLOW_SERVE_LIMITER_H

#include "savoryflow/retry/retry.h"
#include "serve/daemon.h"

/** Team limits, retry budgets and condemned requests of one daemon. */
struct limiter;

struct limiter *limiter_new(struct daemon *d);
void limiter_free(struct limiter *lim);

/** Counts an online request against its team. @return false if refused */
bool limiter_admit(struct limiter *lim, const struct config_team *team);

/** An online request that was admitted has its answer. */
void limiter_done(struct limiter *lim, const char *team);

/** Counts a request in the service's retry budget. */
void limiter_record_request(struct limiter *lim, const char *service);

/** The service's retry budget, locked until it is given back. */
struct retry_budget *limiter_retry_budget_lock(
    struct limiter *lim, const char *service);
void limiter_retry_budget_unlock(struct limiter *lim);

bool limiter_is_quarantined(struct limiter *lim, uint64_t fingerprint);

/** Refuses a request from now on; peers and the store are told if asked. */
void limiter_quarantine(struct limiter *lim, uint64_t fingerprint, bool tell);

/** Reads the condemned requests that other daemons have stored. */
void limiter_load_quarantined(struct limiter *lim);

void limiter_on_lease_request(
    struct limiter *lim, const char *from, const Sfpeer__LimitAsk *ask);
void limiter_on_lease(struct limiter *lim, const Sfpeer__LimitLease *lease);

#endif

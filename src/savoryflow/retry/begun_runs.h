#ifndef SAVORYFLOW_BEGUN_RUNS_H
#define SAVORYFLOW_BEGUN_RUNS_H

#include "savoryflow/retry/blame.h"

/** The latest runs whose answers have begun: for how long requests were run
 * without being lost. Bounded. */
struct begun_runs;

struct begun_runs *begun_runs_new(void);
void begun_runs_free(struct begun_runs *br);

/** @param run_us time from the sending to the begin of the answer */
void begun_runs_record(struct begun_runs *br, const struct blame_keys *keys,
    int64_t run_us, int64_t now_us);

/** Sum of the times of runs without the key that began after since_us. */
int64_t begun_runs_without(
    const struct begun_runs *br, uint64_t key, int64_t since_us);

/** True if the key is one of the request's. */
bool blame_keys_have(const struct blame_keys *keys, uint64_t key);

#endif

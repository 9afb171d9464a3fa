#ifndef SAVORYFLOW_BEGUN_TIMES_H
#define SAVORYFLOW_BEGUN_TIMES_H

#include <stdint.h>

/** When an answer last began, by key of its request. Bounded: keys that were
 * not recorded lately are dropped. */
struct begun_times;

struct begun_times *begun_times_new(void);
void begun_times_free(struct begun_times *bt);

/** Records an answer; an earlier time than the known one changes nothing. */
void begun_times_record(struct begun_times *bt, uint64_t key, int64_t at_us);

/** @return time of the last answer, or INT64_MIN if none is known */
int64_t begun_times_get(const struct begun_times *bt, uint64_t key);

#endif

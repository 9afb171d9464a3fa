#ifndef BENCH_STATS_H
#define BENCH_STATS_H

#include <glib.h>

/** Sorts an array of int64_t microseconds. */
void stats_sort(GArray *values_us);

/** Value at a part (0 to 1) of a sorted array, in milliseconds; 0 if empty. */
double stats_quantile_ms(const GArray *sorted_us, double part);

#endif

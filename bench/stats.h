#ifndef BENCH_STATS_H
#define BENCH_STATS_H

#include <glib.h>

/** Sorts an array of int64_t times in microseconds. */
void stats_sort(GArray *values_us);

/** Quantile of a sorted array at a fraction (0 to 1), in ms; 0 if empty. */
double stats_quantile_ms(const GArray *sorted_us, double fraction);

#endif

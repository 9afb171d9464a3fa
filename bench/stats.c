/* Quantiles of measured times. */
#include "stats.h"

enum { kUsPerMs = 1000 };

static int
compare_i64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

void
stats_sort(GArray *values_us)
{
	g_array_sort(values_us, compare_i64);
}

double
stats_quantile_ms(const GArray *sorted_us, double fraction)
{
	guint i;

	if (sorted_us->len == 0)
		return 0;
	i = (guint)((double)(sorted_us->len - 1) * fraction);
	return (double)g_array_index(sorted_us, int64_t, i) / kUsPerMs;
}

/* Latency histograms with fixed bounds. */
#include "metric/histogram.h"

#include <ck_pr.h>
#include <inttypes.h>

/* Upper bounds; they range from the time of a token to a job's due time. */
static const int64_t bounds_us[] = {5000, 10000, 25000, 50000, 100000, 200000,
    300000, 500000, 1000000, 2000000, 5000000, 10000000, 20000000, 60000000};

enum { kBounds = G_N_ELEMENTS(bounds_us) };

struct histogram {
	/** Durations per bucket; the last has no upper bound. */
	uint64_t counts[kBounds + 1];
	uint64_t sum_us;
};

struct histogram_row {
	const char *name;
	const char *help;
};

static struct histogram histograms[kHistCount];

static const struct histogram_row rows[] = {
#define X(id, name, help) {name, help},
    SF_HISTOGRAMS(X)
#undef X
};

void
histogram_record(enum histogram_id id, int64_t us)
{
	struct histogram *h = &histograms[id];
	int i = 0;

	while (i < kBounds && us > bounds_us[i])
		i++;
	ck_pr_add_64(&h->counts[i], 1);
	ck_pr_add_64(&h->sum_us, (uint64_t)us);
}

static void
append_histogram(
    GString *out, const struct histogram_row *row, struct histogram *h)
{
	uint64_t cumulative = 0;

	g_string_append_printf(out, "# HELP %s %s\n# TYPE %s histogram\n",
	    row->name, row->help, row->name);
	for (int i = 0; i < kBounds; i++) {
		cumulative += ck_pr_load_64(&h->counts[i]);
		g_string_append_printf(out,
		    "%s_bucket{le=\"%g\"} %" PRIu64 "\n", row->name,
		    (double)bounds_us[i] / 1e6, cumulative);
	}
	cumulative += ck_pr_load_64(&h->counts[kBounds]);
	g_string_append_printf(out,
	    "%s_bucket{le=\"+Inf\"} %" PRIu64 "\n%s_sum %g\n%s_count %" PRIu64
	    "\n",
	    row->name, cumulative, row->name,
	    (double)ck_pr_load_64(&h->sum_us) / 1e6, row->name, cumulative);
}

void
histogram_print(GString *out)
{
	for (int i = 0; i < kHistCount; i++)
		append_histogram(out, &rows[i], &histograms[i]);
}

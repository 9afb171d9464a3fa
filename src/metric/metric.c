/* Counters and gauges of the daemon, updated atomically. */
#include "metric/metric.h"

#include <ck_pr.h>
#include <inttypes.h>

static uint64_t metric_values[kMetCount];

struct metric_row {
	const char *kind;
	const char *name;
	const char *help;
};

static const struct metric_row metric_rows[] = {
#define X(id, kind, name, help) {#kind, name, help},
    SF_METRICS(X)
#undef X
};

void
metric_add(enum metric_id id, int64_t n)
{
	ck_pr_add_64(&metric_values[id], (uint64_t)n);
}

void
metric_set(enum metric_id id, int64_t value)
{
	ck_pr_store_64(&metric_values[id], (uint64_t)value);
}

int64_t
metric_get(enum metric_id id)
{
	return (int64_t)ck_pr_load_64(&metric_values[id]);
}

void
metric_print(GString *out)
{
	for (int i = 0; i < kMetCount; i++) {
		const struct metric_row *r = &metric_rows[i];

		g_string_append_printf(out,
		    "# HELP %s %s\n# TYPE %s %s\n%s %" PRId64 "\n", r->name,
		    r->help, r->name, r->kind, r->name, metric_get(i));
	}
}

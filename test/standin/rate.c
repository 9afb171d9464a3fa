#include "rate.h"

#include <glib.h>

void
worker_rate_init(struct worker_rate *wr)
{
	*wr = (struct worker_rate){.arrivals = json_array()};
}

void
worker_rate_set(struct worker_rate *wr, const json_t *value)
{
	g_free(wr->named);
	wr->named = g_strdup(json_string_value(value));
	wr->named_us = 0;
}

void
worker_rate_record_arrival(struct worker_rate *wr)
{
	json_array_append_new(
	    wr->arrivals, json_integer(g_get_monotonic_time()));
}

const char *
worker_rate_of_answer(struct worker_rate *wr)
{
	if (wr->named != NULL && wr->named_us == 0)
		wr->named_us = g_get_monotonic_time();
	return wr->named;
}

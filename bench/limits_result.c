/* What is counted in a play of the allowances bench. */
#include "limits_internal.h"

/* Ties take some seconds to form; what happens before is not counted. */
void
limits_end_warm_up(struct fleet *f)
{
	f->messages = 0;
	f->admitted = 0;
	f->waited = 0;
	f->wait_max_us = 0;
	for (int32_t i = 0; i < f->sc->teams; i++) {
		f->teams[i].admitted = 0;
		f->teams[i].ideally_admitted = 0;
	}
}

/* Largest number of requests in a window, as a part of the bound. */
static double
worst_window(const struct sim_team *t)
{
	double rate = (double)t->rate.milli_per_s / 1000;
	double bound = (rate * kWindowS + (double)t->rate.burst) * 1.1 + 20;
	guint first = 0;
	guint most = 0;

	for (guint i = 0; i < t->times->len; i++) {
		int64_t at_us = g_array_index(t->times, int64_t, i);

		while (at_us - g_array_index(t->times, int64_t, first) >
		    kWindowS * (int64_t)kSecondUs)
			first++;
		most = MAX(most, i - first + 1);
	}
	return most / bound;
}

void
limits_collect(struct fleet *f, struct limits_result *result)
{
	double admitted[2] = {0};
	double ideal[2] = {0};

	for (int32_t i = 0; i < f->sc->teams; i++) {
		const struct sim_team *t = &f->teams[i];

		result->worst_of_bound =
		    MAX(result->worst_of_bound, worst_window(t));
		admitted[t->is_hot] += t->admitted;
		ideal[t->is_hot] += t->ideally_admitted;
	}
	result->admitted = ideal[0] > 0 ? admitted[0] / ideal[0] : 1;
	result->admitted_hot = ideal[1] > 0 ? admitted[1] / ideal[1] : 1;
	result->waited = f->waited / MAX(f->admitted, 1);
	result->wait_max_ms = (double)f->wait_max_us / kMsUs;
	result->messages = f->messages * kSecondUs /
	    (double)(kPlayUs - kWarmUs) / f->sc->daemons;
	for (int32_t i = 0; i < f->sc->daemons; i++) {
		struct limit_exchange_state state = {0};

		if (f->daemons[i].ex != NULL)
			limit_exchange_get_state(f->daemons[i].ex,
			    sim_own_us(&f->daemons[i]), &state);
		result->teams_max = MAX(result->teams_max, state.teams);
	}
}

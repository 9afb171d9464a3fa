/* Targets that name rates: what they say, and what they got. */
#include "rate_internal.h"

enum {
	/* The users' rule. */
	kGraceUs = 4 * kSecondUs,
	kWindowUs = 4 * kSecondUs,
	kMilli = 1000,
};

/* Start of the period of a rate that contains a time; -1: it is not named. */
static int64_t
named_since(
    const struct rate_scenario *sc, const struct rate_target *t, int64_t now_us)
{
	int64_t period_us = sc->flap_ms * (int64_t)kMsUs + kPauseUs;
	int64_t since_us = now_us - kNamedFromUs;

	if (t->milli_per_s < 0 || since_us < 0 || now_us >= kNamedUntilUs)
		return -1;
	if (sc->flap_ms == 0)
		return kNamedFromUs;
	if (since_us % period_us >= sc->flap_ms * (int64_t)kMsUs)
		return -1;
	return now_us - since_us % period_us;
}

int64_t
rate_target_named(
    const struct rate_scenario *sc, const struct rate_target *t, int64_t now_us)
{
	return named_since(sc, t, now_us) >= 0 ? t->milli_per_s : -1;
}

/* A window counts if the rate had been named for the grace period before it,
 * and is to its end. */
static bool
is_judged(const struct rate_scenario *sc, const struct rate_target *t,
    int64_t from_us, int64_t to_us)
{
	int64_t since_us = named_since(sc, t, from_us);

	return since_us >= 0 && from_us >= since_us + kGraceUs &&
	    named_since(sc, t, to_us) == since_us;
}

void
rate_target_judge(const struct rate_scenario *sc, const struct rate_target *t,
    struct rate_result *res)
{
	const int64_t *at = (const int64_t *)(const void *)t->arrivals->data;
	double per_s = (double)t->milli_per_s / kMilli;
	double allowed = 6 * per_s + 5;
	double half = 5 * per_s + 2.5;
	guint first = 0;

	for (guint last = 0; t->milli_per_s >= 0 && last < t->arrivals->len;
	     last++) {
		double n;

		while (at[last] - at[first] >= kWindowUs)
			first++;
		n = last - first + 1;
		if (!is_judged(sc, t, at[first], at[last]))
			continue;
		res->worst_of_allowed =
		    MAX(res->worst_of_allowed, n / (double)(int64_t)allowed);
		res->worst_of_half_slack =
		    MAX(res->worst_of_half_slack, n / half);
	}
}

double
rate_targets_used(const struct rate_scenario *sc,
    const struct rate_target *targets, const bool *is_refusing)
{
	double offered = 0;
	double used = 0;

	for (int32_t i = 0; i < sc->targets; i++) {
		const struct rate_target *t = &targets[i];

		for (int32_t s = 0; s < kPlayUs / kSecondUs; s++)
			if (is_refusing[s] &&
			    is_judged(sc, t, s * (int64_t)kSecondUs,
				(s + 1) * (int64_t)kSecondUs))
				offered += (double)t->milli_per_s / kMilli;
		for (guint k = 0; k < t->arrivals->len; k++) {
			int64_t at = g_array_index(t->arrivals, int64_t, k);
			int64_t s = at / kSecondUs;

			if (is_refusing[s] &&
			    is_judged(
				sc, t, s * kSecondUs, (s + 1) * kSecondUs))
				used++;
		}
	}
	return offered > 0 ? used / offered : 1;
}

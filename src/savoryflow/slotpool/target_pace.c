/* Speed of a target, learned from the answers of its runs. */
#include "savoryflow/slotpool/target_pace.h"

#include "os/clock.h"

enum {
	/* A run of fewer events tells little of the time between them. */
	kEventsMin = 4,
	kSamplesMin = 3,
	/* Weight of one sample in mean and spread: 1/4, since a target may be
	 * slower for less than a second. */
	kSampleShift = 2,
	/* A slow target gets few runs; after this time it is tried again. */
	kMaxAgeUs = 10 * kUsPerS,
	/* Difference that counts, as a part of the usual time: more running
	 * requests make steps longer by this much. */
	kDifferenceShift = 2,
	kFactorMin = 400,
	kFactorMax = 4000,
};

void
target_pace_record(
    struct target_pace *tp, const struct slot_run_times *run, int64_t now_us)
{
	int64_t off_us;

	if (run->events < kEventsMin || run->pace_us <= 0)
		return;
	if (tp->samples == 0 || now_us - tp->learned_us > kMaxAgeUs)
		*tp = (struct target_pace){.mean_us = run->pace_us};
	off_us = run->pace_us - tp->mean_us;
	tp->mean_us += off_us / (1 << kSampleShift);
	tp->spread_us += ((off_us < 0 ? -off_us : off_us) - tp->spread_us) /
	    (1 << kSampleShift);
	tp->learned_us = now_us;
	if (tp->samples < kSamplesMin)
		tp->samples++;
}

int64_t
target_pace_factor(
    const struct target_pace *tp, int64_t usual_us, int64_t now_us)
{
	int64_t off_us = tp->mean_us - usual_us;
	int64_t factor;

	if (tp->samples < kSamplesMin || usual_us <= 0 ||
	    now_us - tp->learned_us > kMaxAgeUs)
		return kPaceUsual;
	if (off_us < 0)
		off_us = -off_us;
	if (off_us <= tp->spread_us || off_us <= usual_us >> kDifferenceShift)
		return kPaceUsual;
	factor = kPaceUsual * tp->mean_us / usual_us;
	return factor < kFactorMin ? kFactorMin
	    : factor > kFactorMax  ? kFactorMax
				   : factor;
}

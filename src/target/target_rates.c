/* Rates that targets name in their answers. */
#include "target/target_rates.h"

#include "log/log.h"
#include "os/clock.h"

enum {
	/* What this daemon learnt within this time may not have reached the
	 * others yet. */
	kLearntLatelyUs = kUsPerS,
	/* More targets, among them those that are gone, are not kept. */
	kTargetsMax = 2000,
};

struct target_rates {
	/** struct target_rate by target id. */
	GHashTable *by_target;
};

static void
rate_free(void *p)
{
	struct target_rate *rate = p;

	g_free(rate->target);
	g_free(rate);
}

struct target_rates *
target_rates_new(void)
{
	struct target_rates *tr = g_new0(struct target_rates, 1);

	tr->by_target =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, rate_free);
	return tr;
}

void
target_rates_free(struct target_rates *tr)
{
	g_hash_table_unref(tr->by_target);
	g_free(tr);
}

bool
target_rates_is_empty(const struct target_rates *tr)
{
	return g_hash_table_size(tr->by_target) == 0;
}

const struct target_rate *
target_rates_find(
    const struct target_rates *tr, const struct target_start *target)
{
	const struct target_rate *rate =
	    g_hash_table_lookup(tr->by_target, target->id);

	return rate != NULL && rate->started_ms == target->started_ms ? rate
								      : NULL;
}

static void
log_rate(const struct target_start *target, const char *attempt_id,
    const struct target_rate *before, int64_t milli_per_s)
{
	if (before != NULL && before->milli_per_s == milli_per_s)
		return;
	log_event(kEvtTargetRateNamed, "target", target->id, "request",
	    attempt_id, "milli_per_s", log_number(milli_per_s), "before",
	    before != NULL ? log_number(before->milli_per_s) : "none",
	    (const char *)NULL);
}

static struct target_rate *
set_rate(struct target_rates *tr, const struct target_start *target,
    int64_t milli_per_s, int64_t now_us)
{
	struct target_rate *rate =
	    g_hash_table_lookup(tr->by_target, target->id);

	if (rate == NULL) {
		if (g_hash_table_size(tr->by_target) >= kTargetsMax)
			g_hash_table_remove_all(tr->by_target);
		rate = g_new0(struct target_rate, 1);
		rate->target = g_strdup(target->id);
		g_hash_table_insert(tr->by_target, rate->target, rate);
	}
	if (rate->started_ms != target->started_ms)
		rate->named_us = 0;
	rate->started_ms = target->started_ms;
	rate->milli_per_s = milli_per_s;
	rate->learnt_us = now_us;
	return rate;
}

void
target_rates_learn(struct target_rates *tr, const struct target_start *target,
    int64_t milli_per_s, int64_t now_us)
{
	set_rate(tr, target, milli_per_s, now_us);
}

void
target_rates_forget(struct target_rates *tr, const char *id, int64_t now_us)
{
	const struct target_rate *rate = g_hash_table_lookup(tr->by_target, id);

	if (rate != NULL && now_us - rate->learnt_us >= kLearntLatelyUs)
		g_hash_table_remove(tr->by_target, id);
}

static void
end_rate(struct target_rates *tr, const struct target_rate *known,
    const char *attempt_id)
{
	log_event(kEvtTargetRateEnded, "target", known->target, "request",
	    attempt_id, "before", log_number(known->milli_per_s),
	    (const char *)NULL);
	g_hash_table_remove(tr->by_target, known->target);
}

bool
target_rates_on_answer(struct target_rates *tr,
    const struct target_start *target, const struct stated_rate *said,
    int64_t sent_us, const char *attempt_id, int64_t now_us)
{
	const struct target_rate *known = target_rates_find(tr, target);

	switch (said->kind) {
	case kRateNamed:
		log_rate(target, attempt_id, known, said->milli_per_s);
		set_rate(tr, target, said->milli_per_s, now_us)->named_us =
		    now_us;
		return true;
	case kRateNone:
		if (known == NULL)
			return false;
		if (sent_us > known->named_us)
			end_rate(tr, known, attempt_id);
		return true;
	case kRateUnreadable:
		log_event(kEvtTargetRateBad, "target", target->id, "request",
		    attempt_id, (const char *)NULL);
		break;
	}
	return false;
}

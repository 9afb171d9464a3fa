/* Proofs that the configuration in force is the newest one. */
#include "savoryflow/freshness/freshness.h"

#include <glib.h>

enum {
	/* Thousandths of the bound. Twice the wait of the feed and 0.6 of the
	 * bound without any way to the store leave the margins of a bound of
	 * 5 s. */
	kFeedWaitMilli = 150,
	/* Older than the feed lets a proof become. */
	kReadAgeMilli = 320,
	/* Peers are asked after a failed read; and while one is late, which it
	 * is for all daemons when the store is slow: then later. */
	kAskAgeMilli = 340,
	kLateAgeMilli = 500,
	kFeedWaitMaxMs = 1500,
	kFeedWaitMinMs = 50,
	kUsPerMs = 1000,
	/* Proofs of versions that are not in force yet. */
	kAheadMax = 4,
};

struct freshness {
	int64_t bound_us;
	int64_t usable_us;
	/** Version in force; 0: none. */
	int64_t version;
	/** The newest usable proof. */
	struct freshness_proof best;
	struct freshness_proof ahead[kAheadMax];
	int32_t ahead_count;
	/** When the current read began; 0: none. */
	int64_t reading_us;
	int64_t read_ended_us;
	bool has_read_started;
	bool has_read_failed;
	int64_t read_started_us;
	bool has_asked;
	int64_t asked_us;
};

static int64_t
milli_of(int64_t bound_us, int64_t milli)
{
	return bound_us / 1000 * milli;
}

/* How much two clocks may differ after this time. */
static int64_t
drift_us(int64_t time_us)
{
	return time_us / 1000000 * kFreshnessClockPpm +
	    time_us % 1000000 * kFreshnessClockPpm / 1000000 + 1;
}

int64_t
freshness_usable_us(int64_t bound_us)
{
	return MAX(bound_us - drift_us(bound_us) - kFreshnessTransitUs, 0);
}

int64_t
freshness_feed_wait_ms(int64_t bound_us)
{
	return CLAMP(milli_of(bound_us, kFeedWaitMilli) / kUsPerMs,
	    kFeedWaitMinMs, kFeedWaitMaxMs);
}

struct freshness *
freshness_new(int64_t bound_us)
{
	struct freshness *fr = g_new0(struct freshness, 1);

	fr->bound_us = bound_us;
	fr->usable_us = freshness_usable_us(bound_us);
	return fr;
}

void
freshness_free(struct freshness *fr)
{
	g_free(fr);
}

static void
use_proof(struct freshness *fr, const struct freshness_proof *proof)
{
	if (fr->best.version == 0 || proof->sent_us > fr->best.sent_us)
		fr->best = *proof;
}

/* Proofs of a version have the newest time; without room, the oldest goes. */
static void
keep_for_later(struct freshness *fr, const struct freshness_proof *proof)
{
	int32_t oldest = 0;

	for (int32_t i = 0; i < fr->ahead_count; i++) {
		struct freshness_proof *known = &fr->ahead[i];

		if (known->version == proof->version) {
			known->sent_us = MAX(known->sent_us, proof->sent_us);
			return;
		}
		if (known->sent_us < fr->ahead[oldest].sent_us)
			oldest = i;
	}
	if (fr->ahead_count < kAheadMax)
		fr->ahead[fr->ahead_count++] = *proof;
	else if (proof->sent_us > fr->ahead[oldest].sent_us)
		fr->ahead[oldest] = *proof;
}

/* @return false if its version is not in force */
static bool
record(struct freshness *fr, int64_t sent_us, int64_t version)
{
	struct freshness_proof proof = {sent_us, version};

	if (version <= 0)
		return true;
	if (version > fr->version) {
		keep_for_later(fr, &proof);
		return false;
	}
	use_proof(fr, &proof);
	return true;
}

void
freshness_set_version(struct freshness *fr, int64_t version)
{
	int32_t kept = 0;

	if (version <= fr->version)
		return;
	fr->version = version;
	for (int32_t i = 0; i < fr->ahead_count; i++) {
		if (fr->ahead[i].version <= version)
			use_proof(fr, &fr->ahead[i]);
		else
			fr->ahead[kept++] = fr->ahead[i];
	}
	fr->ahead_count = kept;
}

void
freshness_record_read(struct freshness *fr, int64_t sent_us, int64_t version)
{
	record(fr, sent_us, version);
}

bool
freshness_record_answer(
    struct freshness *fr, int64_t asked_us, int64_t age_us, int64_t version)
{
	if (age_us < 0 || age_us > fr->bound_us)
		return true;
	return record(fr, asked_us - age_us - drift_us(age_us), version);
}

int64_t
freshness_age_us(const struct freshness *fr, int64_t now_us)
{
	return fr->best.version > 0 ? MAX(now_us - fr->best.sent_us, 0) : -1;
}

static bool
is_younger(const struct freshness *fr, int64_t limit_us, int64_t now_us)
{
	int64_t age_us = freshness_age_us(fr, now_us);

	return age_us >= 0 && age_us <= limit_us;
}

bool
freshness_admits(const struct freshness *fr, int64_t now_us)
{
	return is_younger(fr, fr->usable_us, now_us);
}

bool
freshness_is_behind(const struct freshness *fr)
{
	return fr->ahead_count > 0;
}

bool
freshness_shows_unknown(const struct freshness *fr, int64_t now_us)
{
	return !freshness_is_behind(fr) &&
	    is_younger(fr, MIN(kFreshnessUnknownKeyUs, fr->usable_us), now_us);
}

struct freshness_proof
freshness_best(const struct freshness *fr, int64_t now_us)
{
	struct freshness_proof none = {0, 0};

	return freshness_admits(fr, now_us) ? fr->best : none;
}

static bool
is_reading(const struct freshness *fr, int64_t now_us)
{
	return fr->reading_us != 0 &&
	    now_us - fr->reading_us < kFreshnessReadTimeoutUs;
}

bool
freshness_read_is_due(
    const struct freshness *fr, bool is_wanted, int64_t now_us)
{
	bool is_old =
	    !is_younger(fr, milli_of(fr->bound_us, kReadAgeMilli), now_us);

	if ((!is_old && !is_wanted) || is_reading(fr, now_us))
		return false;
	if (fr->has_read_failed &&
	    now_us - fr->read_ended_us < kFreshnessRetryPauseUs)
		return false;
	return !fr->has_read_started ||
	    now_us - fr->read_started_us >= kFreshnessReadPauseUs;
}

void
freshness_read_started(struct freshness *fr, int64_t now_us)
{
	fr->has_read_started = true;
	fr->read_started_us = now_us;
	fr->reading_us = now_us;
}

void
freshness_read_ended(struct freshness *fr, bool is_ok, int64_t now_us)
{
	fr->reading_us = 0;
	fr->read_ended_us = now_us;
	fr->has_read_failed = !is_ok;
}

bool
freshness_ask_is_due(const struct freshness *fr, bool is_wanted, int64_t now_us)
{
	bool is_late =
	    fr->reading_us != 0 && now_us - fr->reading_us > kFreshnessAnswerUs;
	int64_t age_milli = fr->has_read_failed ? kAskAgeMilli : kLateAgeMilli;

	if (!fr->has_read_failed && !is_late)
		return false;
	if (!is_wanted &&
	    is_younger(fr, milli_of(fr->bound_us, age_milli), now_us))
		return false;
	return !fr->has_asked || now_us - fr->asked_us >= kFreshnessAskPauseUs;
}

void
freshness_asked(struct freshness *fr, int64_t now_us)
{
	fr->has_asked = true;
	fr->asked_us = now_us;
}

bool
freshness_may_improve(const struct freshness *fr, int64_t now_us)
{
	return is_reading(fr, now_us) ||
	    (fr->has_asked && now_us - fr->asked_us < kFreshnessAnswerUs);
}

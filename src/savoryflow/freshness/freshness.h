#ifndef SAVORYFLOW_FRESHNESS_H
#define SAVORYFLOW_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Whether the configuration in force may be used to let a request in, when
 * revoked keys must stop working within a bound. A read of the configuration
 * that was sent at time P and shows that version V is the newest one proves
 * that no key held by V had been revoked before P. All times are microseconds
 * of a clock that advances while the VM is suspended. No I/O, no clock.
 */

enum {
	/* The clocks of two VMs differ by the drift of their oscillators and
	 * the rate at which they are slewed, at most 500 ppm each. */
	kFreshnessClockPpm = 1000,
	/* From the last check to the target: 30 ms between regions, one
	 * retransmission by TCP (at least 200 ms), and the time of a send. */
	kFreshnessTransitUs = 300000,
	/* A key that the newest version lacks is refused for good only if the
	 * proof is at most this old. */
	kFreshnessUnknownKeyUs = 500000,
	/* A read that has no answer after this time counts as failed. */
	kFreshnessReadTimeoutUs = 1200000,
	/* Time between the starts of two reads, and after a failed one. */
	kFreshnessReadPauseUs = 100000,
	kFreshnessRetryPauseUs = 250000,
	/* A round of questions to peers is answered within this time, 60 ms
	 * between regions, or not at all. */
	kFreshnessAnswerUs = 150000,
	/* Time between two rounds of questions to peers. */
	kFreshnessAskPauseUs = 250000,
};

/** That the row with this version was the newest configuration at a time. */
struct freshness_proof {
	int64_t sent_us;
	/** Version of the row in the store; 0: no proof. */
	int64_t version;
};

struct freshness;

/**
 * @param bound_us time after which a revoked key must not be let in
 */
struct freshness *freshness_new(int64_t bound_us);
void freshness_free(struct freshness *fr);

/** Oldest proof by which a request may be let in, microseconds. */
int64_t freshness_usable_us(int64_t bound_us);

/** Longest wait of the feed with which proofs are renewed in time,
 * milliseconds. */
int64_t freshness_feed_wait_ms(int64_t bound_us);

/** The configuration in this version of the row is in force. */
void freshness_set_version(struct freshness *fr, int64_t version);

/**
 * Records a read of the store.
 * @param sent_us when it was sent
 * @param version the newest version that it shows
 */
void freshness_record_read(
    struct freshness *fr, int64_t sent_us, int64_t version);

/**
 * Records a peer's proof.
 * @param asked_us when the question was sent that the peer answers, by the own
 * clock: the proof is at least as old as its age at that time
 * @param age_us age of the proof when the peer answered, by the peer's clock
 * @return false if the version is newer than the one in force: the proof counts
 * once that version is
 */
bool freshness_record_answer(
    struct freshness *fr, int64_t asked_us, int64_t age_us, int64_t version);

/** Whether a request may be let in, or sent to a target, now. */
bool freshness_admits(const struct freshness *fr, int64_t now_us);

/** Whether a key that the version in force lacks is certainly unknown. */
bool freshness_shows_unknown(const struct freshness *fr, int64_t now_us);

/** Age of the proof in use; -1 if there is none. */
int64_t freshness_age_us(const struct freshness *fr, int64_t now_us);

/**
 * Proof to tell peers; its version is 0 if there is none that they could use.
 */
struct freshness_proof freshness_best(
    const struct freshness *fr, int64_t now_us);

/** Whether a newer version than the one in force is known to exist. */
bool freshness_is_behind(const struct freshness *fr);

/**
 * Whether a read is to be sent now, beside the feed.
 * @param is_wanted a request waits for a proof
 */
bool freshness_read_is_due(
    const struct freshness *fr, bool is_wanted, int64_t now_us);

/** A read was sent. */
void freshness_read_started(struct freshness *fr, int64_t now_us);

/** The read has ended, with or without a proof. */
void freshness_read_ended(struct freshness *fr, bool is_ok, int64_t now_us);

/**
 * Whether peers are to be asked now: the reads of the store fail, or are late,
 * and the proof gets old.
 */
bool freshness_ask_is_due(
    const struct freshness *fr, bool is_wanted, int64_t now_us);

/** Peers were asked. */
void freshness_asked(struct freshness *fr, int64_t now_us);

/** Whether a proof may arrive soon: from a read or from the peers asked. */
bool freshness_may_improve(const struct freshness *fr, int64_t now_us);

#endif

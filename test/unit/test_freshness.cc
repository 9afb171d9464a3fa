#include <gtest/gtest.h>

extern "C" {
#include "savoryflow/freshness/freshness.h"
}

namespace
{

const int64_t kMs = 1000;
const int64_t kSec = 1000 * kMs;
const int64_t kBoundUs = 5 * kSec;
const int64_t kStartUs = 100 * kSec;

struct Freshness : ::testing::Test {
	struct freshness *fr = freshness_new(kBoundUs);

	~Freshness() override
	{
		freshness_free(fr);
	}
};

/* Guards against service that ends before 0.6 of the bound without a path to
 * the store: the oldest proof that two waits of the feed leave, and a slow
 * answer, must last so long. */
TEST(FreshnessBounds, TheFeedLeavesServiceForTheOwedTime)
{
	for (int64_t bound_us : {5 * kSec, 4 * kSec, 10 * kSec}) {
		int64_t oldest_us =
		    2 * freshness_feed_wait_ms(bound_us) * kMs + 50 * kMs;

		EXPECT_GE(freshness_usable_us(bound_us),
		    oldest_us + bound_us * 6 / 10)
		    << bound_us;
		EXPECT_LE(freshness_usable_us(bound_us),
		    bound_us - kFreshnessTransitUs);
	}
	EXPECT_EQ(0, freshness_usable_us(100 * kMs));
}

/* Guards against a proof that counts from its answer, that never ends, or that
 * an older answer replaces. */
TEST_F(Freshness, AProofLastsFromTheTimeOfItsRead)
{
	int64_t usable_us = freshness_usable_us(kBoundUs);

	EXPECT_FALSE(freshness_admits(fr, kStartUs)) << "no proof";
	freshness_set_version(fr, 7);
	freshness_record_read(fr, kStartUs, 7);
	freshness_record_read(fr, kStartUs - kSec, 7);
	EXPECT_TRUE(freshness_admits(fr, kStartUs + usable_us));
	EXPECT_FALSE(freshness_admits(fr, kStartUs + usable_us + 1));
	EXPECT_EQ(kSec, freshness_age_us(fr, kStartUs + kSec));
	EXPECT_EQ(7, freshness_best(fr, kStartUs + kSec).version);
	EXPECT_EQ(0, freshness_best(fr, kStartUs + 5 * kSec).version);
}

/* Guards against requests that are let in by a proof of a version whose routes
 * are not in force: a key that it revoked would pass. */
TEST_F(Freshness, AProofCountsOnceItsVersionIsInForce)
{
	freshness_set_version(fr, 7);
	freshness_record_read(fr, kStartUs, 7);
	freshness_record_read(fr, kStartUs + kSec, 9);
	EXPECT_TRUE(freshness_is_behind(fr));
	EXPECT_EQ(2 * kSec, freshness_age_us(fr, kStartUs + 2 * kSec));
	freshness_set_version(fr, 8);
	EXPECT_EQ(2 * kSec, freshness_age_us(fr, kStartUs + 2 * kSec));
	freshness_set_version(fr, 9);
	EXPECT_FALSE(freshness_is_behind(fr));
	EXPECT_EQ(kSec, freshness_age_us(fr, kStartUs + 2 * kSec));
	EXPECT_TRUE(freshness_record_answer(fr, kStartUs + 2 * kSec, 0, 8))
	    << "of an older version, which is not in force any more";
}

/* Guards against proofs that are lost among those of other new versions. */
TEST_F(Freshness, ProofsOfSeveralNewVersionsAreKept)
{
	freshness_set_version(fr, 1);
	for (int64_t v = 2; v <= 8; v++)
		freshness_record_read(fr, kStartUs + v * kMs, v);
	freshness_set_version(fr, 6);
	EXPECT_EQ(
	    kStartUs + 6 * kMs, freshness_best(fr, kStartUs + kSec).sent_us);
	EXPECT_TRUE(freshness_is_behind(fr));
	freshness_set_version(fr, 8);
	EXPECT_EQ(
	    kStartUs + 8 * kMs, freshness_best(fr, kStartUs + kSec).sent_us);
}

/* Guards against proofs that become younger on their way: in a queue of the
 * peer, of the network, or of this daemon while it is stopped. */
TEST_F(Freshness, APeersProofIsAsOldAsItMayBe)
{
	const struct {
		const char *name;
		int64_t age_us;
		int64_t version;
		/** -1: not used. */
		int64_t expected_age_us;
	} cases[] = {
	    {"in force", 400 * kMs, 7, kSec + 400 * kMs},
	    {"of an older version", 400 * kMs, 5, kSec + 400 * kMs},
	    {"of a newer version", 400 * kMs, 8, -1},
	    {"without a version", 400 * kMs, 0, -1},
	    {"from the future", -1, 7, -1},
	    {"over the bound", kBoundUs + 1, 7, -1},
	};

	for (const auto &c : cases) {
		struct freshness *f = freshness_new(kBoundUs);
		int64_t age_us;

		freshness_set_version(f, 7);
		freshness_record_answer(f, kStartUs, c.age_us, c.version);
		age_us = freshness_age_us(f, kStartUs + kSec);
		EXPECT_GE(age_us, c.expected_age_us) << c.name;
		/* The drift of the two clocks is added. */
		EXPECT_LE(age_us,
		    c.expected_age_us < 0 ? -1 : c.expected_age_us + kMs)
		    << c.name;
		freshness_free(f);
	}
}

/* Guards against 401 for a key that a newer version may hold. */
TEST_F(Freshness, AKeyIsUnknownOnlyByARecentProof)
{
	freshness_set_version(fr, 7);
	EXPECT_FALSE(freshness_shows_unknown(fr, kStartUs));
	freshness_record_read(fr, kStartUs, 7);
	EXPECT_TRUE(
	    freshness_shows_unknown(fr, kStartUs + kFreshnessUnknownKeyUs));
	EXPECT_FALSE(
	    freshness_shows_unknown(fr, kStartUs + kFreshnessUnknownKeyUs + 1));
	freshness_record_read(fr, kStartUs + kSec, 9);
	freshness_record_read(fr, kStartUs + kSec, 7);
	EXPECT_FALSE(freshness_shows_unknown(fr, kStartUs + kSec))
	    << "version 9 is not in force yet";
}

/* Guards against reads beside the feed in ordinary operation, reads that are
 * repeated without a pause, and reads that are never repeated. */
TEST_F(Freshness, AReadIsSentBesideTheFeedWhenTheProofGetsOld)
{
	int64_t feed_us = 2 * freshness_feed_wait_ms(kBoundUs) * kMs + 50 * kMs;
	int64_t now_us = kStartUs + 2 * kSec;

	freshness_set_version(fr, 7);
	EXPECT_TRUE(freshness_read_is_due(fr, false, kStartUs)) << "no proof";
	freshness_record_read(fr, kStartUs, 7);
	EXPECT_FALSE(freshness_read_is_due(fr, false, kStartUs + feed_us));
	EXPECT_TRUE(freshness_read_is_due(fr, true, kStartUs + feed_us));
	EXPECT_TRUE(freshness_read_is_due(fr, false, now_us));
	freshness_read_started(fr, now_us);
	EXPECT_TRUE(freshness_may_improve(fr, now_us));
	EXPECT_FALSE(freshness_read_is_due(fr, false, now_us + kSec));
	freshness_read_ended(fr, true, now_us + 10 * kMs);
	EXPECT_FALSE(freshness_may_improve(fr, now_us + 10 * kMs));
	EXPECT_FALSE(freshness_read_is_due(fr, true, now_us + 20 * kMs));
	EXPECT_TRUE(
	    freshness_read_is_due(fr, true, now_us + kFreshnessReadPauseUs));
	freshness_read_started(fr, now_us + kSec);
	freshness_read_ended(fr, false, now_us + kSec);
	EXPECT_FALSE(
	    freshness_read_is_due(fr, true, now_us + kSec + 200 * kMs));
	EXPECT_TRUE(freshness_read_is_due(
	    fr, true, now_us + kSec + kFreshnessRetryPauseUs));
	freshness_read_started(fr, now_us + 3 * kSec);
	EXPECT_TRUE(freshness_read_is_due(
	    fr, false, now_us + 3 * kSec + kFreshnessReadTimeoutUs))
	    << "a read without an answer";
}

/* Guards against messages to peers while the store answers, and against a
 * daemon without the store that asks nobody. */
TEST_F(Freshness, PeersAreAskedWhenTheStoreDoesNotHelp)
{
	int64_t now_us = kStartUs + 2 * kSec;

	freshness_set_version(fr, 7);
	freshness_record_read(fr, kStartUs, 7);
	EXPECT_FALSE(freshness_ask_is_due(fr, false, now_us))
	    << "the read was not tried";
	freshness_read_started(fr, now_us);
	EXPECT_FALSE(freshness_ask_is_due(fr, false, now_us + 100 * kMs));
	EXPECT_FALSE(freshness_ask_is_due(fr, false, now_us + 200 * kMs))
	    << "the store may be slow for all daemons";
	EXPECT_TRUE(freshness_ask_is_due(fr, true, now_us + 200 * kMs));
	EXPECT_TRUE(freshness_ask_is_due(fr, false, now_us + 600 * kMs));
	freshness_read_ended(fr, false, now_us + 200 * kMs);
	EXPECT_TRUE(freshness_ask_is_due(fr, false, now_us + 200 * kMs));
	freshness_asked(fr, now_us + 200 * kMs);
	EXPECT_TRUE(freshness_may_improve(fr, now_us + 300 * kMs));
	EXPECT_FALSE(freshness_may_improve(fr, now_us + 400 * kMs));
	EXPECT_FALSE(freshness_ask_is_due(fr, false, now_us + 400 * kMs));
	EXPECT_TRUE(freshness_ask_is_due(fr, false, now_us + 450 * kMs));
	freshness_record_answer(fr, now_us + 400 * kMs, 100 * kMs, 7);
	EXPECT_FALSE(freshness_ask_is_due(fr, false, now_us + 450 * kMs));
	EXPECT_TRUE(freshness_ask_is_due(fr, true, now_us + 450 * kMs));
}

} // namespace

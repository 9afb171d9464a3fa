#include <gtest/gtest.h>

extern "C" {
#include "savoryflow/retry/suspects.h"
}

namespace
{

const int64_t kSec = 1000000;

struct Suspects : ::testing::Test {
	struct suspects *sus = suspects_new();

	~Suspects() override
	{
		suspects_free(sus);
	}
};

TEST_F(Suspects, ThreeInterruptionsQuarantine)
{
	EXPECT_FALSE(suspects_record_interrupted(sus, 7, kSec));
	EXPECT_FALSE(suspects_record_interrupted(sus, 7, 2 * kSec));
	EXPECT_FALSE(suspects_is_quarantined(sus, 7, 2 * kSec));
	EXPECT_TRUE(suspects_record_interrupted(sus, 7, 3 * kSec))
	    << "reported once";
	EXPECT_FALSE(suspects_record_interrupted(sus, 7, 4 * kSec));
	EXPECT_TRUE(suspects_is_quarantined(sus, 7, 4 * kSec));
	EXPECT_FALSE(suspects_is_quarantined(sus, 8, 4 * kSec));
}

TEST_F(Suspects, ProgressClearsASuspect)
{
	suspects_record_interrupted(sus, 7, kSec);
	suspects_record_interrupted(sus, 7, kSec);
	suspects_record_progress(sus, 7);
	suspects_record_interrupted(sus, 7, kSec);
	EXPECT_FALSE(suspects_is_quarantined(sus, 7, kSec));
}

TEST_F(Suspects, OldInterruptionsExpire)
{
	for (int i = 0; i < 3; i++)
		suspects_record_interrupted(sus, 7, kSec);
	EXPECT_TRUE(suspects_is_quarantined(sus, 7, 50 * kSec));
	EXPECT_FALSE(suspects_is_quarantined(sus, 7, 70 * kSec));
	suspects_tick(sus, 70 * kSec);
	EXPECT_FALSE(suspects_record_interrupted(sus, 7, 71 * kSec));
}

TEST(SuspectsFingerprint, DependsOnUriAndBody)
{
	uint64_t a = suspects_fingerprint("/q/1", "body", 4);

	EXPECT_EQ(a, suspects_fingerprint("/q/1", "body", 4));
	EXPECT_NE(a, suspects_fingerprint("/q/2", "body", 4));
	EXPECT_NE(a, suspects_fingerprint("/q/1", "Body", 4));
}

} // namespace

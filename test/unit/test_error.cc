/* What the errors promise without an override. */
#include <gtest/gtest.h>

extern "C" {
#include "error/error.h"
}

namespace
{

TEST(Errors, AnUnknownOutcomeIsNotToldAsNotRun)
{
	for (int code : {kErrStoreAmbiguous, kErrOutcomeLost,
		 kErrOutcomeUnknown, kErrInProgress, kErrDeadline})
		EXPECT_TRUE(sf_error_may_have_run(code)) << sf_error_type(code);
}

} // namespace

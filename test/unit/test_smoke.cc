#include <gtest/gtest.h>
extern "C" {
#include "error/error.h"
}
TEST(Error, HasType)
{
	EXPECT_STREQ("bad_item", sf_error_type(kErrBadItem));
}

/* Changes of which several copies are sent. */
#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "store/change.h"
}

namespace
{

TEST(StoreChange, TheRefusalOfOneCopySaysNothingOfTheOthers)
{
	const struct {
		const char *name;
		std::vector<store_result> earlier;
		store_result last;
		store_result result;
	} cases[] = {
	    {"refused", {}, kStoreUnavailable, kStoreUnavailable},
	    {"refused twice", {kStoreUnavailable}, kStoreUnavailable,
		kStoreUnavailable},
	    {"unknown, then refused", {kStoreAmbiguous}, kStoreUnavailable,
		kStoreAmbiguous},
	    {"unknown, refused, refused", {kStoreAmbiguous, kStoreUnavailable},
		kStoreUnavailable, kStoreAmbiguous},
	    {"unknown, then a conflict", {kStoreAmbiguous}, kStoreConflict,
		kStoreAmbiguous},
	    {"conflict", {}, kStoreConflict, kStoreConflict},
	    {"unknown, then made", {kStoreAmbiguous}, kStoreOk, kStoreOk},
	    {"not found", {}, kStoreNotFound, kStoreNotFound},
	    {"refused, then not found", {kStoreUnavailable}, kStoreNotFound,
		kStoreNotFound},
	    {"unknown, then not found", {kStoreAmbiguous}, kStoreNotFound,
		kStoreAmbiguous},
	};

	for (const auto &c : cases) {
		store_change own = {false}, all = {false};

		for (store_result res : c.earlier)
			store_change_add(&own, res);
		store_change_join(&all, &own);
		store_change_add(&all, c.last);
		EXPECT_EQ(c.result, store_change_result(&all, c.last))
		    << c.name;
	}
}

} // namespace

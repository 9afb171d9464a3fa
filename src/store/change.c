/* Outcome of a change that was sent more than once. */
#include "store/change.h"

void
store_change_add(struct store_change *change, enum store_result res)
{
	if (res == kStoreAmbiguous)
		change->may_be_applied = true;
}

void
store_change_join(struct store_change *change, const struct store_change *other)
{
	if (other->may_be_applied)
		change->may_be_applied = true;
}

enum store_result
store_change_result(const struct store_change *change, enum store_result last)
{
	/* The row may exist for a copy that comes later. */
	bool is_refused = last == kStoreUnavailable || last == kStoreConflict ||
	    last == kStoreNotFound;

	return is_refused && change->may_be_applied ? kStoreAmbiguous : last;
}

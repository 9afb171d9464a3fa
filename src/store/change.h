#ifndef SAVORYFLOW_STORE_CHANGE_H
#define SAVORYFLOW_STORE_CHANGE_H

#include "store/store.h"

/**
 * What is known of a change of which several copies may be sent: by this
 * daemon, to the store or through peers. The refusal of one copy says nothing
 * of the others.
 */
struct store_change {
	/** The outcome of a copy is unknown: it may be applied, also later. */
	bool may_be_applied;
};

/** Records the outcome of a copy. */
void store_change_add(struct store_change *change, enum store_result res);

/** Records the copies of another sender of the same change. */
void store_change_join(
    struct store_change *change, const struct store_change *other);

/**
 * Outcome of the change after the last copy's.
 * @return kStoreAmbiguous rather than a refusal if a copy may be applied
 */
enum store_result store_change_result(
    const struct store_change *change, enum store_result last);

#endif

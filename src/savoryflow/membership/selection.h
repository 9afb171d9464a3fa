#ifndef SAVORYFLOW_MEMBERSHIP_SELECTION_H
#define SAVORYFLOW_MEMBERSHIP_SELECTION_H

#include "savoryflow/membership/membership_defs.h"

/** Random entries. */
extern const struct member_selection_ops member_select_random;
/** Entries that were sent least recently. */
extern const struct member_selection_ops member_select_round_robin;
/** Entries that changed most recently, each sent a limited number of times. */
extern const struct member_selection_ops member_select_changed;
/**
 * Entries of the members that sent a message most recently: the
 * Most-Recently-Received strategy of Baldoni and Melideo, "k-Dependency
 * Vectors".
 */
extern const struct member_selection_ops member_select_received;

#endif

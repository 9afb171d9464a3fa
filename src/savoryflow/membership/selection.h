#ifndef SAVORYFLOW_MEMBERSHIP_SELECTION_H
#define SAVORYFLOW_MEMBERSHIP_SELECTION_H

#include "savoryflow/membership/membership_defs.h"

/** Any entries, drawn at random. */
extern const struct member_selection_ops member_select_random;
/** The entries sent longest ago. */
extern const struct member_selection_ops member_select_round_robin;
/** Entries that changed last, each a bounded number of times. */
extern const struct member_selection_ops member_select_changed;
/**
 * Entries of the members heard last: the Most-Recently-Received strategy of
 * Baldoni and Melideo, "k-Dependency Vectors".
 */
extern const struct member_selection_ops member_select_received;

#endif

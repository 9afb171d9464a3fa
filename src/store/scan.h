#ifndef SAVORYFLOW_STORE_SCAN_H
#define SAVORYFLOW_STORE_SCAN_H

#include "store/store.h"

/**
 * Lists all rows with the prefix, in as many reads as the store takes.
 * @param rows set on kStoreOk: array of struct store_row *
 */
enum store_result store_scan_all(const struct store *st, enum store_cause cause,
    const char *prefix, GPtrArray **rows);

#endif

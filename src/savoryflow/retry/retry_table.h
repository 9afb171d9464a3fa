#ifndef SAVORYFLOW_RETRY_TABLE_H
#define SAVORYFLOW_RETRY_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Waits before steps that failed and are likely to fail again, by name. */
struct retry_table;

/** Waits are doubled with each failure, from the first up to the longest. */
struct retry_table *retry_table_new(int64_t first_us, int64_t max_us);
void retry_table_free(struct retry_table *rt);

/** True unless the step has to wait. */
bool retry_table_is_due(
    const struct retry_table *rt, const char *name, int64_t now_us);

/**
 * Records a failure.
 * @param waits false: the step may be tried again at once
 * @param count set to the number of failures so far
 * @return the wait before the next try
 */
int64_t retry_table_fail(struct retry_table *rt, const char *name, bool waits,
    int64_t now_us, int32_t *count);

/** Forgets a step that has succeeded. */
void retry_table_remove(struct retry_table *rt, const char *name);

/** Forgets all steps whose names are not keys of the table. */
void retry_table_keep(struct retry_table *rt, GHashTable *names);

#endif

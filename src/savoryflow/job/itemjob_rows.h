#ifndef SAVORYFLOW_ITEMJOB_ROWS_H
#define SAVORYFLOW_ITEMJOB_ROWS_H

#include "savoryflow/job/itemjob_defs.h"
#include "store/store.h"

/* Keys and values of the rows of jobs, for the files that access them. */

/** Key of a row in the partition of a job; free with g_free. */
char *itemjob_key(const char *table, const char *id, const char *name);

/**
 * Key of a job's row in the partition that lists all jobs, or the common prefix
 * of these keys if the id is empty; free with g_free. The lists have their own
 * partition because the store serializes the writes of a partition: jobs do not
 * wait for heartbeats.
 */
char *itemjob_list_key(const char *table, const char *id);

/** Key of a row of a job with a zero-padded number, so that keys sort by it;
 * free with g_free. */
char *itemjob_key_number(const char *table, const char *id, int32_t number);

/**
 * Returns the number that a key ends with.
 * @return -1 if the key is none of itemjob_key_number's: another writer's row
 */
int32_t itemjob_number_of_key(const char *key);

/** Logs a row that another writer has put among those of a job, once. */
void itemjob_report_foreign(const struct store_row *row);

/** Value of an open job's row; free with free(). */
char *itemjob_open_text(const struct itemjob_open *open);

#endif

#ifndef SAVORYFLOW_ITEMJOB_ROWS_H
#define SAVORYFLOW_ITEMJOB_ROWS_H

#include <stdbool.h>
#include <stdint.h>

/* Names and texts of the rows of jobs, for the files that read and write them.
 */

/** Name of a row in the partition of a job; g_free. */
char *itemjob_key(const char *table, const char *id, const char *name);

/**
 * Name of a job's row in the partition of the lists of all jobs, or the common
 * start of these names if the id is empty; g_free. The partition is their own,
 * as the store takes the writes of one partition one after the other: jobs
 * don't wait for heartbeats.
 */
char *itemjob_list_key(const char *table, const char *id);

/** Name of a row of a job with a number that sorts; g_free. */
char *itemjob_key_number(const char *table, const char *id, int32_t number);

/** The number in the name of a row. @return -1 if there is none */
int32_t itemjob_number_of_key(const char *key);

/** Value of an open job's row; free(). */
char *itemjob_open_text(const char *owner, bool is_ended);

#endif

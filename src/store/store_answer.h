#ifndef SAVORYFLOW_STORE_ANSWER_H
#define SAVORYFLOW_STORE_ANSWER_H

#include <jansson.h>

#include "store/store.h"

/* What other writers put into the tables must not hide the rows beside it. */

/**
 * Value of a row, to be freed with g_free. One that is no text is empty: the
 * row exists, and is unreadable.
 * @return NULL if the row lacks its value
 */
char *store_answer_value(const json_t *row);

/**
 * @return array of struct store_row *, without those whose keys are no text;
 *         NULL if it is not a list of complete rows: a row that is left out
 *         would be taken for one that does not exist
 */
GPtrArray *store_answer_rows(const json_t *doc);

/** @return array of struct store_vm *, without those that cannot be read */
GPtrArray *store_answer_vms(const json_t *list);

#endif

#ifndef SAVORYFLOW_ITEMJOB_H
#define SAVORYFLOW_ITEMJOB_H

#include "savoryflow/job/itemjob_defs.h"

struct itemjob *itemjob_new(const char *id);
void itemjob_free(struct itemjob *job);
/** Whether a team submitted the job. @param team NULL or "": none
 */
bool itemjob_is_of_team(const struct itemjob *job, const char *team);
struct itemjob_item *itemjob_item_new(const char *id, const char *path);
void itemjob_item_add_header(
    struct itemjob_item *item, const char *name, const char *value);
/** New array of struct itemjob_item *; it frees its elements. */
GPtrArray *itemjob_items_new(void);
GPtrArray *itemjob_results_new(void);
void itemjob_open_free(void *open);

/** New array of struct itemjob_progress; it frees their texts. */
GArray *itemjob_progress_new(void);

/** Serializes items for storage; free with free(). */
char *itemjob_items_to_text(const GPtrArray *items);
/** Serializes the ids of items only; free with free(). */
char *itemjob_ids_to_text(const GPtrArray *items);
/** Items of these ids, without a path and a body. */
GPtrArray *itemjob_items_from_ids(const char *text);
/** @return NULL if an item lacks a field */
GPtrArray *itemjob_items_from_text(const char *text, size_t len);

#endif

#ifndef SAVORYFLOW_GATEWAY_HEADERS_H
#define SAVORYFLOW_GATEWAY_HEADERS_H

#include <glib.h>
#include <stdbool.h>

struct header {
	char *name;
	char *value;
};

/** Header fields of one message, in order; names are case-insensitive. */
struct header_list;

struct header_list *header_list_new(void);
void header_list_free(struct header_list *list);
void header_list_add(
    struct header_list *list, const char *name, const char *value);
/** Replaces all fields of that name. */
void header_list_set(
    struct header_list *list, const char *name, const char *value);
void header_list_remove(struct header_list *list, const char *name);
/** Value of the first field of that name, or NULL. */
const char *header_list_get(const struct header_list *list, const char *name);
guint header_list_len(const struct header_list *list);
const struct header *header_list_at(const struct header_list *list, guint i);

/** True if the text can be the value of a field: without control characters but
 * tabs. */
bool header_value_is_valid(const char *value);

/** True if the text can be the name of a field (RFC 9110, 5.6.2). */
bool header_name_is_valid(const char *name);

/** True if the text can be the target of a request: an absolute path. */
bool header_path_is_valid(const char *path);

/** True for fields that apply to one connection only (RFC 9110, 7.6.1). */
bool header_is_hop_by_hop(const char *name);

#endif

#ifndef SAVORYFLOW_JSON_PARTIAL_H
#define SAVORYFLOW_JSON_PARTIAL_H

#include <jansson.h>
#include <stddef.h>

/** Levels of a list of rows: the answer, its list, a row. */
enum { kJsonRowLevels = 3 };

/**
 * Parses a document of several writers, so that what one of them wrote does not
 * hide the others' parts: a part that cannot be read becomes null, be it no
 * text, a number out of range or nested too deeply. A member whose name cannot
 * be read is left out.
 * @param levels levels of containers whose parts are told apart; a part below
 *        is read as a whole
 * @return a new reference; NULL if the brackets do not match, as those of an
 *         incomplete answer, or if nothing can be read
 */
json_t *json_partial_load(const char *bytes, size_t len, int levels);

#endif

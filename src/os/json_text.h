#ifndef SAVORYFLOW_JSON_TEXT_H
#define SAVORYFLOW_JSON_TEXT_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

/** True if the bytes are UTF-8 without a NUL, as JSON text has to be. */
bool json_text_is_valid(const char *bytes, size_t len);

/**
 * JSON string of bytes that a target, a caller or another writer has sent.
 * Bytes that are not UTF-8 are replaced by U+FFFD.
 * @param text NULL stands for the empty text
 * @return a new reference; never NULL
 */
json_t *json_text(const char *text);

#endif

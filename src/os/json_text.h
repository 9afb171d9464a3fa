#ifndef SAVORYFLOW_JSON_TEXT_H
#define SAVORYFLOW_JSON_TEXT_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

/*
 * Documents of other writers, targets and callers. jansson parses, copies,
 * encodes and frees recursively, up to 2,048 levels deep: some hundred bytes of
 * stack a level, more than the 256 KiB of some threads. Documents of this
 * product nest fewer than ten.
 */

/** Most levels of a document that is read. */
enum { kJsonLevelsMax = 128 };

/**
 * Parses a document.
 * @param err NULL, or set to where the text is not allowed
 * @return a new reference; NULL if it is not JSON, or nested too deeply
 */
json_t *json_text_load_checked(
    const char *bytes, size_t len, json_error_t *err);

/** The same without the error. */
json_t *json_text_load_bytes(const char *bytes, size_t len);

/** The same for a text. @param text NULL is no document */
json_t *json_text_load(const char *text);

/** The same for a part of a document, which may be any value. */
json_t *json_text_load_part(const char *bytes, size_t len);

/** Position in a JSON text that is read byte by byte; starts as zero. */
struct json_scan {
	int levels;
	bool is_in_string;
	bool is_escaped;
};

/** Takes the next byte into account; brackets within strings are no nesting. */
void json_scan_byte(struct json_scan *sc, char c);

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

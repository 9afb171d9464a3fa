#ifndef STANDIN_ROWS_RAW_H
#define STANDIN_ROWS_RAW_H

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>

/*
 * Rows whose JSON no encoder would write: a key or value "raw:BASE64" stands
 * for these bytes in answers, in place of the text and its quotes.
 */

/** @return base64 of a value; one that starts with "raw:" is kept, and NULL is.
 * Free with g_free. */
char *rows_raw_value(const char *value);

/** @param doc stolen @return its JSON with all raw texts replaced */
struct MHD_Response *rows_raw_response(json_t *doc);

#endif

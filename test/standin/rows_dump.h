#ifndef STANDIN_ROWS_DUMP_H
#define STANDIN_ROWS_DUMP_H

#include <glib.h>
#include <microhttpd.h>

/* The contents of the table service as plain text, for tests of what daemons
 * write. */

/** Appends a row. @param value in base64; NULL: deleted, nothing is added */
void rows_dump_row(GString *out, const char *key, const char *value);

/**
 * Appends objects, GBytes by name.
 * @return response with the text, which it frees
 */
struct MHD_Response *rows_dump_response(GString *out, GHashTable *objects);

#endif

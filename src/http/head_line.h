#ifndef SAVORYFLOW_HTTP_HEAD_LINE_H
#define SAVORYFLOW_HTTP_HEAD_LINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * What a line of an answer's head may be, after RFC 9112. libmicrohttpd,
 * libcurl and callers differ in what they make of other lines: one that one of
 * them passes over is a length, or ends the head, for another.
 */

/** True if the byte may stand in the name of a field (RFC 9110, 5.6.2). */
bool head_line_is_token_char(char c);

/**
 * Status of a line "HTTP/1.x NNN [reason]".
 * @return 100 to 599; 0 if it is no status line, or its reason has control
 *         characters
 */
int32_t head_line_status(const char *line, size_t len);

/** Framing of a body, as the fields of its head tell it; libcurl takes the
 * length from the same fields. */
struct head_framing {
	bool has_length;
	bool has_chunks;
};

/**
 * Checks the line of a field: a name that is a token, a colon without a blank
 * before it, and a value without control characters but tabs. A line that
 * continues the one before it is refused, as a gateway may do (RFC 9112, 5.2).
 * A length has to be a number, the only coding of the transfer is "chunked",
 * and a head has one of both at most, once.
 * @param framing the fields of this head so far; NULL for a trailer, where none
 *        of them may stand
 * @return false if the answer is malformed
 */
bool head_line_is_field(
    const char *line, size_t len, struct head_framing *framing);

#endif

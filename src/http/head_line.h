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

/**
 * Status of a line "HTTP/1.x NNN [reason]".
 * @return 100 to 599; 0 if it is no status line, or its reason has control
 *         characters
 */
int32_t head_line_status(const char *line, size_t len);

#endif

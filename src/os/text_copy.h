#ifndef SAVORYFLOW_TEXT_COPY_H
#define SAVORYFLOW_TEXT_COPY_H

#include <stdbool.h>
#include <stddef.h>
#include <string.h>

/*
 * Copies of texts into buffers of a fixed size. A text is copied whole or not
 * at all: the beginning of a name is another name. No other copy that cuts is
 * used, see scripts/check_text_copies.sh.
 */

/**
 * Copies a text.
 * @param size bytes of the buffer, at least 1
 * @param src NULL does not fit any buffer
 * @return false if the text does not fit; the buffer is empty then
 */
__attribute__((warn_unused_result)) bool text_copy(
    char *dst, size_t size, const char *src);

/**
 * Whether a text and its NUL fit into a buffer.
 * @param src NULL does not fit any buffer
 */
bool text_fits(size_t size, const char *src);

/**
 * Copies a name for which an empty buffer stands for none, as an address to
 * which nothing is sent.
 * @param size bytes of the buffer, at least 1
 * @param src a text that does not fit, or NULL, is none
 */
void text_copy_or_none(char *dst, size_t size, const char *src);

/** Copies the text of an array into another one that is at least as large,
 * which the compiler checks. */
#define TEXT_ASSIGN(dst, src)                                                 \
	do {                                                                  \
		_Static_assert(!__builtin_types_compatible_p(                 \
				   __typeof__(src), __typeof__(&(src)[0])) && \
			!__builtin_types_compatible_p(                        \
			    __typeof__(dst), __typeof__(&(dst)[0])),          \
		    "TEXT_ASSIGN copies between arrays");                     \
		_Static_assert(sizeof(src) <= sizeof(dst),                    \
		    "the text may not fit: use text_copy");                   \
		memcpy((dst), (src), strlen(src) + 1);                        \
	} while (0)

#endif

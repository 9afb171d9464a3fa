/* Copies of texts that are never cut. */
#include "os/text_copy.h"

bool
text_fits(size_t size, const char *src)
{
	return src != NULL && strnlen(src, size) < size;
}

bool
text_copy(char *dst, size_t size, const char *src)
{
	if (!text_fits(size, src)) {
		dst[0] = '\0';
		return false;
	}
	memmove(dst, src, strlen(src) + 1);
	return true;
}

void
text_copy_or_none(char *dst, size_t size, const char *src)
{
	if (!text_copy(dst, size, src))
		dst[0] = '\0';
}

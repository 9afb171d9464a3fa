/* Table of error types. */
#include "error/error.h"

#include <assert.h>

struct error_row {
	const char *type;
	int status;
	bool may_have_run;
};

static const struct error_row error_rows[] = {
#define X(code, type, status, ran) {type, status, ran},
    SF_ERRORS(X)
#undef X
};

GQuark
sf_error_quark(void)
{
	return g_quark_from_static_string("savoryflow");
}

static const struct error_row *
error_row(int code)
{
	assert(code >= 0 && code < kErrCount);
	return &error_rows[code];
}

const char *
sf_error_type(int code)
{
	return error_row(code)->type;
}

int
sf_error_status(int code)
{
	return error_row(code)->status;
}

bool
sf_error_may_have_run(int code)
{
	return error_row(code)->may_have_run;
}

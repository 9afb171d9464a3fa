#ifndef SAVORYFLOW_STATED_RATE_H
#define SAVORYFLOW_STATED_RATE_H

#include <stdint.h>

enum stated_rate_kind {
	/** The answer names no rate: its target takes requests as they come. */
	kRateNone,
	kRateNamed,
	/** The field cannot be read; it says nothing either way. */
	kRateUnreadable,
};

/** What an answer says of the rate at which its target takes requests, from all
 * daemons together. */
struct stated_rate {
	enum stated_rate_kind kind;
	/** Named: thousandths of a request a second. */
	int64_t milli_per_s;
};

/** Parses the value of a field that names a rate: a decimal number of requests
 * a second. Negative and non-finite numbers are unreadable; one too large to
 * matter is no rate.
 * @param text NULL if the answer has no such field */
struct stated_rate stated_rate_parse(const char *text);

#endif

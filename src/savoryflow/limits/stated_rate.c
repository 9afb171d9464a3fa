#include "savoryflow/limits/stated_rate.h"

#include <glib.h>
#include <math.h>

enum {
	/* No target is sent as many requests a second. */
	kRateMax = 1000000,
	kMilli = 1000,
};

struct stated_rate
stated_rate_parse(const char *text)
{
	struct stated_rate rate = {kRateNone, 0};
	char *end = NULL;
	double per_s;

	if (text == NULL)
		return rate;
	per_s = g_ascii_strtod(text, &end);
	while (g_ascii_isspace(*end))
		end++;
	if (end == text || *end != '\0' || !isfinite(per_s) || per_s < 0) {
		rate.kind = kRateUnreadable;
	} else if (per_s < kRateMax) {
		rate.kind = kRateNamed;
		rate.milli_per_s = (int64_t)(per_s * kMilli);
	}
	return rate;
}

#include "functional/rate_window.h"

#include <jansson.h>

#include <algorithm>

#include "functional/harness.h"

namespace
{

constexpr int64_t kGraceUs = 4000000;
constexpr int64_t kWindowUs = 4000000;

} // namespace

RateSeen
FetchRateSeen(const std::string &url)
{
	RateSeen seen;
	json_t *doc =
	    json_loads(Http("GET", url + "/seen").body.c_str(), 0, nullptr);
	json_t *list = json_object_get(doc, "arrivals_us");

	for (size_t i = 0; i < json_array_size(list); i++)
		seen.arrivals_us.push_back(
		    json_integer_value(json_array_get(list, i)));
	seen.named_us =
	    json_integer_value(json_object_get(doc, "rate_named_us"));
	json_decref(doc);
	return seen;
}

double
RateAllowed(double per_s)
{
	return 1.5 * per_s * kWindowUs / 1000000 + 5;
}

int
RateBusiestWindow(const RateSeen &seen)
{
	const std::vector<int64_t> &at = seen.arrivals_us;
	size_t first = 0;
	size_t most = 0;

	while (first < at.size() && at[first] < seen.named_us + kGraceUs)
		first++;
	for (size_t last = first; last < at.size(); last++) {
		while (at[last] - at[first] >= kWindowUs)
			first++;
		most = std::max(most, last - first + 1);
	}
	return (int)most;
}

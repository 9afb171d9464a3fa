#ifndef TEST_FUNCTIONAL_RATE_WINDOW_H
#define TEST_FUNCTIONAL_RATE_WINDOW_H

#include <cstdint>
#include <string>
#include <vector>

/* The users' rule on back ends that name a rate: from 4 s after one first named
 * it, it may get one and a half times that, and five requests, in any 4 s. */

/** What a back end has seen. */
struct RateSeen {
	/** Times of the requests, microseconds, in order. */
	std::vector<int64_t> arrivals_us;
	/** Of the first answer that named the rate; 0: none did. */
	int64_t named_us = 0;
};

/** Asks a stand-in of a worker or an engine. */
RateSeen FetchRateSeen(const std::string &url);

/** Requests that the rule allows in a window. */
double RateAllowed(double per_s);

/** Most requests in a window that the rule judges. */
int RateBusiestWindow(const RateSeen &seen);

#endif

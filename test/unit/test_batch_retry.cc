#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "savoryflow/retry/batch_retry.h"
}

namespace
{

std::vector<batch_attempt>
Times(int n, batch_attempt attempt)
{
	return std::vector<batch_attempt>((size_t)n, attempt);
}

TEST(BatchRetry, WhatEndsAnItem)
{
	const int64_t deadline_us = 1000000;
	const batch_attempt failed = {kAttemptFailed, 500, false};
	const struct {
		const char *name;
		std::vector<batch_attempt> attempts;
		int64_t now_us;
		retry_action action;
		int code;
		int64_t delay_max_us;
	} cases[] = {
	    {"complete", {{kAttemptComplete, 200, true}}, 0, kRetryDone, 0, 0},
	    {"rejected", {{kAttemptRejected, 400, false}}, 0, kRetryFail,
		kErrTargetRefused, 0},
	    {"cancelled", {{kAttemptCancelled, 0, false}}, 0, kRetryFail,
		kErrCancelled, 0},
	    {"five 500", Times(5, failed), 0, kRetryFail, kErrTargetFailed, 0},
	    {"four 500", Times(4, failed), 0, kRetryAgain, 0,
		kItemRetryWaitMaxUs},
	    {"500 with progress between them",
		{failed, failed, failed, failed, {kAttemptInterrupted, 0, true},
		    failed},
		0, kRetryAgain, 0, 100000},
	    {"500 without a target between them",
		{failed, failed, failed, failed, {kAttemptNotSent, 0, true},
		    failed},
		0, kRetryFail, kErrTargetFailed, 0},
	    {"crashes", Times(100, {kAttemptInterrupted, 0, false}), 0,
		kRetryAgain, 0, kItemRetryWaitMaxUs},
	    {"stalls", Times(100, {kAttemptStalled, 0, false}), 0, kRetryAgain,
		0, kItemRetryWaitMaxUs},
	    {"answers of another attempt",
		Times(100, {kAttemptIdMismatch, 200, false}), 0, kRetryAgain, 0,
		kItemRetryWaitMaxUs},
	    {"503", Times(100, {kAttemptFailed, 503, false}), 0, kRetryAgain, 0,
		kItemRetryWaitMaxUs},
	    {"no target", Times(100, {kAttemptNotSent, 0, false}), 0,
		kRetryAgain, 0, 500000},
	    {"turned away", Times(100, {kAttemptNotExecuted, 503, false}), 0,
		kRetryAgain, 0, 500000},
	    {"revoked", Times(100, {kAttemptRevoked, 0, false}), 0, kRetryAgain,
		0, 0},
	    {"a crash at the deadline", {{kAttemptInterrupted, 0, false}},
		deadline_us, kRetryFail, kErrDeadline, 0},
	};

	for (const auto &c : cases) {
		item_retry retry = {};
		retry_decision d = {};

		for (const auto &attempt : c.attempts)
			d = batch_retry_decide(
			    &retry, &attempt, deadline_us, c.now_us);
		EXPECT_EQ(c.action, d.action) << c.name;
		EXPECT_EQ(c.code, d.code) << c.name;
		EXPECT_LE(d.delay_us, c.delay_max_us) << c.name;
	}
}

} // namespace

#include <gtest/gtest.h>

#include <map>
#include <string>

extern "C" {
#include "savoryflow/limits/limits.h"
#include "savoryflow/retry/quarantine.h"
#include "savoryflow/retry/retry.h"
#include "savoryflow/routing/routing.h"
}
#include "unit/fixtures.h"

namespace
{

const int64_t kSec = 1000000;

struct Routing : ::testing::Test {
	struct routing_location place = {"north", "dc1"};
	struct routing *rt = routing_new(&place);
	GArray *daemons = g_array_new(FALSE, TRUE, sizeof(routing_daemon));
	struct config *cfg = nullptr;

	~Routing() override
	{
		routing_free(rt);
		g_array_unref(daemons);
		config_unref(cfg);
	}

	void
	AddDaemon(const char *address, const char *region, const char *dc)
	{
		struct routing_daemon d = {};

		g_strlcpy(d.address, address, sizeof(d.address));
		g_strlcpy(d.region, region, sizeof(d.region));
		g_strlcpy(d.data_center, dc, sizeof(d.data_center));
		g_array_append_val(daemons, d);
	}

	/* Builds targets from a map of name to region and data centre. */
	void
	Build(std::map<std::string, std::pair<std::string, std::string>> places)
	{
		json_t *doc = SmallDocument(1);
		json_t *targets = json_object_get(doc, "targets");
		json_t *sample = json_object_get(targets, "engine-1");
		int port = 10;

		for (auto &p : places) {
			json_t *t = json_copy(sample);
			std::string url =
			    "http://127.0.0.1:" + std::to_string(port++);

			json_object_set_new(t, "url", json_string(url.c_str()));
			json_object_set_new(
			    t, "region", json_string(p.second.first.c_str()));
			json_object_set_new(t, "data_center",
			    json_string(p.second.second.c_str()));
			json_object_set_new(targets, p.first.c_str(), t);
		}
		json_object_del(targets, "engine-1");
		config_unref(cfg);
		cfg = config_new(doc, 1, nullptr);
		ASSERT_NE(nullptr, cfg);
		json_decref(doc);
		routing_rebuild(rt, cfg, daemons);
	}

	std::string
	Choose(
	    uint64_t prefix, const char *excluded = nullptr, int64_t now = kSec)
	{
		struct routing_query q = {
		    "assistant", prefix, 500, excluded, now};
		struct routing_target *t = routing_choose(rt, &q);

		return t != nullptr ? t->name : "";
	}
};

TEST_F(Routing, PrefersNearTargetsUnlessLoadOutweighsDistance)
{
	Build({{"near", {"north", "dc1"}}, {"region", {"north", "dc2"}},
	    {"far", {"south", "dc9"}}});
	EXPECT_EQ("near", Choose(1));
	routing_record_load(routing_find(rt, "near"), 50000, kSec);
	EXPECT_EQ("region", Choose(1));
	routing_record_load(routing_find(rt, "region"), 300000, kSec);
	routing_record_load(routing_find(rt, "near"), 300000, kSec);
	EXPECT_NE("far", Choose(1)) << "the link costs more than the queue";
	routing_record_load(routing_find(rt, "region"), 900000, kSec);
	routing_record_load(routing_find(rt, "near"), 900000, kSec);
	EXPECT_EQ("far", Choose(1));
}

TEST_F(Routing, SamePrefixKeepsItsTargetUnlessLoaded)
{
	Build({{"a", {"north", "dc1"}}, {"b", {"north", "dc1"}},
	    {"c", {"north", "dc1"}}});
	std::string own = Choose(42);

	for (int i = 0; i < 20; i++)
		EXPECT_EQ(own, Choose(42));
	routing_record_load(routing_find(rt, own.c_str()), 500000, kSec);
	std::map<std::string, int> seen;
	for (int i = 0; i < 60; i++)
		seen[Choose(42)]++;
	EXPECT_GT(60 - seen[own], 20);
	/* The load report has expired. */
	EXPECT_EQ(own, Choose(42, nullptr, 10 * kSec));
}

TEST_F(Routing, SkipsLeavingAndFailedTargets)
{
	Build({{"a", {"north", "dc1"}}, {"b", {"north", "dc1"}}});
	std::string first = Choose(7);
	std::string other = first == "a" ? "b" : "a";

	EXPECT_EQ(other, Choose(7, first.c_str()));
	routing_find(rt, first.c_str())->is_leaving = true;
	EXPECT_EQ(other, Choose(7));
	struct routing_target *t = routing_find(rt, other.c_str());
	EXPECT_FALSE(routing_record_failure(t, false, kSec));
	EXPECT_FALSE(routing_record_failure(t, false, kSec));
	EXPECT_TRUE(routing_record_failure(t, false, kSec));
	EXPECT_EQ("", Choose(7, nullptr, 2 * kSec));
	EXPECT_EQ(other, Choose(7, nullptr, 7 * kSec)) << "one probe";
	EXPECT_EQ("", Choose(7, nullptr, 7 * kSec)) << "only one";
	EXPECT_TRUE(routing_record_success(t));
	EXPECT_EQ(other, Choose(7, nullptr, 7 * kSec));
}

TEST_F(Routing, EjectsAnUnreachableTargetAtTheFirstFailure)
{
	Build({{"a", {"north", "dc1"}}, {"b", {"north", "dc1"}}});
	std::string first = Choose(7);

	EXPECT_TRUE(routing_record_failure(
	    routing_find(rt, first.c_str()), true, kSec));
	for (uint64_t prefix = 0; prefix < 20; prefix++)
		EXPECT_NE(first, Choose(prefix, nullptr, kSec));
}

TEST_F(Routing, ArbiterIsInTheTargetsDataCenterAndRarelyMoves)
{
	std::map<std::string, std::pair<std::string, std::string>> places;
	std::map<std::string, std::string> before;
	int moved = 0;

	for (int i = 0; i < 100; i++)
		places["t" + std::to_string(i)] = {
		    "north", i % 2 ? "dc1" : "dc2"};
	for (int i = 0; i < 10; i++)
		AddDaemon(("d" + std::to_string(i)).c_str(), "north",
		    i % 2 ? "dc1" : "dc2");
	Build(places);
	for (auto &p : places)
		before[p.first] = routing_find(rt, p.first.c_str())->arbiter;
	for (auto &b : before) {
		int target = std::stoi(b.first.substr(1));
		int daemon = std::stoi(b.second.substr(1));

		EXPECT_EQ(target % 2, daemon % 2) << b.first;
	}
	g_array_remove_index(daemons, 3);
	routing_rebuild(rt, cfg, daemons);
	for (auto &b : before) {
		if (routing_find(rt, b.first.c_str())->arbiter == b.second)
			continue;
		moved++;
		EXPECT_EQ("d3", b.second);
	}
	EXPECT_GT(moved, 0);
}

TEST(Retry, Table)
{
	const struct {
		const char *name;
		bool idempotent;
		bool may_have_run;
		int failures;
		int64_t deadline;
		attempt_outcome outcome;
		retry_action action;
		int code;
	} cases[] = {
	    {"complete", true, false, 0, 10, kAttemptComplete, kRetryDone, 0},
	    {"interrupted", true, true, 1, 10, kAttemptInterrupted, kRetryAgain,
		0},
	    {"stalled", true, true, 1, 10, kAttemptStalled, kRetryAgain, 0},
	    {"id mismatch", true, true, 1, 10, kAttemptIdMismatch, kRetryAgain,
		0},
	    {"interrupted, at most once", false, true, 1, 10,
		kAttemptInterrupted, kRetryFail, kErrTargetFailed},
	    {"not sent, at most once", false, false, 1, 10, kAttemptNotSent,
		kRetryAgain, 0},
	    {"not sent, may have run before", false, true, 2, 10,
		kAttemptNotSent, kRetryFail, kErrTargetFailed},
	    {"not executed", false, false, 1, 10, kAttemptNotExecuted,
		kRetryAgain, 0},
	    {"rejected", true, true, 1, 10, kAttemptRejected, kRetryFail,
		kErrTargetRefused},
	    {"too many failures", true, true, 3, 10, kAttemptInterrupted,
		kRetryFail, kErrTargetFailed},
	    {"no target", true, false, 3, 10, kAttemptNotSent, kRetryFail,
		kErrNoTarget},
	    {"deadline exceeded", true, true, 1, 1, kAttemptInterrupted,
		kRetryFail, kErrDeadline},
	    {"revoked", true, true, 9, 10, kAttemptRevoked, kRetryAgain, 0},
	    {"cancelled", true, true, 1, 10, kAttemptCancelled, kRetryFail,
		kErrCancelled},
	};

	for (const auto &c : cases) {
		struct retry_state st = {c.idempotent, true, c.may_have_run,
		    c.failures, 3, c.deadline};
		struct retry_decision d =
		    retry_decide(&st, c.outcome, nullptr, 5);

		EXPECT_EQ(c.action, d.action) << c.name;
		if (d.action == kRetryFail) {
			EXPECT_EQ(c.code, d.code) << c.name;
		}
	}
}

TEST(Retry, BudgetRefillsByATenthOfRequests)
{
	struct retry_budget b;
	int consumed = 0;

	retry_budget_init(&b);
	while (retry_budget_consume(&b))
		consumed++;
	EXPECT_EQ(20, consumed);
	for (int i = 0; i < 100; i++)
		retry_budget_record_request(&b);
	consumed = 0;
	while (retry_budget_consume(&b))
		consumed++;
	EXPECT_NEAR(10, consumed, 1);
}

TEST(Quarantine, EvictsTheOldestEntry)
{
	struct quarantine *set = quarantine_new(2);
	uint64_t a = quarantine_fingerprint("s", "body", 4);

	EXPECT_NE(a, quarantine_fingerprint("t", "body", 4));
	EXPECT_TRUE(quarantine_add(set, a));
	EXPECT_FALSE(quarantine_add(set, a));
	EXPECT_TRUE(quarantine_add(set, 2));
	EXPECT_TRUE(quarantine_add(set, 3));
	EXPECT_FALSE(quarantine_has(set, a));
	EXPECT_TRUE(quarantine_has(set, 3));
	quarantine_free(set);
}

/* Several daemons with uneven demand and one owner. */
struct LimitGroup {
	std::vector<limit_spender *> spenders;
	limit_owner *owner = limit_owner_new();

	explicit LimitGroup(int n)
	{
		for (int i = 0; i < n; i++)
			spenders.push_back(limit_spender_new());
	}

	~LimitGroup()
	{
		for (auto *s : spenders)
			limit_spender_free(s);
		limit_owner_free(owner);
	}

	/* Returns the requests admitted; daemon 0 receives half of them. */
	int
	Run(int rate, int offered_per_s, int seconds, bool is_owner_down)
	{
		int admitted = 0;
		int n = (int)spenders.size();

		for (int i = 0; i < offered_per_s * seconds; i++) {
			int64_t now = kSec + i * kSec / offered_per_s;
			size_t d = i % 2 ? 0 : (size_t)(i / 2 % n);
			struct limit_check check = {1, rate, n, now};
			int32_t wanted;

			if (limit_spender_acquire(
				spenders[d], &check, &wanted) == kLimitPass)
				admitted++;
			if (wanted > 0 && !is_owner_down)
				limit_spender_on_lease(spenders[d], 1,
				    limit_owner_lease(
					owner, 1, rate, wanted, now),
				    now);
		}
		return admitted;
	}
};

TEST(Limits, HoldAcrossDaemonsWithinTheDocumentedError)
{
	const struct {
		int daemons;
		int rate;
		int offered;
		bool is_owner_down;
	} cases[] = {{1, 50, 500, false}, {10, 50, 500, false},
	    {40, 100, 1000, false}, {10, 50, 500, true}, {40, 10, 400, true}};
	const int seconds = 20;

	for (const auto &c : cases) {
		LimitGroup group(c.daemons);
		int admitted =
		    group.Run(c.rate, c.offered, seconds, c.is_owner_down);
		/* The bound documented in limits.h. */
		int debt = std::min(4, std::max(1, c.rate / c.daemons));
		int bound = c.rate * (seconds + 1) + c.daemons * debt;

		EXPECT_LE(admitted, bound)
		    << c.daemons << " daemons, rate " << c.rate;
		EXPECT_GE(admitted, c.rate * seconds / 4)
		    << c.daemons << " daemons, rate " << c.rate;
	}
}

TEST(Limits, NothingIsRefusedBelowTheLimit)
{
	LimitGroup group(10);

	EXPECT_GE(group.Run(1000, 100, 10, false), 980);
}

} // namespace

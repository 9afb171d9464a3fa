#include <gtest/gtest.h>

extern "C" {
#include "savoryflow/routebook/routebook.h"
}

namespace
{

struct Routebook : ::testing::Test {
	struct routebook *book = routebook_new(1);

	~Routebook() override
	{
		routebook_unref(book);
	}

	routebook_route *
	Add(const char *name, const char *host, const char *prefix)
	{
		routebook_route *route = routebook_add_route(book);

		route->name = g_strdup(name);
		route->host = g_strdup(host);
		route->prefix = g_strdup(prefix);
		return route;
	}
};

TEST_F(Routebook, LongestMatchingPrefixWins)
{
	const struct {
		const char *host;
		const char *path;
		const char *route;
	} cases[] = {
	    {"a.example", "/x/1", "short"},
	    {"a.example", "/x/y/1", "long"},
	    {"a.example", "/x/yy", "short"},
	    {"a.example", "/x/y", "short"},
	    {"a.example", "/z/", nullptr},
	    {"a.example", "/", nullptr},
	    {"b.example", "/x/y/1", "other"},
	    {"c.example", "/x/1", nullptr},
	    {"A.example", "/x/1", nullptr},
	};

	Add("short", "a.example", "/x/");
	Add("long", "a.example", "/x/y/");
	Add("other", "b.example", "/x/");
	for (const auto &c : cases) {
		const routebook_route *route =
		    routebook_find(book, c.host, c.path);

		EXPECT_STREQ(c.route, route != nullptr ? route->name : nullptr)
		    << c.host << c.path;
	}
}

TEST_F(Routebook, SplitsRequestsByWeight)
{
	routebook_route *route = Add("r", "a.example", "/x/");
	int counts[2] = {};

	routebook_add_share(route, "one", 90);
	routebook_add_share(route, "two", 10);
	for (uint64_t i = 0; i < 1000; i++)
		counts[strcmp(routebook_pick_service(route, i), "one") != 0]++;
	EXPECT_EQ(900, counts[0]);
	EXPECT_EQ(100, counts[1]);
}

TEST_F(Routebook, ZeroWeightGetsNoRequests)
{
	routebook_route *route = Add("r", "a.example", "/x/");

	routebook_add_share(route, "old", 0);
	routebook_add_share(route, "new", 100);
	for (uint64_t i = 0; i < 1000; i++)
		EXPECT_STREQ("new", routebook_pick_service(route, i));
}

TEST_F(Routebook, RepeatableByKind)
{
	const struct {
		routebook_kind kind;
		bool is_resumable;
		bool is_repeatable;
	} cases[] = {
	    {kRoutebookIdempotent, false, true},
	    {kRoutebookAtMostOnce, false, false},
	    {kRoutebookAtMostOnce, true, false},
	    {kRoutebookStream, false, false},
	    {kRoutebookStream, true, true},
	    {kRoutebookBatch, false, true},
	};
	routebook_route *route = Add("r", "a.example", "/x/");

	for (const auto &c : cases) {
		route->kind = c.kind;
		route->is_resumable = c.is_resumable;
		EXPECT_EQ(c.is_repeatable, routebook_is_repeatable(route))
		    << c.kind;
	}
}

/* Without teams, a priority of a route would change the order of requests. */
TEST_F(Routebook, ATeamsPriorityPrecedesThatOfTheRoute)
{
	const struct {
		const char *team;
		bool has_teams;
		uint32_t weight, priority;
	} cases[] = {
	    {"", false, 0, 0},
	    {"", true, 0, 3},
	    {"unknown", true, 0, 3},
	    {"urgent", true, 2500, 0},
	    {"plain", true, 0, 3},
	    {"below", true, 0, 0},
	    {"large", true, G_MAXINT32, 1},
	};

	const uint8_t secret[kTeamDigestBytes] = {};
	routebook_route *route = Add("r", "a.example", "/");

	route->priority = 3;
	for (const auto &c : cases) {
		if (c.has_teams && book->teams == nullptr) {
			routebook_require_keys(book, secret);
			struct routebook_team *urgent =
			    routebook_add_team(book, "urgent");
			urgent->has_priority = true;
			urgent->rate_milli_per_s = 2500;
			routebook_add_team(book, "plain");
			routebook_add_team(book, "below")->has_priority = true;
			routebook_add_team(book, "below")->priority = -4;
			struct routebook_team *large =
			    routebook_add_team(book, "large");
			large->rate_milli_per_s = INT64_MAX;
			large->priority = 1;
			large->has_priority = true;
		}
		struct routebook_claim claim =
		    routebook_claim_of(book, route, c.team);

		EXPECT_EQ(c.weight, claim.weight) << c.team;
		EXPECT_EQ(c.priority, claim.priority) << c.team;
	}
}

} // namespace

// Keys of teams: a wrong team for a key, or a key that is found though no team
// holds it, would let a request run for somebody else.
#include <gtest/gtest.h>

#include <cstring>
#include <string>

extern "C" {
#include "savoryflow/teams/team_keys.h"
}

namespace
{

struct Keys {
	explicit Keys(uint8_t fill)
	{
		uint8_t secret[kTeamDigestBytes];

		memset(secret, fill, sizeof(secret));
		keys = team_keys_new(secret);
	}
	~Keys()
	{
		team_keys_free(keys);
	}
	team_digest
	Digest(const std::string &key) const
	{
		return team_keys_digest(keys, key.data(), key.size());
	}
	void
	Add(const std::string &key, const char *team)
	{
		team_digest digest = Digest(key);

		team_keys_add(keys, &digest, team);
	}
	std::string
	Find(const std::string &key) const
	{
		team_digest digest = Digest(key);
		const char *team = team_keys_find(keys, &digest);

		return team != nullptr ? team : "";
	}

	team_keys *keys;
};

TEST(TeamKeys, AKeyLeadsToItsTeamOnly)
{
	struct {
		const char *key;
		const char *team;
	} cases[] = {
	    {"alpha-1", "alpha"},
	    {"alpha-2", "alpha"},
	    {"beta-1", "beta"},
	    {"alpha-", ""},
	    {"alpha-11", ""},
	    {"ALPHA-1", ""},
	    {"", ""},
	};
	Keys keys(1);

	keys.Add("alpha-1", "alpha");
	keys.Add("alpha-2", "alpha");
	keys.Add("beta-1", "beta");
	for (const auto &c : cases)
		EXPECT_EQ(keys.Find(c.key), c.team) << c.key;
}

TEST(TeamKeys, AKeyOfTwoTeamsStaysWithTheFirst)
{
	Keys keys(1);

	keys.Add("shared", "alpha");
	keys.Add("shared", "beta");
	EXPECT_EQ(keys.Find("shared"), "alpha");
}

TEST(TeamKeys, DigestsDependOnTheSecret)
{
	Keys a(1);
	Keys b(2);
	team_digest x = a.Digest("key");
	team_digest y = b.Digest("key");
	team_digest again = a.Digest("key");

	EXPECT_NE(memcmp(&x, &y, sizeof(x)), 0);
	EXPECT_EQ(memcmp(&x, &again, sizeof(x)), 0);
}

} // namespace

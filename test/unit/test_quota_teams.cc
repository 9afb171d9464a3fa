// Quotas of many teams: what a daemon prepares for them must not grow with the
// teams of the configuration, only with those that submit here.
#include <set>

#include "unit/jobs_fixture.h"

extern "C" {
#include "gateway/quota.h"
#include "savoryflow/routebook/routebook.h"
}

namespace
{

struct QuotaTeams : JobsFixture {
	static constexpr int kTeams = 3200;
	static constexpr size_t kPreparedMax = 128;

	QuotaTeams()
	{
		static const slots_wire_ops wire_ops = {
		    [](void *, const char *, Sfpeer__Envelope *) {}, OnConnect,
		    OnConnect};
		uint8_t secret[kTeamDigestBytes] = {};
		quota_options qopt = {};

		qopt.lp = lp;
		qopt.offload = off;
		qopt.store = st;
		qopt.roster = ro;
		qopt.address = "d0";
		qopt.session = "s0";
		qopt.wire = &wire_ops;
		qopt.wire_ctx = this;
		qt = quota_new(&qopt);
		js->opt.quota = qt;
		book = routebook_new(1);
		routebook_require_keys(book, secret);
		for (int i = 0; i < kTeams; i++)
			routebook_add_team(book, Team(i).c_str());
		routebook_route *route = routebook_add_route(book);
		route->host = g_strdup("h");
		route->prefix = g_strdup("/b/");
		route->waiting_tokens_max = 100;
	}
	~QuotaTeams() override
	{
		quota_free(qt);
		routebook_unref(book);
	}

	static std::string
	Team(int i)
	{
		return "team-" + std::to_string(i);
	}

	static std::string
	Name(int i)
	{
		char *name = quota_route_name("h", "/b/", Team(i).c_str());
		std::string copy = name;

		g_free(name);
		return copy;
	}

	static void
	OnConnect(void *ctx, const char *)
	{
		((QuotaTeams *)ctx)->connects++;
	}

	/* As the housekeeping does. */
	void
	Prepare()
	{
		connects = 0;
		for (int i = 0; i < 8; i++) {
			now_us += kSec / 2;
			jobs_prepare_quotas(js);
		}
	}

	struct quota *qt;
	size_t connects = 0;
};

TEST_F(QuotaTeams, OnlyThoseWithSubmissionsHereArePrepared)
{
	const size_t all_peers = kDaemons;

	Prepare();
	EXPECT_EQ(0u, connects);
	for (int i = 0; i < kTeams; i++) {
		now_us++;
		jobs_note_team_quota(js, Name(i).c_str());
	}
	EXPECT_EQ(kPreparedMax, g_hash_table_size(js->team_quotas));
	EXPECT_TRUE(
	    g_hash_table_contains(js->team_quotas, Name(kTeams - 1).c_str()));
	Prepare();
	EXPECT_GT(connects, 0u);
	EXPECT_LE(connects, 2 * (kPreparedMax + all_peers)) << "in 4 s";
	now_us += 61 * kSec;
	Prepare();
	EXPECT_EQ(0u, connects);
	EXPECT_EQ(0u, g_hash_table_size(js->team_quotas));
}

TEST_F(QuotaTeams, TeamsHaveCountsOfTheirOwn)
{
	std::set<std::string> names;
	char *all = quota_route_name("h", "/b/", "");
	char *other_route = quota_route_name("h", "/c/", Team(0).c_str());

	for (int i = 0; i < kTeams; i++)
		names.insert(Name(i));
	names.insert(all);
	names.insert(other_route);
	EXPECT_EQ((size_t)kTeams + 2, names.size());
	g_free(all);
	g_free(other_route);
}

} // namespace

// What a daemon passes on to peers: a key in it would reach the network and
// the memory of daemons that need none.
#include <gtest/gtest.h>

#include <mutex>
#include <string>
#include <vector>

extern "C" {
#include "rows_client.h"
#include "watch.h"
}

namespace
{

const char kDocument[] = R"({"version":3,"routes":[],"tenants":[
    {"name":"alpha","api_keys":["sk-secret-1"]}]})";

/* A watch whose store refuses all connections: it learns rows from peers. */
struct WatchKeys : ::testing::Test {
	WatchKeys()
	{
		ops.on_routes = [](void *ctx, struct routebook *book) {
			auto *self = (WatchKeys *)ctx;

			self->teams.emplace_back(self->TeamOf(book));
			routebook_unref(book);
		};
		ops.on_target = [](void *, const struct fleet_target *) {};
		ops.on_target_removed = [](void *, const char *, int64_t) {};
		ops.on_target_list = [](void *, const GArray *, int64_t) {};
		ops.on_bad_row = [](void *ctx, const char *, const char *,
				     const char *why) {
			((WatchKeys *)ctx)->bad.emplace_back(why);
		};
		ops.on_reachability = [](void *, bool, const char *) {};
		st = rows_client_new("http://127.0.0.1:1");
		w = watch_new(st, &ops, this);
	}
	~WatchKeys() override
	{
		watch_free(w);
		rows_client_free(st);
	}

	static std::string
	TeamOf(const struct routebook *book)
	{
		std::string key = "sk-secret-1";
		team_digest d =
		    team_keys_digest(book->keys, key.data(), key.size());
		const char *team = team_keys_find(book->keys, &d);

		return team != nullptr ? team : "";
	}

	void
	Apply(const std::string &value, int64_t version)
	{
		GArray *rows =
		    g_array_new(FALSE, TRUE, sizeof(struct view_row));
		struct view_row row = {(char *)"op", (char *)"config",
		    (char *)value.c_str(), version};

		g_array_append_val(rows, row);
		watch_apply_rows(w, rows, version);
		g_array_unref(rows);
	}

	/* The configuration as peers get it; empty: none. */
	std::string
	Sent()
	{
		GArray *rows = watch_rows(w, 0);
		std::string value;

		for (guint i = 0; i < rows->len; i++) {
			auto *row = &g_array_index(rows, struct view_row, i);

			value += row->value != nullptr ? row->value : "";
		}
		g_array_unref(rows);
		return value;
	}

	struct watch_ops ops = {};
	struct store *st;
	struct watch *w;
	std::vector<std::string> teams, bad;
};

TEST_F(WatchKeys, RowsForPeersHaveDigestsInPlaceOfKeys)
{
	std::string sent;

	Apply(kDocument, 5);
	sent = Sent();
	EXPECT_NE(std::string::npos, sent.find("alpha")) << sent;
	EXPECT_EQ(std::string::npos, sent.find("sk-")) << sent;
	Apply(sent, 6);
	EXPECT_EQ(sent, Sent()) << "passed on again";
	EXPECT_EQ((std::vector<std::string>{"alpha", "alpha"}), teams);
	EXPECT_TRUE(bad.empty());
}

TEST_F(WatchKeys, AKnownVersionIsNotAppliedAgain)
{
	Apply(kDocument, 5);
	Apply(kDocument, 5);
	Apply(kDocument, 4);
	EXPECT_EQ(1u, teams.size());
}

TEST_F(WatchKeys, BadDocumentsAreNeitherSentNorQuoted)
{
	std::string cut(kDocument, sizeof(kDocument) - 5);

	Apply(cut, 5);
	Apply("[\"sk-secret-1\"]", 6);
	EXPECT_EQ("", Sent());
	ASSERT_EQ(2u, bad.size());
	for (const auto &why : bad)
		EXPECT_EQ(std::string::npos, why.find("sk-")) << why;
	Apply(kDocument, 7);
	EXPECT_EQ(1u, teams.size());
}

} // namespace
